package sched

import "time"

// rateWindow is the sliding window in which requests are counted.
const rateWindow = time.Second

// StartLimiter limits the number of requests sent to a server in any second. A request starts when it gets its slot and
// is sent later, after its body was received and a connection was opened; until then it counts as well. Its zero value
// sets no limit.
type StartLimiter struct {
	perSecond int
	until     time.Time
	lastStart time.Time
	unsent    int         // requests that were started and neither sent nor canceled
	sent      []time.Time // within the last second, oldest first
}

// SetRate limits the requests until the given time. A fractional rate is rounded down, to at least 1 per second.
func (p *StartLimiter) SetRate(perSecond float64, until time.Time) {
	p.perSecond, p.until = max(int(perSecond), 1), until
}

// Start records the start of a request. Either Sent or Cancel must follow.
func (p *StartLimiter) Start(now time.Time) {
	p.lastStart = now
	p.unsent++
}

// Sent records that a request was sent which had been started.
func (p *StartLimiter) Sent(now time.Time) {
	p.unsent--
	p.discardOld(now)
	p.sent = append(p.sent, now)
}

// Cancel records that a request which had been started will not be sent.
func (p *StartLimiter) Cancel() { p.unsent-- }

// Wait returns the time until a request with the given number of requests ahead of it may start. Starts are also
// spaced evenly, because a burst at the start of a second overloads a cold server as much as a high rate does.
func (p *StartLimiter) Wait(now time.Time, ahead int) time.Duration {
	if !now.Before(p.until) || p.perSecond <= 0 {
		return 0
	}
	p.discardOld(now)
	interval := rateWindow / time.Duration(p.perSecond)
	next := now
	if spaced := p.lastStart.Add(interval); spaced.After(next) {
		next = spaced
	}
	if excess := len(p.sent) + p.unsent - p.perSecond; excess >= 0 {
		free := now.Add(interval) // an unsent request may be sent at any time
		if excess < len(p.sent) {
			free = p.sent[excess].Add(rateWindow)
		}
		if free.After(next) {
			next = free
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
	for i < len(p.sent) && now.Sub(p.sent[i]) >= rateWindow {
		i++
	}
	p.sent = p.sent[i:]
}
