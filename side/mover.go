package side

import (
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
	// moveTick is how often moves are judged.
	moveTick = 200 * time.Millisecond
	// tallyEvery is how often a node tells what its server answered during a move.
	tallyEvery = 300 * time.Millisecond
	// rankDelay is the time by which each further node waits longer to do what an earlier one should have done.
	rankDelay = 400 * time.Millisecond
	// tallyCopies is the number of nodes that are told of a tally: those that decide first.
	tallyCopies = 3
	// maxRank bounds the nodes that step in.
	maxRank = 5
)

type (
	// Mover carries out the operator's orders to move services between versions. All nodes run it; for each
	// order they are ranked, and a later one acts only when the earlier ones have not.
	Mover struct {
		Clock    clockwork.Clock
		Store    shunt.Store
		Operator shunt.Operator
		World    *World
		Server   *Server
		Peers    *peer.Pool
		Self     string
		Ready    func() bool // whether the node knows what the others have told

		mu    sync.Mutex
		tally shift.Tally
		told  uint64 // answers in the tally that was stored last
		at    time.Time

		moves map[string]*judged // by service; only Run uses it
	}

	// judged is a move as this node judges it.
	judged struct {
		order    int64
		evidence *shift.Evidence
		phase    shift.Phase // that the facts call for
		since    time.Time
		answered shift.Phase // the operator has been told of
	}
)

// Run judges moves until ctx ends.
func (m *Mover) Run(ctx context.Context) {
	m.moves = make(map[string]*judged)
	ticker := m.Clock.NewTicker(moveTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
		for _, v := range m.World.openMoves() {
			m.judge(ctx, v)
		}
		m.pushTally(ctx)
	}
}

func (m *Mover) judge(ctx context.Context, v moveView) {
	j := m.moves[v.order.Service]
	if j == nil || j.order != v.order.Offset {
		spec := 1
		if t := m.World.Table(); t != nil {
			spec = len(t.Config().Services) + 1
		}
		j = &judged{order: v.order.Offset, evidence: shift.NewEvidence(spec), since: v.heard}
		m.moves[v.order.Service] = j
	}
	if v.record == nil {
		m.begin(ctx, v, j)
		return
	}
	m.answer(ctx, v, j)
	if v.record.Phase.Ended() {
		return
	}
	now := m.Clock.Now()
	j.evidence.Observe(now, v.record, v.tallies)
	kind, answers, failures, recent := j.evidence.Verdict()
	phase, why := v.record.Next(shift.Facts{
		Elapsed: now.Sub(v.heard), InPhase: now.Sub(v.since), Within: v.order.Within, Verdict: kind,
		Answers: answers, Recent: recent, Failures: failures, NewReady: v.ready,
	})
	if phase == v.record.Phase {
		j.phase = phase
		return
	}
	if phase != j.phase {
		j.phase, j.since = phase, now
	}
	if now.Sub(j.since) < m.delay(v.order) {
		return
	}
	next := *v.record
	next.Phase, next.Why = phase, why
	log.WithFields(log.Fields{
		"service": v.order.Service, "version": v.order.Target, "phase": phase, "reason": why, "answers": answers,
		"failures": failures, "elapsed": now.Sub(v.heard), "within": v.order.Within,
	}).Info("move decided")
	m.write(ctx, v.order.Service, next)
}

// begin stores the move's first record.
func (m *Mover) begin(ctx context.Context, v moveView, j *judged) {
	now := m.Clock.Now()
	if now.Sub(j.since) < m.delay(v.order) || v.from == "" || !m.Ready() {
		return
	}
	r := shift.Begin(v.order, v.from, now)
	if v.from == v.order.Target {
		r.Phase, r.Why = shift.Complete, "service has the version already"
	}
	m.write(ctx, v.order.Service, r)
}

// delay returns how long this node leaves a decision to others.
func (m *Mover) delay(o shunt.ShiftOrder) time.Duration {
	return time.Duration(min(m.rank(o), maxRank)) * rankDelay
}

// rank returns this node's place among all nodes for an order.
func (m *Mover) rank(o shunt.ShiftOrder) int {
	return max(slices.Index(m.ranked(o), m.Self), 0)
}

// ranked returns the nodes in the order in which they decide on a move.
func (m *Mover) ranked(o shunt.ShiftOrder) []string {
	weight := func(node string) uint64 {
		return xxhash.Sum64String(node + "/" + o.Service + "/" + o.Target)
	}
	list := m.World.nodes()
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(weight(a), weight(b)) })
	return list
}

// write stores a move's record unless another node did so first: the record is appended only if the topic has
// not grown since the move was last read.
func (m *Mover) write(ctx context.Context, service string, r shift.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		log.WithError(err).Error("record of a move can't be encoded")
		return
	}
	records, end, err := m.Store.Newest(ctx, topicMesh)
	if err != nil {
		log.WithError(err).WithField("service", service).Warn("move was not stored")
		return
	}
	for _, k := range records {
		var stored shift.Record
		if k.Key != keyMove+service || json.Unmarshal(k.Value, &stored) != nil {
			continue
		}
		m.World.setMove(service, stored)
		if !r.Follows(stored) {
			return
		}
	}
	_, err = m.Store.Append(ctx, topicMesh, end, shunt.Keyed{Key: keyMove + service, Value: data})
	if err != nil {
		if !errors.Is(err, shunt.ErrStoreConflict) {
			log.WithError(err).WithField("service", service).Warn("move was not stored")
		}
		return
	}
	m.World.setMove(service, r)
}

// answer tells the operator how a move stands.
func (m *Mover) answer(ctx context.Context, v moveView, j *judged) {
	phase := v.record.Phase
	if phase == shift.Switch {
		phase = shift.Trial
	}
	now := m.Clock.Now()
	if j.answered == phase || now.Sub(v.since) < m.delay(v.order) || m.rank(v.order) > maxRank {
		return
	}
	if m.rank(v.order) > 0 {
		told, err := m.operatorKnows(ctx, v)
		if err != nil {
			log.WithError(err).Warn("answers to the operator can't be read")
			return
		}
		if told || phase == shift.Trial {
			j.answered = phase
			return
		}
	}
	state := shunt.ShiftRunning
	switch phase {
	case shift.Complete:
		state = shunt.ShiftComplete
	case shift.Back:
		state = shunt.ShiftBack
	case shift.Trial, shift.Switch:
	}
	k, err := m.Operator.ShiftAnswer(v.order.Service, v.order.Target, state)
	if err != nil {
		log.WithError(err).Error("answer to the operator can't be encoded")
		return
	}
	if _, err := m.Store.Append(ctx, m.Operator.Answers(), -1, k); err != nil {
		log.WithError(err).WithField("service", v.order.Service).Warn("operator was not told")
		return
	}
	j.answered = phase
	log.WithFields(log.Fields{"service": v.order.Service, "phase": phase}).Info("operator told")
}

// operatorKnows reports whether the operator knows of a move's end.
func (m *Mover) operatorKnows(ctx context.Context, v moveView) (bool, error) {
	records, _, err := m.Store.Newest(ctx, m.Operator.Answers())
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(records, func(k shunt.Keyed) bool {
		return m.Operator.Answered(k, v.order.Service, v.order.Target)
	}), nil
}
