package retry_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"tanagershunt.example/shunt/retry"
)

// TestWindow guards the bound on repeated sends in every span of the window's length, however sends come.
func TestWindow(t *testing.T) {
	const span, ratio, slack = 10 * time.Second, 0.2, 6
	rapid.Check(t, func(t *rapid.T) {
		c := clockwork.NewFakeClock()
		w := &retry.Window{Clock: c}
		w.SetBounds(span, ratio, slack)
		type send struct {
			at    time.Time
			again bool
		}
		var sends []send
		for range rapid.IntRange(10, 400).Draw(t, "sends") {
			c.Advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			w.First()
			sends = append(sends, send{c.Now(), false})
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if w.Again() {
					sends = append(sends, send{c.Now(), true})
				}
			}
		}
		for i := range sends {
			if !sends[i].again {
				continue
			}
			first, again := 0, 0
			for _, s := range sends[:i+1] {
				switch age := sends[i].at.Sub(s.at); {
				case s.again && age < span:
					again++
				case !s.again && age < span+span/10: // a cell more: the window is counted in cells
					first++
				}
			}
			if float64(again) > ratio*float64(first)+slack {
				t.Fatalf("%d repeats beside %d first sends in %s", again, first, span)
			}
		}
	})
}

// TestWindowZero guards that a window without bounds allows nothing.
func TestWindowZero(t *testing.T) {
	var w retry.Window
	w.First()
	if w.Again() {
		t.Error("a repeat was allowed")
	}
}
