package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	// The operator's rule for a target with a limit: in any 4 s at most 1.5 times what the
	// limit allows, and 5 requests more.
	ruleSpan      = 4 * time.Second
	ruleTolerance = 1.5
	ruleExtra     = 5

	modelStep  = 50 * time.Millisecond
	modelStart = 10 * time.Second // the count begins
	modelEnd   = 70 * time.Second
)

type (
	// sharedCase is a case of testdata/shared.yaml.
	sharedCase struct {
		Name         string
		Instances    []int
		Limits       []float64
		BurstEvery   float64 `yaml:"burstEvery"`   // all instances have a call at once; 0: all always have one
		ClockError   float64 `yaml:"clockError"`   // of a third of the instances
		UnknownShare float64 `yaml:"unknownShare"` // of the others, to each instance
		DoubleAt     float64 `yaml:"doubleAt"`     // as many instances again start
		HalfLostAt   float64 `yaml:"halfLostAt"`
		RestartAt    float64 `yaml:"restartAt"`
		GrowAt       float64 `yaml:"growAt"`     // all start again and learn of each other one by one
		HeardAfter   float64 `yaml:"heardAfter"` // when an instance's list follows a change
		StaleFrom    float64 `yaml:"staleFrom"`
		LimitVaries  float64 `yaml:"limitVaries"` // by this share of the limit
		MinUsed      float64 `yaml:"minUsed"`     // least share of the limit that is used
	}

	// model is a set of instances before one target.
	model struct {
		c         sharedCase
		rng       *rand.Rand
		n         int
		limit     float64
		instances []*modelInstance
		names     []string
		rings     map[int]ring    // by number of instances
		sent      []time.Duration // times of all requests
	}

	modelInstance struct {
		group   *Group
		limit   *Limit
		members Members
		lost    bool
	}
)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func newModel(c sharedCase, n int, limit float64) *model {
	m := &model{c: c, rng: rand.New(rand.NewPCG(uint64(n), uint64(limit*10))), n: n, limit: limit}
	total := n
	if c.DoubleAt > 0 {
		total = 2 * n
	}
	for i := range total {
		m.names = append(m.names, fmt.Sprintf("front-%d", i))
	}
	for i := range n {
		m.start(i, 0, m.names[:n])
	}
	return m
}

// at returns a point on the model's clock.
func at(t time.Duration) clock.Time { return clock.Time(time.Hour).Add(t) }

// start starts an instance that knows the named ones, and that knows of the limit.
func (m *model) start(i int, t time.Duration, known []string) {
	in := &modelInstance{limit: &Limit{}}
	in.group = &Group{Self: m.names[i], List: func() Members { return in.members }}
	in.group.startOnce.Do(func() {
		in.group.startedAt, in.group.startedWall = at(0), time.Unix(1_790_000_000, 0)
		if m.rng.IntN(3) == 0 {
			in.group.startedWall = in.group.startedWall.Add(seconds(m.c.ClockError * (2*m.rng.Float64() - 1)))
		}
	})
	in.learn(m, known, t)
	in.limit.Observe(Answer{Statement: Statement{Kind: Named, Rate: m.limit}, SentAt: at(t), ReceivedAt: at(t)})
	if i < len(m.instances) {
		m.instances[i] = in
	} else {
		m.instances = append(m.instances, in)
	}
}

// learn sets the instance's list.
func (in *modelInstance) learn(m *model, known []string, t time.Duration) {
	others := make([]string, 0, len(known))
	for _, name := range known {
		if name != in.group.Self && m.rng.Float64() >= m.c.UnknownShare {
			others = append(others, name)
		}
	}
	in.members = Members{Others: others, Version: in.members.Version + 1, AsOf: at(t), Known: true}
	if m.c.UnknownShare == 0 && len(known) > 0 {
		in.group.ring, in.group.version, in.group.builtAt = m.ring(known), in.members.Version, at(t)
	}
}

// ring returns the ring of the named instances, which those that know all of them share.
func (m *model) ring(nodes []string) ring {
	if m.rings == nil {
		m.rings = map[int]ring{}
	}
	if _, ok := m.rings[len(nodes)]; !ok {
		m.rings[len(nodes)] = newRing(nodes)
	}
	return m.rings[len(nodes)]
}

// play plays the case and returns the largest number of requests in any ruleSpan, and the
// share of the limit that was used.
func (m *model) play() (most int, used float64) {
	changes := m.changes()
	for t := time.Duration(0); t < modelEnd; t += modelStep {
		for len(changes) > 0 && t >= changes[0].at {
			changes[0].apply(t)
			changes = changes[1:]
		}
		m.step(t)
	}
	first, counted := 0, 0
	for i, sent := range m.sent {
		if sent < modelStart {
			first = i + 1
			continue
		}
		counted++
		for sent-m.sent[first] >= ruleSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(counted) / (m.limit * (modelEnd - modelStart).Seconds())
}

// step sends what the instances may send now.
func (m *model) step(t time.Duration) {
	if m.c.BurstEvery > 0 && t%seconds(m.c.BurstEvery) != 0 {
		return
	}
	first := m.rng.IntN(len(m.instances))
	for i := range m.instances {
		in := m.instances[(first+i)%len(m.instances)]
		if in.lost {
			continue
		}
		if m.c.StaleFrom == 0 || t < seconds(m.c.StaleFrom) {
			in.members.AsOf = at(t)
		}
		if _, ok := in.group.Take(in.limit, "target", true, at(t)); !ok {
			continue
		}
		m.sent = append(m.sent, t)
		if m.c.LimitVaries > 0 {
			rate := m.limit * (1 - m.c.LimitVaries*m.rng.Float64())
			in.limit.Observe(Answer{Statement: Statement{Kind: Named, Rate: rate}, SentAt: at(t), ReceivedAt: at(t)})
		}
	}
}

type modelChange struct {
	at    time.Duration
	apply func(t time.Duration)
}

// changes returns what changes in the case, in order.
func (m *model) changes() []modelChange {
	c := m.c
	heard := seconds(c.HeardAfter)
	switch {
	case c.DoubleAt > 0:
		return []modelChange{{seconds(c.DoubleAt), func(t time.Duration) {
			for i := m.n; i < 2*m.n; i++ {
				m.start(i, t, m.names)
			}
		}}, {seconds(c.DoubleAt) + heard, func(t time.Duration) {
			for _, in := range m.instances[:m.n] {
				in.learn(m, m.names, t)
			}
		}}}
	case c.HalfLostAt > 0:
		return []modelChange{{seconds(c.HalfLostAt), func(time.Duration) {
			for _, in := range m.instances[:m.n/2] {
				in.lost = true
			}
		}}}
	case c.GrowAt > 0:
		return m.growth(seconds(c.GrowAt), heard)
	case c.RestartAt > 0:
		out := []modelChange{{seconds(c.RestartAt), func(t time.Duration) {
			for i := range m.n {
				m.start(i, t, nil)
				m.instances[i].members.Known = false
			}
		}}}
		for i := range m.n {
			after := seconds(c.RestartAt) + heard*time.Duration(i)/time.Duration(m.n)
			out = append(out, modelChange{after, func(t time.Duration) { m.instances[i].learn(m, m.names, t) }})
		}
		return out
	}
	return nil
}

// growth restarts all instances with lists that have been read and are still empty. Each
// learns of each other within the given time.
func (m *model) growth(from, heard time.Duration) []modelChange {
	out := []modelChange{{from, func(t time.Duration) {
		for i := range m.n {
			m.start(i, t, nil)
		}
	}}}
	heardAt := make([][]time.Duration, m.n)
	for i := range heardAt {
		for range m.n {
			heardAt[i] = append(heardAt[i], time.Duration(m.rng.Float64()*float64(heard)))
		}
	}
	for after := modelStep; after <= heard+modelStep; after += modelStep {
		out = append(out, modelChange{from + after, func(t time.Duration) {
			for i, in := range m.instances {
				var known []string
				for j, name := range m.names {
					if j == i || heardAt[i][j] <= after {
						known = append(known, name)
					}
				}
				if len(known)-1 > len(in.members.Others) {
					in.members = Members{Others: slices.DeleteFunc(known, func(name string) bool { return name == in.group.Self }), Version: in.members.Version + 1, AsOf: at(t), Known: true}
				}
			}
		}})
	}
	return out
}

// Guards against instances that together send a target more than its limit allows, however
// many there are and whatever they know of each other.
func TestInstancesShareLimit(t *testing.T) {
	for _, c := range cases.Load[sharedCase](t, "testdata/shared.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			for _, n := range c.Instances {
				for _, limit := range c.Limits {
					most, used := newModel(c, n, limit).play()
					allowed := ruleTolerance*limit*ruleSpan.Seconds() + ruleExtra
					t.Logf("%4d instances, limit %4.1f: %3d in 4 s of %.0f, used %.2f", n, limit, most, allowed, used)
					assert.LessOrEqual(t, float64(most), allowed, "%d instances, limit %v", n, limit)
					assert.GreaterOrEqual(t, used, c.MinUsed, "%d instances, limit %v: share of the limit used", n, limit)
				}
			}
		})
	}
}
