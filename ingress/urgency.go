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
		mostUrgent recentMin[int]                       // priority
		timeouts   map[string]*recentMin[time.Duration] // longest, negated, by route
	}

	// recentMin is the least value of late.
	recentMin[T int | time.Duration] struct {
		value T
		at    clock.Time // 0: none
	}
)

// add adds a value and returns the least one of late.
func (m *recentMin[T]) add(v T, now clock.Time) T {
	if m.at == 0 || v <= m.value || now.Sub(m.at) > urgencyMemory {
		m.value, m.at = v, now
	}
	return m.value
}

// isFirst records a call and reports whether it is one of those that come first.
func (u *urgency) isFirst(service, route string, priority int, timeout time.Duration, now clock.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.services == nil {
		u.services = map[string]*serviceUrgency{}
	}
	s := u.services[service]
	if s == nil {
		s = &serviceUrgency{timeouts: map[string]*recentMin[time.Duration]{}}
		u.services[service] = s
	}
	if s.timeouts[route] == nil {
		s.timeouts[route] = &recentMin[time.Duration]{}
	}
	longest := -s.timeouts[route].add(-timeout, now)
	return s.mostUrgent.add(priority, now) == priority && float64(timeout) >= firstTryShare*float64(longest)
}
