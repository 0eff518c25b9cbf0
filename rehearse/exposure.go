package rehearse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/rollout"
)

const (
	// The operator's rule: of the calls of instances in touch, a bad version gets at most
	// exposeShare of all calls between its order and the end of the order's duration, and
	// exposeSlack more; and none later than rollbackTime after its maxBadAnswers-th bad answer.
	// Besides, a call gets a target as long as the version in service has any.
	exposeShare   = 0.1
	exposeSlack   = 50
	rollbackTime  = 5 * time.Second
	maxBadAnswers = 50

	judgeTime          = 500 * time.Millisecond // from a call until its answer is judged
	callTime           = 2 * time.Second
	keeperPeriod       = 200 * time.Millisecond
	targetsPerVersion  = 9
	exposureRareShare  = 0.1 // of the calls, on a second route
	exposureUsualRoute = "often"
	exposureRareRoute  = "rare"
)

type (
	// exposure rehearses orders of one service: each may replace the one before, name a version
	// that was rolled back, or be withdrawn. An order that is replaced before any instance has
	// read it doesn't count.
	exposure struct {
		*fleet
		orders   []operatorOrder
		versions map[string]*simulatedVersion
		names    []string       // of the versions, in the order of their start
		order    *rollout.Order // in the store; nil: none
		current  int            // index of order
		lastRow  int64          // of the store
		orderRow int64          // of the last change of the order
		status   rollout.Status // in the store
		evidence []rollout.Evidence
		calls    []exposureCall
		total    []int            // calls by step, of all instances
		exposed  map[string][]int // calls by step at each version, of instances in touch
		worst    Outcome
		// inService is the version that the operator keeps: the first, or that of the last
		// completed order.
		inService string
	}

	// exposureInstance is what an instance keeps.
	exposureInstance struct {
		tracker  *rollout.Tracker
		keeper   *rollout.Keeper
		startAt  time.Duration
		lag      time.Duration // between two reads of the store
		hasRead  bool
		orderRow int64
		readRow  int64 // of the status
		evidence int   // read
		versions int   // discovered
		ordered  bool  // there was an order when it last read
	}

	exposureCall struct {
		state           *exposureInstance
		route, version  string
		target          int
		isBad           bool
		judgeAt, endsAt time.Duration
	}
)

// playExposure plays a plan whose limit is the calls a second.
func playExposure(p Plan) Outcome {
	rng := rand.New(rand.NewPCG(p.Seed, 17))
	e := &exposure{versions: map[string]*simulatedVersion{firstVersion: {}}, names: []string{firstVersion}, inService: firstVersion, orders: drawOrders(rng, p.length()),
		total: make([]int, stepOf(p.length())+2), exposed: map[string][]int{}, worst: Outcome{Plan: p}}
	e.fleet = newFleet(p, e.startInstance)
	for e.now < p.length() {
		e.advance()
		e.giveOrders()
		e.leave()
		for _, in := range e.instances {
			e.read(in)
		}
		e.startCalls()
		e.endCalls()
		if e.now%keeperPeriod == 0 {
			e.decide()
		}
	}
	e.checkShares()
	return e.worst
}

func (e *exposure) startInstance(f *fleet, in *fleetInstance) {
	s := &exposureInstance{startAt: f.now, lag: f.lag()}
	s.tracker = &rollout.Tracker{Share: exposeShare, Slack: exposeSlack, Self: rollout.Writer{Node: in.name, Started: int64(f.now) + 1}, Random: f.rng.Float64,
		Instances: func() (int, bool) { return f.used, f.now-s.startAt > maxOrderGap || s.startAt == 0 }}
	s.keeper = &rollout.Keeper{Tracker: s.tracker, Store: exposureStore{e}, ObserveTargets: e.observe,
		Turn: func(string) time.Duration { return min(time.Duration(in.index)*rollout.TurnInterval, rollout.MaxTurn) }}
	in.state = s
}

// isThere reports whether an instance takes the version's targets to be there.
func (e *exposure) isThere(name string, s *exposureInstance) bool {
	v := e.versions[name]
	return slices.Contains(e.names[:s.versions], name) && (v.leaveAt == 0 || e.now < v.leaveAt)
}

// read lets an instance read what has changed in the store, each time its lag has passed. An
// instance takes calls only once it has read everything.
func (e *exposure) read(in *fleetInstance) {
	s, ok := in.state.(*exposureInstance)
	if !ok || !e.reaches(in) || e.now < s.startAt+s.lag || (e.now-s.startAt)%max(boundStep, s.lag.Truncate(boundStep)) >= boundStep {
		return
	}
	for ; s.versions < len(e.names); s.versions++ {
		s.tracker.RecordVersion(exposureService, e.names[s.versions], e.clock())
	}
	if s.orderRow < e.orderRow {
		s.orderRow = e.orderRow
		if e.order != nil {
			s.tracker.Order(*e.order, e.clock())
			e.orders[e.current].isRead, e.versions[e.order.To].isKnown = true, true
		} else if s.ordered {
			s.tracker.Withdraw(exposureService)
		}
		s.ordered = s.ordered || e.order != nil
	}
	if s.readRow < e.status.Row {
		s.readRow = e.status.Row
		s.tracker.Status(e.status)
	}
	for ; s.evidence < len(e.evidence); s.evidence++ {
		s.tracker.RecordPeerEvidence(e.evidence[s.evidence])
	}
	if !s.hasRead {
		s.hasRead = true
		s.tracker.MarkStatusesRead()
	}
}

// startCalls starts the calls of a step.
func (e *exposure) startCalls() {
	calls := e.plan.Limit * boundStep.Seconds()
	n := int(calls)
	if e.rng.Float64() < calls-float64(n) {
		n++
	}
	if e.plan.Calls == CallsBurst {
		n = 0
		if e.now%burstInterval == 0 {
			n = int(e.plan.Limit * burstInterval.Seconds())
		}
	}
	for range n {
		in := e.instances[0]
		if e.plan.Calls != CallsAtOne {
			in = e.instances[e.rng.IntN(e.used)]
		}
		if s, ok := in.state.(*exposureInstance); ok && in.up && in.freezes == 0 && s.hasRead {
			e.startCall(in, s)
		}
	}
}

// startCall sends a call to a version that its instance selects.
func (e *exposure) startCall(in *fleetInstance, s *exposureInstance) {
	c := exposureCall{state: s, route: exposureUsualRoute, target: e.rng.IntN(targetsPerVersion), judgeAt: e.now + judgeTime, endsAt: e.now + callTime}
	if e.rng.Float64() < exposureRareShare {
		c.route = exposureRareRoute
	}
	role := s.tracker.AssignRole(exposureService, c.route)
	c.version = e.pick(s, s.tracker.Place(exposureService, role, e.clock()))
	e.total[stepOf(e.now)]++
	if c.version == "" {
		if e.isThere(e.inService, s) {
			e.record(2, fmt.Sprintf("a call at %v got no target, though %s is in service", e.now, e.inService))
		}
		return
	}
	s.tracker.Sent(exposureService, c.version, role, false)
	v := e.versions[c.version]
	v.running++
	c.isBad = e.rng.Float64() < v.badShare
	e.calls = append(e.calls, c)
	if e.inTouch(in) && e.now-s.startAt >= contactTime {
		if e.exposed[c.version] == nil {
			e.exposed[c.version] = make([]int, len(e.total))
		}
		e.exposed[c.version][stepOf(e.now)]++
		if v.fiftiethAt > 0 && e.now > max(v.fiftiethAt, e.storeOkAt)+rollbackTime+contactTime && v.isKnown {
			e.record(2, fmt.Sprintf("%s got a call at %v, %v after its %dth bad answer", c.version, e.now, e.now-v.fiftiethAt, maxBadAnswers))
		}
	}
}

// pick selects a version at random among those with the best use; empty: none may be used.
func (e *exposure) pick(s *exposureInstance, p rollout.Placement) string {
	var best []string
	use := rollout.Spare
	for name := range e.versions {
		u := p.Use(name)
		if u < use || !e.isThere(name, s) {
			continue
		}
		if u > use {
			best, use = nil, u
		}
		best = append(best, name)
	}
	if len(best) == 0 {
		return ""
	}
	slices.Sort(best)
	return best[e.rng.IntN(len(best))]
}

// endCalls judges answers and ends calls.
func (e *exposure) endCalls() {
	e.calls = slices.DeleteFunc(e.calls, func(c exposureCall) bool {
		if e.now == c.judgeAt {
			e.judge(c)
		}
		if e.now < c.endsAt {
			return false
		}
		e.versions[c.version].running--
		return true
	})
}

func (e *exposure) judge(c exposureCall) {
	a := rollout.Answer{Service: exposureService, Route: c.route, Target: fmt.Sprint(c.version, "-", c.target), Version: c.version, Bad: c.isBad}
	c.state.tracker.RecordAnswer(a)
	a.Symptom, a.Bad = rollout.Slow, false
	c.state.tracker.RecordAnswer(a)
	v := e.versions[c.version]
	if c.isBad {
		v.bad++
	}
	if v.bad >= maxBadAnswers && v.fiftiethAt == 0 {
		v.fiftiethAt = e.now
	}
}

// decide lets the instances that reach the store write what they have decided.
func (e *exposure) decide() {
	for _, in := range e.instances {
		if s, ok := in.state.(*exposureInstance); ok && e.reaches(in) && s.hasRead {
			s.keeper.Step(context.Background(), e.clock(), time.Hour+e.now)
		}
	}
}

// observe returns what every instance sees of the targets.
func (e *exposure) observe(_ string, versions rollout.Versions) rollout.TargetCounts {
	var c rollout.TargetCounts
	for name, v := range e.versions {
		if v.leaveAt > 0 && e.now >= v.leaveAt {
			continue
		}
		switch {
		case versions.IsNew(name):
			c.New, c.NewReady, c.NewLoad = targetsPerVersion, targetsPerVersion, v.running
			continue
		case versions.IsOld(name):
			c.Old += targetsPerVersion
			c.OldVersions = append(c.OldVersions, name)
		}
		c.OldLoad += v.running
	}
	return c
}

// checkShares checks the share of each order's version.
func (e *exposure) checkShares() {
	total := prefixSums(e.total)
	for _, o := range e.orders {
		v := e.versions[o.version]
		if v == nil || v.badShare == 0 || !o.isRead || e.exposed[o.version] == nil {
			continue
		}
		from, to := stepOf(o.at), min(stepOf(o.at+orderDuration), len(e.total))
		exposed := prefixSums(e.exposed[o.version])
		got, allowed := exposed[to]-exposed[from], exposeShare*float64(total[to]-total[from])+exposeSlack
		e.record(float64(got)/allowed, fmt.Sprintf("%s, ordered at %v, got %d calls where %.1f are allowed", o.version, o.at, got, allowed))
	}
}

func (e *exposure) record(use float64, detail string) {
	if use >= e.worst.Worst {
		e.worst.Worst, e.worst.Detail = use, detail
	}
}
