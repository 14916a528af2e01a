package canary

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// restartEvery is the least time between two start points of the evidence. With restarts a version that turns
// bad after a long good time is found as fast as a new one, at the cost of the start point's weight.
const restartEvery = 30 * time.Second

// odds are the odds ratios over the tolerated one that the mixture weighs equally. The smallest ones find slight
// faults in many requests, the largest ones find a fault that the old version never shows in a few.
var odds = [...]float64{1.5, 2, 3, 5, 10, 30, 100, 1000}

type (
	// process is a mixture e-process: the expected evidence under the null hypothesis is at most 1 at any
	// stopping time, so that by Ville's inequality it exceeds 1/a with probability at most a. It sums over odds
	// ratios and over start points; start point k has weight 1/(k(k+1)).
	process struct {
		logSum  [len(odds)]float64 // log of the weighted products over start points, by odds ratio
		starts  int
		started time.Time
	}

	// window is the logarithm of the likelihood ratios of one window, by odds ratio.
	window [len(odds)]float64
)

// update multiplies one window into the evidence. Limit is the largest factor that one window may contribute:
// capping a likelihood ratio keeps the process valid, and it keeps one burst, such as the crash of a single
// server, from deciding alone.
func (p *process) update(at time.Time, w *window, limit float64) {
	if *w == (window{}) {
		return
	}
	if p.starts == 0 || at.Sub(p.started) >= restartEvery {
		p.start(at)
	}
	for i := range p.logSum {
		p.logSum[i] += min(w[i], math.Log(limit))
	}
}

// log returns the natural logarithm of the evidence against the null hypothesis.
func (p *process) log() float64 {
	if p.starts == 0 {
		return 0
	}
	sum := math.Inf(-1)
	for _, s := range p.logSum {
		sum = logAdd(sum, s-math.Log(float64(len(odds))))
	}
	return logAdd(sum, -math.Log(float64(p.starts+1)))
}

func (p *process) start(at time.Time) {
	p.starts++
	p.started = at
	weight := -math.Log(float64(p.starts) * float64(p.starts+1))
	for i := range p.logSum {
		if p.starts == 1 {
			p.logSum[i] = weight
			continue
		}
		p.logSum[i] = logAdd(p.logSum[i], weight)
	}
}

// conditional adds the likelihood ratios of the new version's part in all events of a window, given the
// requests of both versions. Under the null hypothesis the odds ratio is at most tolerance. The binomial law
// stands in for the hypergeometric, which is less dispersed, so the evidence stays valid.
func (w *window) conditional(oldN, oldX, newN, newX uint64, tolerance float64) {
	if oldX+newX == 0 || oldN == 0 || newN == 0 {
		return
	}
	null := tolerance * float64(newN) / float64(oldN)
	w.add(null, newX, oldX)
}

// absolute adds the likelihood ratios of the new version's events against a fixed rate that a version as good
// as the old one does not exceed.
func (w *window) absolute(rate float64, n, x uint64) {
	if n == 0 {
		return
	}
	w.add(rate/(1-rate), x, n-x)
}

// join multiplies the likelihood ratios of another part of the same window into w.
func (w *window) join(o *window) {
	for i := range w {
		w[i] += o[i]
	}
}

// add adds the likelihood ratios of x events against y others, with the given odds of an event under the null
// hypothesis.
func (w *window) add(null float64, x, y uint64) {
	for i, o := range odds {
		rest := math.Log1p(null) - math.Log1p(o*null)
		w[i] += float64(x)*(math.Log(o)+rest) + float64(y)*rest
	}
}

// upper returns an upper confidence bound, at one in ten thousand, of the rate of x events in n.
func upper(n, x uint64) float64 {
	if x >= n {
		return 1
	}
	return distuv.Beta{Alpha: float64(x) + 1, Beta: float64(n - x)}.Quantile(0.9999)
}

func logAdd(a, b float64) float64 {
	if a < b {
		a, b = b, a
	}
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
