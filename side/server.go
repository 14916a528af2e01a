package side

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/sched"
)

const (
	// leaveNotice is the time for which a leaving server still gets requests, until other nodes have heard.
	leaveNotice = 500 * time.Millisecond
	// unreachablePause is the time for which nothing is sent to a server that refused a connection.
	unreachablePause = 300 * time.Millisecond
	// doubtFor is the longest time for which a server is doubted: a report comes more often.
	doubtFor = 2 * time.Second
	// confirmEvery is the least time between two questions to a server that is doubted.
	confirmEvery = 300 * time.Millisecond
	// aliveAfter is the time after a broken connection from which an answer to an earlier request shows that the server
	// lives: one that was on its way already came before.
	aliveAfter = 30 * time.Millisecond
	// doubtPace bounds the requests a second to a server that may have restarted, until its next report.
	doubtPace = 10
	// paceMargin is the part of what a cold server may get that is used: others count arrivals, not sends.
	paceMargin = 0.93
)

type (
	// Server is the backend server beside the node, as it reports itself.
	Server struct {
		clock  clockwork.Clock
		queue  *sched.Queue
		spec   func() shunt.ServiceSpec
		notify func(urgent bool) // called when the record has changed
		ask    func()            // asks the server who it is, and calls Confirmed

		mu       sync.Mutex
		service  string
		address  string
		cold     ColdBounds
		report   shunt.ServerReport
		coldTill time.Time
		doubt    time.Time // until when the server may be another than reported
		doubted  time.Time // when it last gave reason for that
		asked    time.Time
		leftAt   time.Time
		ended    map[string]int64 // servers that have left, by identifier: when they were born
	}
)

// ColdBounds say what a server may get while it is cold: so many times its announced rate, and so many requests a
// second beyond that.
type ColdBounds struct{ Overshoot, Slack float64 }

// NewServer returns a server that has not reported yet.
func NewServer(
	c clockwork.Clock, q *sched.Queue, spec func() shunt.ServiceSpec, service, address string,
) *Server {
	q.Close()
	return &Server{
		clock: c, queue: q, spec: spec, service: service, address: address,
		notify: func(bool) {}, ask: func() {}, ended: make(map[string]int64),
	}
}

// Configure changes which server is beside the node, and what it may get while it is cold.
func (s *Server) Configure(service, address string, cold ColdBounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service, s.address, s.cold = service, address, cold
}

// ConfigChanged is called when another configuration is in force, which may say that the server bears more or less.
func (s *Server) ConfigChanged() { s.apply() }

// Current returns the last report, and whether requests may be sent.
func (s *Server) Current() (shunt.ServerReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, s.usable(s.clock.Now())
}

func (s *Server) usable(now time.Time) bool {
	return s.report.ID != "" && (!s.report.Leaving || now.Sub(s.leftAt) < leaveNotice)
}

// Address returns the server's address.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Cold returns the time for which the server remains cold.
func (s *Server) Cold() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.coldTill.Sub(s.clock.Now()), 0)
}

// Heard takes a report of the server.
func (s *Server) Heard(r shunt.ServerReport) error {
	s.mu.Lock()
	if r.Service != s.service || r.Address != s.address {
		s.mu.Unlock()
		return fmt.Errorf("server %s of service %s at %s is not the one beside this node", r.ID, r.Service, r.Address)
	}
	if !s.newer(r) {
		s.mu.Unlock()
		return nil
	}
	changed, urgent := s.accept(r)
	s.mu.Unlock()
	s.apply()
	if changed {
		s.notify(urgent)
	}
	return nil
}

// newer reports whether a report is later than what is known. Reports that were held up on the way may arrive
// after their server was replaced.
func (s *Server) newer(r shunt.ServerReport) bool {
	if born, ok := s.ended[r.ID]; ok && r.Born <= born {
		return false
	}
	if r.Born != s.report.Born {
		return r.Born > s.report.Born
	}
	if r.ID != s.report.ID {
		return s.report.ID == "" || r.Born > 0
	}
	return r.Sequence > s.report.Sequence
}

func (s *Server) accept(r shunt.ServerReport) (changed, urgent bool) {
	now := s.clock.Now()
	old := s.report
	restarted := r.ID != old.ID || r.Born != old.Born
	if r.Leaving && (restarted || !old.Leaving) {
		s.leftAt = now
	}
	wasCold := s.coldTill.After(now)
	s.coldTill = now.Add(r.Cold)
	s.doubt = time.Time{}
	s.report = r
	changed = restarted || r.Leaving != old.Leaving || r.Version != old.Version || r.Slots != old.Slots ||
		r.Cold > 0 && !wasCold
	if changed {
		log.WithFields(log.Fields{
			"server": r.ID, "version": r.Version, "slots": r.Slots, "leaving": r.Leaving, "cold": r.Cold,
			"sequence": r.Sequence, "born": r.Born,
		}).Info("backend server changed")
	}
	return changed, r.Leaving && !old.Leaving
}

// Left takes the word that a server ends. It gets no requests from then on, however late its reports arrive.
func (s *Server) Left(id string, born int64) {
	s.mu.Lock()
	if s.report.ID != id || born != 0 && born < s.report.Born {
		s.ended[id] = born
		s.mu.Unlock()
		return
	}
	s.ended[id] = s.report.Born
	changed := !s.report.Leaving
	if changed {
		s.report.Leaving, s.leftAt = true, s.clock.Now()
	}
	s.mu.Unlock()
	log.WithFields(log.Fields{"server": id, "born": born}).Info("backend server ends")
	s.apply()
	if changed {
		s.notify(true)
	}
}

// Restore takes the server over from this node's last incarnation, once the server itself has confirmed that
// it is the same and well.
func (s *Server) Restore(r shunt.ServerReport) {
	s.mu.Lock()
	if s.report.ID != "" || r.Leaving {
		s.mu.Unlock()
		return
	}
	s.accept(r)
	s.mu.Unlock()
	s.apply()
	s.notify(false)
}

// Doubt is called when the server broke a connection, which may mean that it has restarted: until it has said who it
// is, or reports again, it gets no more than a cold server.
func (s *Server) Doubt() {
	s.mu.Lock()
	now := s.clock.Now()
	s.doubt, s.doubted = now.Add(doubtFor), now
	ask := now.Sub(s.asked) >= confirmEvery
	if ask {
		s.asked = now
	}
	s.mu.Unlock()
	s.apply()
	if ask {
		go s.ask()
	}
}

// Answered is called when the server has answered a request. If that was sent before a connection broke, the server
// has not restarted since: all connections would have ended with it.
func (s *Server) Answered(sent time.Time) {
	s.mu.Lock()
	now := s.clock.Now()
	alive := s.doubt.After(now) && sent.Before(s.doubted) && now.Sub(s.doubted) >= aliveAfter
	if alive {
		s.doubt = time.Time{}
	}
	s.mu.Unlock()
	if alive {
		s.apply()
	}
}

// Confirmed is called when the server has said who it is, and for how long it remains cold.
func (s *Server) Confirmed(id string, cold time.Duration) {
	s.mu.Lock()
	if id == "" || id != s.report.ID {
		s.mu.Unlock()
		return
	}
	s.doubt = time.Time{}
	s.coldTill = s.clock.Now().Add(cold)
	s.mu.Unlock()
	s.apply()
}

// Unreachable is called when the server refused a connection. Nothing was sent.
func (s *Server) Unreachable() {
	s.mu.Lock()
	now := s.clock.Now()
	s.doubt, s.doubted = now.Add(doubtFor), now
	s.mu.Unlock()
	s.queue.Close()
	s.clock.AfterFunc(unreachablePause, s.apply)
}

// Replaced is called when another server answered at the address. Only a report lets requests in again.
func (s *Server) Replaced(id string) {
	s.mu.Lock()
	if s.report.ID == id {
		s.report.ID = ""
	}
	s.mu.Unlock()
	s.apply()
}

// apply hands the state to the queue.
func (s *Server) apply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.usable(now) {
		s.queue.Close()
		return
	}
	s.queue.Open()
	rate := s.spec().ColdRate
	if rate > 0 {
		rate = paceMargin * (rate*max(s.cold.Overshoot, 1) + s.cold.Slack)
	}
	if rate <= 0 {
		rate = doubtPace
	}
	until := s.coldTill
	if s.doubt.After(until) {
		until = s.doubt
	}
	s.queue.SetPace(rate, until)
	s.queue.SetLimit(s.report.Slots)
	if s.report.Leaving {
		s.clock.AfterFunc(leaveNotice-now.Sub(s.leftAt), s.apply)
	}
}
