package exchange

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// rateLimitCase is a case of testdata/rate_limits.yaml.
type rateLimitCase struct {
	Name      string
	Instances int
	Zones     int
	Killed    float64 // share of the other instances that end before
	WithinMs  int64   `yaml:"withinMs"`
}

// Guards against instances that go on sending because they have not received an answer with
// the limit themselves, and against limits that some of them keep after the end.
func TestRateLimitsSpread(t *testing.T) {
	for _, c := range cases.Load[rateLimitCase](t, "testdata/rate_limits.yaml") {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { spreadRateLimit(t, c) }) })
	}
}

func spreadRateLimit(t *testing.T, c rateLimitCase) {
	ctx, cancel := context.WithCancel(t.Context())
	defer synctest.Wait()
	defer cancel()
	f := &fleet{instances: map[string]*instance{}}
	var all []*instance
	for i := range c.Instances {
		n := f.add(i, c.Zones)
		n.ex.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "t", Started: 1, Service: "desk", Address: "10.1.0.1:1"}), 0)
		f.start(ctx, n)
		all = append(all, n)
	}
	time.Sleep(startupTime)
	killed := int(c.Killed * float64(c.Instances))
	for _, n := range all[1 : 1+killed] {
		n.kill()
	}
	left := append(all[:1:1], all[1+killed:]...)
	first := target(all[0])
	observe(all[0], ratelimit.Statement{Kind: ratelimit.Named, Rate: 4.4})
	assert.LessOrEqual(t, awaitAll(left, func(m *registry.Member) bool { rate, ok := m.RateLimit().Rate(); return ok && rate == 4.4 }), c.WithinMs)
	time.Sleep(time.Second)
	observe(all[0], ratelimit.Statement{})
	_, limited := first.RateLimit().Rate()
	assert.False(t, limited)
	assert.LessOrEqual(t, awaitAll(left, func(m *registry.Member) bool { _, ok := m.RateLimit().Rate(); return !ok }), c.WithinMs)
	time.Sleep(time.Minute)
	assert.Empty(t, all[0].ex.targets.Limited())
}

func target(n *instance) *registry.Member { return n.ex.targets.ByID("t") }

// observe makes an instance receive an answer of the target.
func observe(n *instance, s ratelimit.Statement) {
	now := clock.Now()
	target(n).ObserveRateLimit(ratelimit.Answer{Statement: s, Successful: true, SentAt: now.Add(-time.Millisecond), ReceivedAt: now})
	n.ex.SendNow()
}

// awaitAll returns the time in ms until all instances know, at most a minute.
func awaitAll(ns []*instance, knows func(*registry.Member) bool) int64 {
	start := time.Now()
	for _, n := range ns {
		for !knows(target(n)) && time.Since(start) < time.Minute {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start).Milliseconds()
}
