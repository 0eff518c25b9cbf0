package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault kinds of POST /debug/fault, for tests and the load tool.
const (
	// FaultPartition closes the connections of all entry instances and rejects
	// new ones for ForMs. The target keeps running.
	FaultPartition = "partition"
	// FaultPause delays messages from entry instances and tokens by up to ForMs,
	// as if the process were paused.
	FaultPause = "pause"
)

type (
	// Fault is the body of POST /debug/fault.
	Fault struct {
		Kind  string `json:"kind"`
		ForMs int64  `json:"forMs"`
	}

	// faults holds the injected faults. The zero value injects none.
	faults struct {
		mu               sync.Mutex
		partitionedUntil time.Time
		pausedUntil      time.Time
	}
)

func (f *faults) isPartitioned() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.partitionedUntil)
}

// waitWhilePaused blocks while a FaultPause is active.
func (f *faults) waitWhilePaused(ctx context.Context) {
	f.mu.Lock()
	d := time.Until(f.pausedUntil)
	f.mu.Unlock()
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (a *Agent) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<12)).Decode(&f); err != nil {
		http.Error(w, "bad fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(f.ForMs) * time.Millisecond)
	switch f.Kind {
	case FaultPartition:
		a.faults.mu.Lock()
		a.faults.partitionedUntil = until
		a.faults.mu.Unlock()
		conns := a.connections()
		for _, c := range conns {
			c.CloseNow()
		}
		a.log.Warn().Int64("forMs", f.ForMs).Msgf("agent: partitioned from %d entry instances for %d ms", len(conns), f.ForMs)
	case FaultPause:
		a.faults.mu.Lock()
		a.faults.pausedUntil = until
		a.faults.mu.Unlock()
		a.log.Warn().Int64("forMs", f.ForMs).Msgf("agent: paused for %d ms", f.ForMs)
	default:
		http.Error(w, fmt.Sprintf("unknown fault %q (%s, %s)", f.Kind, FaultPartition, FaultPause), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
