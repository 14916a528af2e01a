package side

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// moveView is the state of the move of one service.
type moveView struct {
	order          shunt.ShiftOrder
	orderedAt      time.Time
	record         *shift.Record // nil until the move has begun
	phaseSince     time.Time
	tallies        map[string]*shift.Tally
	readyServers   int
	currentVersion string
}

// orderedMoves returns the moves that the operator has ordered.
func (w *World) orderedMoves() []moveView {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []moveView
	for service, o := range w.orders {
		v := moveView{order: o, orderedAt: w.orderedAt[service], tallies: make(map[string]*shift.Tally)}
		for node, t := range w.tallies[service] {
			v.tallies[node] = t
		}
		if s := w.moves[service]; s != nil && s.Order == o.Offset {
			r := s.Record
			v.record, v.phaseSince = &r, s.phaseSince
		} else if s != nil {
			v.currentVersion = s.Version(1, 0)
		} else {
			v.currentVersion = w.baselineVersion(service)
		}
		for _, p := range w.peers {
			e := p.currentEntry()
			if e.Service == service && e.Version == o.Target && !e.Leaving && !e.Stopping {
				v.readyServers++
			}
		}
		list = append(list, v)
	}
	return list
}

// activeOrder returns the order of a service's move that has begun and not ended.
func (w *World) activeOrder(service string) (int64, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.moves[service]
	if s == nil || s.Phase.Ended() {
		return 0, false
	}
	return s.Order, true
}
