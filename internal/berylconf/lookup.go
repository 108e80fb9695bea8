package berylconf

import "slices"

// Service returns the plain service with the given name, or nil.
func (v *Inventory) Service(name string) *Service {
	i := slices.IndexFunc(v.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &v.Services[i]
}

// Host returns the host with the given name, or nil.
func (v *Inventory) Host(name string) *Host {
	i := slices.IndexFunc(v.Hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return nil
	}
	return &v.Hosts[i]
}

// Upstream returns the upstream with the given name, or nil.
func (v *Inventory) Upstream(name string) *Upstream {
	i := slices.IndexFunc(v.Upstreams, func(u Upstream) bool { return u.Name == name })
	if i < 0 {
		return nil
	}
	return &v.Upstreams[i]
}

// hasHostOrUpstream reports whether a host or an upstream has the given name.
func (v *Inventory) hasHostOrUpstream(name string) bool {
	return v.Host(name) != nil || v.Upstream(name) != nil
}

// IsLeaving reports whether the rules list the host or upstream as leaving.
func (r *Rules) IsLeaving(name string) bool {
	return slices.Contains(r.Leaving, name)
}
