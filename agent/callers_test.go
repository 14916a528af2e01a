package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/stub"
)

type (
	// answer is what a caller got, with the error of the connection when it got no whole answer.
	answer struct {
		id      string
		status  int
		outcome string
		reason  string
		config  string
		body    string
		err     error
	}

	// crowd is a number of callers that send requests again and again until they are stopped.
	crowd struct {
		count   atomic.Int64
		cancel  context.CancelFunc
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []answer
	}

	// ask is one request of a caller.
	ask struct{ method, address, path, id, key string }
)

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (a *answer) good() bool { return a.err == nil && a.status == http.StatusOK }

func (a *answer) String() string {
	return fmt.Sprintf(
		"request %q: status %d, outcome %q, reason %q, error %v",
		a.id,
		a.status,
		a.outcome,
		a.reason,
		a.err,
	)
}

func (q ask) send(ctx context.Context) answer {
	a := answer{id: q.id}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, strings.NewReader("order"))
	if err != nil {
		a.err = err
		return a
	}
	req.Header.Set(proxy.HeaderRequestID, q.id)
	req.GetBody = nil // the transport must not repeat it
	if q.key != "" {
		req.Header[proxy.HeaderKey] = []string{q.key}
	}
	resp, err := caller.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(body), err
	a.outcome, a.reason = resp.Header.Get(proxy.HeaderOutcome), resp.Header.Get(proxy.HeaderReason)
	a.config = resp.Header.Get(proxy.HeaderConfig)
	return a
}

// gather starts callers. Each sends its next request once it has the answer to the last.
func (m *mesh) gather(size int, next func(n int64) ask) *crowd {
	c := &crowd{}
	var ctx context.Context
	ctx, c.cancel = context.WithCancel(context.Background())
	m.t.Cleanup(func() { c.stop() })
	var sent atomic.Int64
	for range size {
		c.wg.Go(func() {
			for ctx.Err() == nil {
				// A stop ends the callers between two requests.
				a := next(sent.Add(1)).send(context.Background())
				c.mu.Lock()
				c.answers = append(c.answers, a)
				c.mu.Unlock()
				c.count.Add(1)
			}
		})
	}
	return c
}

// stop lets the callers end and returns what they got.
func (c *crowd) stop() []answer {
	c.cancel()
	c.wg.Wait()
	return c.answers
}

// further waits for so many more answers.
func (m *mesh) further(c *crowd, n int64) {
	m.t.Helper()
	end := c.count.Load() + n
	m.until(fmt.Sprintf("%d more answers", n), func() bool { return c.count.Load() >= end })
}

// runs returns how often a request ran on all servers together.
func (m *mesh) runs(servers []*stub.Server, id string) int {
	total := 0
	for _, s := range servers {
		total += s.Runs(id)
	}
	return total
}

func (m *mesh) servers() []*stub.Server {
	var list []*stub.Server
	for _, x := range m.members {
		if x.server != nil {
			list = append(list, x.server)
		}
	}
	return list
}

func (x *instance) callers() string { return x.app.Addresses().Callers }
