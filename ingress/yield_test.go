package ingress

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// recordingSender records the last attempt and its target's load when the attempt arrives.
type recordingSender struct {
	attempt *AttemptRequest
	load    registry.Load
}

func (s *recordingSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempt, s.load = r, r.Member.Work().Own()
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// CheckConnection fails.
func (*recordingSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// testPace is the pace of engines that prefill 5 tokens per ms.
var testPace = pace.Pace{EventInterval: 29 * time.Millisecond, PrefillRatio: 1.0 / (5 * 29), Prompt: 5000, LoadedInterval: 33 * time.Millisecond, UsualAnswer: 0.7}

// Under overload a stream that no engine can start within its objective gets RankLow, and
// its prefill does not count against calls that can still be in time.
func TestLateStreamsYield(t *testing.T) {
	tests := []struct {
		name    string
		backlog int
		rank    Rank
	}{
		{"no backlog", 0, RankNormal},
		{"a backlog of one second at every engine", 5000, RankLow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &recordingSender{}
			h := newTestHandler(t, s, ragworthitch.CallStream)
			h.fixedPace = &testPace
			for _, m := range h.targets.Service("llm") {
				m.Work().SetPeer("another", registry.Load{Prefill: tt.backlog})
			}
			serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 4000, MaxTokens: 100, Received: clock.Now()})
			assert.Equal(t, tt.rank, s.attempt.Rank)
			assert.Equal(t, tt.rank == RankLow, s.load.Prefill == 0)
			assert.Equal(t, tt.rank == RankLow, s.load.YieldingPrefill == 4000)
			assert.True(t, s.load.Prefilling())
		})
	}
}

// Streams get no replica when the memory of engines is short, since replicas would make
// engines preempt running streams.
func TestReplicasYield(t *testing.T) {
	for _, tt := range []struct {
		usedTokens int // tokens of the 80,000 that an engine holds
		replicated bool
	}{{10000, true}, {50000, true}, {62000, false}} {
		s := &recordingSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		for _, m := range h.targets.Service("llm") {
			m.Work().SetPeer("another", registry.Load{Tokens: tt.usedTokens})
		}
		serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 4000, MaxTokens: 100, Received: clock.Now()})
		assert.Equal(t, tt.replicated, s.attempt.ReplicateTo != "", "%d tokens used", tt.usedTokens)
	}
}

// A stream goes to an engine that can start it in time, although that engine runs more
// streams than the others, whose backlog would make it late.
func TestEngineInTimePreferred(t *testing.T) {
	s := &recordingSender{}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	h.fixedPace = &testPace
	for _, m := range h.targets.Service("llm") {
		load := registry.Load{Prefill: 5000} // late: 1.8 s with the call's own prompt, against 1 s
		if m.Target().ID() == "i-3" {
			load = registry.Load{Running: 10}
		}
		m.Work().SetPeer("another", load)
	}
	serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 4000, MaxTokens: 100, Received: clock.Now()})
	assert.Equal(t, "i-3", s.attempt.Target.ID())
	assert.Equal(t, RankNormal, s.attempt.Rank)
}
