// Package desired holds the desired state that this instance applies and decides
// what it allows: the route of a call and the organisation of its key. Versions
// only increase, and each decision says how long ago the state was verified to be
// the newest.
package desired

import (
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

var (
	// ErrStateUnknown means that this instance has read no desired state yet, or verified
	// the state too long ago. The call was not run and may be retried.
	ErrStateUnknown = errors.New("desired: state in force not known")
	// ErrNoRoute means that no route matches the call.
	ErrNoRoute = errors.New("desired: no such route")
	// ErrNoKey means that the key belongs to no organisation.
	ErrNoKey = errors.New("desired: unknown key")
)

type (
	// Tracker holds the newest desired state that this instance has read. Create it with
	// NewTracker.
	Tracker struct {
		ages       Ages
		current    atomic.Pointer[table]
		verifiedAt atomic.Int64 // clock.Time of the start of the last successful read

		mu sync.Mutex // serialises Apply
	}

	// Ages limits how old the verification of the state may be.
	Ages struct {
		// Reject is the maximum age for a final rejection (no route, unknown key). It is
		// shorter than the time within which a new version has to apply.
		Reject time.Duration
		// Key is the maximum age for accepting a key. It is shorter than the time within
		// which a revoked key has to be rejected.
		Key time.Duration
	}

	// Grant is what the state allows a call.
	Grant struct {
		Route   *ragworthitch.Route
		Service ragworthitch.Service
		Org     string // empty if the route needs no key
		// Priority is the organisation's priority if it has one, else the route's. 0 is
		// the most urgent.
		Priority int
		// Level is the place of the call's priority among those that streams to the service
		// may have, of which there are Levels. Level 0 is the most urgent.
		Level, Levels int
		// Differentiated means that routes for streams to the service differ in priority.
		Differentiated bool
		Version        int64
		Age            time.Duration // time since the version was verified to be the newest
	}
)

// NewTracker returns a Tracker without a state.
func NewTracker(ages Ages) *Tracker { return &Tracker{ages: ages} }

// Apply replaces the state by a newer one and reports whether d was newer.
func (t *Tracker) Apply(d *ragworthitch.DesiredState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.current.Load(); current != nil && d.Version() <= current.state.Version() {
		return false
	}
	t.current.Store(newTable(d))
	return true
}

// MarkVerified records that the applied state was the newest one at a time: the start
// of a read of the store that succeeded.
func (t *Tracker) MarkVerified(at clock.Time) {
	for {
		old := t.verifiedAt.Load()
		if int64(at) <= old || t.verifiedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns how long ago the state was verified to be the newest; ok is false if
// it never was.
func (t *Tracker) Age(now clock.Time) (age time.Duration, ok bool) {
	verifiedAt := t.verifiedAt.Load()
	if verifiedAt == 0 || t.current.Load() == nil {
		return 0, false
	}
	return now.Sub(clock.Time(verifiedAt)), true
}

// State returns the applied state, or nil if there is none.
func (t *Tracker) State() *ragworthitch.DesiredState {
	if current := t.current.Load(); current != nil {
		return current.state
	}
	return nil
}

// Differentiated returns the services to which there are routes for streams of different
// priority, in ascending order.
func (t *Tracker) Differentiated() []string {
	current := t.current.Load()
	if current == nil {
		return nil
	}
	var out []string
	for service := range current.priorities {
		if current.isDifferentiated(service) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// IsDifferentiated reports whether routes for streams to the service differ in priority.
func (t *Tracker) IsDifferentiated(service string) bool {
	current := t.current.Load()
	return current != nil && current.isDifferentiated(service)
}

// Judge decides what a call to host and path with a key may do. A call without a key is
// allowed only if its route is public or the state requires no keys; a key that belongs to no
// organisation is never valid. point, in [0, 1),
// picks the service of a split route. Errors: ErrStateUnknown, ErrNoRoute and
// ErrNoKey. Version and Age of the grant are set unless no state was ever verified.
func (t *Tracker) Judge(now clock.Time, host, path, key string, point float64) (Grant, error) {
	age, ok := t.Age(now)
	if !ok {
		return Grant{}, ErrStateUnknown
	}
	current := t.current.Load()
	g := Grant{Version: current.state.Version(), Age: age}
	g.Route = current.route(host, path)
	if g.Route == nil {
		return g, t.rejection(age, ErrNoRoute)
	}
	g.Priority = g.Route.Priority()
	priority := priorityOf(g.Route, nil)
	if !g.Route.Public() && (key != "" || current.state.KeysRequired()) {
		if age > t.ages.Key {
			return g, ErrStateUnknown
		}
		org := current.orgsByKey[key]
		if org == nil {
			return g, t.rejection(age, ErrNoKey)
		}
		g.Org = org.Name()
		if org.Priority() >= 0 {
			g.Priority = org.Priority()
		}
		priority = priorityOf(g.Route, org)
	}
	svc, ok := current.state.Service(g.Route.Service(point))
	if !ok {
		return g, ErrStateUnknown
	}
	g.Service = svc
	priorities := current.priorities[svc.Name()]
	g.Level, g.Levels = max(0, slices.Index(priorities, priority)), len(priorities)
	g.Differentiated = current.isDifferentiated(svc.Name())
	return g, nil
}

// rejection returns err, or ErrStateUnknown if the state was verified too long ago for
// a final rejection: a newer version may allow the call.
func (t *Tracker) rejection(age time.Duration, err error) error {
	if age > t.ages.Reject {
		return ErrStateUnknown
	}
	return err
}
