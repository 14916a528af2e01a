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
	registeredServers int    // servers of the new version that are not leaving and whose nodes are not stopping
	currentVersion    string // set only until the move has begun
}

// orderedMoves returns the moves that the operator has ordered.
func (v *MeshView) orderedMoves() []moveView {
	baselines := v.index().baselines
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []moveView
	for service, o := range v.orders {
		m := moveView{order: o, orderedAt: v.orderedAt[service], tallies: make(map[string]*shift.AnswerCounts)}
		for node, t := range v.tallies[service] {
			m.tallies[node] = t
		}
		if s := v.moves[service]; s != nil && s.Order == o.Offset {
			r := s.Record
			m.record, m.phaseSince = &r, s.phaseSince
		} else if s != nil {
			m.currentVersion = s.Version(1, 0) // a share of 0 selects the old version during a trial
		} else {
			m.currentVersion = baselines[service].version
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

// activeOrderOffset returns the offset of the order of a service's move, if the move has begun and not ended.
func (v *MeshView) activeOrderOffset(service string) (int64, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.moves[service]
	if s == nil || s.Phase.Ended() {
		return 0, false
	}
	return s.Order, true
}
