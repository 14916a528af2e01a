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

// ErrLeaving means that a server that is leaving announced itself again without being a new instance.
var ErrLeaving = errors.New("server is leaving")

type (
	// Limits sets the times of a Server. Zero fields mean the defaults.
	Limits struct {
		Silence  time.Duration // time without heartbeats after which a failing server is dropped, default 15s
		Poll     time.Duration // time between polls of the health and load endpoints, default 5s
		Refusals int           // consecutive refused connections that make the server not ready, default 3
	}

	// Server keeps the record of the node's own backend server. Use New.
	Server struct {
		limits Limits
		clock  clockwork.Clock
		pool   *link.Pool

		current  atomic.Pointer[Record]
		hints    atomic.Pointer[Hints]
		refusals atomic.Int32

		mu        sync.Mutex // serializes changes and their notification
		heard     time.Time  // last announcement
		listeners []func(Record)
	}
)

// New returns a Server without a record. The pool is used to poll the server's endpoints.
func New(l Limits, clock clockwork.Clock, pool *link.Pool) *Server {
	if l.Silence == 0 {
		l.Silence = 15 * time.Second
	}
	if l.Poll == 0 {
		l.Poll = 5 * time.Second
	}
	if l.Refusals == 0 {
		l.Refusals = 3
	}
	s := &Server{limits: l, clock: clock, pool: pool}
	s.current.Store(&Record{})
	s.hints.Store(&Hints{})
	return s
}

// Current returns the record.
func (s *Server) Current() Record {
	return *s.current.Load()
}

// Hints returns what the server's endpoints last said.
func (s *Server) Hints() Hints {
	return *s.hints.Load()
}

// OnChange registers a function that is called with each new record, in order. It must not change the Server.
func (s *Server) OnChange(f func(Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// Announce records an announcement or heartbeat. It returns ErrLeaving for a heartbeat that arrives after
// the server said that it leaves.
func (s *Server) Announce(a Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	r := s.Current()
	same := a.sameServer(r.Announcement)
	if same && r.Leaving {
		return ErrLeaving
	}
	s.heard = now
	if !same {
		s.refusals.Store(0)
		s.set(Record{Announcement: a, Ready: true, ReadySince: now, Starts: r.Starts + 1})
		return nil
	}
	if r.Announcement != a {
		r.Announcement = a
		s.set(r)
	}
	return nil
}

// Leave marks the server as leaving. Requests that run on it are left to finish.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.Current()
	if r.Service == "" || r.Leaving {
		return
	}
	r.Leaving, r.LeavingAt = true, s.clock.Now()
	s.set(r)
}

// Answered notes that the server answered a call.
func (s *Server) Answered() {
	if s.refusals.Load() != 0 {
		s.refusals.Store(0)
	}
}

// Refused notes that no connection to the server could be made.
func (s *Server) Refused() {
	if int(s.refusals.Add(1)) < s.limits.Refusals {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.Current(); r.Ready {
		r.Ready = false
		s.set(r)
	}
}

// Run polls the server and drops it when it is silent and failing, until the context ends.
func (s *Server) Run(ctx context.Context) {
	t := s.clock.NewTicker(s.limits.Poll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			s.Check(ctx)
		}
	}
}

// Check polls the server's endpoints once and acts on the answer.
func (s *Server) Check(ctx context.Context) {
	r := s.Current()
	if r.Service == "" {
		return
	}
	h, reached := s.poll(ctx, r)
	s.hints.Store(&h)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Current().sameServer(r.Announcement) {
		return
	}
	r = s.Current()
	silent := s.clock.Since(s.heard) >= s.limits.Silence
	switch {
	case silent && (!reached || r.Leaving):
		s.refusals.Store(0)
		s.set(Record{Starts: r.Starts})
	case reached && !r.Ready && !r.Leaving:
		// It was unreachable and may have been restarted, so it counts as cold.
		s.refusals.Store(0)
		r.Ready, r.ReadySince, r.Starts = true, s.clock.Now(), r.Starts+1
		s.set(r)
	}
}

// set stores a record and notifies the listeners. The caller holds mu.
func (s *Server) set(r Record) {
	s.current.Store(&r)
	log.WithFields(log.Fields{
		"service": r.Service, "version": r.Version, "address": r.Address, "slots": r.Slots,
		"ready": r.Ready, "leaving": r.Leaving, "starts": r.Starts,
	}).Info("backend server changed")
	for _, f := range s.listeners {
		f(r)
	}
}
