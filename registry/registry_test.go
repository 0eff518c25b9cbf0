package registry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const now = clock.Time(time.Minute)

func newTarget(id, addr string, draining bool) ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: id, Service: "llm", Address: addr, Draining: draining})
}

// Guards against calls to a crashed target whose registration still exists, or
// arrives, after another target has registered the same address.
func TestSuccessorAtAnAddress(t *testing.T) {
	var r Registry
	r.Put(newTarget("old", "10.0.0.1:80", false), 0)
	r.Put(newTarget("new", "10.0.0.1:80", false), 0)
	assert.Nil(t, r.ByID("old"))
	assert.Equal(t, "new", r.ByAddress("10.0.0.1:80").Target().ID())
	r.Put(newTarget("old", "10.0.0.1:80", false), 0)
	assert.Nil(t, r.ByID("old"))
	assert.Len(t, r.Service("llm"), 1)
	r.EndMismatched(ragworthitch.NewBoot("new", 0), now)
	assert.Nil(t, r.ByAddress("10.0.0.1:80"))
	assert.Empty(t, r.Service("llm"))
}

// Guards against dropping all targets while the store is unavailable, and against
// keeping targets whose registrations don't return.
func TestRegistrationVanishes(t *testing.T) {
	var r Registry
	r.Put(newTarget("a", "10.0.0.1:80", false), 0)
	r.Put(newTarget("b", "10.0.0.2:80", false), 0)
	r.Unregister("a", now, now)
	assert.Nil(t, r.ByID("a"))
	r.Unregister("b", now, now.Add(2*time.Second))
	b := r.ByID("b")
	require.NotNil(t, b)
	assert.True(t, b.AcceptsCalls(now.Add(time.Second)))
	assert.False(t, b.AcceptsCalls(now.Add(2*time.Second)))
	r.Put(newTarget("b", "10.0.0.2:80", false), 0)
	r.Expire(now.Add(time.Hour))
	assert.True(t, b.AcceptsCalls(now.Add(time.Hour)))
	r.Put(newTarget("b", "10.0.0.2:80", true), 0)
	assert.False(t, b.AcceptsCalls(now), "the target drains")
}

func TestWork(t *testing.T) {
	var r Registry
	r.Put(newTarget("a", "10.0.0.1:80", false), 0)
	w := r.ByID("a").Work()
	started, end := w.Begin(8000, 9000)
	drop := w.AddReplica(5000)
	w.SetPeer("n2", Load{Prefill: 100, Running: 2, Tokens: 300})
	assert.Equal(t, Load{Prefill: 8000, Running: 1, Tokens: 14000}, w.Own())
	assert.Equal(t, Load{Prefill: 8100, Running: 3, Tokens: 14300}, w.All())
	assert.Len(t, r.Busy(), 1)
	changes := r.WorkChanges()
	started()
	started() // no effect
	assert.Equal(t, Load{Running: 1, Tokens: 14000}, w.Own())
	assert.Greater(t, r.WorkChanges(), changes)
	end()
	drop()
	assert.Equal(t, Load{}, w.Own())
	assert.Empty(t, r.Busy())
	r.ForgetPeer("n2")
	assert.Equal(t, Load{}, w.All())
}

// Guards against counting an engine that serves several models as several targets.
func TestTargetWithSeveralServices(t *testing.T) {
	var r Registry
	r.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: "planner", OtherServices: []string{"summary"}, Address: "10.0.0.1:80"}), 0)
	r.Put(newTarget("b", "10.0.0.2:80", false), 0)
	require.Len(t, r.Service("planner"), 1)
	require.Len(t, r.Service("summary"), 1)
	assert.Same(t, r.Service("planner")[0], r.Service("summary")[0])
	r.EndMismatched(ragworthitch.NewBoot("a", 0), now)
	assert.Empty(t, r.Service("planner"))
	assert.Empty(t, r.Service("summary"))
	assert.Len(t, r.Service("llm"), 1)
}

// newStartedTarget returns the registration of a target's boot that started at a time.
func newStartedTarget(id, addr string, started int64) ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: id, Started: started, Service: "llm", Address: addr})
}

// Guards against taking load, health or connections of an earlier boot for those of
// the next one under the same id, and against waiting for attempts at the
// earlier boot.
func TestRestartUnderOneID(t *testing.T) {
	var r Registry
	assert.Equal(t, Added, r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 10))
	old := r.ByID("a")
	old.Health().Failed(now)
	old.Work().Begin(8000, 9000)
	old.Work().SetPeer("n2", Load{Running: 2})
	assert.Equal(t, Restarted, r.Put(newStartedTarget("a", "10.0.0.1:80", 200), 10))
	m := r.ByID("a")
	require.NotSame(t, old, m)
	assert.NotSame(t, old.Conns(), m.Conns())
	assert.True(t, m.AcceptsCalls(now), "the failure of the earlier boot must not count")
	assert.Equal(t, Load{}, m.Work().All())
	assert.ErrorIs(t, context.Cause(old.Life()), ErrEnded)
	assert.True(t, old.Lost(time.UnixMilli(199)))
	assert.False(t, old.Lost(time.UnixMilli(201)), "sent to the new boot before its registration arrived")
	assert.Len(t, r.Service("llm"), 1)
	assert.Nil(t, r.Boot(old.Target().Boot()))

	assert.Equal(t, Ignored, r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 10), "a late registration of the earlier boot")
	assert.Same(t, m, r.ByID("a"))
	r.Unregister("a", now, now)
	assert.Equal(t, Ignored, r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 10), "a registration of an ended boot")
	assert.Equal(t, Added, r.Put(newStartedTarget("a", "10.0.0.1:80", 200), 10), "an expired registration returns")
}

// Guards against rejecting the next boot under the id of an ended one.
func TestMismatchEndsOneBoot(t *testing.T) {
	var r Registry
	r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 0)
	r.EndMismatched(ragworthitch.NewBoot("a", 100), now)
	assert.Equal(t, Ignored, r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 0))
	assert.Equal(t, Added, r.Put(newStartedTarget("a", "10.0.0.1:80", 200), 0))
	r.EndMismatched(ragworthitch.NewBoot("a", 100), now) // about the earlier boot, late
	assert.NotNil(t, r.ByID("a"))
}

// Guards against connections to an address that the target has left.
func TestAddressChanges(t *testing.T) {
	var r Registry
	r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 0)
	old := r.ByID("a")
	r.Put(newStartedTarget("a", "10.0.0.2:80", 100), 0)
	assert.True(t, old.Lost(time.UnixMilli(200)), "an attempt at the old address can't run at the new one")
	assert.Equal(t, "10.0.0.2:80", r.ByID("a").Conns().Addr())
	assert.Nil(t, r.ByAddress("10.0.0.1:80"))
}

// Guards against new calls to a target whose registration can't be decoded or comes
// from another writer.
func TestUnreadableRegistration(t *testing.T) {
	var r Registry
	r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 0)
	r.Put(newStartedTarget("b", "10.0.0.2:80", 100), 0)
	m := r.ByID("a")
	assert.True(t, r.Unreadable("a"))
	assert.False(t, r.Unreadable("a"), "no change")
	assert.False(t, r.Unreadable("nobody"))
	assert.False(t, m.AcceptsCalls(now))
	assert.True(t, r.ByID("b").AcceptsCalls(now))
	assert.NoError(t, m.Life().Err(), "running calls continue")
	assert.Equal(t, Known, r.Put(newStartedTarget("a", "10.0.0.1:80", 100), 0))
	assert.True(t, m.AcceptsCalls(now))
	assert.Equal(t, Ignored, r.Put(newStartedTarget("a", "10.0.0.1:80", 0), 0))
	assert.False(t, m.AcceptsCalls(now))
	assert.Equal(t, Ignored, r.Put(newStartedTarget("c", "10.0.0.2:80", 0), 0), "another writer registers a target's address")
	assert.True(t, r.ByID("b").AcceptsCalls(now))
}

// Guards against unbounded memory for ended boots, and against evicting the ended
// boots of known targets.
func TestEndedBootsBounded(t *testing.T) {
	var r Registry
	r.Put(newStartedTarget("live", "10.0.0.1:80", 100), 0)
	for i := range 2 * maxEndedBoots {
		r.EndMismatched(ragworthitch.NewBoot(fmt.Sprint(i), 1), now)
	}
	assert.LessOrEqual(t, r.ended.Len(), maxEndedBoots)
	assert.Equal(t, Ignored, r.Put(newStartedTarget("live", "10.0.0.1:80", 99), 0))
}

// Guards against taking a changed list of services for a new boot.
func TestServicesChange(t *testing.T) {
	var r Registry
	registration := func(services ...string) ragworthitch.Target {
		return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: services[0], OtherServices: services[1:], Address: "10.0.0.1:80"})
	}
	r.Put(registration("planner"), 0)
	m := r.ByID("a")
	assert.Equal(t, Known, r.Put(registration("summary", "planner"), 0))
	assert.Same(t, m, r.ByID("a"))
	assert.NoError(t, m.Life().Err())
	assert.Len(t, r.Service("planner"), 1)
	assert.Len(t, r.Service("summary"), 1)
	r.Put(registration("summary"), 0)
	assert.Empty(t, r.Service("planner"))
	assert.Len(t, r.Service("summary"), 1)
}

// Guards against a delayed write that cancels a target's draining, or that adds a
// drained target again.
func TestLateWriteOfDrainingTarget(t *testing.T) {
	registration := func(started, sequence int64, draining bool) ragworthitch.Target {
		return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: "desk", Address: "127.0.0.1:1", Started: started, Sequence: sequence, Draining: draining})
	}
	for _, started := range []int64{0, 1000} {
		var r Registry
		r.Put(registration(started, 4, false), 0)
		assert.Equal(t, Known, r.Put(registration(started, 6, true), 0))
		assert.Equal(t, Ignored, r.Put(registration(started, 5, false), 0), "started %d", started)
		assert.False(t, r.ByID("a").AcceptsCalls(clock.Now()))
	}
	var r Registry
	r.Put(registration(1000, 6, true), 0)
	r.Unregister("a", clock.Now(), 0)
	assert.Equal(t, Ignored, r.Put(registration(1000, 5, false), 0))
	assert.Equal(t, Added, r.Put(registration(2000, 1, false), 0), "the next boot")
}
