package place

import (
	"time"

	"tanagershunt.example/shunt/ewma"
)

const (
	// paceHalfLife is the age at which the newest pace has half its weight. Servers change their pace many times a
	// second.
	paceHalfLife = 250 * time.Millisecond
	// meanPaceHalfLife is the half-life of a pace in the long-term mean.
	meanPaceHalfLife = 10 * time.Second
)

// Pace is the pace told by a server: how long work takes relative to its usual time, now and in the long term. The zero
// value is that of a server that has told none.
type Pace struct {
	newest, mean float64
	at           time.Time // of the newest pace
	count        int
}

// Observe records a pace told at the given time. A pace of 0 is ignored.
func (p *Pace) Observe(pace float64, now time.Time) {
	if pace <= 0 {
		return
	}
	p.count++
	weight := 1 - ewma.Weight(now.Sub(p.at), meanPaceHalfLife)
	// The first paces have equal weights.
	weight = max(weight, 1/float64(p.count))
	p.mean += weight * (pace - p.mean)
	p.newest, p.at = pace, now
}

// Report replaces the pace by one with its long-term mean, as told by another node.
func (p *Pace) Report(pace, mean float64, now time.Time) {
	*p = Pace{newest: pace, mean: mean, at: now, count: 1}
}

// Now returns the expected pace. It approaches the long-term mean with the age of the newest pace, and more slowly the usual
// pace, 1, since the server may have been slow for long and then got no requests. It is 0 if there is none.
func (p *Pace) Now(now time.Time) float64 {
	if p.count == 0 {
		return 0
	}
	age := now.Sub(p.at)
	mean := 1 + float64((p.mean-1)*ewma.Weight(age, meanPaceHalfLife))
	return mean + float64((p.newest-mean)*ewma.Weight(age, paceHalfLife))
}

// Mean returns the long-term mean of the pace, or 0 if there is none.
func (p *Pace) Mean() float64 { return p.mean }
