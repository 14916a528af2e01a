package conf

import "time"

func (v *validator) checkMove(key Key, m *Move) {
	v.checkMoveFields(key, m)
	v.checkServiceExists(key, m.Service)
	fromOK := v.checkVersionOf(key, "from", m.From, m.Service)
	v.checkVersionOf(key, "to", m.To, m.Service)
	if m.From == m.To && m.From != "" {
		v.report(key, "to", "%q is also the version to move from", m.To)
	}
	old, published := v.Old.Get(key)
	if !published {
		v.checkNewMove(key, m, fromOK)
		return
	}
	if current, _ := v.set.Get(key); !current.Equal(old) {
		v.report(key, "spec", "a published move cannot be changed")
	}
}

func (v *validator) checkMoveFields(key Key, m *Move) {
	if !(m.MaxShare >= 0 && m.MaxShare <= MaxCanaryShare) {
		v.report(key, "maxShare", "%v is not above 0 and at most %v", m.MaxShare, MaxCanaryShare)
	}
	if m.MinRequests < 0 {
		v.report(key, "minRequests", "%d is negative", m.MinRequests)
	}
	if m.Deadline.IsZero() {
		v.report(key, "deadline", "missing")
	}
	v.checkNotNegative(key, "hold", m.Hold)
	v.checkNotNegative(key, "minObserve", m.MinObserve)
}

// checkNewMove runs the checks that apply to a move only when it is published.
func (v *validator) checkNewMove(key Key, m *Move, fromOK bool) {
	service, ok := v.set.Service(m.Service)
	if !ok {
		return
	}
	if service.State == ServiceClosing {
		v.report(key, "service", "service %q is closing", m.Service)
	}
	active := v.activeVersion(m.Service)
	if active == "" {
		active = service.Version
	}
	if fromOK && m.From != active {
		v.report(key, "from", "%q is not the active version of service %q, which is %q", m.From, m.Service, active)
	}
	soonest := v.At.Add(m.ObserveTime() + MaxPropagationTime)
	if !v.At.IsZero() && !m.Deadline.IsZero() && m.Deadline.Before(soonest) {
		v.report(
			key,
			"deadline",
			"%s is before %s, the soonest possible: minObserve and %s for propagation after the publish",
			m.Deadline.UTC().Format(time.RFC3339),
			soonest.UTC().Format(time.RFC3339),
			MaxPropagationTime,
		)
	}
}

// checkConcurrentMoves rejects a new move of a service while another one is open or may still be halted, so that at
// most one move at a time decides between the versions of a service.
func (v *validator) checkConcurrentMoves(affected map[Key]bool) {
	services := make(map[string]bool)
	for key := range affected {
		if move, ok := v.set.Move(key.Name); ok && key.Kind == KindMove {
			services[move.Service] = true
		}
	}
	for name := range services {
		v.checkMovesOf(name, v.set.referrersOf(Key{KindService, name}, KindMove))
	}
}

func (v *validator) checkMovesOf(service string, moves []Object) {
	var unfinished string
	for _, o := range moves {
		if _, published := v.Old.Get(o.Key()); published && !v.moveState(o.Name).Final(v.At) {
			unfinished = o.Name
			v.checkVersionUnchanged(service, unfinished)
		}
	}
	for _, o := range moves {
		if _, published := v.Old.Get(o.Key()); published {
			continue
		}
		if unfinished != "" {
			v.report(
				o.Key(),
				"service",
				"service %q already has move %q, which is open or within its hold period",
				service,
				unfinished,
			)
			continue
		}
		unfinished = o.Name
	}
}

// checkVersionUnchanged rejects a change of the service's version while the move can still be rolled back.
func (v *validator) checkVersionUnchanged(service, move string) {
	if s, ok := v.set.Service(service); ok && v.versionChanged(service, s) {
		v.report(
			Key{KindService, service},
			"version",
			"cannot change while move %q is open or within its hold period",
			move,
		)
	}
}

func (v *validator) moveState(name string) MoveState {
	if v.Moves == nil {
		return MoveState{Open: true}
	}
	return v.Moves(name)
}

func (v *validator) checkNotNegative(key Key, field string, d Duration) {
	if d < 0 {
		v.report(key, field, "%q is negative", time.Duration(d))
	}
}

// ObserveTime returns the minimum time at maxShare, see ShareSteps.
func (m *Move) ObserveTime() time.Duration {
	if m.MinObserve == 0 {
		return DefaultMinObserve
	}
	return time.Duration(m.MinObserve)
}

// HoldPeriod returns the time after completion in which the move can still be halted.
func (m *Move) HoldPeriod() time.Duration {
	if m.Hold == 0 {
		return DefaultHold
	}
	return time.Duration(m.Hold)
}

// RequiredRequests returns the number of requests to the new version required at each share, see ShareSteps.
func (m *Move) RequiredRequests() int {
	if m.MinRequests == 0 {
		return DefaultMinRequests
	}
	return m.MinRequests
}
