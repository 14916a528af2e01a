package side

import (
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// moveView is what a World knows of the move of one service.
type moveView struct {
	order   shunt.ShiftOrder
	heard   time.Time
	record  *shift.Record // nil until the move was begun
	since   time.Time
	tallies map[string]*shift.Tally
	ready   int
	from    string
}

// openMoves returns the moves that were ordered.
func (w *World) openMoves() []moveView {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var list []moveView
	for service, o := range w.orders {
		v := moveView{order: o, heard: w.heard[service], tallies: make(map[string]*shift.Tally)}
		for node, t := range w.tally[service] {
			v.tallies[node] = t
		}
		if s := w.moves[service]; s != nil && s.Order == o.Offset {
			r := s.Record
			v.record, v.since = &r, s.since
		} else if s != nil {
			v.from = s.Version(1, 0)
		} else {
			v.from = w.baseline(service)
		}
		for _, p := range w.peers {
			e := p.get()
			if e.Service == service && e.Version == o.Target && !e.Leaving && !e.Stopping {
				v.ready++
			}
		}
		list = append(list, v)
	}
	return list
}

// openOrder returns the order of a service's move that has begun and not ended.
func (w *World) openOrder(service string) (int64, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	s := w.moves[service]
	if s == nil || s.Phase.Ended() {
		return 0, false
	}
	return s.Order, true
}
