package ingress

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// lastTargetSender breaks the first attempt after two events and removes all targets;
// another target appears after a while.
type lastTargetSender struct {
	h            *Handler
	appearsAfter time.Duration
	attempts     int
}

func (s *lastTargetSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts++
	if s.attempts > 1 {
		return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 3\ndata: c\n\n")}, nil
	}
	now := clock.Now()
	for _, id := range s.h.targets.IDs() {
		s.h.targets.Unregister(id, now, now) // attempts there continue
	}
	time.AfterFunc(s.appearsAfter, func() {
		s.h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "new", Service: "llm", Address: "127.0.0.1:99", Zone: "b"}), 0)
	})
	events := func(emit func(Event) bool) error {
		for n := range 2 {
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: %d\n\n", n+1, n), ID: int64(n + 1)})
		}
		return errBroken
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// An interrupted stream without an available target waits for targetWait and is then cut
// off, not rejected, since it has run.
func TestAwaitTarget(t *testing.T) {
	tests := []struct {
		name         string
		wait         time.Duration
		appearsAfter time.Duration
		complete     bool
	}{
		{"the next target appears in time", 2 * time.Second, 100 * time.Millisecond, true},
		{"the next target appears too late", 100 * time.Millisecond, time.Minute, false},
		{"streams do not wait", 0, time.Minute, false},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &lastTargetSender{appearsAfter: tt.appearsAfter}
			s.h = newTestHandler(t, s, ragworthitch.CallStream)
			s.h.targetWait = tt.wait
			startedAt := clock.Now()
			w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: startedAt})
			assert.Equal(t, !tt.complete, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			if !tt.complete {
				assert.LessOrEqual(t, clock.Now().Sub(startedAt), tt.wait+silenceCheckInterval, "waited longer than targetWait")
			}
		})
	}
}

// A route's stall timeout decides when a stream fails over, whatever the pauses of the
// engine's other streams.
func TestRouteStallTimeout(t *testing.T) {
	route := ragworthitch.NewRoute(ragworthitch.RouteParams{Kind: ragworthitch.CallStream, Resumable: true, MaxAttempts: 3, StallTimeout: 300 * time.Millisecond})
	for silence, failsOver := range map[time.Duration]bool{200 * time.Millisecond: false, 310 * time.Millisecond: true} {
		s := &stream{activeCall: &activeCall{h: newTestHandler(t, &faultySender{}, ragworthitch.CallStream), call: &Call{}}}
		s.grant.Route = &route
		ms := s.h.targets.Service("llm")
		a := &attempt{s: s, member: ms[0], intervalObjective: defaultIntervalObjective, headReceived: true, connCheckedAt: clock.Now()}
		assert.Equal(t, failsOver, a.checkSilence(t.Context(), silence), "%v", silence)
	}
}

// CheckConnection fails.
func (*lastTargetSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}
