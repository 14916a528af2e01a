package conf

// checkDomainsInService rejects a change that, without override, leaves no failure domain in service. The set does not
// contain the locations of servers, so nothing more can be checked here; Capacity checks the servers of each service.
// A change that deletes all failure domains is allowed.
func (v *validator) checkDomainsInService() {
	removed := v.removedDomains()
	if len(removed) == 0 {
		return
	}
	domains := v.set.referrersOf(allDomainsKey, KindDomain)
	for _, object := range domains {
		if domain, ok := object.Spec.(*Domain); ok && domain.State != DomainOut {
			return
		}
	}
	if len(domains) == 0 {
		return
	}
	for _, key := range removed {
		v.report(key, "state", "no failure domain would remain in service; override is not set")
	}
}

// removedDomains returns the failure domains that the change takes out of service without override, or deletes while
// they are in service. For each one taken out it also reports the problems that Capacity returns.
func (v *validator) removedDomains() []Key {
	var removed []Key
	for object := range v.changedObjects() {
		domain, ok := object.Spec.(*Domain)
		if !ok || domain.State != DomainOut || domain.Override {
			continue
		}
		if old, existed := v.Old.Domain(object.Name); existed && old.State == DomainOut {
			continue
		}
		removed = append(removed, object.Key())
		if v.Capacity != nil {
			v.problems = append(v.problems, v.Capacity(object.Name)...)
		}
	}
	for _, key := range v.change.Deleted {
		if domain, ok := v.Old.Domain(key.Name); ok && key.Kind == KindDomain && domain.State != DomainOut {
			removed = append(removed, key)
		}
	}
	return removed
}
