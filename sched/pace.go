package sched

import "time"

// paceWindow is the span in which starts are counted.
const paceWindow = time.Second

// Pace bounds the requests started in any second. Its zero value bounds nothing.
type Pace struct {
	perSecond int
	until     time.Time
	starts    []time.Time // within the last second, oldest first
}

// Set bounds the starts until a time.
func (p *Pace) Set(perSecond float64, until time.Time) {
	p.perSecond, p.until = max(int(perSecond), 1), until
}

// Start counts a start.
func (p *Pace) Start(now time.Time) {
	p.trim(now)
	p.starts = append(p.starts, now)
}

// Wait returns the time until one more request may start after those already ahead of it. A fresh server is
// overrun by a burst at the start of a second as much as by a high rate, so the starts are also spaced.
func (p *Pace) Wait(now time.Time, ahead int) time.Duration {
	if !now.Before(p.until) || p.perSecond <= 0 {
		return 0
	}
	p.trim(now)
	gap := paceWindow / time.Duration(p.perSecond)
	next := now
	if n := len(p.starts); n > 0 {
		if spaced := p.starts[n-1].Add(gap); spaced.After(next) {
			next = spaced
		}
		if n >= p.perSecond {
			if free := p.starts[n-p.perSecond].Add(paceWindow); free.After(next) {
				next = free
			}
		}
	}
	if next = next.Add(time.Duration(ahead) * gap); next.After(p.until) {
		next = p.until
	}
	return next.Sub(now)
}

// endsBefore reports whether the starts are bounded now and no longer will be at a time.
func (p *Pace) endsBefore(now, at time.Time) bool { return p.endsAfter(now) && p.until.Before(at) }

func (p *Pace) endsAfter(now time.Time) bool { return now.Before(p.until) }

func (p *Pace) trim(now time.Time) {
	i := 0
	for i < len(p.starts) && now.Sub(p.starts[i]) >= paceWindow {
		i++
	}
	p.starts = p.starts[i:]
}
