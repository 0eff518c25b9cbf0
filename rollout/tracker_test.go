package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	svc    = "svc"
	oldVer = "v1"
	newVer = "v2"
)

func order(id int64) Order {
	return Order{ID: id, Service: svc, To: newVer, Duration: time.Minute}
}

// uses returns the use of the old and the new version for a call that is no canary
// call.
func uses(t *Tracker) [2]Use {
	p := t.Place(svc, CallRole{}, clock.Time(time.Hour))
	return [2]Use{p.Use(oldVer), p.Use(newVer)}
}

// Without an order no version is restricted.
func TestNoOrder(t *testing.T) {
	var tracker Tracker
	assert.False(t, tracker.Active())
	assert.Equal(t, CallRole{}, tracker.AssignRole(svc, "r"))
	assert.Equal(t, [2]Use{Selected, Selected}, uses(&tracker))
	assert.Empty(t, tracker.Decide(0, 0, nil))
	assert.Empty(t, tracker.PendingEvidence(0))
}

// Calls go to the version of each state, and final states are not left.
func TestStates(t *testing.T) {
	tests := []struct {
		state State
		want  [2]Use
	}{
		{Running, [2]Use{Selected, Spare}},
		{Moving, [2]Use{Spare, Selected}},
		{Completed, [2]Use{Spare, Selected}},
		{RolledBack, [2]Use{Selected, Never}},
	}
	for _, tt := range tests {
		var tracker Tracker
		tracker.Order(order(5), 0)
		tracker.Status(Status{Order: 5, Service: svc, To: newVer, State: tt.state, Row: 9})
		assert.Equal(t, tt.want, uses(&tracker), tt.state)
		if tt.state.Final() {
			tracker.Status(Status{Order: 5, Service: svc, To: newVer, State: Running, Row: 10})
			assert.Equal(t, tt.want, uses(&tracker), "%v was left", tt.state)
		}
	}
}

// A status of an earlier order doesn't affect the next, whichever is learned first.
func TestLaterOrder(t *testing.T) {
	var tracker Tracker
	tracker.Status(Status{Order: 5, Service: svc, To: newVer, State: RolledBack, Row: 9})
	assert.Equal(t, [2]Use{Selected, Never}, uses(&tracker))
	tracker.Order(order(7), 0)
	assert.Equal(t, [2]Use{Selected, Spare}, uses(&tracker))
	tracker.Status(Status{Order: 5, Service: svc, To: newVer, State: RolledBack, Row: 11})
	assert.Equal(t, [2]Use{Selected, Spare}, uses(&tracker))
	tracker.Status(Status{Order: 7, Service: svc, To: newVer, State: Completed, Row: 12})
	assert.Equal(t, [2]Use{Spare, Selected}, uses(&tracker))
	tracker.Order(order(6), 0) // arrives late
	assert.Equal(t, [2]Use{Spare, Selected}, uses(&tracker))
}

// An order that is withdrawn before its state is final is rolled back.
func TestWithdrawn(t *testing.T) {
	var tracker Tracker
	tracker.MarkStatusesRead()
	tracker.Order(order(5), 0)
	tracker.Status(Status{Order: 5, Service: svc, To: newVer, State: Running, Row: 9})
	tracker.Withdraw(svc)
	assert.Equal(t, [2]Use{Selected, Never}, uses(&tracker))
	changes := tracker.Decide(1, 0, func(string, Versions) TargetCounts { return TargetCounts{Old: 3, New: 3, NewReady: 3} })
	assert.Len(t, changes, 1)
	assert.Equal(t, RolledBack, changes[0].State)
	assert.Equal(t, int64(9), changes[0].If)
}

// A new version gets no calls for a while if no order is known; versions that were
// discovered together get calls at once.
func TestUnorderedVersion(t *testing.T) {
	var tracker Tracker
	tracker.RecordVersion(svc, oldVer, 0)
	tracker.RecordVersion(svc, newVer, clock.Time(time.Minute))
	at := func(d time.Duration) Use {
		return tracker.Place(svc, CallRole{}, clock.Time(time.Minute+d)).Use(newVer)
	}
	assert.Equal(t, Spare, at(time.Second))
	assert.Equal(t, Selected, at(newVersionHold))
	var c Tracker
	c.RecordVersion(svc, newVer, 0)
	c.RecordVersion(svc, oldVer, 1)
	assert.Equal(t, [2]Use{Selected, Selected}, [2]Use{c.Place(svc, CallRole{}, 2).Use(oldVer), c.Place(svc, CallRole{}, 2).Use(newVer)})
}

// Canary calls stay within the operator's bound for any number of instances, also if
// all of them restart, and a rare route gets its part.
func TestCanaryCallsStayWithinBound(t *testing.T) {
	const share, slack, calls = 0.1, 50, 560
	for _, n := range []int{5, 28, 103, 380} {
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			start := func() *Tracker {
				tracker := &Tracker{Share: share, Slack: slack, Random: rng.Float64, Instances: func() (int, bool) { return n, true }}
				tracker.Order(order(5), 0)
				return tracker
			}
			trackers := make([]*Tracker, n)
			for i := range trackers {
				trackers[i] = start()
			}
			canaries, rare := 0, 0
			for c := range calls {
				i, route := rng.IntN(n), "often"
				if rng.IntN(17) == 0 {
					route = "rare"
				}
				if c == calls/2 {
					for i := range trackers {
						trackers[i] = start()
						trackers[i].services[svc].budget.extraCalls = 0 // a restarted instance gets no slack
					}
				}
				if c%50 == 0 {
					tallies := map[Writer]Tally{{}: {Group{Route: "often"}: {Seen: 16 * (c + 1)}, Group{Route: "rare"}: {Seen: c + 1}}}
					for _, tracker := range trackers {
						tracker.services[svc].budget.updateUsage(tallies)
					}
				}
				if trackers[i].AssignRole(svc, route).canary {
					canaries++
					if route == "rare" {
						rare++
					}
				}
			}
			assert.LessOrEqual(t, float64(canaries), share*calls+slack, "%d instances, seed %d", n, seed)
			assert.GreaterOrEqual(t, rare, 8, "%d instances, seed %d", n, seed)
		}
	}
}

// A route with very few calls neither blocks a promotion nor takes canary calls from
// the others.
func TestRouteWithHardlyAnyCalls(t *testing.T) {
	tally := Tally{}
	for range 100 {
		for _, isNew := range []bool{false, true} {
			tally.add(Group{Route: "often", New: isNew}, "i", false)
			tally.add(Group{Route: "often", New: isNew, Symptom: Slow}, "i", false)
		}
	}
	before := canaryBudget{}
	before.updateUsage(map[Writer]Tally{{}: tally})
	tally.add(Group{Route: "hardly"}, "i", false)
	var j judge
	assert.True(t, j.evaluate(map[Writer]Tally{{}: tally}, true).Good)
	after := canaryBudget{}
	after.updateUsage(map[Writer]Tally{{}: tally})
	assert.InDelta(t, before.canaryProbability("often", 0.1), after.canaryProbability("often", 0.1), 0.01)
	assert.InDelta(t, 0.1, after.canaryProbability("hardly", 0.1), 1e-9)
}

// Evidence that arrives twice, late or for another order is not counted again.
func TestEvidenceCountsOnce(t *testing.T) {
	var tracker Tracker
	tracker.Order(order(5), 0)
	g := Group{Route: "r", New: true}
	receive := func(started int64, seen int, order int64) {
		tracker.RecordPeerEvidence(Evidence{Writer: Writer{Node: "n", Started: started}, Service: svc, Order: order, Tally: Tally{g: {Seen: seen}}})
	}
	receive(1, 3, 5)
	receive(1, 7, 5)
	receive(1, 3, 5)
	receive(1, 7, 5)
	receive(2, 2, 5) // the same instance after a restart
	receive(3, 50, 4)
	assert.Equal(t, 9, poolGroup(tracker.services[svc].tallies, g).seen)
}

// A single bad target doesn't make its version bad.
func TestOneBadTarget(t *testing.T) {
	tally := Tally{}
	for i := range 60 {
		g := Group{Route: "r", New: i%2 == 0}
		tally.add(g, fmt.Sprint(i%10), i%10 == 0)
	}
	var j judge
	assert.False(t, j.evaluate(map[Writer]Tally{{}: tally}, false).Bad)
	for i := range 20 {
		tally.add(Group{Route: "r", New: true}, fmt.Sprint(i%10), true)
	}
	v := j.evaluate(map[Writer]Tally{{}: tally}, false)
	assert.True(t, v.Bad)
	assert.Equal(t, "r", v.Route)
}

// memoryStore is a store for TestModel, which may lose or delay changes and lose
// replies.
type memoryStore struct {
	rng     *rand.Rand
	status  Status
	late    []Change
	history []State
}

var errLost = errors.New("reply lost")

func (m *memoryStore) apply(c Change) (Status, error) {
	if c.If != m.status.Row {
		return m.status, ErrTaken
	}
	st := c.Status
	st.Row = m.status.Row + 1
	m.status = st
	m.history = append(m.history, st.State)
	return st, nil
}

// WriteStatus applies, loses or delays a change, at random.
func (m *memoryStore) WriteStatus(_ context.Context, c Change) (Status, error) {
	switch m.rng.IntN(4) {
	case 0:
		m.late = append(m.late, c)
		return Status{}, errLost
	case 1:
		_, _ = m.apply(c)
		return Status{}, errLost
	}
	return m.apply(c)
}

// WriteEvidence does nothing.
func (*memoryStore) WriteEvidence(context.Context, Evidence) error { return nil }

// Random histories of three instances, with restarts, late updates and a faulty store:
// an order takes only the transitions of the package comment and ends in one final
// state, which no instance leaves.
func TestModel(t *testing.T) {
	next := map[State][]State{None: {Running, Completed}, Running: {Moving, RolledBack}, Moving: {Completed, RolledBack}}
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		m := &memoryStore{rng: rng}
		g := Group{Route: "r", New: true}
		keepers := make([]*Keeper, 3)
		start := func(i int, now clock.Time) {
			tracker := &Tracker{Self: Writer{Node: fmt.Sprint(i), Started: int64(now)}}
			tracker.Order(order(5), now)
			tracker.Status(m.status)
			tracker.MarkStatusesRead()
			keepers[i] = &Keeper{Tracker: tracker, Store: m, Turn: func(string) time.Duration { return 0 },
				ObserveTargets: func(string, Versions) TargetCounts {
					return TargetCounts{Old: 9, New: 9, NewReady: 9, OldLoad: rng.IntN(2)}
				}}
		}
		for i := range keepers {
			start(i, 0)
		}
		final := make([]State, 3)
		for now := clock.Time(0); now < clock.Time(time.Minute); now += clock.Time(time.Second) {
			i := rng.IntN(3)
			k := keepers[i]
			switch rng.IntN(8) {
			case 0:
				start(i, now)
				final[i] = None
			case 1:
				k.Tracker.Status(m.status)
			case 2:
				if len(m.late) > 0 {
					_, _ = m.apply(m.late[0])
					m.late = m.late[1:]
				}
			default:
				bad := seed%2 == 0 && rng.IntN(3) == 0
				k.Tracker.RecordAnswer(Answer{Service: svc, Route: g.Route, Target: fmt.Sprint(rng.IntN(9)), Version: newVer, Bad: bad})
				k.Step(t.Context(), now, time.Duration(now))
			}
			st := keepers[i].Tracker.services[svc].status.State
			if final[i].Final() {
				assert.Equal(t, final[i], st, "seed %d: an instance left a final state", seed)
			}
			final[i] = st
		}
		previous := None
		for _, s := range m.history {
			assert.Contains(t, next[previous], s, "seed %d: %v", seed, m.history)
			previous = s
		}
	}
}
