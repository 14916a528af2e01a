package duty

import (
	"sync"
	"time"
)

const (
	// renewSlack is how long after the usual interval of records the holder renews on its own. It exceeds the variation
	// of that interval while all nodes respond.
	renewSlack = 500 * time.Millisecond
	// takeoverMargin is the time that a candidate waits beyond the longest interval between two renewals. It covers a
	// slow append (up to 0.9 s) and the way of the record to the candidate.
	takeoverMargin = time.Second
	// delayPerRank is the additional time for each candidate ranked before this one.
	delayPerRank = 400 * time.Millisecond
	// MinCallTime is the part of the lease that must be left for a call to begin.
	MinCallTime = time.Second
	// retryInterval is the minimum time between two appends of this node that did not succeed.
	retryInterval = 400 * time.Millisecond
	// abstainFor is the time for which a node that has released the duty does not take it again. It leaves several other
	// candidates time to take over, and a mesh of two nodes is not without a holder for long after an outage.
	abstainFor = 10 * time.Second
	// keptAttempts is the number of appends whose records may still be read from the store after a lost reply.
	keptAttempts = 8
	// maxStepBits bounds the increase of the token after repeated rejections.
	maxStepBits = 24
)

// Kinds of appends.
const (
	None Action = iota
	TakeOver
	Renew
	Release
)

type (
	// Action is what a node appends to the store for a duty.
	Action uint8

	// Rules are the times of a duty.
	Rules struct {
		Lease time.Duration
		// Interval is the usual interval between two records of a holder.
		Interval time.Duration
		// UnderWay is the time for which a call may still be under way after the lease of the node that made it. It is 0
		// if the receiver rejects calls with a lower token than it has seen.
		UnderWay time.Duration
	}

	// Instant is a point in time by two clocks that never step. Boot also counts the time for which the machine was
	// suspended.
	Instant struct{ Steady, Boot time.Duration }

	// attempt is an append that was sent.
	attempt struct {
		record Record
		sent   Instant
	}

	// Seat is a node's knowledge of a duty. It is safe for concurrent use.
	Seat struct {
		self  Instance
		rules Rules

		mu          sync.Mutex
		known       Record // the highest record that was read or stored
		knownSince  Instant
		read        bool // the topic was read
		era         int64
		renewed     Instant   // before the last successful append of this process was sent
		holding     bool      // known is of this process, and not released
		attempts    []attempt // the last appends that were sent, the latest last
		spent       Token     // highest token that was rejected
		rejections  int       // in a row
		releasing   bool
		abstains    bool
		abstainTill time.Duration // by the steady clock
	}
)

func (a Action) String() string {
	return [...]string{"none", "take over", "renew", "release"}[a]
}

// since returns the time since an earlier instant by the clock that shows more.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Steady-earlier.Steady, i.Boot-earlier.Boot)
}

// RenewAfter returns the time after which the holder renews if there is no other reason for a record.
func (r Rules) RenewAfter() time.Duration { return r.Interval + renewSlack }

// TakeOverAfter returns the time without a record after which the first candidate takes over.
func (r Rules) TakeOverAfter(released bool) time.Duration {
	wait := r.Lease
	if !released {
		wait = max(wait, r.RenewAfter())
	}
	return wait + takeoverMargin + r.UnderWay
}

// NewSeat returns the seat of a process that has read nothing yet.
func NewSeat(self Instance, r Rules) *Seat { return &Seat{self: self, rules: r} }

// TopicRead records that the topic was read as a whole, in the given era of the store (0 if unknown). From then on a missing
// record means that nobody holds the duty.
func (s *Seat) TopicRead(era int64, now Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.read {
		s.read, s.knownSince = true, now
	}
	s.setEra(era, now)
}

// setEra records the era of the store. In a new era the holder needs a new token. Unless nobody can have followed it, the
// lost records may have been of another holder, and it becomes a candidate. The caller must hold the lock.
func (s *Seat) setEra(era int64, now Instant) {
	if era <= s.era {
		return
	}
	s.era = era
	if !s.certainlyHeld(now) {
		s.holding, s.knownSince = false, now
	}
}

// CertainlyHeld reports whether this process is the holder and nobody can have taken over since its last renewal. It then
// knows each record of the duty, also after the store was restored.
func (s *Seat) CertainlyHeld(now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.certainlyHeld(now)
}

func (s *Seat) certainlyHeld(now Instant) bool {
	return s.holding && now.since(s.renewed) < s.rules.TakeOverAfter(false)
}

// Observe records a record that was read from the store, and reports whether it is higher than those known.
func (s *Seat) Observe(r Record, now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Compare(s.known) <= 0 {
		return false
	}
	s.known, s.knownSince = r, now
	s.holding = r.Instance == s.self && !r.Released
	if !s.holding {
		s.releasing = false
		return true
	}
	// The record counts from before it was sent, not from when it was read.
	for _, a := range s.attempts {
		if a.record == r {
			s.renewed = a.sent
		}
	}
	return true
}

// Next returns what this node should append to the store now, and the record without the job numbers. Rank is the node's
// rank among the candidates. With wantCall the holder renews early enough to make a call.
func (s *Seat) Next(now Instant, rank int, wantCall bool) (Action, Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.read:
		return None, Record{}
	case s.failedSince(now) < retryInterval:
		return None, Record{}
	case s.holding:
		return s.nextOfHolder(now, wantCall)
	case s.releasing || s.abstains && now.Steady < s.abstainTill:
		return None, Record{}
	}
	wait := s.rules.TakeOverAfter(s.known.Released) + time.Duration(rank)*delayPerRank
	// The machine's suspended time does not count: other nodes may have been suspended as well.
	if now.Steady-s.knownSince.Steady < wait {
		return None, Record{}
	}
	s.rejections = 0
	return TakeOver, s.newToken(1)
}

// failedSince returns the time since the last append was sent if it has not succeeded. The caller must hold the lock.
func (s *Seat) failedSince(now Instant) time.Duration {
	if n := len(s.attempts); n > 0 && s.attempts[n-1].record.Compare(s.known) > 0 {
		return now.since(s.attempts[n-1].sent)
	}
	return retryInterval
}

// nextOfHolder returns what the holder should append. The caller must hold the lock.
func (s *Seat) nextOfHolder(now Instant, wantCall bool) (Action, Record) {
	renewal := s.numbered(s.known)
	left := s.rules.Lease - now.since(s.renewed)
	switch {
	case s.releasing:
		renewal.Released = true
		return Release, renewal
	case s.known.Token <= s.spent:
		return TakeOver, s.newToken(1 << min(s.rejections-1, maxStepBits))
	case s.known.Token.Era() < s.era:
		return TakeOver, s.newToken(1)
	case now.since(s.renewed) >= s.rules.RenewAfter(), wantCall && left < MinCallTime:
		return Renew, renewal
	}
	return None, Record{}
}

// newToken returns the first record of this process with a token of its own. The caller must hold the lock.
func (s *Seat) newToken(step Token) Record {
	return s.numbered(Record{
		Instance: s.self, Token: max(s.known.Token, s.spent).next(s.era, step),
		Settled: s.known.Settled, Accepted: s.known.Accepted,
	})
}

// numbered returns the record with a term higher than that of each earlier one with its token, sent or stored, so that a
// record that is read identifies its append. The caller must hold the lock.
func (s *Seat) numbered(r Record) Record {
	for _, a := range s.attempts {
		if a.record.Token == r.Token {
			r.Term = max(r.Term, a.record.Term)
		}
	}
	r.Term++
	return r
}

// Renewal returns the next record of the holder, for an append with a settled job. It reports false if this process may
// not write one.
func (s *Seat) Renewal() (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numbered(s.known),
		s.holding && !s.releasing && s.known.Token > s.spent && s.known.Token.Era() >= s.era
}

// Sending records that an append with the record is about to be sent. If it succeeds, the record is to be given to Observe,
// like one that is read from the store.
func (s *Seat) Sending(r Record, now Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt{r, now})
	s.attempts = s.attempts[max(0, len(s.attempts)-keptAttempts):]
}

// MayCall returns the token for a call and the time left for it. It reports false if this node is not the holder, if too
// little of its lease is left, or if the token was rejected.
func (s *Seat) MayCall(now Instant) (Token, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.rules.Lease - now.since(s.renewed)
	ok := s.holding && !s.releasing && left >= MinCallTime && s.known.Token > s.spent && s.known.Token.Era() >= s.era
	return s.known.Token, left, ok
}

// StillHeld reports whether a call with the token may be written now. It is asked again when the connection is open.
func (s *Seat) StillHeld(t Token, now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding && s.known.Token == t && t > s.spent && t.Era() >= s.era && now.since(s.renewed) < s.rules.Lease
}

// Rejected records that a token was rejected because a higher one was seen.
func (s *Seat) Rejected(t Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t > s.spent {
		s.spent = t
		s.rejections++
	}
}

// Accepted records that a call was accepted.
func (s *Seat) Accepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejections = 0
}

// Release makes the holder give up the duty with its next append, and not take it again for abstainFor, or for good if the
// node stops.
func (s *Seat) Release(now Instant, stopping bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasing = s.holding || stopping
	s.abstains, s.abstainTill = true, now.Steady+abstainFor
	if stopping {
		s.abstainTill = 1<<63 - 1
	}
}

// Known returns the highest known record, when it was read, and whether this process holds the duty.
func (s *Seat) Known() (r Record, since Instant, holding bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known, s.knownSince, s.holding
}
