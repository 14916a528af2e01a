package conf

import "time"

func (v *checker) move(key Key, m *Move) {
	v.moveFields(key, m)
	v.serviceExists(key, m.Service)
	fromOK := v.versionOf(key, "from", m.From, m.Service)
	v.versionOf(key, "to", m.To, m.Service)
	if m.From == m.To && m.From != "" {
		v.add(key, "to", "%q is also the version to move from", m.To)
	}
	old, published := v.Old.Get(key)
	if !published {
		v.newMove(key, m, fromOK)
		return
	}
	if now, _ := v.set.Get(key); !now.Equal(old) {
		v.add(key, "spec", "a published move cannot be changed")
	}
}

func (v *checker) moveFields(key Key, m *Move) {
	if !(m.MaxShare >= 0 && m.MaxShare <= MaxExposure) {
		v.add(key, "maxShare", "%v is not above 0 and at most %v", m.MaxShare, MaxExposure)
	}
	if m.MinRequests < 0 {
		v.add(key, "minRequests", "%d is negative", m.MinRequests)
	}
	if m.Deadline.IsZero() {
		v.add(key, "deadline", "missing")
	}
	v.notNegative(key, "hold", m.Hold)
	v.notNegative(key, "minObserve", m.MinObserve)
}

// newMove checks what a move needs only when it is published.
func (v *checker) newMove(key Key, m *Move, fromOK bool) {
	s, ok := v.set.Service(m.Service)
	if !ok {
		return
	}
	if s.State == ServiceClosing {
		v.add(key, "service", "service %q is closing", m.Service)
	}
	active := v.active(m.Service)
	if active == "" {
		active = s.Version
	}
	if fromOK && m.From != active {
		v.add(key, "from", "%q is not the active version of service %q, which is %q", m.From, m.Service, active)
	}
	soonest := v.At.Add(m.Observe() + SpreadBound)
	if !v.At.IsZero() && !m.Deadline.IsZero() && m.Deadline.Before(soonest) {
		v.add(
			key,
			"deadline",
			"%s is before %s, the soonest possible: minObserve and %s for propagation after the publish",
			m.Deadline.UTC().Format(time.RFC3339),
			soonest.UTC().Format(time.RFC3339),
			SpreadBound,
		)
	}
}

// concurrentMoves refuses a new move on a service while another one is open or may still be halted: at most
// one move at a time decides between the versions of a service.
func (v *checker) concurrentMoves(affected map[Key]bool) {
	services := make(map[string]bool)
	for key := range affected {
		if m, ok := v.set.Move(key.Name); ok && key.Kind == KindMove {
			services[m.Service] = true
		}
	}
	for name := range services {
		v.movesOf(name, v.set.usersOf(Key{KindService, name}, KindMove))
	}
}

func (v *checker) movesOf(service string, moves []Object) {
	var busy string
	for _, o := range moves {
		if _, published := v.Old.Get(o.Key()); published && !v.moveState(o.Name).Final(v.At) {
			busy = o.Name
			v.fixedVersion(service, busy)
		}
	}
	for _, o := range moves {
		if _, published := v.Old.Get(o.Key()); published {
			continue
		}
		if busy != "" {
			v.add(o.Key(), "service", "service %q already has move %q, which is open or within its hold period",
				service, busy)
			continue
		}
		busy = o.Name
	}
}

// fixedVersion refuses a new version of a service that a halt could still take back to another one.
func (v *checker) fixedVersion(service, move string) {
	if s, ok := v.set.Service(service); ok && v.changesVersion(service, s) {
		v.add(
			Key{KindService, service},
			"version",
			"cannot change while move %q is open or within its hold period",
			move,
		)
	}
}

func (v *checker) moveState(name string) MoveState {
	if v.Moves == nil {
		return MoveState{Open: true}
	}
	return v.Moves(name)
}

func (v *checker) notNegative(key Key, field string, d Duration) {
	if d < 0 {
		v.add(key, field, "%q is negative", time.Duration(d))
	}
}

// Observe returns the shortest time for which the move observes the new version before a verdict.
func (m *Move) Observe() time.Duration {
	if m.MinObserve == 0 {
		return DefaultMinObserve
	}
	return time.Duration(m.MinObserve)
}

// HoldTime returns the time for which the move may be halted after its completion.
func (m *Move) HoldTime() time.Duration {
	if m.Hold == 0 {
		return DefaultHold
	}
	return time.Duration(m.Hold)
}

// Requests returns the number of requests to the new version that a step needs.
func (m *Move) Requests() int {
	if m.MinRequests == 0 {
		return DefaultMinRequests
	}
	return m.MinRequests
}
