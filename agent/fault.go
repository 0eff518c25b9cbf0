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
	// FaultPartition cuts the agent off from every entry for ForMs: open
	// connections drop and new ones are refused, while the target runs on.
	FaultPartition = "partition"
	// FaultPause freezes the agent's relaying for ForMs, as a paused
	// process: tokens are held, then sent late.
	FaultPause = "pause"
)

type (
	// Fault is the body of POST /debug/fault.
	Fault struct {
		Kind  string `json:"kind"`
		ForMs int64  `json:"forMs"`
	}

	// faults are the agent's in-process fault switches; the zero value is
	// none.
	faults struct {
		mu         sync.Mutex
		cutUntil   time.Time
		pauseUntil time.Time
	}
)

func (f *faults) cut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.cutUntil)
}

// waitPause blocks while the agent is paused.
func (f *faults) waitPause(ctx context.Context) {
	f.mu.Lock()
	d := time.Until(f.pauseUntil)
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
		a.faults.cutUntil = until
		a.faults.mu.Unlock()
		conns := a.connections()
		for _, c := range conns {
			c.CloseNow()
		}
		a.log.Warn().Int64("forMs", f.ForMs).Msgf("agent: partitioned from %d entries for %d ms", len(conns), f.ForMs)
	case FaultPause:
		a.faults.mu.Lock()
		a.faults.pauseUntil = until
		a.faults.mu.Unlock()
		a.log.Warn().Int64("forMs", f.ForMs).Msgf("agent: paused for %d ms", f.ForMs)
	default:
		http.Error(w, fmt.Sprintf("unknown fault %q (%s, %s)", f.Kind, FaultPartition, FaultPause), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
