package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	serviceName = "llm"
	host        = "plans.example"

	reportDelay    = 10 * time.Millisecond // from a change of an instance's load to its report to the peers
	reportInterval = 50 * time.Millisecond // between reports if the load doesn't change
	discoveryDelay = time.Second           // from an engine's restart until the entry instances know its new boot

	// Limits of the route.
	callTimeout            = 25 * time.Second
	firstEventObjective    = 4500 * time.Millisecond // of workloads without routes
	eventIntervalObjective = 700 * time.Millisecond
	forwardingObjective    = 120 * time.Millisecond // from the generation of an event by the engine to its receipt
	maxAttempts            = 5
)

// retryLimit is the retry budget that all entry instances share.
var retryLimit = budget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second}

// instance is an entry instance.
type instance struct {
	name, zone     string
	sim            *simulation
	targets        registry.Registry
	cacheLocations cachelocation.Table
	locationsSent  uint64 // observed cache locations in reports so far
	poisonTracker  poison.Tracker
	crashesSent    uint64 // recorded crashes in reports so far
	soundRunsSent  uint64
	handler        *ingress.Handler
	ctx            context.Context // ends when the instance is killed
	cancel         context.CancelFunc
}

func newInstance(s *simulation, name, zone string) *instance {
	in := &instance{name: name, zone: zone, sim: s}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	states := desired.NewTracker(desired.Ages{Reject: time.Hour, Key: time.Hour})
	states.Apply(s.state)
	states.MarkVerified(clock.Now())
	for _, node := range s.cluster.Nodes() {
		in.targets.Put(s.cluster.Target(node), 0)
	}
	in.poisonTracker.DryRun = s.variant.NoQuarantine
	cfg := ingress.Config{Zone: zone, DesiredState: states, Targets: &in.targets, CacheLocations: &in.cacheLocations, RetryBudget: budget.NewShared(retryLimit, s.countEntries, clock.Now().Add(-retryLimit.Window)),
		Sender: recordingSender{emulator.Sender{Cluster: s.cluster, Zone: zone}, s}, Engines: s.variant.Engines, FixedPace: s.variant.FixedPace,
		PoisonTracker: &in.poisonTracker, ClaimProbes: in.claim, Log: zerolog.Nop()}
	if !s.variant.NoReports {
		cfg.NotifyPeers = in.scheduleReport
	}
	in.handler = ingress.New(cfg)
	return in
}

// desiredState returns a desired state with one service, to which all engines belong, and
// the workload's routes to it.
func desiredState(w *Workload, replicas bool) (*ragworthitch.DesiredState, error) {
	profile := w.profile()
	var routes []ragworthitch.Route
	for _, r := range w.routes() {
		routes = append(routes, ragworthitch.NewRoute(ragworthitch.RouteParams{Name: r.Name, Host: host, Prefix: r.path(), Priority: r.Priority,
			Kind: ragworthitch.CallStream, Timeout: callTimeout, Objective: r.objective(), IntervalObjective: eventIntervalObjective, MaxAttempts: maxAttempts, Resumable: true,
			Shares: []ragworthitch.Share{{Service: serviceName, Weight: 1}}}))
	}
	return ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: 1, Orgs: w.Orgs.desired(), Routes: routes,
		Services: []ragworthitch.Service{ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceName,
			Engine: &ragworthitch.Engine{Slots: profile.Slots, KVTokens: profile.MemoryTokens, CanReplicate: replicas, TokensPerEvent: profile.TokensPerEvent, ReplicaExpiry: emulator.ReplicaExpiry}})}})
}

// scheduleReport sends a report to the peers after reportDelay.
func (in *instance) scheduleReport() { time.AfterFunc(reportDelay, in.report) }

// report sends the peers the instance's load and event intervals at each
// target, and the cache locations that it observed and the crashes that it
// recorded since its last report.
func (in *instance) report() {
	s := in.sim
	s.mu.Lock()
	locations, n := in.cacheLocations.RecordedSince(in.locationsSent)
	in.locationsSent = n
	crashes, n := in.poisonTracker.CrashesSince(in.crashesSent, clock.Now())
	in.crashesSent = n
	soundRuns, n := in.poisonTracker.SoundRunsSince(in.soundRunsSent, clock.Now())
	in.soundRunsSent = n
	s.mu.Unlock()
	s.store.save(&in.poisonTracker)
	for _, peer := range s.allEntries() {
		if peer == in {
			continue
		}
		peer.poisonTracker.RecordCrashes(crashes, poison.SourcePeer, clock.Now())
		peer.poisonTracker.RecordPeerSoundRuns(soundRuns, clock.Now())
		for _, m := range in.targets.All() {
			if member := peer.targets.Boot(m.Target().Boot()); member != nil {
				member.Work().SetPeer(in.name, m.Work().Own())
				member.Pace().AddReport(in.name, m.Pace().MeasuredInterval(clock.Now()), clock.Now())
			}
		}
		for _, location := range locations {
			peer.cacheLocations.RecordReport(location, clock.Now())
		}
	}
}

// reportPeriodically sends reports of the nth entry instance until ctx ends.
func (sim *simulation) reportPeriodically(ctx context.Context, n int) {
	for !sim.variant.NoReports && clock.Sleep(ctx, reportInterval) {
		sim.allEntries()[n].report()
	}
}

// jitter draws from the uniform distribution over mean ± share*mean.
func jitter(rng *rand.Rand, mean int, share float64) int {
	return int(float64(mean) * (1 + share*(2*rng.Float64()-1)))
}
