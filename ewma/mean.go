// Package ewma provides exponentially weighted moving means. Observations lose weight with time as well as with each new
// one, so that what was learned long ago does not outweigh what is seen now. It does no I/O; the time is passed in.
package ewma

import (
	"math"
	"time"
)

// Mean is a moving mean. The first observation sets it. The zero value is ready to use.
type Mean struct {
	value float64
	at    time.Time
}

// Weight returns the share that an observation keeps after some time, 1/2 after halfLife.
func Weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(float64(age), 0) / float64(halfLife))
}

// Observe adds an observation. It weighs as much as the earlier ones have lost since the previous one, and at least
// minWeight, from 0 to 1.
func (m *Mean) Observe(v, minWeight float64, halfLife time.Duration, now time.Time) {
	weight := 1.0
	if !m.at.IsZero() {
		weight = max(1-Weight(now.Sub(m.at), halfLife), minWeight)
	}
	// The conversion keeps processors with a fused multiply-add from giving another result.
	m.value += float64(weight * (v - m.value))
	m.at = now
}

// Value returns the mean, 0 without observations.
func (m *Mean) Value() float64 { return m.value }

// Age returns the time since the latest observation, and false if there was none.
func (m *Mean) Age(now time.Time) (time.Duration, bool) { return now.Sub(m.at), !m.at.IsZero() }
