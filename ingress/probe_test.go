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

// settleTime is longer than anything that a call leaves behind.
const settleTime = time.Hour

func TestMain(m *testing.M) {
	clock.FollowRuntime() // for tests that run in a bubble's time
	os.Exit(m.Run())
}

// bubble runs a test in the time of a synctest bubble: what it waits for
// takes no time, and no busy machine makes it late.
func bubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f(t)
			time.Sleep(settleTime)
		})
	})
}

// quietSender makes an event, then nothing for a while, then the rest; no
// connection to its targets succeeds.
type quietSender struct {
	quiet time.Duration
	runs  atomic.Int32
}

// Send answers one order.
func (s *quietSender) Send(ctx context.Context, o *Order) (*Reply, error) {
	run := s.runs.Add(1)
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= 3; n++ {
			if n > 1 && run == 1 && !clock.Sleep(ctx, s.quiet) {
				return ctx.Err()
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\n\n", n), ID: n})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe waits as long as a connection is waited for.
func (*quietSender) Probe(ctx context.Context, _ *registry.Member) error {
	clock.Sleep(ctx, upstream.DialTimeout)
	return upstream.ErrNotSent
}

// A target that is quiet and takes no connection is lost after 300 ms of
// silence, the connection's 150 ms included; one that is heard again while its
// connection is waited for is not: its packets may only have been lost.
func TestAskedEarly(t *testing.T) {
	tests := []struct {
		name  string
		quiet time.Duration
		moves bool
	}{
		{"heard while its connection is waited for", 220 * time.Millisecond, false},
		{"silent for good", time.Minute, true},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &quietSender{quiet: tt.quiet}
			begun := clock.Now()
			w, cut := serve(modelHandler(t, s, ragworthitch.CallStream), &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x",
				Header: http.Header{}, Prompt: 10, Received: begun})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, tt.moves, s.runs.Load() > 1)
			if tt.moves {
				assert.Less(t, clock.Now().Sub(begun), 300*time.Millisecond)
			}
		})
	}
}
