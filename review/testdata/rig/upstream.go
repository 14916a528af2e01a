package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	slots        = 9
	queueLength  = 24
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	idleTimeout  = 10 * time.Second
)

type (
	// upstream is a sound backend server.
	upstream struct {
		machine *machine
		id      string
		version string
		work    time.Duration

		born     int64
		cancel   context.CancelFunc
		http     *http.Server
		slots    chan struct{}
		sequence int64

		mu        sync.Mutex
		waiting   int
		leaving   bool
		silent    bool    // sends no more heartbeats
		slowShare float64 // of the requests that take slowBy times as long
		slowBy    float64
		arrivals  []arrival
	}

	// arrival is a request that the server began to run.
	arrival struct {
		id string
		at time.Time
	}
)

func newUpstream(m *machine, version string) *upstream {
	return &upstream{
		machine: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), version: version, work: 40 * time.Millisecond,
		slots: make(chan struct{}, slots),
	}
}

func (u *upstream) rec() *recorder { return u.machine.world.rec }

func (u *upstream) start() error {
	l, err := listen(u.machine.addr(portApp))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.born, u.cancel = time.Now().UnixMilli(), cancel
	u.http = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: idleTimeout}
	go func() { _ = u.http.Serve(l) }()
	go u.beats(ctx)
	return nil
}

// crash ends the server without a word.
func (u *upstream) crash() {
	if u.http == nil {
		return
	}
	u.cancel()
	_ = u.http.Close()
}

func (u *upstream) beats(ctx context.Context) {
	for {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()
		wait := beatInterval
		if !silent && !u.beat(ctx) {
			wait = 250 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// message returns the body of the next heartbeat.
func (u *upstream) message() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	state := "ready"
	if u.leaving {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": u.machine.service, "address": u.machine.addr(portApp), "zone": u.machine.zone, "version": u.version,
		"slots": slots, "state": state, "cold-remaining-ms": 0, "sequence": u.sequence, "born": u.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// beat sends a heartbeat and reports whether it was acknowledged.
func (u *upstream) beat(ctx context.Context) bool {
	return u.post(ctx, words["heartbeat"]+u.id, u.message()) == http.StatusOK
}

// deregister says that the server leaves, and reports whether that was acknowledged.
func (u *upstream) deregister() bool {
	u.mu.Lock()
	u.leaving, u.silent = true, true
	data := []byte(fmt.Sprintf(`{"born":%d}`, u.born))
	u.mu.Unlock()
	return u.post(context.Background(), words["deregister"]+u.id, data) == http.StatusOK
}

// post sends a message to the node beside the server. It returns 0 without an answer.
func (u *upstream) post(ctx context.Context, call string, data []byte) int {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+u.machine.addr(portServers)+call, bytes.NewReader(data),
	)
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// runs returns the requests that the server ran, in order of their arrival.
func (u *upstream) runs() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set(words["server"], u.id)
		h.Set(words["cold"], "0")
		h.Set(words["load"], u.load())
		u.mu.Lock()
		leaving := u.leaving
		u.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(words["requestID"])
	h.Set(words["requestID"], id)
	if target := r.Header.Get(words["target"]); target != "" && target != u.id {
		h.Set(words["server"], u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !u.enter(r.Context()) {
		h.Set(words["notRun"], "1")
		h.Set(words["load"], u.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.mu.Lock()
	u.arrivals = append(u.arrivals, arrival{id, time.Now()})
	u.mu.Unlock()
	u.rec().printf("server %s (%s, %s): runs %s", u.id, u.machine.name, u.version, id)
	limit := time.Duration(1<<62 - 1)
	if ms, err := strconv.ParseFloat(r.Header.Get(words["deadline"]), 64); err == nil {
		limit = time.Duration(ms * float64(time.Millisecond))
	}
	status := http.StatusOK
	work := u.workTime()
	if work > limit {
		work, status = limit, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.rec().printf("server %s: drops %s, its connection closed", u.id, id)
		return
	}
	h.Set(words["signature"], "sig."+u.id+"."+id)
	h.Set(words["load"], u.load())
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s %s %d bytes", u.id, r.Method, r.RequestURI, len(body))
}

// becomesSlow lets a share of the requests take longer.
func (u *upstream) becomesSlow(share, by float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowShare, u.slowBy = share, by
}

func (u *upstream) workTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if rand.Float64() < u.slowShare {
		return time.Duration(u.slowBy * float64(u.work))
	}
	return u.work
}

// enter waits for a slot; it reports false if the queue is full.
func (u *upstream) enter(ctx context.Context) bool {
	u.mu.Lock()
	if u.waiting >= queueLength {
		u.mu.Unlock()
		return false
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(u.slots), u.waiting, slots)
}
