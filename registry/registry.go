// Package registry keeps the targets that this instance knows, by service,
// with what it believes of each: connections, health and the work it has
// there.
package registry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// connShare is the part of a target's connections that one instance may
// hold: the limit is for all callers of the target together, and most of
// them are idle at any time.
const connShare = 0.5

// Outcomes of Put.
const (
	// Ignored: the entry is of a boot that has ended, or an earlier one of a
	// boot that is leaving, or does not tell the start that the target has told
	// before.
	Ignored Outcome = "ignored"
	// Known: the target was known, and its entry has been taken over.
	Known Outcome = "known"
	// Added: the target was not known.
	Added Outcome = "added"
	// Restarted: the id was known by an earlier boot, which has ended.
	Restarted Outcome = "restarted"
)

// ErrEnded is why the context of an order ends whose target's boot has ended.
var ErrEnded = errors.New("registry: this boot of the target has ended")

type (
	// Outcome says what Put did.
	Outcome string

	// Registry is the set of known targets. The zero value is empty and
	// ready to use.
	Registry struct {
		mu       sync.RWMutex
		byID     map[string]*Member
		byAddr   map[string]*Member // the newest at each address
		services map[string][]*Member
		ended    map[string]ending      // by id, what is known of boots that have ended
		doubts   map[string]doubt       // by id: what was heard of a boot that should have ended
		stale    map[place][]clock.Time // when targets' entries were found to be out of date

		busyMu sync.Mutex
		busy   map[*Member]bool // targets with own work
		edits  atomic.Uint64    // changes of own work at any target
	}

	// Member is one known target.
	Member struct {
		conns  *upstream.Pool
		health health.State
		pace   pace.Engine
		work   Work

		addedAt clock.Time

		life context.Context // ends when the boot is known to have ended
		end  context.CancelCauseFunc

		mu         sync.Mutex
		target     ragworthitch.Target
		coldUntil  clock.Time // the target is slow after its start until then
		goneAt     clock.Time // when the target counts as gone; 0: its entry stands
		unreadable bool       // its entry cannot be read now
		next       int64      // start of the boot that came after it at its address; 0: not known
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

// Pace is what was learnt of the target's speed, if it is a model engine.
func (m *Member) Pace() *pace.Engine { return &m.pace }

// Work is what this instance has at the target.
func (m *Member) Work() *Work { return &m.work }

// Life ends, with the cause ErrEnded, when this boot of the target is known to
// have ended: orders that it had are lost.
func (m *Member) Life() context.Context { return m.life }

// Lost reports whether an order that was sent at a time, by the time of day, is
// lost with the target's boot. One that was sent after the next boot under the
// same id and at the same address had started went to that one, though its entry
// was not known yet.
func (m *Member) Lost(sent time.Time) bool {
	if m.life.Err() == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next == 0 || sent.UnixMilli() < m.next
}

// AddedAt is when this boot of the target came to be known.
func (m *Member) AddedAt() clock.Time { return m.addedAt }

// Takes reports whether the target may get new work now.
func (m *Member) Takes(now clock.Time) bool {
	m.mu.Lock()
	ok := !m.unreadable && !m.target.Draining() && (m.goneAt == 0 || now < m.goneAt)
	m.mu.Unlock()
	return ok && m.health.Usable(now)
}

// Put adds a target or takes over its newer entry. maxConns is how many
// connections the target takes from all callers; 0 if not known.
//
// A later start under a known id, or another address, is a new boot: nothing
// held or believed of the one before counts for it. An entry that does not
// tell the start which its target has told before is another writer's. A
// target whose address a new one has taken is gone: a crashed target's entry
// stands for some seconds after its successor's has come.
func (r *Registry) Put(t ragworthitch.Target, maxConns int) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	started := t.Boot().Started()
	m := r.byID[t.ID()]
	if m != nil && started == 0 && m.Target().Boot().Started() != 0 {
		m.setUnreadable()
		return Ignored
	}
	if r.ended[t.ID()].has(started) {
		if !r.lives(t) {
			return Ignored
		}
		delete(r.ended, t.ID())
	}
	delete(r.doubts, t.ID())
	if m != nil && t.Boot() == m.Target().Boot() && t.Address() == m.Target().Address() {
		return r.renew(m, t, maxConns)
	}
	if old := r.byAddr[t.Address()]; old != nil && old != m {
		if started == 0 && old.Target().Boot().Started() != 0 {
			return Ignored // another writer's: targets there tell their start
		}
		r.bar(old.Target().Boot())
		r.forget(old)
	}
	outcome := Added
	if m != nil {
		next := started
		if m.Target().Address() != t.Address() {
			next = 0 // orders sent to the old address cannot have reached it
		}
		r.retire(m, next)
		outcome = Restarted
	}
	r.add(t, maxConns)
	return outcome
}

// late reports whether an entry is one that its target wrote before the known
// one, in which it says that it is leaving: a write may reach the store seconds
// late, and a boot that leaves does not come back.
func late(t, known ragworthitch.Target) bool {
	return known.Draining() && !t.Draining() && t.Sequence() <= known.Sequence()
}

func (r *Registry) init() {
	if r.byID == nil {
		r.byID, r.byAddr = map[string]*Member{}, map[string]*Member{}
		r.services, r.ended = map[string][]*Member{}, map[string]ending{}
		r.stale, r.doubts = map[place][]clock.Time{}, map[string]doubt{}
	}
}

// own is this instance's part of a target's connections.
func own(maxConns int) int { return int(connShare * float64(maxConns)) }

// add makes a target's member; r.mu is held.
func (r *Registry) add(t ragworthitch.Target, maxConns int) {
	m := &Member{addedAt: clock.Now(), conns: upstream.NewPool(t.Address(), own(maxConns)), target: t, coldUntil: clock.Now().Add(t.ColdFor())}
	m.life, m.end = context.WithCancelCause(context.Background())
	m.work.note = func(busy bool) { r.noteWork(m, busy) }
	r.byID[t.ID()], r.byAddr[t.Address()] = m, m
	r.noteStart(t.Boot())
	r.list(m)
}

// list puts m into the lists of its services; r.mu is held.
func (r *Registry) list(m *Member) {
	for _, s := range m.Target().Services() {
		if !slices.Contains(r.services[s], m) {
			r.services[s] = append(slices.Clone(r.services[s]), m)
		}
	}
}

// unlist takes m out of them; r.mu is held.
func (r *Registry) unlist(m *Member) {
	for _, s := range m.Target().Services() {
		r.services[s] = slices.DeleteFunc(slices.Clone(r.services[s]), func(o *Member) bool { return o == m })
	}
}

// renew takes over a newer entry of a boot that is known; r.mu is held.
func (r *Registry) renew(m *Member, t ragworthitch.Target, maxConns int) Outcome {
	old := m.Target()
	if late(t, old) {
		return Ignored
	}
	if slices.Equal(t.Services(), old.Services()) {
		m.renew(t)
	} else {
		r.unlist(m)
		m.renew(t)
		r.list(m)
	}
	m.conns.Limit(own(maxConns))
	return Known
}

// renew takes over a newer entry of the same boot.
func (m *Member) renew(t ragworthitch.Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.goneAt, m.unreadable, m.target = 0, false, t
	m.coldUntil = clock.Now().Add(t.ColdFor())
}

// Cold reports whether the target is still slow after its start, as its entry
// said.
func (m *Member) Cold(now clock.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now < m.coldUntil
}

// setUnreadable reports whether the entry could be read before.
func (m *Member) setUnreadable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.unreadable
	m.unreadable = true
	return !before
}

// Unreadable notes that a target's entry cannot be read: until a good one
// comes, the target takes no new work, if it was known at all. It reports
// whether that is news.
func (r *Registry) Unreadable(id string) bool {
	m := r.ByID(id)
	return m != nil && m.setUnreadable()
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

// remove takes a target out whose entry is gone. A boot that was leaving has
// ended: a write of it that comes late does not bring it back. Where targets do
// not tell their start, the next boot may look the same, and is not barred.
func (r *Registry) remove(m *Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := m.Target(); t.Draining() && t.Boot().Started() != 0 {
		r.bar(t.Boot())
	}
	r.forget(m)
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
	r.unlist(m)
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

// ByID returns the target that now has an id, or nil.
func (r *Registry) ByID(id string) *Member {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.byID[id]
}

// Boot returns a boot of a target, or nil if it is not the one that is known
// now.
func (r *Registry) Boot(b ragworthitch.Boot) *Member {
	if m := r.ByID(b.ID()); m != nil && m.Target().Boot() == b {
		return m
	}
	return nil
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
