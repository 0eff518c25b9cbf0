package registry

import "github.com/ragworthitch/ragworthitch"

// Sources of what is known of a target's draining.
const (
	notDraining      drainingSource = iota
	drainingAtPeer                  // a peer has reported it
	drainingByAnswer                // an answer of the target has said so
)

type (
	// drainingSource says how an instance knows that a target is draining, the surest last.
	drainingSource uint8

	// location is a boot at an address. Targets without a start time may start again at
	// another address under the same id.
	location struct {
		boot    ragworthitch.Boot
		address string
	}
)

// Draining reports whether the target is draining, by its registration or an answer of it.
func (m *Member) Draining() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isDraining()
}

// isDraining is like Draining; m.mu is held.
func (m *Member) isDraining() bool {
	return m.target.Draining() || m.draining == drainingByAnswer
}

// DrainingAtPeer reports whether only a peer says that the target is draining. Such a target
// gets calls when there is no other one: a wrong report must not leave a service without
// targets.
func (m *Member) DrainingAtPeer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.draining == drainingAtPeer && !m.target.Draining()
}

// RecordDraining records that an answer of the target says that it is draining, and reports
// whether that is new. A draining boot doesn't return: no later registration ends it.
func (m *Member) RecordDraining() bool { return m.recordDraining(drainingByAnswer) }

// RecordDrainingAtPeer records that a peer reports that the target is draining, and reports
// whether that is new.
func (m *Member) RecordDrainingAtPeer() bool { return m.recordDraining(drainingAtPeer) }

func (m *Member) recordDraining(s drainingSource) bool {
	m.mu.Lock()
	if m.draining >= s {
		m.mu.Unlock()
		return false
	}
	m.draining = s
	m.mu.Unlock()
	m.onDraining(s)
	return true
}

// location returns where the member's boot is.
func (m *Member) location() location { return locationOf(m.Target()) }

func locationOf(t ragworthitch.Target) location {
	return location{boot: t.Boot(), address: t.Address()}
}

// addDraining remembers that m is draining. A registration may expire and return, as it was,
// while the store is unavailable: the member is then made anew.
func (r *Registry) addDraining(m *Member, s drainingSource) {
	r.drainingMu.Lock()
	defer r.drainingMu.Unlock()
	if r.drainingMembers == nil {
		r.drainingMembers, r.drainingBoots.Max = map[*Member]bool{}, maxEndedBoots
	}
	r.drainingMembers[m] = true
	r.drainingBoots.Put(m.location(), s)
}

// restoreDraining gives a new member what was known of its boot.
func (r *Registry) restoreDraining(m *Member) {
	r.drainingMu.Lock()
	defer r.drainingMu.Unlock()
	if s, ok := r.drainingBoots.Get(m.location()); ok {
		m.draining = s
		r.drainingMembers[m] = true
	}
}

func (r *Registry) dropDraining(m *Member) {
	r.drainingMu.Lock()
	defer r.drainingMu.Unlock()
	delete(r.drainingMembers, m)
}

// DrainingByReport returns the known targets that answers, of this instance or of peers, say
// to be draining.
func (r *Registry) DrainingByReport() []*Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	r.drainingMu.Lock()
	defer r.drainingMu.Unlock()
	out := make([]*Member, 0, len(r.drainingMembers))
	for m := range r.drainingMembers {
		if r.byID[m.Target().ID()] != m { // dropped before its last answer was read
			delete(r.drainingMembers, m)
			continue
		}
		out = append(out, m)
	}
	return out
}
