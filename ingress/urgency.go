package ingress

import (
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// urgencyMemory is how long the calls of a service are remembered.
	urgencyMemory = 10 * time.Second
	// firstTryShare of the longest timeout on a route is left to a caller that has not
	// waited elsewhere before.
	firstTryShare = 0.9
	// maxUrgencyRoutes bounds the routes of a service that are remembered, as the operator
	// may add and remove routes all the time. All are forgotten beyond it.
	maxUrgencyRoutes = 4096
)

type (
	// urgency tells which calls come first where a service cannot take all: those of the
	// most urgent priority among them, and of these the ones whose callers have not been
	// rejected before, since only those can still be in time. The zero value is ready to
	// use.
	urgency struct {
		mu       sync.Mutex
		services map[string]*serviceUrgency
	}

	serviceUrgency struct {
		mostUrgent recent[int]                       // priority
		longest    map[string]*recent[time.Duration] // timeout, by route
	}

	// recent is the extreme value of late.
	recent[T any] struct {
		value T
		at    clock.Time // when it was recorded; 0: never
	}
)

// record records v if it exceeds the value, or if the value is old, and returns the value
// then. exceeds compares v with the value.
func (r *recent[T]) record(v T, exceeds func(v, value T) bool, now clock.Time) T {
	if r.at == 0 || exceeds(v, r.value) || now.Sub(r.at) > urgencyMemory {
		r.value, r.at = v, now
	}
	return r.value
}

// isFirst records a call and reports whether it is one of those that come first.
func (u *urgency) isFirst(service, route string, priority int, timeout time.Duration, now clock.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := u.service(service)
	longest := s.recordTimeout(route, timeout, now)
	mostUrgent := s.mostUrgent.record(priority, func(v, value int) bool { return v <= value }, now)
	return priority == mostUrgent && float64(timeout) >= firstTryShare*float64(longest)
}

// waitedElsewhere records a call and returns how long its caller has waited before: a caller
// that was rejected comes back with the rest of its timeout.
func (u *urgency) waitedElsewhere(service, route string, timeout time.Duration, now clock.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	longest := u.service(service).recordTimeout(route, timeout, now)
	if float64(timeout) >= firstTryShare*float64(longest) {
		return 0
	}
	return longest - timeout
}

// recordTimeout records the timeout of a call on a route and returns the longest recent one.
func (s *serviceUrgency) recordTimeout(route string, timeout time.Duration, now clock.Time) time.Duration {
	if s.longest[route] == nil {
		if len(s.longest) >= maxUrgencyRoutes {
			clear(s.longest)
		}
		s.longest[route] = &recent[time.Duration]{}
	}
	return s.longest[route].record(timeout, func(v, value time.Duration) bool { return v >= value }, now)
}

// service returns what is known of a service; u.mu is held.
func (u *urgency) service(name string) *serviceUrgency {
	if u.services == nil {
		u.services = map[string]*serviceUrgency{}
	}
	if u.services[name] == nil {
		u.services[name] = &serviceUrgency{longest: map[string]*recent[time.Duration]{}}
	}
	return u.services[name]
}
