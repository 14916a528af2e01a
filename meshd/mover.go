package meshd

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/shift"
)

const (
	// evaluateInterval is how often moves are evaluated.
	evaluateInterval = 200 * time.Millisecond
	// moveCallTimeout is the timeout of the calls between nodes for moves.
	moveCallTimeout = 300 * time.Millisecond
	// decisionDelayPerRank is the additional delay per rank before a node makes a decision that the nodes ranked before
	// it have not made. completeDelayPerRank is that for the completion, which has a deadline.
	decisionDelayPerRank = 400 * time.Millisecond
	completeDelayPerRank = 100 * time.Millisecond
	// maxStoreAttempts bounds the attempts to store a record while other nodes append to its topic.
	maxStoreAttempts = 3
	// haltInterval is the minimum time between two halts of a version that this node finds bad.
	haltInterval = 500 * time.Millisecond
	// tallyRecipients is the number of nodes that receive a tally: those ranked first for the decision.
	tallyRecipients = 3
	// maxRank is the rank above which the decision delay no longer grows and a node does not report to the operator.
	maxRank = 5
)

type (
	// Mover carries out the operator's orders to move services between versions. Every node runs one. Nodes are ranked
	// for each order, and a node acts only when those ranked before it have not.
	Mover struct {
		Clock    clockwork.Clock
		Store    shunt.Store
		Operator shunt.OperatorCodec
		View     *MeshView
		Server   *Server
		Peers    *peer.Pool
		Self     string
		Ready    func() bool // whether the node has read the entries and moves of the mesh
		// Started returns the start of this process as in the node's entry. It may be nil.
		Started func() int64
		// Others returns the number of callers' requests for services other than that of the local backend server, and
		// how many of them no server answered. It may be nil.
		Others func() (requests, unanswered uint64)
		Meter  *Meter

		mu        sync.Mutex
		tally     shift.AnswerCounts
		sentTotal uint64 // total of the tally that was sent last
		sent      uint64 // number of tallies sent

		// The following are used by Run only.
		moves      map[string]*moveEvaluation // by service
		repairedAt map[string]time.Time       // of the last attempt to write the record of a move again, by service
		startedAt  time.Time
	}

	// moveEvaluation is this node's evaluation of a move.
	moveEvaluation struct {
		order         shunt.Position
		evidence      *shift.Evidence
		phase         shift.Phase // the next phase according to the evidence
		phaseSince    time.Time
		reportedPhase shift.Phase    // last phase that this node has reported or need not report
		statusRead    bool           // whether the status topic was read for the report of the trial
		statusEnd     shunt.Position // end of the status topic at that read
		storedPhase   shift.Phase    // last phase that this node has stored
		haltedAt      time.Time      // when this node last halted the new version
		// statusCheckedAt is the restore of the store after which the status topic is known to have the report. With
		// recheck, the topic is read before the next report.
		statusCheckedAt time.Time
		recheck         bool
	}
)

// Run evaluates moves until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	m.moves, m.startedAt = make(map[string]*moveEvaluation), m.Clock.Now()
	ticker := m.Clock.NewTicker(evaluateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		for _, v := range m.View.orderedMoves() {
			m.evaluate(ctx, v)
		}
		m.repairMoves(ctx)
		m.sendTally(ctx)
	}
}

func (m *Mover) evaluate(ctx context.Context, v moveView) {
	eval := m.moves[v.order.Service]
	if eval == nil || eval.order != v.order.Position() {
		// The number of services serves as an estimate of the number of routes, over which the canary test divides its
		// rate of false alarms.
		routes := 1
		if t := m.View.Table(); t != nil {
			routes = len(t.Config().Services) + 1
		}
		eval = &moveEvaluation{
			order:           v.order.Position(),
			evidence:        shift.NewEvidence(routes),
			phaseSince:      v.orderedAt,
			statusCheckedAt: m.View.lastRestore(),
		}
		m.moves[v.order.Service] = eval
	}
	if v.record == nil {
		m.begin(ctx, v, eval)
		return
	}
	m.reportToOperator(ctx, v, eval)
	now := m.Clock.Now()
	if v.record.Phase.Ended() && !v.isWatched(now) {
		return
	}
	eval.evidence.Observe(now, v.record, v.tallies)
	verdict, answers, failures, recent := eval.evidence.Verdict()
	phase, reason := v.record.Next(shift.Observations{
		Elapsed: now.Sub(v.orderedAt), InPhase: now.Sub(v.phaseSince), Within: v.order.Within, Verdict: verdict,
		Answers: answers, Recent: recent, Failures: failures, NewReady: v.registeredServers, Halted: v.halted,
		Failing: eval.evidence.Failing(), OldShare: eval.evidence.OldFailureShare(),
		Worse: eval.evidence.Worse(),
	})
	if phase == v.record.Phase {
		eval.phase = phase
		return
	}
	if phase != eval.phase {
		eval.phase, eval.phaseSince = phase, now
	}
	if phase == shift.RolledBack && m.View.halt(v.order.Service, v.order.Position()) {
		log.WithFields(log.Fields{
			"service": v.order.Service, "version": v.order.Target, "reason": reason, "answers": answers,
			"failures": failures,
		}).Warn("new version halted")
	}
	if now.Sub(eval.phaseSince) < m.decisionDelay(v.order, phase) {
		return
	}
	if phase == shift.RolledBack && now.Sub(eval.haltedAt) >= haltInterval {
		eval.haltedAt = now
		m.sendHalt(ctx, v)
	}
	next := *v.record
	next.Phase, next.Why, next.Elapsed = phase, reason, now.Sub(v.orderedAt).Milliseconds()
	log.WithFields(log.Fields{
		"service": v.order.Service, "version": v.order.Target, "phase": phase, "reason": reason, "answers": answers,
		"failures": failures, "elapsed": now.Sub(v.orderedAt), "within": v.order.Within,
		"evidence": eval.evidence.Text(now),
	}).Info("move decided")
	if m.storeRecord(ctx, v.order.Service, next) {
		eval.storedPhase = phase
		v.record, v.phaseSince = &next, now
		m.reportToOperator(ctx, v, eval)
	}
}

// begin stores the first record of a move.
func (m *Mover) begin(ctx context.Context, v moveView, eval *moveEvaluation) {
	now := m.Clock.Now()
	if now.Sub(eval.phaseSince) < m.decisionDelay(v.order, shift.Trial) || v.currentVersion == "" || !m.Ready() ||
		!m.mayBegin(v) {
		return
	}
	r := shift.Begin(v.order, v.currentVersion, now)
	r.FromClosed, r.Elapsed = v.currentClosed, now.Sub(v.orderedAt).Milliseconds()
	if v.currentVersion == v.order.Target {
		r.Phase, r.Why = shift.Complete, "service has the version already"
	}
	m.storeRecord(ctx, v.order.Service, r)
}

// decisionDelay returns how long this node waits for nodes ranked before it to make a decision.
func (m *Mover) decisionDelay(o shunt.ShiftOrder, phase shift.Phase) time.Duration {
	perRank := decisionDelayPerRank
	if phase == shift.Complete {
		perRank = completeDelayPerRank
	}
	return time.Duration(min(m.rank(o), maxRank)) * perRank
}

// rank returns the position of this node in rankedNodes. It is 0 if the node is not listed.
func (m *Mover) rank(o shunt.ShiftOrder) int {
	return max(slices.Index(m.rankedNodes(o), m.Self), 0)
}

// rankedNodes returns the addresses of all nodes that are reachable and not stopping, in the order in which they decide
// on a move.
func (m *Mover) rankedNodes(o shunt.ShiftOrder) []string {
	weight := func(node string) uint64 {
		return xxhash.Sum64String(node + "/" + o.Service + "/" + o.Target)
	}
	list := slices.Clone(m.View.nodeAddresses())
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
	return list
}

// storeRecord stores the record of a move unless another node did so first, and reports whether it did. It appends r only
// if the topic has not grown since this node read it and r may follow the record that was in it. The first attempt relies
// on what the node has followed, which saves a read while the store is slow.
func (m *Mover) storeRecord(ctx context.Context, service string, r shift.Record) bool {
	data, err := json.Marshal(r)
	if err != nil {
		log.WithError(err).Error("cannot encode move record")
		return false
	}
	for attempt := range maxStoreAttempts {
		var end shunt.Position
		ok := false
		if attempt == 0 {
			end, ok = m.View.followedEnd(service, r)
		}
		if !ok {
			if end, ok = m.readRecord(ctx, service, r); !ok {
				return false
			}
		}
		newEnd, err := m.Store.Append(ctx, topicMesh, end, shunt.KeyedRecord{Key: moveKeyPrefix + service, Value: data})
		if err == nil {
			newEnd.Offset--
			m.View.setMove(service, r, newEnd)
			return true
		}
		if !errors.Is(err, shunt.ErrStoreConflict) {
			log.WithError(err).WithField("service", service).Warn("cannot store move record")
			return false
		}
	}
	log.WithField("service", service).Info("move record not stored: topic grew at each attempt")
	return false
}

// readRecord reads the stored record of a service's move. It returns the end of the topic, and whether r may replace the
// record.
func (m *Mover) readRecord(ctx context.Context, service string, r shift.Record) (end shunt.Position, ok bool) {
	return m.readMove(ctx, service, r.CanReplace)
}

// readMove reads the stored record of a service's move. It returns the end of the topic, and whether there is no record or
// it is accepted.
func (m *Mover) readMove(
	ctx context.Context, service string, accept func(shift.Record) bool,
) (end shunt.Position, ok bool) {
	records, end, err := m.Store.Newest(ctx, topicMesh)
	if err != nil {
		log.WithError(err).WithField("service", service).Warn("cannot read move records")
		return end, false
	}
	for _, k := range records {
		var stored shift.Record
		if k.Key != moveKeyPrefix+service || json.Unmarshal(k.Value, &stored) != nil {
			continue
		}
		m.View.setMove(service, stored, k.Position())
		if !accept(m.View.identified(service, stored)) {
			return end, false
		}
	}
	return end, true
}

// reportToOperator reports the state of a move to the operator. The switch is reported as part of the trial. The node
// ranked first and the one that stored the end of the move report at once; the next ones up to maxRank report only the
// end of the move, if that report is missing.
func (m *Mover) reportToOperator(ctx context.Context, v moveView, eval *moveEvaluation) {
	phase := v.record.Phase
	switch phase {
	case shift.Switch:
		phase = shift.Trial
	case shift.Closed:
		phase = shift.Complete
	case shift.Trial, shift.Complete, shift.RolledBack:
	}
	m.checkStatus(eval, min(m.rank(v.order), maxRank))
	stored := eval.storedPhase == phase
	wait := m.decisionDelay(v.order, phase)
	if eval.reportedPhase == phase || !stored && (m.Clock.Since(v.phaseSince) < wait || m.rank(v.order) > maxRank) {
		return
	}
	first := m.rank(v.order) == 0
	if phase == shift.Trial && !first {
		eval.reportedPhase = phase
		return
	}
	state := shunt.ShiftRunning
	switch phase {
	case shift.Complete:
		state = shunt.ShiftComplete
	case shift.RolledBack:
		state = shunt.ShiftRolledBack
	case shift.Trial, shift.Switch, shift.Closed:
	}
	k, err := m.Operator.StatusRecord(v.order.Service, v.order.Target, state)
	if err != nil {
		log.WithError(err).Error("cannot encode move status record")
		return
	}
	// After a restore, the topic may have the end of an earlier move to the version.
	var exact *shunt.KeyedRecord
	if eval.recheck && phase != shift.Trial {
		exact = &k
	}
	at := shunt.AnyPosition
	if phase == shift.Trial || !first && !stored || eval.recheck {
		reportedAt, end, err := m.endReported(ctx, v, exact)
		if err != nil {
			log.WithError(err).Warn("cannot read move status records")
			return
		}
		if phase == shift.Trial || eval.recheck {
			at = end
		}
		if phase == shift.Trial {
			// A write that the store does late must not follow the report of the end. A report from before the first
			// read is that of an earlier move to the version.
			if !eval.statusRead {
				eval.statusRead, eval.statusEnd = true, end
			}
		}
		if reportedAt.Compare(eval.statusEnd) >= 0 {
			eval.reportedPhase, eval.recheck = phase, false
			return
		}
	}
	if _, err := m.Store.Append(ctx, m.Operator.StatusTopic(), at, k); err != nil {
		log.WithError(err).WithField("service", v.order.Service).Warn("cannot store move status record")
		return
	}
	if eval.recheck {
		m.Meter.increment(`side_store_rewrites_total{record="status"}`)
	}
	eval.reportedPhase, eval.recheck = phase, false
	log.WithFields(log.Fields{"service": v.order.Service, "phase": phase}).Info("move status reported to operator")
}

// endReported returns the position at which the end of a move to the version was reported to the operator, or one with
// offset -1, and where the topic ends. If exact is not nil, only that report counts.
func (m *Mover) endReported(
	ctx context.Context, v moveView, exact *shunt.KeyedRecord,
) (reportedAt, end shunt.Position, err error) {
	records, end, err := m.Store.Newest(ctx, m.Operator.StatusTopic())
	if err != nil {
		return reportedAt, end, err
	}
	i := slices.IndexFunc(records, func(k shunt.KeyedRecord) bool {
		if exact != nil {
			return k.Key == exact.Key && bytes.Equal(k.Value, exact.Value)
		}
		return m.Operator.IsFinalStatus(k, v.order.Service, v.order.Target)
	})
	if i < 0 {
		return shunt.Position{Offset: -1}, end, nil
	}
	return records[i].Position(), end, nil
}
