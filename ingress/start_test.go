package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/registry"
)

// Callers return at once after all instances were killed, many with their last retry. Calls
// that reach an instance shortly before it knows the desired state and the targets must be
// served and not rejected; others must not wait long.
func TestCallsWaitForStart(t *testing.T) {
	tests := []struct {
		name       string
		startTakes time.Duration // 0: started before the call arrives
		timeout    time.Duration // of the caller
		status     int
		wait       time.Duration
	}{
		{"started", 0, 25 * time.Second, http.StatusOK, 0},
		{"a stream, started soon", 300 * time.Millisecond, 25 * time.Second, http.StatusOK, 300 * time.Millisecond},
		{"a short call, started soon", 200 * time.Millisecond, 1500 * time.Millisecond, http.StatusOK, 200 * time.Millisecond},
		{"a short call, started later", 600 * time.Millisecond, 1500 * time.Millisecond, http.StatusServiceUnavailable, 300 * time.Millisecond},
		{"a stream, started much later", 5 * time.Second, 25 * time.Second, http.StatusServiceUnavailable, maxStartWait},
		{"unknown timeout", 5 * time.Second, 0, http.StatusServiceUnavailable, maxStartWait},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			h := newTestHandler(t, &recordingSender{}, ragworthitch.CallStream)
			known, targets := h.desiredState, h.targets
			started := make(chan struct{})
			start := func() {
				h.desiredState, h.targets = known, targets
				close(started)
			}
			h.started = started
			if tt.startTakes == 0 {
				start()
			} else {
				h.desiredState, h.targets = desired.NewTracker(desired.Ages{}), &registry.Registry{}
				time.AfterFunc(tt.startTakes, start)
			}
			arrived := clock.Now()
			w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Timeout: tt.timeout, Received: arrived})
			assert.False(t, cut)
			assert.Equal(t, tt.status, w.Code)
			assert.Equal(t, tt.wait, clock.Now().Sub(arrived))
			time.Sleep(tt.startTakes)
		})
	}
}
