package experiment

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
)

// attemptEndDelay is the time in which the attempts of callers that are gone end.
const attemptEndDelay = 10 * time.Millisecond

// simulation is the simulation of a workload with one variant.
type simulation struct {
	workload    Workload
	variant     Variant
	state       *ragworthitch.DesiredState
	cluster     *emulator.Cluster
	callers     []*caller
	callersByID map[string]*caller
	startedAt   time.Time
	poisonStats poisonStats
	store       store

	mu      sync.Mutex
	entries []*instance
	rng     *rand.Rand // for draws whose order depends on the simulation
}

// Simulate simulates a workload with a variant, and returns when the last caller
// has its answer or has given up.
func Simulate(ctx context.Context, w Workload, v Variant) (Result, error) {
	state, err := desiredState(&w, !v.NoReplicas)
	if err != nil {
		return Result{}, err
	}
	sim := &simulation{workload: w, variant: v, state: state, cluster: emulator.NewCluster(serviceName, w.Engines, w.Zones, w.profile()), startedAt: time.Now(),
		rng: rand.New(rand.NewPCG(w.Seed, 2))}
	for n, node := range sim.nodes() {
		node.SetSlowdown(w.slowdown(n))
	}
	if slices.ContainsFunc(w.Faults, func(f Fault) bool { return f.SameID }) {
		sim.cluster.ReportStartTimes()
	}
	sim.cluster.CloseTime = max(time.Duration(w.CloseMs)*time.Millisecond, v.CloseUnseen)
	sim.cluster.CloseUnseen = v.CloseUnseen > 0
	sim.cluster.OnCrash = sim.crash
	sim.cluster.OnAttemptEnd = sim.recordUsage
	for i := range w.Entries {
		sim.entries = append(sim.entries, newInstance(sim, fmt.Sprint("entry-", i), w.Zones[i%len(w.Zones)]))
	}
	sim.callers = sim.drawCallers(rand.New(rand.NewPCG(w.Seed, 1)))
	sim.callersByID = map[string]*caller{}
	for _, c := range sim.callers {
		sim.callersByID[c.id] = c
	}
	simCtx, stop := context.WithCancel(ctx)
	var background, callers conc.WaitGroup
	for _, node := range sim.cluster.Nodes() {
		background.Go(func() { node.Run(simCtx) })
	}
	for i := range w.Entries {
		background.Go(func() { sim.reportPeriodically(simCtx, i) })
	}
	if w.Noise.Share > 0 {
		for n, node := range sim.nodes() {
			background.Go(func() { w.Noise.run(simCtx, node, rand.New(rand.NewPCG(w.Seed, uint64(n)))) })
		}
	}
	for _, f := range w.Faults {
		background.Go(func() { sim.injectFault(simCtx, f) })
	}
	for _, c := range sim.callers {
		callers.Go(func() {
			if clock.Sleep(simCtx, c.arrival) {
				c.call(simCtx)
			}
		})
	}
	callers.Wait()
	clock.Sleep(simCtx, attemptEndDelay)
	stop()
	background.Wait()
	return sim.measure(), ctx.Err()
}

// countEntries returns the number of entry instances that share the retry budget.
func (sim *simulation) countEntries() (int, clock.Time, bool) {
	return sim.workload.Entries, clock.Now(), true
}

// Compare simulates draws of a workload with every variant, all concurrently.
func Compare(ctx context.Context, w Workload, variants []Variant, draws int) ([]Result, error) {
	out := make([]Result, len(variants))
	group := pool.New().WithErrors()
	for i, v := range variants {
		group.Go(func() (err error) {
			out[i], err = simulateDraws(ctx, w, v, draws)
			return err
		})
	}
	return out, group.Wait()
}

// simulateDraws simulates a workload with a variant once for each draw, which
// has a seed of its own.
func simulateDraws(ctx context.Context, w Workload, v Variant, draws int) (Result, error) {
	out := make([]Result, draws)
	group := pool.New().WithErrors()
	for i := range draws {
		w.Seed++
		drawn := w
		group.Go(func() (err error) {
			out[i], err = Simulate(ctx, drawn, v)
			return err
		})
	}
	err := group.Wait()
	return merge(out), err
}

// randomEntry chooses an entry instance of a zone, as a load balancer does; an empty zone
// means all. It avoids one instance if there are others.
func (sim *simulation) randomEntry(zone string, avoid *instance) *instance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	usable := slices.Clone(sim.entries)
	if zone != "" {
		usable = slices.DeleteFunc(usable, func(in *instance) bool { return in.zone != zone })
	}
	if avoid != nil && len(usable) > 1 {
		usable = slices.DeleteFunc(usable, func(in *instance) bool { return in == avoid })
	}
	return usable[sim.rng.IntN(len(usable))]
}

// selects draws whether a fault affects one of its candidates; a share of 0
// affects all.
func (sim *simulation) selects(share float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return share == 0 || sim.rng.Float64() < share
}

// injectFault starts a fault at its time, and ends it.
func (sim *simulation) injectFault(ctx context.Context, f Fault) {
	if !clock.Sleep(ctx, time.Duration(f.AtMs)*time.Millisecond) {
		return
	}
	switch f.Kind {
	case FaultReset:
		for _, c := range sim.callers {
			if sim.selects(f.Share) {
				c.resetConnection()
			}
		}
	case FaultPacketLoss:
		sim.cluster.SetPacketLoss(f.Zone, f.Share)
		clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
		sim.cluster.SetPacketLoss(f.Zone, 0)
	case FaultDown:
		sim.failEngines(ctx, f, emulator.Down)
	case FaultUnreachable:
		sim.failEngines(ctx, f, emulator.Unreachable)
	case FaultStuck:
		sim.failEngines(ctx, f, emulator.Stuck)
	case FaultSlow:
		sim.slowDown(ctx, f)
	case FaultBackoff:
		sim.askBackoffs(ctx, f)
	case FaultDraining:
		for _, node := range sim.selectNodes(f) {
			node.SayDraining()
		}
		sim.failEngines(ctx, f, emulator.Up)
	case FaultPoison:
		sim.sendPoisonRequests(ctx, f)
	case FaultKillEntries:
		sim.killEntries()
	case FaultStoreUnavailable:
		sim.store.setUnavailable(true)
		clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
		sim.store.setUnavailable(false)
	}
}

// nodes returns the cluster's engines in the order of their addresses.
func (sim *simulation) nodes() []*emulator.Node {
	return slices.SortedFunc(maps.Values(sim.cluster.Nodes()), func(a, b *emulator.Node) int { return cmp.Compare(a.Addr, b.Addr) })
}

// slowDown slows engines for the fault's duration: the first ones, so that they
// are the same for every variant.
func (sim *simulation) slowDown(ctx context.Context, f Fault) {
	var affected []int
	nodes := sim.nodes()
	for n, node := range nodes {
		if f.affects(n, len(nodes)) && (f.Zone == "" || node.Zone == f.Zone) {
			affected = append(affected, n)
			node.SetSlowdown(f.Factor * sim.workload.slowdown(n))
		}
	}
	clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
	for _, n := range affected {
		nodes[n].SetSlowdown(sim.workload.slowdown(n))
	}
}

// askBackoffs makes engines ask for backoffs for the fault's duration.
func (sim *simulation) askBackoffs(ctx context.Context, f Fault) {
	affected := sim.selectNodes(f)
	for _, node := range affected {
		node.AskBackoff(time.Duration(f.BackoffMs) * time.Millisecond)
	}
	clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
	for _, node := range affected {
		node.AskBackoff(0)
	}
}

// affects reports whether a fault affects the nth of all engines.
func (f Fault) affects(n, engines int) bool {
	return f.Share == 0 || float64(n) < f.Share*float64(engines)
}

// selectNodes selects the engines that a fault makes fail. With a zone each engine of
// the zone fails with the probability of the share. Without a zone the share is exact,
// and the engines are the same for every variant.
func (sim *simulation) selectNodes(f Fault) []*emulator.Node {
	var out []*emulator.Node
	if f.Zone != "" {
		for _, node := range sim.cluster.Nodes() {
			if node.Zone == f.Zone && sim.selects(f.Share) {
				out = append(out, node)
			}
		}
		return out
	}
	nodes := sim.nodes()
	rng := rand.New(rand.NewPCG(sim.workload.Seed, uint64(f.AtMs)))
	for _, i := range rng.Perm(len(nodes)) {
		if f.affects(len(out), len(nodes)) {
			out = append(out, nodes[i])
		}
	}
	return out
}

// failEngines makes engines fail for the fault's duration. The entry instances learn
// of their new boots after discoveryDelay.
func (sim *simulation) failEngines(ctx context.Context, f Fault, state emulator.State) {
	affected := sim.selectNodes(f)
	for _, node := range affected {
		node.Fail(state)
	}
	if !clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond) {
		return
	}
	for _, node := range affected {
		node.Restart(f.SameID)
	}
	if state == emulator.Stuck || !clock.Sleep(ctx, discoveryDelay) {
		return
	}
	for _, node := range affected {
		sim.registerBoot(node)
	}
}

// registerBoot registers an engine's current boot at all entry instances.
func (sim *simulation) registerBoot(node *emulator.Node) {
	for _, entry := range sim.allEntries() {
		entry.targets.Put(sim.cluster.Target(node), 0)
	}
}

func (sim *simulation) allEntries() []*instance {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return slices.Clone(sim.entries)
}
