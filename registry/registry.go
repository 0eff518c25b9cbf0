// Package registry keeps the targets that this instance knows, by service,
// with what it believes of each: connections, health and the work it has
// there.
package registry

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// connShare is the part of a target's connections that one instance may
// hold: the limit is for all callers of the target together, and most of
// them are idle at any time.
const connShare = 0.5

type (
	// Registry is the set of known targets. The zero value is empty and
	// ready to use.
	Registry struct {
		mu       sync.RWMutex
		byID     map[string]*Member
		byAddr   map[string]*Member // the newest at each address
		services map[string][]*Member
		refused  map[string]bool // ids whose address answered for another target

		busyMu sync.Mutex
		busy   map[*Member]bool // targets with own work
		edits  atomic.Uint64    // changes of own work at any target
	}

	// Member is one known target.
	Member struct {
		conns  *upstream.Pool
		health health.State
		work   Work

		mu     sync.Mutex
		target ragworthitch.Target
		goneAt clock.Time // when the target counts as gone; 0: its entry stands
	}
)

// Target is the target's last known entry.
func (m *Member) Target() ragworthitch.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.target
}

// Conns are the connections to the target.
func (m *Member) Conns() *upstream.Pool { return m.conns }

// Health is the belief about the target.
func (m *Member) Health() *health.State { return &m.health }

// Work is what this instance has at the target.
func (m *Member) Work() *Work { return &m.work }

// Takes reports whether the target may get new work now.
func (m *Member) Takes(now clock.Time) bool {
	m.mu.Lock()
	ok := !m.target.Draining() && (m.goneAt == 0 || now < m.goneAt)
	m.mu.Unlock()
	return ok && m.health.Usable(now)
}

// Put adds a target or takes over its newer entry. maxConns is how many
// connections the target takes from all callers; 0 if not known. A target
// whose address a new one has taken is gone: a crashed target's entry stands
// for some seconds after its successor's has come.
func (r *Registry) Put(t ragworthitch.Target, maxConns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID, r.byAddr = map[string]*Member{}, map[string]*Member{}
		r.services, r.refused = map[string][]*Member{}, map[string]bool{}
	}
	if r.refused[t.ID()] {
		return
	}
	m := r.byID[t.ID()]
	if m == nil {
		m = &Member{conns: upstream.NewPool(t.Address(), int(connShare*float64(maxConns))), target: t}
		m.work.note = func(busy bool) { r.noteWork(m, busy) }
		if old := r.byAddr[t.Address()]; old != nil {
			r.refused[old.target.ID()] = true
			r.forget(old)
		}
		r.byID[t.ID()], r.byAddr[t.Address()] = m, m
		for _, s := range t.Services() {
			r.services[s] = append(r.services[s], m)
		}
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.goneAt = 0
	m.target = t
}

// Vanish notes that a target's entry is gone; until is how long it may still
// get work, for entries that lapsed while the store was away. A zero until
// removes it at once.
func (r *Registry) Vanish(id string, now, until clock.Time) {
	r.mu.RLock()
	m := r.byID[id]
	r.mu.RUnlock()
	if m == nil {
		return
	}
	if until <= now {
		r.remove(m)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.goneAt == 0 {
		m.goneAt = until
	}
}

// Refused notes that the target's address answered for another target: this
// boot of it has ended, whatever its entry says.
func (r *Registry) Refused(id string) {
	r.mu.Lock()
	m := r.byID[id]
	if r.refused != nil {
		r.refused[id] = true
	}
	r.mu.Unlock()
	if m != nil {
		r.remove(m)
	}
}

// Expire removes the targets whose time has come.
func (r *Registry) Expire(now clock.Time) {
	r.mu.RLock()
	var out []*Member
	for _, m := range r.byID {
		m.mu.Lock()
		if m.goneAt != 0 && now >= m.goneAt {
			out = append(out, m)
		}
		m.mu.Unlock()
	}
	r.mu.RUnlock()
	for _, m := range out {
		r.remove(m)
	}
}

func (r *Registry) remove(m *Member) {
	r.mu.Lock()
	r.forget(m)
	r.mu.Unlock()
}

// forget takes m out of the registry; r.mu is held.
func (r *Registry) forget(m *Member) {
	t := m.Target()
	if r.byID[t.ID()] != m {
		return
	}
	delete(r.byID, t.ID())
	if r.byAddr[t.Address()] == m {
		delete(r.byAddr, t.Address())
	}
	for _, s := range t.Services() {
		r.services[s] = slices.DeleteFunc(slices.Clone(r.services[s]), func(o *Member) bool { return o == m })
	}
	m.conns.Close()
}

// At returns the target that now has an address, or nil.
func (r *Registry) At(addr string) *Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byAddr[addr]
}

// noteWork notes a change of own work at m.
func (r *Registry) noteWork(m *Member, busy bool) {
	r.busyMu.Lock()
	defer r.busyMu.Unlock()
	if r.busy == nil {
		r.busy = map[*Member]bool{}
	}
	if busy {
		r.busy[m] = true
	} else {
		delete(r.busy, m)
	}
	r.edits.Add(1)
}

// Busy are the targets with work of this instance.
func (r *Registry) Busy() []*Member {
	r.busyMu.Lock()
	defer r.busyMu.Unlock()
	out := make([]*Member, 0, len(r.busy))
	for m := range r.busy {
		out = append(out, m)
	}
	return out
}

// Edits counts the changes of this instance's own work at all targets: while
// it stands still, so does the work.
func (r *Registry) Edits() uint64 { return r.edits.Load() }

// IDs are the ids of all known targets.
func (r *Registry) IDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]string, 0, len(r.byID))
	for id := range r.byID {
		out = append(out, id)
	}
	return out
}

// Service returns the targets of a service. The caller must not change it.
func (r *Registry) Service(name string) []*Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

// ByID returns a target, or nil.
func (r *Registry) ByID(id string) *Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// All returns all known targets.
func (r *Registry) All() []*Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]*Member, 0, len(r.byID))
	for _, m := range r.byID {
		out = append(out, m)
	}
	return out
}

// Forget drops what an instance has said of its work.
func (r *Registry) Forget(node string) {
	for _, m := range r.All() {
		m.work.SetOther(node, Load{})
	}
}
