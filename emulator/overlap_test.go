package emulator

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// overlapStep is the begin or the end of a run at one of the engines.
type overlapStep struct {
	AtMs   int    `yaml:"atMs"`
	Begins string // names the call
	Ends   string // names the call
	Engine int
}

// overlapCase holds the runs of some streams, and what the counter has to find.
type overlapCase struct {
	Case      string
	Steps     []overlapStep
	SumAtMs   int `yaml:"sumAtMs"`
	Handovers int
	Streams   int
	TooLong   int `yaml:"tooLong"`
	LongestMs int `yaml:"longestMs"`
}

// Guards against a counter that misses two engines at work on one stream, or finds some that
// were not.
func TestOverlapCounter(t *testing.T) {
	for _, tt := range cases.Load[overlapCase](t, "testdata/overlaps.yaml") {
		t.Run(tt.Case, func(t *testing.T) {
			var c overlapCounter
			engines := []*Engine{{}, {}, {}}
			start := time.Now()
			at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			for _, s := range tt.Steps {
				if s.Begins != "" {
					c.begin(s.Begins, engines[s.Engine], at(s.AtMs))
				}
				if s.Ends != "" {
					c.end(s.Ends, engines[s.Engine], at(s.AtMs))
				}
			}
			want := Overlaps{Handovers: tt.Handovers, Streams: tt.Streams, TooLong: tt.TooLong, Longest: time.Duration(tt.LongestMs) * time.Millisecond}
			assert.Equal(t, want, c.sum(at(tt.SumAtMs)))
		})
	}
}

// Guards the begin and the end of a run as engines see them: waiting in the queue is no work,
// and neither is a run whose engine has crashed, has lost power or has been told to stop.
func TestOverlapOfGenerations(t *testing.T) {
	request := Request{CallID: "a", PromptTokens: 800, Events: 50}
	tests := map[string]struct {
		leave  func(e *Engine, g *Generation) // the first engine, before the second begins
		before time.Duration                  // until the second begins
		want   Overlaps
	}{
		"still at work":     {func(*Engine, *Generation) {}, 0, Overlaps{Handovers: 1, Streams: 1, TooLong: 1, Longest: 600 * time.Millisecond}},
		"silent, not gone":  {func(e *Engine, _ *Generation) { e.Fail(Stuck) }, 0, Overlaps{Handovers: 1, Streams: 1, TooLong: 1, Longest: 600 * time.Millisecond}},
		"stopped":           {func(e *Engine, g *Generation) { e.Stop(g, CallerGone) }, 0, Overlaps{Handovers: 1}},
		"crashed":           {func(e *Engine, _ *Generation) { e.Fail(Down) }, 0, Overlaps{Handovers: 1}},
		"without power":     {func(e *Engine, _ *Generation) { e.Fail(Unreachable) }, 0, Overlaps{Handovers: 1}},
		"at its end itself": {func(*Engine, *Generation) {}, 2 * time.Second, Overlaps{Handovers: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				profile := DefaultProfile()
				profile.Slots = 1
				c := NewCluster("llm", 2, []string{"a"}, profile)
				es := []*Engine{c.Nodes()["127.0.1.1:80"].Engine, c.Nodes()["127.0.1.2:80"].Engine}
				for _, e := range es {
					go e.Run(ctx)
				}
				g := start(t, es[0], request)
				<-g.Output()
				tt.leave(es[0], g)
				time.Sleep(tt.before)
				long := request
				long.Events = 100
				start(t, es[1], long)
				time.Sleep(600 * time.Millisecond)
				got := c.Overlaps()
				assert.Equal(t, tt.want, got)
			})
		})
	}
}

// Guards against a queued request that counts as work before it is admitted.
func TestQueuedRequestDoesNotOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		profile := DefaultProfile()
		profile.Slots = 1
		c := NewCluster("llm", 2, []string{"a"}, profile)
		for _, n := range c.Nodes() {
			go n.Run(t.Context())
		}
		busy, free := c.Nodes()["127.0.1.1:80"].Engine, c.Nodes()["127.0.1.2:80"].Engine
		<-start(t, busy, Request{CallID: "other", PromptTokens: 800, Events: 500}).FirstToken()
		queued := start(t, busy, Request{CallID: "a", PromptTokens: 800, Events: 20})
		start(t, free, Request{CallID: "a", PromptTokens: 800, Events: 500})
		time.Sleep(time.Second)
		busy.Stop(queued, CallerGone)
		assert.Equal(t, Overlaps{}, c.Overlaps())
	})
}
