package retry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// windowCells is the number of cells of a Window's span.
const windowCells = 20

// Window bounds the repeated sends in any span of time to a share of the first sends in it and a fixed part.
// Its zero value allows none.
type Window struct {
	Clock clockwork.Clock

	mu     sync.Mutex
	span   time.Duration
	ratio  float64
	slack  float64
	base   time.Time
	cells  [windowCells + 1]cell
	newest int64
}

type cell struct{ first, again int }

// SetBounds sets the span, the share of first sends, and the part that is always allowed.
func (w *Window) SetBounds(span time.Duration, ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.span, w.ratio, w.slack = span, ratio, slack
}

// First counts a first send.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.advance(); c != nil {
		c.first++
	}
}

// Again counts a repeated send if the bound allows it, and reports whether it does.
func (w *Window) Again() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.advance()
	if c == nil {
		return false
	}
	var sum cell
	for _, other := range w.cells {
		sum.first += other.first
		sum.again += other.again
	}
	if float64(sum.again+1) > w.ratio*float64(sum.first)+w.slack {
		return false
	}
	c.again++
	return true
}

// advance returns the current cell and empties those that left the span.
func (w *Window) advance() *cell {
	if w.span <= 0 || w.Clock == nil {
		return nil
	}
	now := w.Clock.Now()
	if w.base.IsZero() {
		w.base = now
	}
	index := int64(now.Sub(w.base) / (w.span / windowCells))
	for i := max(w.newest+1, index-windowCells); i <= index; i++ {
		w.cells[i%int64(len(w.cells))] = cell{}
	}
	w.newest = max(w.newest, index)
	return &w.cells[w.newest%int64(len(w.cells))]
}
