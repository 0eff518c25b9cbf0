package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// lateSender sends attempts that take any time to reach their target. Once on the wire, an
// attempt reaches the target although it is cancelled.
type lateSender struct {
	mu      sync.Mutex
	rng     *rand.Rand
	started int // attempts that a target has started to run
}

// draw returns a random number in [0, n).
func (s *lateSender) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// delay returns a random duration up to max.
func (s *lateSender) delay(max time.Duration) time.Duration {
	return time.Duration(s.draw(int(max)))
}

func (s *lateSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	if !clock.Sleep(ctx, s.delay(200*time.Millisecond)) || s.draw(5) == 0 {
		return nil, fmt.Errorf("%w: not connected", upstream.ErrNotSent)
	}
	refused, outcome := s.draw(4) == 0, s.draw(4)
	if !refused {
		time.AfterFunc(s.delay(3*time.Second), func() { // the target receives the attempt
			s.mu.Lock()
			defer s.mu.Unlock()
			s.started++
		})
	}
	if !clock.Sleep(ctx, 3*time.Second+s.delay(4*time.Second)) || outcome == 0 {
		return nil, fmt.Errorf("%w: no answer", upstream.ErrSent)
	}
	switch {
	case refused:
		return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: body("")}, nil
	case outcome == 1:
		return &Reply{Status: misleadingStatuses[s.draw(len(misleadingStatuses))], Header: http.Header{}, Body: body("")}, nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// CheckConnection fails.
func (*lateSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// Whatever is sent, lost, answered, timed out or drained, and in whichever order: a call
// that is rejected as not run is never run, also not later, and an unsafe call runs at most
// once.
func TestRejectedCallsNeverRun(t *testing.T) {
	for seed := range uint64(400) {
		kind := []ragworthitch.CallKind{ragworthitch.CallUnsafe, ragworthitch.CallStream}[seed%2]
		synctest.Test(t, func(t *testing.T) {
			s := &lateSender{rng: rand.New(rand.NewPCG(seed, 5))}
			h := newTestHandler(t, s, kind)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			switch s.draw(4) {
			case 0:
				time.AfterFunc(s.delay(6*time.Second), cancel) // the caller disconnects
			case 1:
				time.AfterFunc(s.delay(6*time.Second), func() { h.Drain(clock.Now().Add(s.delay(5 * time.Second))) })
			case 2:
				time.AfterFunc(s.delay(6*time.Second), func() { // all targets leave
					for _, id := range h.targets.IDs() {
						h.targets.Unregister(id, clock.Now(), clock.Now())
					}
				})
			}
			w := httptest.NewRecorder()
			complete := h.ServeComplete(ctx, w, &Call{ID: "call", Method: "POST", Host: "h", URI: "/p/x", Path: "/p/x", Header: http.Header{}, Received: clock.Now()})
			time.Sleep(time.Minute)
			synctest.Wait()
			if complete && promisesNotRun(w.Code) {
				require.Zero(t, s.started, "seed %d: rejected with %d, though it ran", seed, w.Code)
			}
			if kind == ragworthitch.CallUnsafe {
				require.LessOrEqual(t, s.started, 1, "seed %d", seed)
			}
			assert.Zero(t, running(h), "seed %d", seed)
		})
	}
}
