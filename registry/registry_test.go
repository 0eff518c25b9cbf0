package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const now = clock.Time(time.Minute)

func target(id, addr string, draining bool) ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: id, Service: "llm", Address: addr, Draining: draining})
}

// A crashed target's entry stands for some seconds beside its successor's at
// the same address: the old one counts no more, and its late entries neither.
func TestSuccessorAtAnAddress(t *testing.T) {
	var r Registry
	r.Put(target("old", "10.0.0.1:80", false), 0)
	r.Put(target("new", "10.0.0.1:80", false), 0)
	assert.Nil(t, r.ByID("old"))
	assert.Equal(t, "new", r.At("10.0.0.1:80").Target().ID())
	r.Put(target("old", "10.0.0.1:80", false), 0)
	assert.Nil(t, r.ByID("old"))
	assert.Len(t, r.Service("llm"), 1)
	r.Refused("new")
	assert.Nil(t, r.At("10.0.0.1:80"))
	assert.Empty(t, r.Service("llm"))
}

// An entry that vanished while the store was away stands for a while, and for
// good if it comes back.
func TestVanish(t *testing.T) {
	var r Registry
	r.Put(target("a", "10.0.0.1:80", false), 0)
	r.Put(target("b", "10.0.0.2:80", false), 0)
	r.Vanish("a", now, now)
	assert.Nil(t, r.ByID("a"))
	r.Vanish("b", now, now.Add(2*time.Second))
	b := r.ByID("b")
	require.NotNil(t, b)
	assert.True(t, b.Takes(now.Add(time.Second)))
	assert.False(t, b.Takes(now.Add(2*time.Second)))
	r.Put(target("b", "10.0.0.2:80", false), 0)
	r.Expire(now.Add(time.Hour))
	assert.True(t, b.Takes(now.Add(time.Hour)))
	r.Put(target("b", "10.0.0.2:80", true), 0)
	assert.False(t, b.Takes(now), "it drains")
}

func TestWork(t *testing.T) {
	var r Registry
	r.Put(target("a", "10.0.0.1:80", false), 0)
	w := r.ByID("a").Work()
	started, end := w.Begin(8000, 9000)
	drop := w.KeepCopy(5000)
	w.SetOther("n2", Load{Prefill: 100, Running: 2, Tokens: 300})
	assert.Equal(t, Load{Prefill: 8000, Running: 1, Tokens: 14000}, w.Own())
	assert.Equal(t, Load{Prefill: 8100, Running: 3, Tokens: 14300}, w.All())
	assert.Len(t, r.Busy(), 1)
	edits := r.Edits()
	started()
	started() // counts once
	assert.Equal(t, Load{Running: 1, Tokens: 14000}, w.Own())
	assert.Greater(t, r.Edits(), edits)
	end()
	drop()
	assert.Equal(t, Load{}, w.Own())
	assert.Empty(t, r.Busy())
	r.Forget("n2")
	assert.Equal(t, Load{}, w.All())
}

// An engine that serves several models is one target with one load, found by
// each of them.
func TestSeveralServices(t *testing.T) {
	var r Registry
	r.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: "planner", Others: []string{"summary"}, Address: "10.0.0.1:80"}), 0)
	r.Put(target("b", "10.0.0.2:80", false), 0)
	require.Len(t, r.Service("planner"), 1)
	require.Len(t, r.Service("summary"), 1)
	assert.Same(t, r.Service("planner")[0], r.Service("summary")[0])
	r.Refused("a")
	assert.Empty(t, r.Service("planner"))
	assert.Empty(t, r.Service("summary"))
	assert.Len(t, r.Service("llm"), 1)
}
