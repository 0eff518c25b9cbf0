package health

import "sync"

const (
	// minMemoryEvidence is the least size of the bodies at a target, in bytes, that may
	// explain a crash. Below it the requests of a target are small compared to any
	// machine.
	minMemoryEvidence = 1 << 20
	// provenMargin is how far the bodies at a crashed target have to exceed the largest
	// size that targets of the service are known to hold.
	provenMargin = 1.25
	// memoryLimitShare of the size at which a target crashed is what others are sent.
	memoryLimitShare = 0.75
)

type (
	// TargetMemory learns how large the request bodies may be that a target of each service
	// holds at once: targets crash when they exceed their memory. The zero value knows no
	// limit.
	TargetMemory struct {
		mu       sync.RWMutex
		services map[string]memoryEvidence
	}

	// memoryEvidence holds sizes in bytes.
	memoryEvidence struct {
		proven int // largest size that a target held without a crash
		limit  int // 0: none known
	}
)

// HasLimit reports whether a limit is known for the targets of a service.
func (m *TargetMemory) HasLimit(service string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.services[service].limit != 0
}

// Fits reports whether a target of a service can hold bodies of the given total size.
func (m *TargetMemory) Fits(service string, size int) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	limit := m.services[service].limit
	return limit == 0 || size <= limit
}

// Survived records that a target held bodies of the given total size.
func (m *TargetMemory) Survived(service string, size int) {
	m.mu.RLock()
	known := m.services[service]
	m.mu.RUnlock()
	if size <= known.proven {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.services[service]
	e.proven = max(e.proven, size)
	if e.limit != 0 {
		e.limit = max(e.limit, e.proven)
	}
	m.put(service, e)
}

// Crashed records that a target crashed while it held bodies of the given total size, and
// reports whether that explains the crash. body is the size of the request under
// suspicion: a request that makes up most of the total is not explained by the others.
func (m *TargetMemory) Crashed(service string, size, body int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.services[service]
	if size < minMemoryEvidence || body > size/2 || float64(size) < provenMargin*float64(e.proven) {
		return false
	}
	limit := max(int(memoryLimitShare*float64(size)), e.proven)
	if e.limit == 0 || limit < e.limit {
		e.limit = limit
	}
	m.put(service, e)
	return true
}

// put sets the evidence of a service; m.mu is held.
func (m *TargetMemory) put(service string, e memoryEvidence) {
	if m.services == nil {
		m.services = map[string]memoryEvidence{}
	}
	m.services[service] = e
}
