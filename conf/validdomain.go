package conf

// domainsOut refuses to leave no failure domain in service. A set does not say where servers are, so this is
// all that can be decided from it; Capacity decides on the servers of each service.
func (v *checker) domainsOut() {
	removed := v.removedDomains()
	if len(removed) == 0 {
		return
	}
	domains := v.set.usersOf(domainsKey, KindDomain)
	for _, o := range domains {
		if d, ok := o.Spec.(*Domain); ok && d.State != DomainOut {
			return
		}
	}
	if len(domains) == 0 {
		return
	}
	for _, key := range removed {
		v.add(key, "state", "no failure domain would remain in service; override is not set")
	}
}

// removedDomains returns the failure domains that the change takes out of service without override, or
// deletes while they are in service.
func (v *checker) removedDomains() []Key {
	var list []Key
	for o := range v.changedObjects() {
		d, ok := o.Spec.(*Domain)
		if !ok || d.State != DomainOut || d.Override {
			continue
		}
		if old, known := v.Old.Domain(o.Name); known && old.State == DomainOut {
			continue
		}
		list = append(list, o.Key())
		if v.Capacity != nil {
			v.problems = append(v.problems, v.Capacity(o.Name)...)
		}
	}
	for _, key := range v.change.Deleted {
		if d, ok := v.Old.Domain(key.Name); ok && key.Kind == KindDomain && d.State != DomainOut {
			list = append(list, key)
		}
	}
	return list
}
