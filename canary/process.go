package canary

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// minStartInterval is the minimum time between two start points of the evidence. With later start points a version that
// turns bad after a long good period is detected as fast as a version that is bad from the start, at the cost of the
// start point's weight.
const minStartInterval = 30 * time.Second

// oddsRatios are the alternatives of the mixture, equally weighted and relative to the tolerated odds ratio. The
// smallest ones detect slight faults in many requests, the largest ones detect within a few requests a fault that never
// occurs in the old version.
var oddsRatios = [...]float64{1.5, 2, 3, 5, 10, 30, 100, 1000}

type (
	// eProcess is a mixture e-process: under the null hypothesis the expected evidence is at most 1 at any stopping
	// time, so by Ville's inequality it exceeds 1/a with probability at most a. The mixture is over odds ratios and
	// start points; start point k has weight 1/(k(k+1)).
	eProcess struct {
		logTerms    [len(oddsRatios)]float64 // log of the weighted sum over start points, by odds ratio
		startPoints int
		lastStart   time.Time
	}

	// logRatios are the logarithms of the likelihood ratios of one window, by odds ratio.
	logRatios [len(oddsRatios)]float64
)

// update multiplies the evidence by the likelihood ratios of one window, capped at maxFactor. The process
// stays valid under the cap, which prevents a single burst, such as the crash of one server, from deciding the test.
func (p *eProcess) update(at time.Time, w *logRatios, maxFactor float64) {
	if *w == (logRatios{}) {
		return
	}
	if p.startPoints == 0 || at.Sub(p.lastStart) >= minStartInterval {
		p.addStart(at)
	}
	for i := range p.logTerms {
		p.logTerms[i] += min(w[i], math.Log(maxFactor))
	}
}

// logEvidence returns the natural logarithm of the evidence against the null hypothesis.
func (p *eProcess) logEvidence() float64 {
	if p.startPoints == 0 {
		return 0
	}
	sum := math.Inf(-1)
	for _, s := range p.logTerms {
		sum = logAdd(sum, s-math.Log(float64(len(oddsRatios))))
	}
	return logAdd(sum, -math.Log(float64(p.startPoints+1)))
}

func (p *eProcess) addStart(at time.Time) {
	p.startPoints++
	p.lastStart = at
	weight := -math.Log(float64(p.startPoints) * float64(p.startPoints+1))
	for i := range p.logTerms {
		if p.startPoints == 1 {
			p.logTerms[i] = weight
			continue
		}
		p.logTerms[i] = logAdd(p.logTerms[i], weight)
	}
}

// addConditional adds the log likelihood ratios of the new version's share of all events in a window, given the
// requests of both versions. Under the null hypothesis the odds ratio is at most tolerance. The binomial distribution
// replaces the hypergeometric one, which has a smaller variance, so the evidence stays valid.
func (w *logRatios) addConditional(oldN, oldX, newN, newX uint64, tolerance float64) {
	if oldX+newX == 0 || oldN == 0 || newN == 0 {
		return
	}
	nullOdds := tolerance * float64(newN) / float64(oldN)
	w.addEvents(nullOdds, newX, oldX)
}

// addAbsolute adds the log likelihood ratios of the new version's events against a fixed rate that a version as good as
// the old one does not exceed.
func (w *logRatios) addAbsolute(rate float64, n, x uint64) {
	if n == 0 {
		return
	}
	w.addEvents(rate/(1-rate), x, n-x)
}

// join adds the log likelihood ratios of another part of the same window.
func (w *logRatios) join(o *logRatios) {
	for i := range w {
		w[i] += o[i]
	}
}

// addEvents adds the log likelihood ratios of x events and y non-events, with the given odds of an event under the null
// hypothesis.
func (w *logRatios) addEvents(nullOdds float64, x, y uint64) {
	for i, o := range oddsRatios {
		rest := math.Log1p(nullOdds) - math.Log1p(o*nullOdds)
		w[i] += float64(x)*(math.Log(o)+rest) + float64(y)*rest
	}
}

// upperBound returns the upper confidence bound, at an error probability of 1 in 10,000, of the rate of x events in n.
func upperBound(n, x uint64) float64 {
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
