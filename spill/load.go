package spill

import (
	"time"

	"tanagershunt.example/shunt/ewma"
)

const (
	// loadHalfLife is the half-life of load reports in the mean of a domain.
	loadHalfLife = 400 * time.Millisecond
	// missHalfLife is the half-life of an outcome in the share of requests that are late or refused.
	missHalfLife = 700 * time.Millisecond
	// minWeight is the minimum weight of one observation in a mean, so that a burst of them counts.
	minWeight = 0.03
	// busyServer is the load per slot from which a late answer counts as lack of room. Below it, the answer is late for
	// another reason, for example a slow dependency.
	busyServer = 0.85
	// forgetAfter is the age from which a load no longer says anything.
	forgetAfter = 2 * time.Second
	// latencyWindow is the time over which the fastest exchange is kept, twice at most.
	latencyWindow = 5 * time.Second
	// defaultWork is the service time assumed before the first report.
	defaultWork = 100 * time.Millisecond
)

type (
	// load is what the reports and outcomes of requests tell of a domain.
	load struct {
		used    mean // requests per slot
		refused mean // share of requests refused for lack of room
		missed  mean // share of requests that are late or refused for lack of room
		work    time.Duration
		latency fastest
	}

	mean struct{ ewma.Mean }

	// fastest keeps the shortest recent exchange.
	fastest struct {
		current, previous time.Duration
		since             time.Time
	}
)

func (l *load) observe(o Outcome, now time.Time) {
	used := 0.0
	if o.Limit > 0 {
		used = float64(o.Running+o.Queued) / float64(o.Limit)
		l.used.observe(used, loadHalfLife, now)
		if o.Work > 0 {
			if l.work == 0 {
				l.work = o.Work
			}
			l.work += time.Duration(0.1 * float64(o.Work-l.work))
		}
	}
	refused, missed := 0.0, 0.0
	if o.Refused {
		refused = 1
	}
	if o.Refused || o.Late && used >= busyServer {
		missed = 1
	}
	l.refused.observe(refused, missHalfLife, now)
	l.missed.observe(missed, missHalfLife, now)
	if o.Latency > 0 {
		l.latency.observe(o.Latency, now)
	}
}

// refuses reports whether at least a share of the requests is refused, whatever the load. Cold servers refuse requests while
// most of their slots are free.
func (l *load) refuses(share float64, now time.Time) bool {
	refused, known := l.refused.known(now)
	return known && refused >= share
}

// serviceTime returns the mean service time.
func (l *load) serviceTime() time.Duration {
	if l.work > 0 {
		return l.work
	}
	return defaultWork
}

func (m *mean) observe(v float64, halfLife time.Duration, now time.Time) {
	m.Observe(v, minWeight, halfLife, now)
}

// known returns the mean, or false if the newest observation is too old to say anything.
func (m *mean) known(now time.Time) (float64, bool) {
	age, observed := m.Age(now)
	return m.Value(), observed && age < forgetAfter
}

func (f *fastest) observe(d time.Duration, now time.Time) {
	switch age := now.Sub(f.since); {
	case age >= 2*latencyWindow:
		f.current, f.previous, f.since = d, 0, now
	case age >= latencyWindow:
		f.current, f.previous, f.since = d, f.current, now
	default:
		f.current = min(f.current, d)
	}
}

func (f *fastest) get() time.Duration {
	if f.previous > 0 {
		return min(f.current, f.previous)
	}
	return f.current
}
