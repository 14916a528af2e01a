package meshd

import (
	"math/rand/v2"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

type (
	// versionChoice is the version chosen for a request.
	versionChoice struct {
		version string
		offer   shift.Offer // of which the choice is part, if the new version was chosen
		// tentative is set if the new version is being tried: if its first node does not take the request, the request
		// goes to the old version.
		tentative bool
		// either is set if the node does not know which version has servers: without one the other version is chosen.
		either bool
		// refusal is the reason why the service accepts no requests, and wait the time until it may.
		refusal string
		wait    time.Duration
	}

	// begunMove is a move that had begun when this node started, and its phase then.
	begunMove struct {
		order shunt.Position
		phase shift.Phase
		at    time.Time
	}

	// versionRequest is what the choice of a version depends on, apart from the state of the mesh.
	versionRequest struct {
		work time.Duration // expected duration of the request
		draw float64       // uniform in [0, 1)
	}
)

// chooseVersion returns the version for a request to a service.
func (v *MeshView) chooseVersion(service string, r versionRequest) versionChoice {
	baseline := v.baselineVersion(service)
	v.mu.RLock()
	m, o := v.moves[service], v.orders[service]
	if m == nil {
		v.mu.RUnlock()
		return versionChoice{version: baseline}
	}
	progress := shift.Progress{Within: o.Within, Work: r.work}
	ordered := o.Position().Is(m.Position())
	if ordered {
		progress.Elapsed = v.clock.Since(v.orderedAt[service])
	}
	record, old, halted := m.Record, oldChoice(m), v.isHalted(service, m)
	v.mu.RUnlock()
	if record.Phase == shift.Closed {
		return versionChoice{
			version: record.Target, refusal: "version " + record.Target + " fails and no other one is left",
		}
	}
	if halted || !ordered && !record.Phase.Ended() {
		return old
	}
	progress.NewServers = len(v.candidates(service, record.Target, true))
	offer := record.Offer(progress)
	if r.draw >= offer.Share {
		old.either = record.Phase == shift.Switch
		return old
	}
	return versionChoice{
		version: record.Target, offer: offer, tentative: offer.Stage != shift.Takeover,
		either: record.Phase == shift.Switch,
	}
}

// oldChoice returns the choice of the version that is in use apart from a trial.
func oldChoice(m *moveState) versionChoice {
	if m == nil {
		return versionChoice{refusal: "no version is in use"}
	}
	version := m.InUse()
	if m.FromClosed && version == m.From {
		return versionChoice{version: version, refusal: "version " + version + " is closed"}
	}
	return versionChoice{version: version}
}

// inUse returns the choice of the version that is in use apart from a trial.
func (v *MeshView) inUse(service string) versionChoice {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return oldChoice(v.moves[service])
}

// withoutAllowance returns the choice for a request that the new version's allowance does not permit: the old version
// while it is in use, or a refusal until the deadline of the move.
func (v *MeshView) withoutAllowance(service string, remaining time.Duration) versionChoice {
	v.mu.RLock()
	defer v.mu.RUnlock()
	m := v.moves[service]
	if m == nil || m.Phase != shift.Complete {
		return oldChoice(m)
	}
	return versionChoice{
		version: m.Target, refusal: "new version has had its requests until the deadline of its move", wait: remaining,
	}
}

// isMoving reports whether a move of a service was ordered and its deadline has not passed.
func (v *MeshView) isMoving(service string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	o, ok := v.orders[service]
	return ok && v.clock.Since(v.orderedAt[service]) < o.Within
}

// takeExposure counts a request that is about to be sent to a version of a service. It returns false, and the time left
// until the deadline of the move, if the version is the new one of a move and has had its allowance.
func (v *MeshView) takeExposure(
	service, version string, stage shift.Stage, b shift.Bound,
) (ok bool, remaining time.Duration) {
	if !v.isMoving(service) {
		return true, 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	a, o := v.exposure(service, version)
	if a == nil {
		return true, 0
	}
	elapsed := v.clock.Since(v.orderedAt[service])
	b.Slack /= float64(max(len(v.peers), 1))
	if begun, ok := v.begunBefore[service]; ok && begun.order.Is(o.Position()) {
		b = b.AfterRestart(begun.phase, stage, v.clock.Since(begun.at), elapsed, o.Within)
	}
	return a.Take(stage, b, elapsed, o.Within), o.Within - elapsed
}

// countSent counts a request after it was sent to a version of a service, and takes it back if it did not reach a
// server. It returns false if the service has no move or the request does not count.
func (v *MeshView) countSent(service, version string, delivered bool) (newVersion, counted bool) {
	if !v.isMoving(service) {
		return false, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	o := v.orders[service]
	if delivered {
		v.allowance(service, o.Position()).Add()
	} else if a, _ := v.exposure(service, version); a != nil {
		a.Return()
	}
	return version == o.Target, delivered
}

// exposure returns the allowance and the order of a service's move if the version is the new one and its requests are
// bounded. They are not for a node that has learned of the move when it was complete: it has just started, and its
// counts say nothing about the service's requests. The caller must hold the lock.
func (v *MeshView) exposure(service, version string) (*shift.Allowance, shunt.ShiftOrder) {
	o, ok := v.orders[service]
	m := v.moves[service]
	if !ok || version != o.Target || m == nil || !m.Position().Is(o.Position()) || m.learnedComplete {
		return nil, shunt.ShiftOrder{}
	}
	return v.allowance(service, o.Position()), o
}

// allowance returns this node's counts of the move with the given order. The caller must hold the lock.
func (v *MeshView) allowance(service string, order shunt.Position) *shift.Allowance {
	a := v.allowances[service]
	if a == nil {
		a = &shift.Allowance{}
		v.allowances[service] = a
	}
	a.Begin(order, rand.Float64())
	return a
}

// halt stops the use of the new version of a move, whatever the store's record says, unless the move is complete: then
// the old version is gone. Nodes that find a version bad halt it at once and at its servers' nodes, so that a version
// is stopped while the store or the nodes that decide are away.
func (v *MeshView) halt(service string, order shunt.Position) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known, ok := v.halted[service]; ok && (known.Is(order) || known.Compare(order) > 0) {
		return false
	}
	v.halted[service] = order
	return true
}

// isHalted reports whether the new version of a move that has not ended is halted. The caller must hold the lock.
func (v *MeshView) isHalted(service string, m *moveState) bool {
	order, ok := v.halted[service]
	return ok && order.Is(m.Position()) && !m.Phase.Ended()
}
