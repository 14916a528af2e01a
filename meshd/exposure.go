package meshd

import "tanagershunt.example/shunt/shift"

// countSent counts a request that this node has sent to a server of a service whose move was ordered. It returns false
// if there is no such move.
func (v *MeshView) countSent(service, version string) (newVersion, moving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	o, ok := v.orders[service]
	if !ok {
		return false, false
	}
	a := v.allowance(service, o.Offset)
	newVersion = version == o.Target
	a.Add(newVersion)
	return newVersion, true
}

// allowance returns this node's counts of the move with the given order. The caller must hold the lock.
func (v *MeshView) allowance(service string, order int64) *shift.Allowance {
	a := v.allowances[service]
	if a == nil {
		a = &shift.Allowance{}
		v.allowances[service] = a
	}
	a.Begin(order)
	return a
}
