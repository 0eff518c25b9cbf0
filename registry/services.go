package registry

import "slices"

// serviceMembers holds the targets of a service.
type serviceMembers struct {
	members  []*Member
	snapshot []*Member // copy of members that callers of Service share; nil: outdated
}

// add adds m, unless it was the last one added.
func (s *serviceMembers) add(m *Member) {
	if n := len(s.members); n > 0 && s.members[n-1] == m {
		return
	}
	s.members, s.snapshot = append(s.members, m), nil
}

func (s *serviceMembers) remove(m *Member) {
	s.members, s.snapshot = slices.DeleteFunc(s.members, func(o *Member) bool { return o == m }), nil
}

// addToServices adds m to the lists of its services; r.mu is held.
func (r *Registry) addToServices(m *Member) {
	for _, name := range m.Target().Services() {
		s := r.services[name]
		if s == nil {
			s = &serviceMembers{}
			r.services[name] = s
		}
		s.add(m)
	}
}

// removeFromServices removes m from the lists of its services; r.mu is held.
func (r *Registry) removeFromServices(m *Member) {
	for _, name := range m.Target().Services() {
		if s := r.services[name]; s != nil {
			s.remove(m)
		}
	}
}

// Service returns the targets of a service. The caller must not modify the slice.
func (r *Registry) Service(name string) []*Member {
	r.mu.RLock()
	s := r.services[name]
	var snapshot []*Member
	if s != nil {
		snapshot = s.snapshot
	}
	r.mu.RUnlock()
	if s == nil || snapshot != nil {
		return snapshot
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.snapshot == nil {
		s.snapshot = slices.Clone(s.members)
	}
	return s.snapshot
}
