package conf

// domainsOut refuses to leave no failure domain in service. A set does not say where servers are, so this is
// all that can be decided from it; Capacity decides on the servers of each service.
func (v *checker) domainsOut() {
	var in int
	var taken []Key
	domains := v.set.Objects(KindDomain)
	for _, o := range domains {
		d, ok := o.Spec.(*Domain)
		if !ok || d.State != DomainOut {
			in++
			continue
		}
		if old, known := v.Old.Domain(o.Name); d.Override || known && old.State == DomainOut {
			continue
		}
		taken = append(taken, o.Key())
		if v.Capacity != nil {
			v.problems = append(v.problems, v.Capacity(o.Name)...)
		}
	}
	if in > 0 || len(domains) == 0 {
		return
	}
	for _, key := range append(taken, v.deletedInDomains()...) {
		v.add(key, "state", "no failure domain would remain in service; override is not set")
	}
}

func (v *checker) deletedInDomains() []Key {
	var list []Key
	for _, o := range v.Old.Objects(KindDomain) {
		d, ok := o.Spec.(*Domain)
		if _, kept := v.set.Get(o.Key()); ok && !kept && d.State != DomainOut {
			list = append(list, o.Key())
		}
	}
	return list
}
