package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// windowBuckets is the number of buckets in a SlidingBudget's span. The array has one more, for the current, partly
// elapsed interval, so attempts up to 5% older than the span still count.
const windowBuckets = 20

// SlidingBudget limits the retries in a sliding window to a ratio of the first attempts in it plus a fixed number. The
// mesh daemon uses it, because its limit applies to a time window; tsnode uses Budget. Its zero value allows no
// retries.
type SlidingBudget struct {
	Clock clockwork.Clock

	mu      sync.Mutex
	span    time.Duration
	ratio   float64
	slack   float64
	origin  time.Time
	buckets [windowBuckets + 1]bucket
	newest  int64
}

type bucket struct{ first, retries int }

// SetBounds sets the length of the window, the ratio of retries to first attempts, and the fixed number of retries that
// is always allowed.
func (w *SlidingBudget) SetBounds(span time.Duration, ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.span, w.ratio, w.slack = span, ratio, slack
}

// RecordFirst records a first attempt.
func (w *SlidingBudget) RecordFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.advance(); current != nil {
		current.first++
	}
}

// TryRetry reports whether the limit allows a retry, and records it if so.
func (w *SlidingBudget) TryRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance()
	if current == nil {
		return false
	}
	var total bucket
	for _, other := range w.buckets {
		total.first += other.first
		total.retries += other.retries
	}
	if float64(total.retries+1) > w.ratio*float64(total.first)+w.slack {
		return false
	}
	current.retries++
	return true
}

// advance returns the current bucket and clears those that are outside the window. It returns nil if the clock or the
// span is not set.
func (w *SlidingBudget) advance() *bucket {
	if w.span <= 0 || w.Clock == nil {
		return nil
	}
	now := w.Clock.Now()
	if w.origin.IsZero() {
		w.origin = now
	}
	index := int64(now.Sub(w.origin) / (w.span / windowBuckets))
	for i := max(w.newest+1, index-windowBuckets); i <= index; i++ {
		w.buckets[i%int64(len(w.buckets))] = bucket{}
	}
	w.newest = max(w.newest, index)
	return &w.buckets[w.newest%int64(len(w.buckets))]
}
