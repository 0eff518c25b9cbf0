package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/poison"
)

const (
	crashDowntime = 3 * time.Second // of an engine after a crash
	// allowedCrashes is the number of engines that a request may crash before it
	// is quarantined. propagationTime is the time that the quarantine may then
	// take to reach all entry instances.
	allowedCrashes  = 3
	propagationTime = 3 * time.Second

	poisonSubject      = "deadly"
	poisonPromptTokens = 8000
	poisonEvents       = 130
)

type (
	// poisonStats records when a poison request was sent to engines and crashed
	// them.
	poisonStats struct {
		mu       sync.Mutex
		attempts []time.Time
		crashes  []time.Time
	}

	// store persists the records of crashes, as entry instances keep none over
	// a restart, and the claims of probes.
	store struct {
		mu            sync.Mutex
		unavailable   bool
		rows          map[poison.RowKey]poison.Row
		claimedProbes map[poison.Fingerprint]int
	}

	// recordingSender records the attempts of poison requests.
	recordingSender struct {
		emulator.Sender
		sim *simulation
	}
)

// Send sends an attempt to its engine.
func (s recordingSender) Send(ctx context.Context, r *ingress.AttemptRequest) (*ingress.Reply, error) {
	if r.Call.Subject == poisonSubject {
		s.sim.poisonStats.mu.Lock()
		s.sim.poisonStats.attempts = append(s.sim.poisonStats.attempts, time.Now())
		s.sim.poisonStats.mu.Unlock()
	}
	return s.Sender.Send(ctx, r)
}

// sendPoisonRequests sends the fault's poison requests, evenly spread over its
// duration, to random entry instances.
func (sim *simulation) sendPoisonRequests(ctx context.Context, f Fault) {
	interval := time.Duration(f.ForMs) * time.Millisecond / time.Duration(max(1, f.Requests))
	for n := range f.Requests {
		go sim.callWithPoison(ctx, n)
		if !clock.Sleep(ctx, interval) {
			return
		}
	}
}

// callWithPoison sends a poison request up to maxSends times. The caller doesn't
// send it again after status 500, which rejects a quarantined request.
func (sim *simulation) callWithPoison(ctx context.Context, n int) {
	route, key := sim.workload.routes()[0], ""
	if _, orgs := sim.workload.Orgs.names(); len(orgs) > 0 {
		key = orgs[0]
	}
	for index := range maxSends {
		call := &ingress.Call{ID: fmt.Sprintf("%s-%d-%d", poisonSubject, n, index), Method: http.MethodPost, Host: host, Path: route.path(), Key: key, Header: http.Header{},
			Timeout: callTimeout, Prompt: poisonPromptTokens, MaxTokens: poisonEvents * sim.workload.profile().TokensPerEvent, Subject: poisonSubject,
			Body: emulator.PoisonBody(poisonEvents, poisonSubject), Received: clock.Now()}
		w := &responseWriter{c: &caller{}}
		entry := sim.randomEntry("", nil)
		callCtx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(entry.ctx, cancel)
		entry.handler.ServeComplete(callCtx, w, call)
		stop()
		cancel()
		if w.status == http.StatusInternalServerError || ctx.Err() != nil {
			return
		}
	}
}

// crash crashes an engine and restarts it after crashDowntime.
func (sim *simulation) crash(node *emulator.Node) {
	if node.State() != emulator.Up {
		return
	}
	sim.poisonStats.mu.Lock()
	sim.poisonStats.crashes = append(sim.poisonStats.crashes, time.Now())
	sim.poisonStats.mu.Unlock()
	node.Fail(emulator.Down)
	time.AfterFunc(crashDowntime, func() {
		node.Restart(false)
		time.AfterFunc(discoveryDelay, func() { sim.registerBoot(node) })
	})
}

// summary returns the number of crashes, and of the attempts that were sent
// after the quarantine should have reached all entry instances.
func (s *poisonStats) summary() (crashed, late int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.crashes) < allowedCrashes {
		return len(s.crashes), 0
	}
	lateFrom := s.crashes[allowedCrashes-1].Add(propagationTime)
	for _, at := range s.attempts {
		if at.After(lateFrom) {
			late++
		}
	}
	return len(s.crashes), late
}

// killEntries replaces all entry instances by new ones, which load the stored
// records of crashes.
func (sim *simulation) killEntries() {
	rows := sim.store.list()
	for i, old := range sim.allEntries() {
		entry := newInstance(sim, old.name, sim.workload.Zones[i%len(sim.workload.Zones)])
		entry.poisonTracker.ApplySnapshot(rows, clock.Now())
		old.cancel()
		sim.mu.Lock()
		sim.entries[i] = entry
		sim.mu.Unlock()
	}
	for _, c := range sim.callers {
		c.resetConnection()
	}
}

// claim claims the probes of one call in the store. It returns false if another entry
// instance has claimed one of them or the store is unavailable.
func (in *instance) claim(_ context.Context, probes []poison.Probe) bool {
	s := &in.sim.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range probes {
		if s.unavailable || s.claimedProbes[p.Fingerprint] >= p.Count {
			return false
		}
	}
	if s.claimedProbes == nil {
		s.claimedProbes = map[poison.Fingerprint]int{}
	}
	for _, p := range probes {
		s.claimedProbes[p.Fingerprint] = p.Count
	}
	return in.poisonTracker.ClaimProbes(probes, int64(probes[0].Count), clock.Now())
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// save applies an entry instance's pending edits to the stored rows.
func (s *store) save(poisonTracker *poison.Tracker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return
	}
	if s.rows == nil {
		s.rows = map[poison.RowKey]poison.Row{}
	}
	edits, _ := poisonTracker.TakeEdits()
	for _, e := range edits {
		for _, k := range e.Drop {
			delete(s.rows, k)
		}
		if len(e.Drop) == 0 {
			k := poison.RowKey{Fingerprint: e.Crash.Fingerprint, Boot: e.Crash.Boot}
			s.rows[k] = poison.Row{RowKey: k, Crash: e.Crash}
		}
	}
}

func (s *store) list() []poison.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []poison.Row
	for _, r := range s.rows {
		out = append(out, r)
	}
	return out
}
