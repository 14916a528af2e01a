package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// traffic is what the callers on some machines send.
	traffic struct {
		world *world
		mu    sync.Mutex
		sent  []*attempt
		stop  chan struct{}
		wg    sync.WaitGroup
	}

	// attempt is one request of a caller.
	attempt struct {
		id, path string
		at       *machine
		sentAt   time.Time
		status   int // 0 without an answer
		served   bool
		reason   string
	}
)

func newTraffic(w *world) *traffic { return &traffic{world: w, stop: make(chan struct{})} }

// send begins to send requests to a machine, a number of them a second. They are not sent again.
func (t *traffic) send(m *machine, prefix string, perSecond float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}
	t.wg.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-t.stop:
				return
			}
			t.wg.Go(func() { t.one(transport, m, fmt.Sprintf("%s%d", prefix, n)) })
		}
	})
}

func (t *traffic) one(transport http.RoundTripper, m *machine, path string) {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), path: path, at: m, sentAt: time.Now()}
	t.mu.Lock()
	t.sent = append(t.sent, a)
	t.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+m.addr(portOutbound)+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(words["requestID"], a.id)
	req.Header.Set(words["deadline"], "1200")
	client := http.Client{Transport: transport, Timeout: 1200 * time.Millisecond}
	status, reason, served := 0, "", false
	resp, err := client.Do(req)
	if err == nil {
		body, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status, reason = resp.StatusCode, resp.Header.Get("Tanager-Reason")
		served = readErr == nil && status == http.StatusOK && len(body) > 0 && resp.Header.Get(words["signature"]) != ""
	} else {
		reason = err.Error()
	}
	t.mu.Lock()
	a.status, a.served, a.reason = status, served, reason
	t.mu.Unlock()
	t.world.rec.printf("caller at %s: %s %s -> %d %s", m.name, a.id, path, status, reason)
}

// end stops the callers and waits for their answers.
func (t *traffic) end() {
	close(t.stop)
	t.wg.Wait()
}

// count returns the number of requests with a path prefix that were sent in a span of time, and of those that were served.
func (t *traffic) count(prefix string, from, to time.Time) (sent, served int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.sent {
		if !strings.HasPrefix(a.path, prefix) || a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.served {
			served++
		}
	}
	return sent, served
}

// find returns a request by its identifier.
func (t *traffic) find(id string) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.sent {
		if a.id == id {
			return a
		}
	}
	return nil
}
