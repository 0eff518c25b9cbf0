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

	// Play configures a simulation.
	Play struct {
		Instances int
		Rate      float64            // calls per second
		Routes    map[string]float64 // share of the calls by route
		First     time.Duration      // until an answer can be judged
		Length    time.Duration      // of an answer
		Duration  time.Duration      // of the order
		Targets   int                // of each version

		Badness  Badness
		Part     float64       // share of the new version's answers that are bad
		After    time.Duration // the version is bad from then on, relative to the order
		Load     float64       // the version is bad from this number of calls per target on
		BadRoute string        // the version is bad on this route only; empty: on all

		OldBad       float64    // share of the answers that are bad with either version
		TargetLosses []Interval // when a third of the targets of both versions is lost
		StoreOutages []Interval // when the store is unavailable
		FaultyEvery  int        // one in this many targets of either version spoils half of its answers; 0: none

		Share, Slack float64 // the operator's bounds, as in rollout.Book
		Seed         uint64
	}

	// Result is the result of a simulation.
	Result struct {
		State     rollout.State
		At        time.Duration // of the last change of the state, relative to the order
		Reached   int           // attempts between the order and the end of its duration
		Exposed   int           // those of them at the new version
		Bound     float64       // on Exposed, if the version is bad
		Bad       int           // bad answers of the new version
		LastAfter time.Duration // time from the 50th bad answer to the last attempt at the new version; 0: no attempt
	}

	// instance is a simulated entry instance.
	instance struct {
		book     rollout.Book
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

	// simulation is a running simulation.
	simulation struct {
		play          Play
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
func Run(p Play) Result {
	sim := &simulation{play: p, rng: rand.New(rand.NewPCG(p.Seed, 1)), load: map[string]int{}}
	for i := range p.Instances {
		sim.instances = append(sim.instances, sim.newInstance(i))
	}
	for sim.now = 0; sim.now < orderAt+p.Duration+p.Length; sim.now += step {
		if sim.now == orderAt {
			for _, n := range sim.instances {
				n.book.Order(rollout.Order{ID: 1, Service: service, To: newVersion, Duration: p.Duration}, clock.Time(sim.now))
			}
		}
		sim.startCalls()
		sim.finishCalls()
		sim.deliverUpdates()
		if sim.now%(10*step) == 0 {
			for i := range sim.instances {
				sim.instances[i].keeper.Step(context.Background(), clock.Time(sim.now), sim.now)
			}
		}
	}
	sim.result.State, sim.result.Bound = sim.status.State, p.Share*float64(sim.result.Reached)+p.Slack
	return sim.result
}

func (sim *simulation) newInstance(i int) *instance {
	n := &instance{storeLag: time.Duration(sim.rng.Int64N(int64(maxLag)))}
	n.book = rollout.Book{Share: sim.play.Share, Slack: sim.play.Slack, Self: rollout.Writer{Node: fmt.Sprint(i)}, Random: sim.rng.Float64,
		Instances: func() (int, bool) { return sim.play.Instances, true }}
	n.book.Read()
	n.keeper = rollout.Keeper{Book: &n.book, Store: store{sim}, See: sim.observe,
		Turn: func(string) time.Duration { return min(time.Duration(i)*rollout.TurnGap, rollout.MaxTurn) }}
	return n
}

func (sim *simulation) isWithin(intervals []Interval) bool {
	return slices.ContainsFunc(intervals, func(s Interval) bool { return sim.now >= orderAt+s.From && sim.now < orderAt+s.To })
}

// observe returns what every instance sees of the targets.
func (sim *simulation) observe(string, string) rollout.Sight {
	ready := sim.play.Targets
	if sim.isWithin(sim.play.TargetLosses) {
		ready -= sim.play.Targets / 3
	}
	return rollout.Sight{Old: sim.play.Targets, New: sim.play.Targets, NewReady: ready, OldWork: sim.load[""], NewWork: sim.load[newVersion]}
}

// startCalls starts the calls of a step.
func (sim *simulation) startCalls() {
	for range sim.drawPoisson(sim.play.Rate * step.Seconds()) {
		sim.startCall(sim.rng.IntN(len(sim.instances)), sim.drawRoute())
	}
}

func (sim *simulation) drawPoisson(mean float64) int {
	n := 0
	for elapsed := sim.rng.ExpFloat64(); elapsed < mean; elapsed += sim.rng.ExpFloat64() {
		n++
	}
	return n
}

func (sim *simulation) drawRoute() string {
	names := make([]string, 0, len(sim.play.Routes))
	for r := range sim.play.Routes {
		names = append(names, r)
	}
	slices.Sort(names)
	at := sim.rng.Float64()
	for _, r := range names {
		if at -= sim.play.Routes[r]; at < 0 {
			return r
		}
	}
	return names[len(names)-1]
}

// startCall sends a call to the version that its instance chooses.
func (sim *simulation) startCall(instance int, route string) {
	b := &sim.instances[instance].book
	lane := b.Enter(service, route)
	p := b.Place(service, lane, clock.Time(sim.now))
	c := &call{instance: instance, route: route}
	if p.Use(newVersion) > p.Use("") {
		c.version = newVersion
	}
	sim.send(c, lane, false)
	sim.calls = append(sim.calls, c)
}

// send makes an attempt of a call at a random target of its version.
func (sim *simulation) send(c *call, lane rollout.Lane, isRetry bool) {
	sim.instances[c.instance].book.Sent(service, c.version, lane, isRetry)
	target := sim.rng.IntN(sim.play.Targets)
	if c.version == newVersion {
		target = sim.rng.IntN(max(3, sim.play.Targets/5))
	}
	c.target, c.targetLost = fmt.Sprint(c.version, target), sim.isWithin(sim.play.TargetLosses) && target%3 == 0
	c.badness = sim.drawBadness(c, target)
	slow := 1.0
	if c.badness == Slow {
		slow = 4
	}
	c.judgedAt = sim.now + time.Duration(slow*float64(sim.play.First))
	c.endsAt = sim.now + time.Duration(slow*float64(sim.play.Length))
	sim.load[c.version]++
	if sim.now >= orderAt && sim.now < orderAt+sim.play.Duration {
		sim.result.Reached++
		if c.version == newVersion {
			sim.result.Exposed++
		}
	}
	if c.version == newVersion && sim.fiftiethBadAt > 0 {
		sim.result.LastAfter = sim.now - sim.fiftiethBadAt
	}
}

// drawBadness draws the fault of a call's answer.
func (sim *simulation) drawBadness(c *call, target int) Badness {
	p := sim.play
	switch {
	case sim.rng.Float64() < p.OldBad, p.FaultyEvery > 0 && target%p.FaultyEvery == 0 && sim.rng.Float64() < 0.5:
		return Failing
	case c.version != newVersion || p.Badness == Good || p.BadRoute != "" && p.BadRoute != c.route:
		return Good
	case sim.now < orderAt+p.After || float64(sim.load[newVersion]) < p.Load*float64(max(3, p.Targets/5)):
		return Good
	case sim.rng.Float64() < p.Part:
		return p.Badness
	}
	return Good
}

// finishCalls records the answers that can be judged and removes finished calls.
func (sim *simulation) finishCalls() {
	sim.calls = slices.DeleteFunc(sim.calls, func(c *call) bool {
		if c.judgedAt != 0 && sim.now >= c.judgedAt {
			c.judgedAt = 0
			sim.recordAnswer(c)
		}
		if sim.now < c.endsAt {
			return false
		}
		sim.load[c.version]--
		return true
	})
}

// recordAnswer reports an answer to its instance, unless the target was lost: that says
// nothing about the version.
func (sim *simulation) recordAnswer(c *call) {
	if c.targetLost {
		return
	}
	b := &sim.instances[c.instance].book
	a := rollout.Answer{Service: service, Route: c.route, Target: c.target, Version: c.version}
	a.Symptom, a.Bad = rollout.Failing, c.badness == Failing
	b.Saw(a)
	if c.badness != Failing {
		a.Symptom, a.Bad = rollout.Slow, c.badness == Slow
		b.Saw(a)
	}
	if c.badness != Good && c.version == newVersion {
		sim.result.Bad++
		if sim.result.Bad == 50 {
			sim.fiftiethBadAt = sim.now
		}
	}
}

// deliverUpdates delivers the updates that are due.
func (sim *simulation) deliverUpdates() {
	for _, u := range sim.updates {
		for i, n := range sim.instances {
			if u.delivered[i] || sim.now < u.writtenAt+n.storeLag || sim.isWithin(sim.play.StoreOutages) {
				continue
			}
			u.delivered[i] = true
			if u.status != nil {
				n.book.Status(*u.status)
			} else {
				n.book.Heard(*u.evidence)
			}
		}
	}
	sim.updates = slices.DeleteFunc(sim.updates, func(u update) bool { return !slices.Contains(u.delivered, false) })
}

// store is the simulated store.
type store struct{ sim *simulation }

// Change writes a status under its condition.
func (s store) Change(_ context.Context, c rollout.Change) (rollout.Status, error) {
	sim := s.sim
	if sim.isWithin(sim.play.StoreOutages) {
		return rollout.Status{}, errStoreUnavailable
	}
	if c.If != sim.status.Row {
		return sim.status, rollout.ErrTaken
	}
	st := c.Status
	sim.lastRow++
	st.Row = int64(sim.lastRow)
	sim.status = st
	sim.result.At = sim.now - orderAt
	sim.updates = append(sim.updates, update{writtenAt: sim.now, status: &st, delivered: make([]bool, len(sim.instances))})
	return st, nil
}

// Tell writes evidence.
func (s store) Tell(_ context.Context, e rollout.Evidence) error {
	sim := s.sim
	if sim.isWithin(sim.play.StoreOutages) {
		return errStoreUnavailable
	}
	sim.updates = append(sim.updates, update{writtenAt: sim.now, evidence: &e, delivered: make([]bool, len(sim.instances))})
	return nil
}
