package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// windowBuckets is the number of buckets in a SlidingBudget's span. The array has one more, for the current, partly
// elapsed interval, so retries up to 5% older than the span still count. First attempts in the oldest bucket do not.
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

// RecordFirst records a first attempt that was sent at the given time. It counts from then on, also if it is recorded
// later.
func (w *SlidingBudget) RecordFirst(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.bucketAt(at); b != nil {
		b.first++
	}
}

// Return takes back a retry that TryRetry allowed at the given time and that was not sent.
func (w *SlidingBudget) Return(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.bucketAt(at); b != nil {
		b.retries--
	}
}

// RecordRetry records a retry that took place without TryRetry. It counts whether the limit allows it or not.
func (w *SlidingBudget) RecordRetry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if current := w.advance(); current != nil {
		current.retries++
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
	for i, other := range w.buckets {
		if int64(i) != (w.newest+1)%int64(len(w.buckets)) {
			total.first += other.first
		}
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
	index := w.index(now)
	for i := max(w.newest+1, index-windowBuckets); i <= index; i++ {
		w.buckets[i%int64(len(w.buckets))] = bucket{}
	}
	w.newest = max(w.newest, index)
	return &w.buckets[w.newest%int64(len(w.buckets))]
}

// index returns the number of the bucket of a time, counted from the first use of the budget.
func (w *SlidingBudget) index(at time.Time) int64 {
	return int64(at.Sub(w.origin) / (w.span / windowBuckets))
}

// bucketAt returns the bucket of a time that is not in the future, or nil if it is outside the window.
func (w *SlidingBudget) bucketAt(at time.Time) *bucket {
	if w.advance() == nil {
		return nil
	}
	index := max(w.index(at), 0)
	if index <= w.newest-int64(len(w.buckets)) {
		return nil
	}
	return &w.buckets[min(index, w.newest)%int64(len(w.buckets))]
}
