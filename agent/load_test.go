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
	// response is the result of a request; err is the connection error if no complete response was received.
	response struct {
		id      string
		status  int
		outcome string
		reason  string
		config  string
		body    string
		err     error
	}

	// loadGenerator runs callers that send requests in a loop until they are stopped.
	loadGenerator struct {
		completed atomic.Int64
		cancel    context.CancelFunc
		wg        sync.WaitGroup
		mu        sync.Mutex
		responses []response
	}

	// request is one request of a caller.
	request struct{ method, address, path, id, key string }
)

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func (r *response) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

func (r *response) String() string {
	return fmt.Sprintf(
		"request %q: status %d, outcome %q, reason %q, error %v",
		r.id,
		r.status,
		r.outcome,
		r.reason,
		r.err,
	)
}

func (q request) send(ctx context.Context) response {
	r := response{id: q.id}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, strings.NewReader("order"))
	if err != nil {
		r.err = err
		return r
	}
	req.Header.Set(proxy.HeaderRequestID, q.id)
	req.GetBody = nil // the transport must not retry the request
	if q.key != "" {
		req.Header[proxy.HeaderIdempotencyKey] = []string{q.key}
	}
	resp, err := caller.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.status, r.body, r.err = resp.StatusCode, string(body), err
	r.outcome, r.reason = resp.Header.Get(proxy.HeaderOutcome), resp.Header.Get(proxy.HeaderReason)
	r.config = resp.Header.Get(proxy.HeaderConfigOffset)
	return r
}

// startLoad starts callers. Each sends its next request after the response to the previous one.
func (m *mesh) startLoad(callers int, next func(n int64) request) *loadGenerator {
	g := &loadGenerator{}
	var ctx context.Context
	ctx, g.cancel = context.WithCancel(context.Background())
	m.t.Cleanup(func() { g.stop() })
	var sent atomic.Int64
	for range callers {
		g.wg.Go(func() {
			for ctx.Err() == nil {
				// Stopping must not cancel a request in progress.
				r := next(sent.Add(1)).send(context.Background())
				g.mu.Lock()
				g.responses = append(g.responses, r)
				g.mu.Unlock()
				g.completed.Add(1)
			}
		})
	}
	return g
}

// stop stops the callers after their current requests and returns all responses.
func (g *loadGenerator) stop() []response {
	g.cancel()
	g.wg.Wait()
	return g.responses
}

// awaitResponses waits for n more responses.
func (m *mesh) awaitResponses(g *loadGenerator, n int64) {
	m.t.Helper()
	target := g.completed.Load() + n
	m.waitFor(fmt.Sprintf("%d more responses", n), func() bool { return g.completed.Load() >= target })
}

// runCount returns how often a request ran, summed over all servers.
func (m *mesh) runCount(servers []*stub.Server, id string) int {
	total := 0
	for _, s := range servers {
		total += s.RunCount(id)
	}
	return total
}

func (m *mesh) servers() []*stub.Server {
	var list []*stub.Server
	for _, x := range m.nodes {
		if x.server != nil {
			list = append(list, x.server)
		}
	}
	return list
}

func (x *instance) callersAddress() string { return x.app.Addresses().Callers }
