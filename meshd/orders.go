package meshd

import (
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// seenOrders is what a node knows of the positions of a service's orders. The identity of an order is the position at which
// it was read first. After a restore of the store, the operator writes lost orders again at other positions.
type seenOrders struct {
	latest  shunt.Position                    // at which the current order was read last
	targets map[string]int64                  // offsets of the orders that were current, by version
	again   map[shunt.Position]shunt.Position // identity of the current order by its later positions
}

// SetOrder records the operator's order to move a service to another version.
func (v *MeshView) SetOrder(o shunt.ShiftOrder) { v.setOrder(o, false, false) }

// setOrder records an order. With settling, the store was restored a short time ago; with whole, the order is part of a whole
// read. An order is the current one written again if it is the first one of its era for the same version, and an earlier one
// of the store's copy if it has the version and offset of one. While orders that were lost may still be written again, one for
// the version of an earlier order is taken for that order, and one in a whole read at a lower offset than the current order
// for an earlier one of the copy that this node has not read before.
func (v *MeshView) setOrder(o shunt.ShiftOrder, settling, whole bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, seen := o.Position(), v.seen[o.Service]
	old, ok := v.orders[o.Service]
	switch {
	case !ok:
		seen = &seenOrders{targets: make(map[string]int64)}
		v.seen[o.Service] = seen
	case at.Compare(seen.latest) <= 0:
		return
	case at.Era == seen.latest.Era:
	case o.Target == old.Target:
		v.orderAgain(old, at)
		return
	case seen.isEarlier(o, settling, whole):
		log.WithFields(log.Fields{
			"service": o.Service, "version": o.Target, "order": o.Offset, "era": o.Era, "current": old.Target,
		}).Info("older order of a move ignored after a restore of the store")
		return
	}
	seen.latest, seen.again = at, nil
	seen.targets[o.Target] = at.Offset
	v.orders[o.Service] = o
	v.orderedAt[o.Service] = v.clock.Now()
	if m := v.moves[o.Service]; m != nil {
		v.adoptIdentity(o.Service, m.Record)
	}
	v.adjustOrderedAt(o.Service)
	log.WithFields(log.Fields{
		"service": o.Service, "version": o.Target, "within": o.Within, "order": v.orders[o.Service].Offset,
	}).Info("move ordered")
}

// isEarlier reports whether an order of a later era than the current order is one that was given before it.
func (s *seenOrders) isEarlier(o shunt.ShiftOrder, settling, whole bool) bool {
	offset, known := s.targets[o.Target]
	return known && (settling || offset == o.Offset) || settling && whole && o.Offset < s.latest.Offset
}

// orderAgain records that a service's current order was read at another position, in a later era. The caller must hold the
// lock.
func (v *MeshView) orderAgain(o shunt.ShiftOrder, at shunt.Position) {
	seen := v.seen[o.Service]
	if seen.latest.Era > 0 && at.Offset != seen.latest.Offset {
		log.WithFields(log.Fields{
			"service": o.Service, "version": o.Target, "order": o.Offset, "era": at.Era, "offset": at.Offset,
		}).Info("order of a move written again after a restore of the store")
	}
	seen.latest = at
	if seen.again == nil {
		seen.again = make(map[shunt.Position]shunt.Position)
	}
	seen.again[at] = o.Position()
}

// adoptIdentity replaces the identity of a service's order by that in the record of its move, if this node has read the order
// only as it was written again after a restore. Earlier processes of the node may have sent requests to the new version. The
// caller must hold the lock.
func (v *MeshView) adoptIdentity(service string, r shift.Record) {
	o, ok := v.orders[service]
	at, id := o.Position(), r.Position()
	if !ok || r.Target != o.Target || id.Era == 0 || id.Era >= at.Era || r.AgainEra == at.Era && r.Again != at.Offset {
		return
	}
	v.orderAgain(o, at)
	v.seen[service].again[at] = id
	o.Era, o.Offset = id.Era, id.Offset
	v.orders[service] = o
	v.begunBefore[service] = begunMove{order: id, phase: r.Phase, at: v.clock.Now()}
	if m := v.moves[service]; m != nil && m.Position() == at {
		m.Era, m.Order = id.Era, id.Offset
	}
	if v.halted[service] == at {
		v.halted[service] = id
	}
}

// identify sets the identity of the order in a record that was written for the order as it was written again. The caller
// must hold the lock.
func (v *MeshView) identify(service string, r shift.Record) shift.Record {
	if seen := v.seen[service]; seen != nil {
		if id, ok := seen.again[r.Position()]; ok {
			r.Order, r.Era = id.Offset, id.Era
		}
	}
	return r
}

// identified returns a record with the identity of its order as this node knows it.
func (v *MeshView) identified(service string, r shift.Record) shift.Record {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.identify(service, r)
}

// setMove records the state of a service's move, as stored at a position of the mesh topic. The follower and the mover read
// the topic independently of each other, so that a state may come after a later one; it is ignored then. A store with eras
// may return an earlier state at a later position, which is ignored too.
func (v *MeshView) setMove(service string, r shift.Record, at shunt.Position) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.adoptIdentity(service, r)
	r = v.identify(service, r)
	old, now := v.moves[service], v.clock.Now()
	if old != nil {
		same := old.Position().Is(r.Position())
		switch {
		case same && old.Phase == r.Phase:
			if at.Compare(old.at) > 0 {
				old.at, old.replacedAt = at, time.Time{}
			}
			return
		case r.IsOlder(old.Record) && (!same || at.Era > 0):
			if at.Era > 0 && at.Compare(old.at) > 0 && old.replacedAt.IsZero() {
				old.replacedAt = now
			}
			return
		case at.Era == old.at.Era && at.Offset <= old.at.Offset:
			return
		}
	}
	m := &moveState{Record: r, at: at, phaseSince: now}
	if old == nil || !old.Position().Is(r.Position()) {
		m.learnedComplete = r.Phase == shift.Complete
	} else {
		m.learnedComplete = old.learnedComplete
	}
	v.moves[service] = m
	v.adjustOrderedAt(service)
	fields := log.Fields{
		"service": service, "from": r.From, "version": r.Target, "phase": r.Phase, "order": r.Order, "reason": r.Why,
	}
	if o, ok := v.orders[service]; ok && o.Position().Is(r.Position()) {
		a := v.allowance(service, o.Position())
		fields["elapsed"], fields["sent"], fields["sent_new"] = v.clock.Since(
			v.orderedAt[service],
		), a.Total(), a.Exposed()
	}
	log.WithFields(fields).Info("move changed")
}

// markBegunBefore records that the moves read so far had begun before this node started, so that earlier processes of the
// node may have sent requests to their new versions.
func (v *MeshView) markBegunBefore() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, m := range v.moves {
		v.begunBefore[service] = begunMove{order: m.Position(), phase: m.Phase, at: v.clock.Now()}
	}
}

// adjustOrderedAt corrects the time of a service's order by the record of its move. A node that has read the order late,
// for example after a restart, learns its age so. The caller must hold the lock.
func (v *MeshView) adjustOrderedAt(service string) {
	m, o := v.moves[service], v.orders[service]
	if m == nil || !m.Position().Is(o.Position()) {
		return
	}
	if at := m.phaseSince.Add(-time.Duration(m.Elapsed) * time.Millisecond); at.Before(v.orderedAt[service]) {
		v.orderedAt[service] = at
	}
}

// orderAge returns the time since the order of a service's move with the given identity, or 0 if that is not the current
// order.
func (v *MeshView) orderAge(service string, order shunt.Position) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if o, ok := v.orders[service]; !ok || !o.Position().Is(order) {
		return 0
	}
	return v.clock.Since(v.orderedAt[service])
}

// learnOrderAge corrects the time of a service's order by the age that another node knows. No node takes an order for older
// than it is, so the greatest age is the best one. A node that has restarted in the move takes it for too young.
func (v *MeshView) learnOrderAge(service string, order shunt.Position, age time.Duration) {
	if age <= 0 || age > maxOrderAge {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.clock.Now().Add(-age)
	if o, ok := v.orders[service]; !ok || !o.Position().Is(order) || !at.Before(v.orderedAt[service]) {
		return
	}
	log.WithFields(log.Fields{
		"service": service, "order": order.Offset, "age": age, "was": v.clock.Since(v.orderedAt[service]),
	}).Debug("age of order corrected")
	v.orderedAt[service] = at
}

// lostMove is a move whose state this node knows, but which the store has lost in a restore.
type lostMove struct {
	service   string
	record    shift.Record // to be written again
	since     time.Time    // when the loss was noticed
	seenAgain bool         // the order was read in the current era, if it is the service's current one
}

// lostMoves returns the moves whose state is not in the store in its current era, or was replaced there by an earlier one.
func (v *MeshView) lostMoves() []lostMove {
	era := v.meshPosition.load().Era
	v.mu.RLock()
	defer v.mu.RUnlock()
	if era == 0 || v.restoredAt.IsZero() {
		return nil
	}
	var list []lostMove
	for service, m := range v.moves {
		if m.at.Era >= era && m.replacedAt.IsZero() {
			continue
		}
		l := lostMove{service: service, record: m.Record, since: v.restoredAt, seenAgain: true}
		if m.replacedAt.After(l.since) {
			l.since = m.replacedAt
		}
		if o, ok := v.orders[service]; ok && o.Position().Is(m.Position()) {
			latest := v.seen[service].latest
			if l.seenAgain = latest.Era >= era; l.seenAgain && latest != m.Position() {
				l.record.AgainEra, l.record.Again = latest.Era, latest.Offset
			}
			l.record.Elapsed = min(v.clock.Since(v.orderedAt[service]), maxOrderAge).Milliseconds()
		}
		list = append(list, l)
	}
	return list
}
