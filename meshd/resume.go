package meshd

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
)

const (
	// pauseThreshold is the time without a sign of life from which a process counts as paused. A shorter pause adds less to
	// the age of a configuration than the time that is left for a removed key.
	pauseThreshold = time.Second
	// pauseTick is the interval of the signs of life.
	pauseTick = 100 * time.Millisecond
	// maxResumeWait bounds how long requests wait for the configuration after a pause. A read that was waiting in the pause
	// ends first, so that the next one takes up to half a second. Without an answer by then, the configuration in force
	// counts, as in any outage of the store.
	maxResumeWait = 700 * time.Millisecond
)

// resumeWatch detects that the process was paused, so that its configuration may be older than it looks. Requests with keys
// then wait until the operator's topic has been read again: a key may have been removed meanwhile. The zero value detects
// nothing until run is called.
type resumeWatch struct {
	mu        sync.Mutex
	needed    func() bool   // whether the configuration has tenants, nil before run
	last      time.Time     // of the last sign of life
	resumedAt time.Time     // zero if the configuration was read since the last pause
	confirmed chan struct{} // closed when resumedAt is reset
}

// run records signs of life until ctx ends. Pauses count while needed returns true.
func (w *resumeWatch) run(ctx context.Context, c clockwork.Clock, needed func() bool) {
	w.mu.Lock()
	w.needed, w.last = needed, c.Now()
	w.mu.Unlock()
	ticker := c.NewTicker(pauseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			w.observe(c.Now())
		case <-ctx.Done():
			return
		}
	}
}

// observe records a sign of life. It reports whether the configuration must be read because of a pause.
func (w *resumeWatch) observe(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.needed == nil {
		return false
	}
	if paused := now.Sub(w.last); paused > pauseThreshold && w.needed() {
		if w.resumedAt.IsZero() {
			w.confirmed = make(chan struct{})
		}
		w.resumedAt = now
		log.WithField("paused", paused).Warn("process was paused; reading the configuration")
	}
	if now.After(w.last) {
		w.last = now
	}
	if !w.resumedAt.IsZero() && now.Sub(w.resumedAt) >= maxResumeWait {
		w.confirm()
	}
	return !w.resumedAt.IsZero()
}

// resumedAfter reports whether the process resumed from its last pause after the given time.
func (w *resumeWatch) resumedAfter(began time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return began.Before(w.resumedAt)
}

// readDone records that the operator's topic was read by a call that began at the given time.
func (w *resumeWatch) readDone(began time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.resumedAt.IsZero() && !began.Before(w.resumedAt) {
		w.confirm()
	}
}

// confirm ends the wait. The caller must hold the lock.
func (w *resumeWatch) confirm() {
	w.resumedAt = time.Time{}
	close(w.confirmed)
}

// await waits after a pause until the configuration has been read, for maxResumeWait at most.
func (w *resumeWatch) await(ctx context.Context, c clockwork.Clock) {
	if !w.observe(c.Now()) {
		return
	}
	w.mu.Lock()
	confirmed, wait := w.confirmed, maxResumeWait-c.Since(w.resumedAt)
	w.mu.Unlock()
	select {
	case <-confirmed:
	case <-c.After(wait):
	case <-ctx.Done():
	}
}
