package sched

import "time"

// rateWindow is the sliding window in which starts are counted.
const rateWindow = time.Second

// StartLimiter limits the number of requests started in any second. Its zero value sets no limit.
type StartLimiter struct {
	perSecond int
	until     time.Time
	starts    []time.Time // within the last second, oldest first
}

// SetRate limits the starts until the given time. A fractional rate is rounded down, to at least 1 per second.
func (p *StartLimiter) SetRate(perSecond float64, until time.Time) {
	p.perSecond, p.until = max(int(perSecond), 1), until
}

// Record records the start of a request.
func (p *StartLimiter) Record(now time.Time) {
	p.discardOld(now)
	p.starts = append(p.starts, now)
}

// Wait returns the time until a request with the given number of requests ahead of it may start. Starts are also
// spaced evenly, because a burst at the start of a second overloads a cold server as much as a high rate does.
func (p *StartLimiter) Wait(now time.Time, ahead int) time.Duration {
	if !now.Before(p.until) || p.perSecond <= 0 {
		return 0
	}
	p.discardOld(now)
	interval := rateWindow / time.Duration(p.perSecond)
	next := now
	if n := len(p.starts); n > 0 {
		if spaced := p.starts[n-1].Add(interval); spaced.After(next) {
			next = spaced
		}
		if n >= p.perSecond {
			if free := p.starts[n-p.perSecond].Add(rateWindow); free.After(next) {
				next = free
			}
		}
	}
	if next = next.Add(time.Duration(ahead) * interval); next.After(p.until) {
		next = p.until
	}
	return next.Sub(now)
}

// expiresBefore reports whether a limit is in force now and expires before the given time.
func (p *StartLimiter) expiresBefore(now, at time.Time) bool {
	return p.active(now) && p.until.Before(at)
}

func (p *StartLimiter) active(now time.Time) bool { return now.Before(p.until) }

func (p *StartLimiter) discardOld(now time.Time) {
	i := 0
	for i < len(p.starts) && now.Sub(p.starts[i]) >= rateWindow {
		i++
	}
	p.starts = p.starts[i:]
}
