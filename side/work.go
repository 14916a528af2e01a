package side

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// workWeight is the weight of one answer in a moving mean.
	workWeight = 0.1
	// failureWeight is the weight of one answer in the moving share of failures.
	failureWeight = 0.04
)

type (
	// workTable learns how long a route's requests take, how large their answers are and how many fail. Its zero
	// value is ready to use.
	workTable struct {
		mu     sync.Mutex
		routes map[string]*workEntry
	}

	workEntry struct {
		work   time.Duration
		bytes  int
		failed float64
	}
)

func (t *workTable) learn(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	if e.work == 0 {
		e.work = took
		return
	}
	e.work += time.Duration(workWeight * float64(took-e.work))
}

func (t *workTable) learnBytes(route string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	if e.bytes == 0 {
		e.bytes = n
		return
	}
	e.bytes += int(workWeight * float64(n-e.bytes))
}

func (t *workTable) learnFailure(route string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(route)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.failed += failureWeight * (outcome - e.failed)
}

// failing returns the share of a route's answers that were failures of late, whichever server gave them.
func (t *workTable) failing(route string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.failed
	}
	return 0
}

func (t *workTable) entry(route string) *workEntry {
	if t.routes == nil {
		t.routes = make(map[string]*workEntry)
	}
	e := t.routes[route]
	if e == nil {
		e = &workEntry{}
		t.routes[route] = e
	}
	return e
}

// expected returns the mean time of a route's requests.
func (t *workTable) expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil && e.work > 0 {
		return e.work
	}
	return nominalWork
}

// answerBytes returns the mean size of a route's answers.
func (t *workTable) answerBytes(route string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes[route]; e != nil {
		return e.bytes
	}
	return 0
}

// readBody reads a request's whole body.
func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(r.Body)
}
