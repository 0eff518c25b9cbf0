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

// diallingSender opens no connection: attempts wait until they are cancelled. Targets are
// ejected or end their boot after targetLostAfter.
type diallingSender struct {
	targetLostAfter time.Duration // 0: never
	connectsFrom    int           // number of the first attempt that connects; 0: none
	bootEnds        bool          // the target's boot ends instead of an ejection
	h               *Handler
	attempts        int
}

// Send waits until ctx ends.
func (s *diallingSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts++
	if s.connectsFrom > 0 && s.attempts >= s.connectsFrom {
		return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
	}
	if s.targetLostAfter > 0 {
		time.AfterFunc(s.targetLostAfter, func() {
			if s.bootEnds {
				s.h.targets.EndMismatched(r.Target.Boot(), clock.Now())
				return
			}
			r.Member.Health().Failed(clock.Now())
		})
	}
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
}

// CheckConnection fails.
func (*diallingSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// A call that was still waiting for a connection when its target was ejected or its
// deadline passed has not run: it goes to another target or is rejected with Retry-After.
// It must not fail as if it may have run.
func TestAttemptEndedWhileDialling(t *testing.T) {
	tests := []struct {
		name   string
		kind   ragworthitch.CallKind
		s      diallingSender
		status int
	}{
		{"another target takes the stream", ragworthitch.CallStream, diallingSender{targetLostAfter: 50 * time.Millisecond, connectsFrom: 2}, http.StatusOK},
		{"the target's boot has ended", ragworthitch.CallStream, diallingSender{targetLostAfter: 50 * time.Millisecond, connectsFrom: 2, bootEnds: true}, http.StatusOK},
		{"all targets are lost", ragworthitch.CallStream, diallingSender{targetLostAfter: 50 * time.Millisecond}, http.StatusServiceUnavailable},
		{"the stream's deadline passes", ragworthitch.CallStream, diallingSender{}, http.StatusServiceUnavailable},
		{"the call's deadline passes", ragworthitch.CallUnsafe, diallingSender{}, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := tt.s
			s.h = newTestHandler(t, &s, tt.kind)
			w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, tt.status, w.Code)
			assert.Equal(t, tt.status == http.StatusServiceUnavailable, w.Header().Get("Retry-After") != "")
		})
	}
}
