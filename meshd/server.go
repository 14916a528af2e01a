package meshd

import (
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/place"
	"tanagershunt.example/shunt/sched"
)

const (
	// leavingGrace is how long a leaving server still gets requests, until other nodes have received its new state.
	leavingGrace = 500 * time.Millisecond
	// unreachablePause is the time after a refused connection at which the queue reopens if the server is still usable.
	// An earlier call of updateQueue, such as after a report, an identity check or a new configuration, reopens it
	// sooner.
	unreachablePause = 300 * time.Millisecond
	// unverifiedTimeout is the longest time for which a server counts as unverified. The server reports more often than
	// that.
	unverifiedTimeout = 2 * time.Second
	// confirmInterval is the minimum time between two identity checks of an unverified server.
	confirmInterval = 300 * time.Millisecond
	// aliveMargin is the time after a broken connection from which a response to an earlier request shows that the
	// server is alive. A response that was already in transit arrives before that.
	aliveMargin = 30 * time.Millisecond
	// defaultColdRate is the rate, in requests per second, of a cold or unverified server while no configuration of its
	// service is known.
	defaultColdRate = 10
	// clockStepMargin is how far the clock may step back between the end of a server and the start of the next one, if the
	// server did not tell its start time when it deregistered.
	clockStepMargin = 5 * time.Second
	// maxReportDelay is how late a report of a server may arrive.
	maxReportDelay = 10 * time.Second
	// usedColdRateShare is the share of a cold server's allowed rate that is used. The rest allows for jitter: the
	// rate is measured when requests arrive at the server, while the node limits it when it sends them.
	usedColdRateShare = 0.93
)

type (
	// Server is the state of the local backend server, as reported by the server.
	Server struct {
		clock clockwork.Clock
		queue *sched.Queue
		spec  func() (spec shunt.ServiceSpec, known bool)
		// notify is called after a report, deregistration or restore that changes the published entry; a new sequence
		// or remaining cold time alone does not count. Urgent is set if the server has begun to leave.
		notify  func(urgent bool)
		confirm func() // checks the identity of the server, and calls ConfirmIdentity

		mu               sync.Mutex
		service          string
		address          string
		cold             ColdBounds
		report           shunt.ServerReport // the latest one
		unconfirmed      bool               // the report is that of an earlier process, see Recall
		replaced         bool               // another server has responded at the address since the report
		coldUntil        time.Time
		unverifiedUntil  time.Time // until when the server may be another than reported
		connectionLostAt time.Time // time of the last connection failure
		confirmSentAt    time.Time
		leavingSince     time.Time
		pace             place.Pace
		departed         map[string]departure // by identifier
		// unseen is the last server that has deregistered before any report of it arrived.
		unseen departedServer
	}

	// departure is what is known of the servers that have deregistered under an identifier.
	departure struct {
		born int64 // latest start time that is known of them
		// undatedAt is when a deregistration without a start time arrived, in milliseconds since the epoch, 0 if none did.
		undatedAt    int64
		undatedUntil time.Time // until when reports of servers that had started by then are ignored
	}

	// departedServer names a server that has deregistered.
	departedServer struct {
		id   string
		born int64
	}
)

// ColdBounds limit the rate at a cold server: Overshoot is a factor of its announced rate, and Slack the requests per
// second allowed in addition.
type ColdBounds struct{ Overshoot, Slack float64 }

// NewServer returns the state of a server that has not reported yet.
func NewServer(
	c clockwork.Clock, q *sched.Queue, spec func() (spec shunt.ServiceSpec, known bool), service, address string,
) *Server {
	q.Close()
	return &Server{
		clock: c, queue: q, spec: spec, service: service, address: address,
		notify: func(bool) {}, confirm: func() {}, departed: make(map[string]departure),
	}
}

// Configure sets the service and address of the local backend server, and the bounds that apply while it is cold.
func (s *Server) Configure(service, address string, cold ColdBounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service, s.address, s.cold = service, address, cold
}

// ApplyConfig is called when a new configuration is in force, which may change the cold rate of the server.
func (s *Server) ApplyConfig() { s.updateQueue() }

// Current returns the last report, and whether requests may be sent. The report has no identifier while the server is not
// known to be there.
func (s *Server) Current() (shunt.ServerReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	if s.unconfirmed || s.replaced {
		r.ID = ""
	}
	return r, s.isUsable(s.clock.Now())
}

func (s *Server) isUsable(now time.Time) bool {
	return s.report.ID != "" && !s.unconfirmed && !s.replaced &&
		(!s.report.Leaving || now.Sub(s.leavingSince) < leavingGrace)
}

// Published returns the state of the server that is published, and whether it has deregistered. An earlier process of the
// node may have stored it: what is known of a server that is not there orders its delayed reports. The start time is that
// of the last server that has deregistered under the identifier, if that is later.
func (s *Server) Published() (r shunt.ServerReport, departed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r = s.report
	r.Leaving = r.Leaving || s.replaced
	departed = r.ID != "" && s.hasDeparted(r)
	if departed {
		r.Born = max(r.Born, s.departed[r.ID].born)
	}
	return r, departed
}

// publishedUnseen returns the last server that has deregistered before any report of it arrived, unless reports of it are
// older than that of the current server and ignored for that.
func (s *Server) publishedUnseen() departedServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unseen.id == s.report.ID || s.unseen.born < s.report.Born {
		return departedServer{}
	}
	return s.unseen
}

// Address returns the address of the server.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// ColdRemaining returns the time for which the server remains cold.
func (s *Server) ColdRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.coldUntil.Sub(s.clock.Now()), 0)
}

// HandleReport handles a report of the server.
func (s *Server) HandleReport(r shunt.ServerReport) error {
	s.mu.Lock()
	if r.Service != s.service || r.Address != s.address {
		s.mu.Unlock()
		return fmt.Errorf("server %s of service %s at %s is not the one beside this node", r.ID, r.Service, r.Address)
	}
	if !s.isNewer(r) {
		fields := log.Fields{
			"server": r.ID, "born": r.Born, "sequence": r.Sequence, "leaving": r.Leaving, "departed": s.hasDeparted(r),
			"known_server": s.report.ID, "known_born": s.report.Born, "known_sequence": s.report.Sequence,
		}
		s.mu.Unlock()
		log.WithFields(fields).Info("delayed report of a backend server ignored")
		return nil
	}
	changed, urgent := s.acceptReport(r)
	s.mu.Unlock()
	s.updateQueue()
	if changed {
		s.notify(urgent)
	}
	return nil
}

// isNewer reports whether a report is later than the current state. Delayed reports may arrive after their server was
// replaced or deregistered.
func (s *Server) isNewer(r shunt.ServerReport) bool { return !s.hasDeparted(r) && s.isLater(r) }

// hasDeparted reports whether the server of a report has deregistered.
func (s *Server) hasDeparted(r shunt.ServerReport) bool {
	d, ok := s.departed[r.ID]
	return ok && d.includes(r.Born, s.clock.Now())
}

// includes reports whether the departure is that of a server with the given start time or of a later one. Without a start
// time it may be that of any server that had started by then. Since the clock may have stepped, the doubtful ones are
// excluded only for as long as their reports may be delayed: a server that runs goes on reporting.
func (d departure) includes(born int64, now time.Time) bool {
	return born <= d.born || born <= d.undatedAt-clockStepMargin.Milliseconds() ||
		born <= d.undatedAt && now.Before(d.undatedUntil)
}

// markDeparted records that the server with the given start time has deregistered. Deregistrations may be reordered, so an
// earlier one does not replace a later one. The caller must hold the lock.
func (s *Server) markDeparted(id string, born int64) {
	d := s.departed[id]
	d.born = max(d.born, born)
	s.departed[id] = d
}

// isLater reports whether a report was made after the last one. Reports of the same server are ordered by sequence, and
// those of different servers by start time. If the start times are equal, another identifier is accepted, but not if both
// are unknown (0) and a server is already present.
func (s *Server) isLater(r shunt.ServerReport) bool {
	if r.Born != s.report.Born {
		return r.Born > s.report.Born
	}
	if r.ID != s.report.ID {
		return s.report.ID == "" || s.unconfirmed || s.replaced || r.Born > 0
	}
	return r.Sequence > s.report.Sequence
}

// acceptReport applies a report. It returns whether the node's entry has changed, and whether the change is urgent
// because the server has begun to leave.
func (s *Server) acceptReport(r shunt.ServerReport) (changed, urgent bool) {
	now := s.clock.Now()
	old := s.report
	restarted := r.ID != old.ID || r.Born != old.Born || s.unconfirmed || s.replaced
	if r.Leaving && (restarted || !old.Leaving) {
		s.leavingSince = now
	}
	wasCold := s.coldUntil.After(now)
	s.coldUntil = now.Add(r.Cold)
	s.unverifiedUntil = time.Time{}
	s.report, s.unconfirmed, s.replaced = r, false, false
	if restarted {
		s.pace = place.Pace{}
	}
	changed = restarted || r.Leaving != old.Leaving || r.Version != old.Version || r.Slots != old.Slots ||
		r.Cold > 0 && !wasCold
	if changed {
		log.WithFields(log.Fields{
			"server": r.ID, "version": r.Version, "slots": r.Slots, "leaving": r.Leaving, "cold": r.Cold,
			"sequence": r.Sequence, "born": r.Born,
		}).Info("backend server state changed")
	}
	return changed, r.Leaving && (restarted || !old.Leaving)
}

// HandleDeregistration handles the deregistration of a server. The server still gets requests until it has been
// leaving for leavingGrace. Delayed reports of it are ignored, also if it started after the last one that arrived.
func (s *Server) HandleDeregistration(id string, born int64) {
	s.mu.Lock()
	now := s.clock.Now()
	s.markDeparted(id, born)
	if born == 0 {
		d := s.departed[id]
		d.undatedAt, d.undatedUntil = now.UnixMilli(), now.Add(maxReportDelay)
		s.departed[id] = d
	}
	fields := log.Fields{"server": id, "born": born, "known_server": s.report.ID, "known_born": s.report.Born}
	current := s.report.ID == id && (born == 0 || born >= s.report.Born)
	var changed bool
	switch {
	case current:
		s.markDeparted(id, s.report.Born)
		changed = !s.report.Leaving || born > s.report.Born
		if !s.report.Leaving {
			s.report.Leaving, s.leavingSince = true, now
		}
	case s.report.ID != id && born > max(s.report.Born, s.unseen.born):
		s.unseen = departedServer{id, born}
		changed = true
	}
	s.mu.Unlock()
	fields["current"] = current
	log.WithFields(fields).Info("backend server deregistered")
	s.updateQueue()
	if changed {
		s.notify(true)
	}
}

// recallEntry takes over what the node knew of its server before it restarted, from its stored entry.
func (s *Server) recallEntry(e nodeEntry) {
	if e.Unseen != "" {
		s.mu.Lock()
		s.markDeparted(e.Unseen, e.UnseenBorn)
		if e.UnseenBorn > s.unseen.born {
			s.unseen = departedServer{e.Unseen, e.UnseenBorn}
		}
		s.mu.Unlock()
	}
	s.Recall(e.serverReport(), e.Departed)
}

// Recall takes over what the node knew of its server before it restarted, from its stored entry: delayed reports that the
// earlier process would have ignored are ignored as well, above all those of a server that has deregistered. The server
// gets no requests before it reports or Restore is called. A report that was accepted in the meantime stays if it is later.
func (s *Server) Recall(r shunt.ServerReport, departed bool) {
	s.mu.Lock()
	if r.ID == "" || r.Service != s.service {
		s.mu.Unlock()
		return
	}
	deregistered := !r.Leaving && s.hasDeparted(r)
	if departed || deregistered {
		s.markDeparted(r.ID, r.Born)
	}
	r.Address, r.Leaving = s.address, r.Leaving || deregistered
	accepted, unconfirmed, replaced := s.report, s.unconfirmed, s.replaced
	s.report, s.unconfirmed, s.replaced = r, true, false
	sameServer := accepted.ID == r.ID && accepted.Born == r.Born
	recalled := accepted.ID == "" || !s.isLater(accepted) || sameServer && s.hasDeparted(r) ||
		!accepted.Leaving && s.hasDeparted(accepted)
	if !recalled {
		s.report, s.unconfirmed, s.replaced = accepted, unconfirmed, replaced
	}
	s.mu.Unlock()
	log.WithFields(log.Fields{
		"server": r.ID, "version": r.Version, "leaving": r.Leaving, "departed": departed, "sequence": r.Sequence,
		"born": r.Born, "recalled": recalled,
	}).Info("backend server recalled from stored entry")
	s.updateQueue()
	if recalled && deregistered {
		s.notify(false)
	}
}

// Restore takes over the server that was known before the node restarted, once the server itself has confirmed that it
// is the same and healthy.
func (s *Server) Restore(r shunt.ServerReport) {
	s.mu.Lock()
	if !s.mayRestore(r) {
		s.mu.Unlock()
		return
	}
	s.acceptReport(r)
	s.mu.Unlock()
	s.updateQueue()
	s.notify(false)
}

func (s *Server) mayRestore(r shunt.ServerReport) bool {
	switch {
	case r.Leaving || s.hasDeparted(r):
		return false
	case s.report.ID == "":
		return true
	}
	return s.unconfirmed && !s.report.Leaving && r.ID == s.report.ID && r.Born == s.report.Born
}

// MarkUnverified is called when the server broke a connection, which may mean that it has restarted. Its
// request rate is limited like that of a cold server for unverifiedTimeout, or until it confirms its identity, reports,
// or responds to a request sent before the failure.
func (s *Server) MarkUnverified() {
	s.mu.Lock()
	now := s.clock.Now()
	s.unverifiedUntil, s.connectionLostAt = now.Add(unverifiedTimeout), now
	confirm := now.Sub(s.confirmSentAt) >= confirmInterval
	if confirm {
		s.confirmSentAt = now
	}
	s.mu.Unlock()
	s.updateQueue()
	if confirm {
		go s.confirm()
	}
}

// RecordResponse is called when the server has responded to a request. If the request was sent before a connection
// broke, the server has not restarted since: a restart would have closed all connections.
func (s *Server) RecordResponse(sent time.Time) {
	s.mu.Lock()
	now := s.clock.Now()
	alive := s.unverifiedUntil.After(now) && sent.Before(s.connectionLostAt) &&
		now.Sub(s.connectionLostAt) >= aliveMargin
	if alive {
		s.unverifiedUntil = time.Time{}
	}
	s.mu.Unlock()
	if alive {
		s.updateQueue()
	}
}

// ConfirmIdentity is called with the identifier that the server returned in an identity check, and the time for which
// it remains cold.
func (s *Server) ConfirmIdentity(id string, cold time.Duration) {
	s.mu.Lock()
	if id == "" || id != s.report.ID || s.unconfirmed || s.replaced {
		s.mu.Unlock()
		return
	}
	s.unverifiedUntil = time.Time{}
	s.coldUntil = s.clock.Now().Add(cold)
	s.mu.Unlock()
	s.updateQueue()
}

// MarkUnreachable is called when the server refused a connection. Nothing was sent.
func (s *Server) MarkUnreachable() {
	s.mu.Lock()
	now := s.clock.Now()
	s.unverifiedUntil, s.connectionLostAt = now.Add(unverifiedTimeout), now
	s.mu.Unlock()
	s.queue.Close()
	s.clock.AfterFunc(unreachablePause, s.updateQueue)
}

// MarkReplaced is called when another server responded at the address. Requests are sent again only after a new report.
func (s *Server) MarkReplaced(id string) {
	s.mu.Lock()
	if s.report.ID == id {
		s.replaced = true
	}
	s.mu.Unlock()
	s.updateQueue()
}

// startLimit returns the limit on requests started per second, and until when it applies. A server of a service whose
// configuration has no cold rate is slow while it is cold, but does not fail: its slots alone limit it. The caller must
// hold the lock.
func (s *Server) startLimit(now time.Time) (perSecond float64, until time.Time) {
	until = s.coldUntil
	if s.unverifiedUntil.After(until) {
		until = s.unverifiedUntil
	}
	spec, known := s.spec()
	switch {
	case spec.ColdRate > 0:
		return usedColdRateShare * (spec.ColdRate*max(s.cold.Overshoot, 1) + s.cold.Slack), until
	case known:
		return 0, now
	default:
		return defaultColdRate, until
	}
}

// ObservePace records the pace that the server told in a response.
func (s *Server) ObservePace(pace float64) {
	if pace == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.Observe(pace, s.clock.Now())
}

// Pace returns the expected pace of the server and its long-term mean, both 0 if the server tells none.
func (s *Server) Pace() (pace, mean float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.Now(s.clock.Now()), s.pace.Mean()
}

// updateQueue applies the state of the server to the queue.
func (s *Server) updateQueue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if !s.isUsable(now) {
		s.queue.Close()
		return
	}
	s.queue.Open()
	s.queue.SetStartRate(s.startLimit(now))
	s.queue.SetLimit(s.report.Slots)
	if s.report.Leaving {
		s.clock.AfterFunc(leavingGrace-now.Sub(s.leavingSince), s.updateQueue)
	}
}
