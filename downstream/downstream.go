// Package downstream bounds what clients make a process hold, whoever they are: memory and file
// descriptors, over all connections and at each stage of a connection. It serves HTTP/1.1
// through net/http.
//
// A Guard has one bound of memory for the whole process; each Listener of the process has a
// share of the descriptors, so that a crowd at one address does not keep clients from another. When a bound
// is met, the guard closes connections on whose clients the process waits: those that have
// kept it waiting for the longest and make it hold the most. A connection whose request is
// whole and being served is never closed for another; if there are only such, the new one is
// refused.
package downstream

import (
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
)

// Shares of a process's memory limit. Clients' share and what the process holds without them stay
// below the heap's, so that the garbage collector does not run all the time.
const (
	// MemoryShare is what clients may take.
	MemoryShare = 0.3
	// HeapShare is the soft memory limit of the Go runtime.
	HeapShare = 0.7
)

type (
	// Guard bounds the memory that the clients of a process make it hold. Create it with
	// NewGuard.
	Guard struct {
		log    zerolog.Logger
		scope  tally.Scope
		memory *admit.Memory

		mu        sync.Mutex
		listeners []*Listener

		reclaimMu   sync.Mutex
		reclaimedAt clock.Time // end of the last search for memory
		freeing     bool       // its result
	}

	// bound names what was met.
	bound string
)

// Bounds in logs and metrics.
const (
	boundConnections bound = "connections"
	boundMemory      bound = "memory"
	boundHead        bound = "head_bytes"
	boundHeadTime    bound = "head_time"
	boundIdleTime    bound = "idle_time"
	boundBodyTime    bound = "body_time"
	boundDrain       bound = "drain"
	boundProtocol    bound = "protocol"
)

// NewGuard returns a guard that lets clients take the given number of bytes; 0: no limit.
func NewGuard(memory int64, log zerolog.Logger, scope tally.Scope) *Guard {
	if scope == nil {
		scope = tally.NoopScope
	}
	g := &Guard{log: log, scope: scope, memory: admit.NewMemory(memory)}
	g.memory.Reclaim = g.reclaim
	return g
}

// Memory returns the memory that clients may take. What handlers hold for a client's sake
// counts towards it.
func (g *Guard) Memory() *admit.Memory { return g.memory }

// allListeners returns the listeners of the process.
func (g *Guard) allListeners() []*Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listeners
}
