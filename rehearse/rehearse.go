// Package rehearse simulates a roll-out with the decisions of package rollout: several
// instances, targets of an old and a new version with configured faults, and a store
// with delays, all in simulated time and without a network. It shows how long a verdict
// takes, how many calls the new version gets until then, and how often the verdict is
// wrong.
package rehearse

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rollout"
)

// Kinds of new versions.
const (
	Good    Badness = "good"
	Failing Badness = "failing" // some of its answers are errors
	Slow    Badness = "slow"    // some of its answers take several times as long
)

const (
	// service is the only service, and newVersion its new version; the old version's
	// name is empty.
	service    = "service"
	newVersion = "new"
	// step is the resolution of the simulation.
	step = 20 * time.Millisecond
	// maxLag bounds the delay of the store's updates to an instance.
	maxLag = 1200 * time.Millisecond
	// orderAt is when the order is given.
	orderAt = 5 * time.Second
)

var (
	// ErrBadness is wrapped by the errors of Badness.Check.
	ErrBadness = errors.New("rehearse: unknown badness")

	errStoreUnavailable = errors.New("rehearse: store unavailable")
)

type (
	// Badness is the kind of fault of a version.
	Badness string

	// Interval is a part of a simulation, relative to the order.
	Interval struct{ From, To time.Duration }

	// Simulation configures a simulation.
	Simulation struct {
		Instances   int
		Rate        float64            // calls per second
		Routes      map[string]float64 // share of the calls by route
		TimeToJudge time.Duration      // until an answer can be judged
		Length      time.Duration      // of an answer
		Duration    time.Duration      // of the order
		Targets     int                // of each version

		Badness  Badness
		BadShare float64       // share of the new version's answers that are bad
		BadAfter time.Duration // the version is bad from then on, relative to the order
		Load     float64       // the version is bad from this number of calls per target on
		BadRoute string        // the version is bad on this route only; empty: on all

		BaselineBadShare float64    // share of the answers that are bad with either version
		TargetLosses     []Interval // when a third of the targets of both versions is lost
		StoreOutages     []Interval // when the store is unavailable
		FaultyEvery      int        // one in this many targets of either version spoils half of its answers; 0: none

		Share, Slack float64 // the operator's bounds, as in rollout.Tracker
		Seed         uint64
	}

	// Result is the result of a simulation.
	Result struct {
		State     rollout.State
		At        time.Duration // of the last change of the state, relative to the order
		Attempts  int           // attempts between the order and the end of its duration
		Exposed   int           // those of them at the new version
		Bound     float64       // on Exposed, if the version is bad
		Bad       int           // bad answers of the new version
		LastAfter time.Duration // time from the 50th bad answer to the last attempt at the new version; 0: no attempt
	}

	// instance is a simulated entry instance.
	instance struct {
		tracker  rollout.Tracker
		keeper   rollout.Keeper
		storeLag time.Duration
	}

	// call is a running call.
	call struct {
		instance         int
		route, target    string
		version          string
		badness          Badness       // of the answer
		judgedAt, endsAt time.Duration // judgedAt is 0 once the answer is recorded
		targetLost       bool
	}

	// simulationRun is a running simulation.
	simulationRun struct {
		config        Simulation
		rng           *rand.Rand
		now           time.Duration
		instances     []*instance
		calls         []*call
		status        rollout.Status
		updates       []update
		lastRow       int
		result        Result
		fiftiethBadAt time.Duration
		load          map[string]int // calls by version
	}

	// update is a row of the store on its way to the instances.
	update struct {
		writtenAt time.Duration
		status    *rollout.Status
		evidence  *rollout.Evidence
		delivered []bool // by instance
	}
)

// Check returns an error if b is unknown.
func (b Badness) Check() error {
	if b != Good && b != Failing && b != Slow {
		return fmt.Errorf("%w %q", ErrBadness, string(b))
	}
	return nil
}

// Completed reports whether the new version replaced the old one.
func (r Result) Completed() bool { return r.State == rollout.Completed }

// Run runs a simulation.
func Run(s Simulation) Result {
	run := &simulationRun{config: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), load: map[string]int{}}
	for i := range s.Instances {
		run.instances = append(run.instances, run.newInstance(i))
	}
	for run.now = 0; run.now < orderAt+s.Duration+s.Length; run.now += step {
		if run.now == orderAt {
			for _, n := range run.instances {
				n.tracker.Order(rollout.Order{ID: 1, Service: service, To: newVersion, Duration: s.Duration}, clock.Time(run.now))
			}
		}
		run.startCalls()
		run.finishCalls()
		run.deliverUpdates()
		if run.now%(10*step) == 0 {
			for i := range run.instances {
				run.instances[i].keeper.Step(context.Background(), clock.Time(run.now), run.now)
			}
		}
	}
	run.result.State, run.result.Bound = run.status.State, s.Share*float64(run.result.Attempts)+s.Slack
	return run.result
}

func (run *simulationRun) newInstance(i int) *instance {
	n := &instance{storeLag: time.Duration(run.rng.Int64N(int64(maxLag)))}
	n.tracker = rollout.Tracker{Share: run.config.Share, Slack: run.config.Slack, Self: rollout.Writer{Node: fmt.Sprint(i)}, Random: run.rng.Float64,
		Instances: func() (int, bool) { return run.config.Instances, true }}
	n.tracker.MarkStatusesRead()
	n.keeper = rollout.Keeper{Tracker: &n.tracker, Store: store{run}, ObserveTargets: run.observe,
		Turn: func(string) time.Duration { return min(time.Duration(i)*rollout.TurnInterval, rollout.MaxTurn) }}
	return n
}

func (run *simulationRun) isWithin(intervals []Interval) bool {
	return slices.ContainsFunc(intervals, func(s Interval) bool { return run.now >= orderAt+s.From && run.now < orderAt+s.To })
}

// observe returns what every instance sees of the targets.
func (run *simulationRun) observe(string, rollout.Versions) rollout.TargetCounts {
	ready := run.config.Targets
	if run.isWithin(run.config.TargetLosses) {
		ready -= run.config.Targets / 3
	}
	return rollout.TargetCounts{Old: run.config.Targets, New: run.config.Targets, NewReady: ready, OldLoad: run.load[""], NewLoad: run.load[newVersion]}
}

// startCalls starts the calls of a step.
func (run *simulationRun) startCalls() {
	for range run.drawPoisson(run.config.Rate * step.Seconds()) {
		run.startCall(run.rng.IntN(len(run.instances)), run.drawRoute())
	}
}

func (run *simulationRun) drawPoisson(mean float64) int {
	n := 0
	for elapsed := run.rng.ExpFloat64(); elapsed < mean; elapsed += run.rng.ExpFloat64() {
		n++
	}
	return n
}

func (run *simulationRun) drawRoute() string {
	names := make([]string, 0, len(run.config.Routes))
	for r := range run.config.Routes {
		names = append(names, r)
	}
	slices.Sort(names)
	at := run.rng.Float64()
	for _, r := range names {
		if at -= run.config.Routes[r]; at < 0 {
			return r
		}
	}
	return names[len(names)-1]
}

// startCall sends a call to the version that its instance chooses.
func (run *simulationRun) startCall(instance int, route string) {
	t := &run.instances[instance].tracker
	role := t.AssignRole(service, route)
	p := t.Place(service, role, clock.Time(run.now))
	c := &call{instance: instance, route: route}
	if p.Use(newVersion) > p.Use("") {
		c.version = newVersion
	}
	run.send(c, role, false)
	run.calls = append(run.calls, c)
}

// send makes an attempt of a call at a random target of its version.
func (run *simulationRun) send(c *call, role rollout.CallRole, isRetry bool) {
	run.instances[c.instance].tracker.Sent(service, c.version, role, isRetry)
	target := run.rng.IntN(run.config.Targets)
	if c.version == newVersion {
		target = run.rng.IntN(max(3, run.config.Targets/5))
	}
	c.target, c.targetLost = fmt.Sprint(c.version, target), run.isWithin(run.config.TargetLosses) && target%3 == 0
	c.badness = run.drawBadness(c, target)
	slowdown := 1.0
	if c.badness == Slow {
		slowdown = 4
	}
	c.judgedAt = run.now + time.Duration(slowdown*float64(run.config.TimeToJudge))
	c.endsAt = run.now + time.Duration(slowdown*float64(run.config.Length))
	run.load[c.version]++
	if run.now >= orderAt && run.now < orderAt+run.config.Duration {
		run.result.Attempts++
		if c.version == newVersion {
			run.result.Exposed++
		}
	}
	if c.version == newVersion && run.fiftiethBadAt > 0 {
		run.result.LastAfter = run.now - run.fiftiethBadAt
	}
}

// drawBadness draws the fault of a call's answer.
func (run *simulationRun) drawBadness(c *call, target int) Badness {
	s := run.config
	switch {
	case run.rng.Float64() < s.BaselineBadShare, s.FaultyEvery > 0 && target%s.FaultyEvery == 0 && run.rng.Float64() < 0.5:
		return Failing
	case c.version != newVersion || s.Badness == Good || s.BadRoute != "" && s.BadRoute != c.route:
		return Good
	case run.now < orderAt+s.BadAfter || float64(run.load[newVersion]) < s.Load*float64(max(3, s.Targets/5)):
		return Good
	case run.rng.Float64() < s.BadShare:
		return s.Badness
	}
	return Good
}

// finishCalls records the answers that can be judged and removes finished calls.
func (run *simulationRun) finishCalls() {
	run.calls = slices.DeleteFunc(run.calls, func(c *call) bool {
		if c.judgedAt != 0 && run.now >= c.judgedAt {
			c.judgedAt = 0
			run.recordAnswer(c)
		}
		if run.now < c.endsAt {
			return false
		}
		run.load[c.version]--
		return true
	})
}

// recordAnswer reports an answer to its instance, unless the target was lost: that says
// nothing about the version.
func (run *simulationRun) recordAnswer(c *call) {
	if c.targetLost {
		return
	}
	t := &run.instances[c.instance].tracker
	a := rollout.Answer{Service: service, Route: c.route, Target: c.target, Version: c.version}
	a.Symptom, a.Bad = rollout.Failing, c.badness == Failing
	t.RecordAnswer(a)
	if c.badness != Failing {
		a.Symptom, a.Bad = rollout.Slow, c.badness == Slow
		t.RecordAnswer(a)
	}
	if c.badness != Good && c.version == newVersion {
		run.result.Bad++
		if run.result.Bad == 50 {
			run.fiftiethBadAt = run.now
		}
	}
}

// deliverUpdates delivers the updates that are due.
func (run *simulationRun) deliverUpdates() {
	for _, u := range run.updates {
		for i, n := range run.instances {
			if u.delivered[i] || run.now < u.writtenAt+n.storeLag || run.isWithin(run.config.StoreOutages) {
				continue
			}
			u.delivered[i] = true
			if u.status != nil {
				n.tracker.Status(*u.status)
			} else {
				n.tracker.RecordPeerEvidence(*u.evidence)
			}
		}
	}
	run.updates = slices.DeleteFunc(run.updates, func(u update) bool { return !slices.Contains(u.delivered, false) })
}

// store is the simulated store.
type store struct{ run *simulationRun }

// WriteStatus writes a status under its condition.
func (s store) WriteStatus(_ context.Context, c rollout.Change) (rollout.Status, error) {
	run := s.run
	if run.isWithin(run.config.StoreOutages) {
		return rollout.Status{}, errStoreUnavailable
	}
	if c.If != run.status.Row {
		return run.status, rollout.ErrTaken
	}
	st := c.Status
	run.lastRow++
	st.Row = int64(run.lastRow)
	run.status = st
	run.result.At = run.now - orderAt
	run.updates = append(run.updates, update{writtenAt: run.now, status: &st, delivered: make([]bool, len(run.instances))})
	return st, nil
}

// WriteEvidence writes evidence.
func (s store) WriteEvidence(_ context.Context, e rollout.Evidence) error {
	run := s.run
	if run.isWithin(run.config.StoreOutages) {
		return errStoreUnavailable
	}
	run.updates = append(run.updates, update{writtenAt: run.now, evidence: &e, delivered: make([]bool, len(run.instances))})
	return nil
}
