package ingress

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// cleanupTime is longer than any goroutine or timer of a call lasts.
const cleanupTime = time.Hour

func TestMain(m *testing.M) {
	clock.FollowRuntime() // follows the fake time of synctest bubbles
	os.Exit(m.Run())
}

// bubble runs a test in a synctest bubble with fake time, so that a busy machine cannot
// delay it.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t)
			time.Sleep(cleanupTime)
		})
	})
}

// silentSender sends an event, then nothing for the given time, then the rest. Its targets
// accept no connection.
type silentSender struct {
	silence  time.Duration
	attempts atomic.Int32
}

func (s *silentSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	attempt := s.attempts.Add(1)
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= 3; n++ {
			if n > 1 && attempt == 1 && !clock.Sleep(ctx, s.silence) {
				return ctx.Err()
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\n\n", n), ID: n})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection fails after the dial timeout.
func (*silentSender) CheckConnection(ctx context.Context, _ *registry.Member) error {
	clock.Sleep(ctx, upstream.DialTimeout)
	return upstream.ErrNotSent
}

// A stream at a silent target that accepts no connection fails over within 300 ms,
// including the dial timeout. It stays at a target that sends an event during the
// connection check, since only packets may have been lost.
func TestSilentTargetFailsOver(t *testing.T) {
	tests := []struct {
		name      string
		silence   time.Duration
		failsOver bool
	}{
		{"an event during the connection check", 220 * time.Millisecond, false},
		{"no further event", time.Minute, true},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &silentSender{silence: tt.silence}
			startedAt := clock.Now()
			w, cut := serve(newTestHandler(t, s, ragworthitch.CallStream), &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x",
				Header: http.Header{}, Prompt: 10, Received: startedAt})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, tt.failsOver, s.attempts.Load() > 1)
			if tt.failsOver {
				assert.Less(t, clock.Now().Sub(startedAt), 300*time.Millisecond)
			}
		})
	}
}
