package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// windowBuckets is the number of buckets in a SlidingBudget's span.
const windowBuckets = 20

// SlidingBudget limits the repeated sends in a sliding window to a ratio of the first sends in it plus a fixed number.
// Its zero value allows no repeated sends.
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

type bucket struct{ first, repeated int }

// SetBounds sets the length of the window, the ratio of repeated to first sends, and the fixed number of repeated sends
// that is always allowed.
func (w *SlidingBudget) SetBounds(span time.Duration, ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.span, w.ratio, w.slack = span, ratio, slack
}

// RecordFirst records a first send.
func (w *SlidingBudget) RecordFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.advance(); current != nil {
		current.first++
	}
}

// TryRetry reports whether the limit allows a repeated send, and records it if so.
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
		total.repeated += other.repeated
	}
	if float64(total.repeated+1) > w.ratio*float64(total.first)+w.slack {
		return false
	}
	current.repeated++
	return true
}

// advance returns the current bucket and clears those that are outside the window.
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
