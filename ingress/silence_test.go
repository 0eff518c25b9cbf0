package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// tightObjective for intervals makes a stream with a replica fail over after a silence
	// that a caller may cause without a timer that overruns.
	tightObjective = 300 * time.Millisecond
	callerPause    = 240 * time.Millisecond
	pauseTries     = 100 // calls: what select picks among what is ready differs
	borrowTime     = 100 * time.Millisecond
)

type (
	// timedSender sends event n once pause(n) has passed since the one before.
	timedSender struct {
		pause    func(n int64) time.Duration
		attempts atomic.Int32
	}

	// pausingReader is a caller that accepts its second write late.
	pausingReader struct {
		*httptest.ResponseRecorder
		writes *int
	}
)

func (s *timedSender) Send(ctx context.Context, _ *AttemptRequest) (*Reply, error) {
	s.attempts.Add(1)
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= streamEvents; n++ {
			if !clock.Sleep(ctx, s.pause(n)) {
				return ctx.Err()
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\n\n", n), ID: n})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds.
func (*timedSender) CheckConnection(context.Context, *registry.Member) error { return nil }

func (w pausingReader) Write(b []byte) (int, error) {
	*w.writes++
	if *w.writes == 2 {
		time.Sleep(callerPause)
	}
	return w.ResponseRecorder.Write(b)
}

// setIntervalObjective changes the objective for event intervals of the handler's route.
func setIntervalObjective(t *testing.T, h *Handler, objective time.Duration) {
	d, err := ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: 2,
		Services: []ragworthitch.Service{ragworthitch.NewService(ragworthitch.ServiceParams{Name: "llm",
			Engine: &ragworthitch.Engine{Slots: 8, KVTokens: 80000, CanReplicate: true, TokensPerEvent: 10}})},
		Routes: []ragworthitch.Route{ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "r", Host: "h", Prefix: "/p/", Kind: ragworthitch.CallStream,
			Timeout: 5 * time.Second, Objective: time.Second, IntervalObjective: objective, MaxAttempts: maxAttempts, Resumable: true,
			Shares: []ragworthitch.Share{{Service: "llm", Weight: 1}}})}})
	require.NoError(t, err)
	h.desiredState.Apply(d)
	h.desiredState.MarkVerified(clock.Now())
}

// TestTargetOfWaitingEventsIsNotSilent guards against a stream that leaves a target as silent
// although events of the target wait to be read, because its caller read slowly.
func TestTargetOfWaitingEventsIsNotSilent(t *testing.T) {
	left := 0
	for range pauseTries {
		synctest.Test(t, func(t *testing.T) {
			s := &timedSender{pause: func(int64) time.Duration { return 20 * time.Millisecond }}
			h := newTestHandler(t, s, ragworthitch.CallStream)
			setIntervalObjective(t, h, tightObjective)
			w := pausingReader{httptest.NewRecorder(), new(int)}
			require.True(t, h.ServeComplete(context.Background(), w, newCall("waiting")))
			if s.attempts.Load() > 1 {
				left++
			}
			time.Sleep(cleanupTime)
		})
	}
	assert.Zero(t, left, "of %d streams left a target whose events waited", pauseTries)
}

// TestEventWhileRetryIsBorrowed guards against a stream that leaves a target as silent although
// an event of the target came while a retry was borrowed from peers.
func TestEventWhileRetryIsBorrowed(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		borrowing := make(chan struct{})
		s := &timedSender{}
		s.pause = func(n int64) time.Duration {
			if n == 3 {
				<-borrowing
				return borrowTime / 2
			}
			return 20 * time.Millisecond
		}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		h.retryBudget = budget.New(budget.Limit{Window: 10 * time.Second})
		h.borrowRetries = func(_ context.Context, service string) {
			close(borrowing)
			time.Sleep(borrowTime)
			h.retryBudget.Borrowed(service, 1, clock.Now())
		}
		w, cut := serve(h, newCall("borrowing"))
		assert.False(t, cut)
		assert.Equal(t, http.StatusOK, w.Code)
		assert.EqualValues(t, 1, s.attempts.Load(), "attempts")
	})
}
