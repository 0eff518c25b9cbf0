// Package desired keeps the desired state in force at this instance and
// decides what it allows: which route a call takes and which organisation a
// key belongs to. Versions only move forward, and each answer says how old
// the proof is that no newer version was in force.
package desired

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

var (
	// ErrUnknown means that this instance cannot tell what is in force: it
	// has read no desired state yet or its last proof is too old. The call
	// was not run and may come back.
	ErrUnknown = errors.New("desired: state in force not known")
	// ErrNoRoute means that no route matches the call.
	ErrNoRoute = errors.New("desired: no such route")
	// ErrNoKey means that the key belongs to no organisation.
	ErrNoKey = errors.New("desired: unknown key")
)

type (
	// Book holds the newest desired state this instance has seen. The zero
	// value knows nothing and needs its Ages set before use.
	Book struct {
		ages  Ages
		cur   atomic.Pointer[table]
		proof atomic.Int64 // clock.Time of the start of the last good read

		mu sync.Mutex // serialises Apply
	}

	// Ages bound how old the proof of the state in force may be.
	Ages struct {
		// Deny is the oldest proof on which a call may be denied for good
		// (no route, unknown key). It lies below the time within which a
		// new version has to be in force.
		Deny time.Duration
		// Key is the oldest proof on which a key is accepted. It lies below
		// the time within which a key that was taken away has to be refused.
		Key time.Duration
	}

	// Grant is what the state in force allows a call.
	Grant struct {
		Route   *ragworthitch.Route
		Service ragworthitch.Service
		Org     string // empty if the route needs no key
		// Priority is the call's rank: the organisation's if it has one of
		// its own, else the route's. 0 is the most urgent.
		Priority int
		Version  int64
		Age      time.Duration // age of the proof that the version is in force
	}
)

// NewBook returns a book that knows nothing yet.
func NewBook(ages Ages) *Book { return &Book{ages: ages} }

// Apply takes a state over if it is newer than the one in force, and reports
// whether it was.
func (b *Book) Apply(d *ragworthitch.DesiredState) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cur := b.cur.Load(); cur != nil && d.Version() <= cur.state.Version() {
		return false
	}
	b.cur.Store(compile(d))
	return true
}

// Proved notes that at the moment at nothing newer than the applied state
// was in force. at is the start of a read that has been answered.
func (b *Book) Proved(at clock.Time) {
	for {
		old := b.proof.Load()
		if int64(at) <= old || b.proof.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age is how old the proof of the state in force is; ok is false if there is
// none yet.
func (b *Book) Age(now clock.Time) (age time.Duration, ok bool) {
	p := b.proof.Load()
	if p == 0 || b.cur.Load() == nil {
		return 0, false
	}
	return now.Sub(clock.Time(p)), true
}

// State is the state in force, or nil if none is known.
func (b *Book) State() *ragworthitch.DesiredState {
	if t := b.cur.Load(); t != nil {
		return t.state
	}
	return nil
}

// Judge decides what a call to host and path with a key may do. point, in
// [0, 1), picks the service of a split route. Errors: ErrUnknown, ErrNoRoute
// and ErrNoKey; the grant's Version and Age are set in any case.
func (b *Book) Judge(now clock.Time, host, path, key string, point float64) (Grant, error) {
	age, ok := b.Age(now)
	if !ok {
		return Grant{}, ErrUnknown
	}
	t := b.cur.Load()
	g := Grant{Version: t.state.Version(), Age: age}
	g.Route = t.route(host, path)
	if g.Route == nil {
		return g, b.deny(age, ErrNoRoute)
	}
	g.Priority = g.Route.Priority()
	if t.keyed && !g.Route.Public() {
		if age > b.ages.Key {
			return g, ErrUnknown
		}
		org := t.keys[key]
		if org == nil {
			return g, b.deny(age, ErrNoKey)
		}
		g.Org = org.Name()
		if org.Priority() >= 0 {
			g.Priority = org.Priority()
		}
	}
	svc, ok := t.state.Service(g.Route.Service(point))
	if !ok {
		return g, ErrUnknown
	}
	g.Service = svc
	return g, nil
}

// deny returns err, or ErrUnknown if the proof is too old to deny a call for
// good: a newer version may allow it.
func (b *Book) deny(age time.Duration, err error) error {
	if age > b.ages.Deny {
		return ErrUnknown
	}
	return err
}
