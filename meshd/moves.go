package meshd

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// moveView is the state of the move of one service.
type moveView struct {
	order             shunt.ShiftOrder
	orderedAt         time.Time
	record            *shift.Record // nil until the move has begun
	phaseSince        time.Time
	tallies           map[string]*shift.AnswerCounts
	registeredServers int            // servers of the new version that are not leaving and whose nodes are not stopping
	currentVersion    string         // set only until the move has begun
	currentClosed     bool           // whether currentVersion is closed
	previous          shunt.Position // identity of the order of the previous move, set only until the move has begun
	halted            bool
}

// orderedMoves returns the moves that the operator has ordered.
func (v *MeshView) orderedMoves() []moveView {
	ix := v.index()
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []moveView
	for service, o := range v.orders {
		m := moveView{order: o, orderedAt: v.orderedAt[service], tallies: make(map[string]*shift.AnswerCounts)}
		for node, t := range v.tallies[service] {
			m.tallies[node] = t
		}
		if s := v.moves[service]; s != nil && s.Position().Is(o.Position()) {
			r := s.Record
			m.record, m.phaseSince, m.halted = &r, s.phaseSince, v.isHalted(service, s)
		} else if s != nil {
			m.currentVersion, m.currentClosed, m.previous = s.InUse(), s.Phase == shift.Closed, s.Position()
		} else {
			m.currentVersion = v.baselineOf(ix, service)
		}
		for _, p := range v.peers {
			e := p.currentEntry()
			if e.Service == service && e.Version == o.Target && !e.Leaving && !e.Stopping {
				m.registeredServers++
			}
		}
		list = append(list, m)
	}
	return list
}

// isWatched reports whether the move's new version is still watched after the move is complete.
func (m *moveView) isWatched(now time.Time) bool {
	return m.record.Phase == shift.Complete && shift.IsWatched(now.Sub(m.phaseSince), m.order.Within)
}

// activeOrder returns the identity of the order of a service's move, if the move has begun and the answers of its
// servers count.
func (v *MeshView) activeOrder(service string) (shunt.Position, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.moves[service]
	if s == nil {
		return shunt.Position{}, false
	}
	o := v.orders[service]
	m := moveView{order: o, record: &s.Record, phaseSince: s.phaseSince}
	if s.Phase.Ended() && (!o.Position().Is(s.Position()) || !m.isWatched(v.clock.Now())) {
		return shunt.Position{}, false
	}
	return s.Position(), true
}
