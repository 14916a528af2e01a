package meshd

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

const (
	// repairDelay is the time from a restore of the store to the first attempt to write the record of a move again. Each
	// further rank adds decisionDelayPerRank. Others may have the record, and the store has just come back.
	repairDelay = 300 * time.Millisecond
	// orderAgainWait is the additional delay while the order of the move was not read in the new era. The record then says
	// where the order was written again.
	orderAgainWait = 3 * time.Second
	// repairInterval is the minimum time between two attempts to write the record of a service's move again.
	repairInterval = time.Second
	// beginGrace is the time after the start of a node before it begins a move in a store with eras. The record of the move
	// may have been lost in a restore; by then nodes that know it have written it again.
	beginGrace = 4 * time.Second
)

// repairMoves writes the record of a move again that the store has lost in a restore. At each evaluation a node writes one at
// most, and only if the nodes ranked before it have not.
func (m *Mover) repairMoves(ctx context.Context) {
	lost := m.View.lostMoves()
	slices.SortFunc(lost, func(a, b lostMove) int { return strings.Compare(a.service, b.service) })
	now := m.Clock.Now()
	for _, l := range lost {
		order := shunt.ShiftOrder{Service: l.service, Target: l.record.Target}
		delay := repairDelay + time.Duration(min(m.rank(order), maxRank))*decisionDelayPerRank
		if !l.seenAgain {
			delay += orderAgainWait
		}
		if now.Sub(l.since) < delay || now.Sub(m.repairedAt[l.service]) < repairInterval {
			continue
		}
		if m.repairedAt == nil {
			m.repairedAt = make(map[string]time.Time)
		}
		m.repairedAt[l.service] = now
		m.repairMove(ctx, l)
		return
	}
}

// repairMove writes the record of a lost move again, conditionally on the end of the topic.
func (m *Mover) repairMove(ctx context.Context, l lostMove) {
	fields := log.Fields{
		"service": l.service, "version": l.record.Target, "phase": l.record.Phase, "order": l.record.Order,
	}
	data, err := json.Marshal(l.record)
	if err != nil {
		log.WithError(err).Error("cannot encode move record")
		return
	}
	for attempt := range maxStoreAttempts {
		end := m.View.meshPosition.load()
		end.Offset++
		if attempt > 0 {
			var ok bool
			if end, ok = m.readMove(ctx, l.service, func(shift.Record) bool { return true }); !ok || !m.isLost(l) {
				return
			}
		}
		stored, err := m.Store.Append(
			ctx,
			topicMesh,
			end,
			shunt.KeyedRecord{Key: moveKeyPrefix + l.service, Value: data},
		)
		switch {
		case err == nil:
			stored.Offset--
			m.View.setMove(l.service, l.record, stored)
			m.Meter.increment(`side_store_rewrites_total{record="move"}`)
			log.WithFields(fields).
				WithField("era", stored.Era).
				Info("store has lost the record of a move; written again")
			return
		case !errors.Is(err, shunt.ErrStoreConflict):
			log.WithError(err).WithFields(fields).Warn("cannot write move record again")
			return
		}
	}
}

// isLost reports whether the record of a move is still lost in the store, in the same state.
func (m *Mover) isLost(l lostMove) bool {
	return slices.ContainsFunc(m.View.lostMoves(), func(other lostMove) bool {
		return other.service == l.service && other.record.Position() == l.record.Position() &&
			other.record.Phase == l.record.Phase
	})
}

// mayBegin reports whether this node has run for long enough to know of moves that the store has lost, and of a later order if
// the offset is lower than that of the previous move: the store's copy may be from before that move's order.
func (m *Mover) mayBegin(v moveView) bool {
	o := v.order
	grace := beginGrace
	if v.previous.Era > 0 && v.previous.Era < o.Era && o.Offset < v.previous.Offset {
		grace = restoreGrace
	}
	return o.Era == 0 || m.Clock.Since(m.startedAt) >= grace
}

// checkStatus has the status of a move reported again if the store was restored since the last report: the report may be
// lost.
func (m *Mover) checkStatus(eval *moveEvaluation, rank int) {
	restoredAt := m.View.lastRestore()
	if restoredAt.Equal(eval.statusCheckedAt) ||
		m.Clock.Since(restoredAt) < repairDelay+time.Duration(rank)*decisionDelayPerRank {
		return
	}
	eval.statusCheckedAt = restoredAt
	eval.reportedPhase, eval.statusRead, eval.statusEnd, eval.recheck = "", true, shunt.Position{}, true
}
