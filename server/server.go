package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/link"
)

// ErrLeaving means that a leaving server announced itself again without being a new instance.
var ErrLeaving = errors.New("server is leaving")

type (
	// Limits holds the timing and error limits of a Tracker. Zero fields mean the defaults.
	Limits struct {
		Silence  time.Duration // time without heartbeats after which Poll may drop the server, default 15s
		Poll     time.Duration // interval between polls of the health and load endpoints, default 5s
		Refusals int           // consecutive failed connections that make the server not ready, default 3
	}

	// Tracker tracks the state of the node's backend server. Create it with NewTracker.
	Tracker struct {
		limits Limits
		clock  clockwork.Clock
		pool   *link.Pool

		record      atomic.Pointer[Record]
		hints       atomic.Pointer[Hints]
		failedConns atomic.Int32

		mu            sync.Mutex // serializes changes and the calls to onChange
		lastAnnounced time.Time  // time of the last announcement or heartbeat
		onChange      []func(Record)
	}
)

// NewTracker returns a Tracker without a record. It polls the server's endpoints over the pool.
func NewTracker(l Limits, clock clockwork.Clock, pool *link.Pool) *Tracker {
	if l.Silence == 0 {
		l.Silence = 15 * time.Second
	}
	if l.Poll == 0 {
		l.Poll = 5 * time.Second
	}
	if l.Refusals == 0 {
		l.Refusals = 3
	}
	s := &Tracker{limits: l, clock: clock, pool: pool}
	s.record.Store(&Record{})
	s.hints.Store(&Hints{})
	return s
}

// Current returns the current record.
func (s *Tracker) Current() Record {
	return *s.record.Load()
}

// Hints returns the latest result of polling the server's endpoints.
func (s *Tracker) Hints() Hints {
	return *s.hints.Load()
}

// OnChange registers a function that is called with each new record, in order. The function must not change the
// Tracker.
func (s *Tracker) OnChange(f func(Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Announce records an announcement or heartbeat. It returns ErrLeaving for a heartbeat that arrives after the server
// announced that it is leaving.
func (s *Tracker) Announce(announcement Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	record := s.Current()
	same := announcement.sameStart(record.Announcement)
	if same && record.Leaving {
		return ErrLeaving
	}
	s.lastAnnounced = now
	if !same {
		s.failedConns.Store(0)
		s.store(Record{Announcement: announcement, Ready: true, ReadySince: now, Starts: record.Starts + 1})
		return nil
	}
	if record.Announcement != announcement {
		record.Announcement = announcement
		s.store(record)
	}
	return nil
}

// MarkLeaving marks the server as leaving. Requests running on it are allowed to finish.
func (s *Tracker) MarkLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.Current()
	if record.Service == "" || record.Leaving {
		return
	}
	record.Leaving, record.LeavingAt = true, s.clock.Now()
	s.store(record)
}

// RecordResponse records that the server responded to a call, which resets the count of failed connections.
func (s *Tracker) RecordResponse() {
	if s.failedConns.Load() != 0 {
		s.failedConns.Store(0)
	}
}

// RecordConnectFailure records that no connection to the server could be made. After Limits.Refusals failures in a row
// the server is no longer ready.
func (s *Tracker) RecordConnectFailure() {
	if int(s.failedConns.Add(1)) < s.limits.Refusals {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.Current(); record.Ready {
		record.Ready = false
		s.store(record)
	}
}

// Run checks the server every Limits.Poll until the context ends.
func (s *Tracker) Run(ctx context.Context) {
	ticker := s.clock.NewTicker(s.limits.Poll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			s.Poll(ctx)
		}
	}
}

// Poll polls the server's endpoints once. It drops a server without heartbeats that is unreachable or leaving, and
// marks a reachable one as ready again unless it is leaving.
func (s *Tracker) Poll(ctx context.Context) {
	record := s.Current()
	if record.Service == "" {
		return
	}
	hints, reached := s.poll(ctx, record)
	s.hints.Store(&hints)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Current().sameStart(record.Announcement) {
		return
	}
	record = s.Current()
	silent := s.clock.Since(s.lastAnnounced) >= s.limits.Silence
	switch {
	case silent && (!reached || record.Leaving):
		s.failedConns.Store(0)
		s.store(Record{Starts: record.Starts})
	case reached && !record.Ready && !record.Leaving:
		// The server was unreachable and may have restarted, so it counts as cold.
		s.failedConns.Store(0)
		record.Ready, record.ReadySince, record.Starts = true, s.clock.Now(), record.Starts+1
		s.store(record)
	}
}

// store stores a record and calls the functions registered with OnChange. The caller holds mu.
func (s *Tracker) store(record Record) {
	s.record.Store(&record)
	log.WithFields(log.Fields{
		"service": record.Service, "version": record.Version, "address": record.Address, "slots": record.Slots,
		"ready": record.Ready, "leaving": record.Leaving, "starts": record.Starts,
	}).Info("backend server state changed")
	for _, f := range s.onChange {
		f(record)
	}
}
