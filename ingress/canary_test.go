package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// versionSender counts the attempts for each version. Targets of lostVersion refuse
// connections.
type versionSender struct {
	lostVersion string
	attempts    map[string]int
}

func (s *versionSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	v := r.Target.Version()
	if v == s.lostVersion {
		return nil, fmt.Errorf("%w: refused", upstream.ErrNotSent)
	}
	s.attempts[v]++
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// CheckConnection fails.
func (*versionSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// versionHandler returns a handler with as many old as new targets and a roll-out in the
// given state.
func versionHandler(t *testing.T, s *versionSender, state rollout.State) *Handler {
	h := newTestHandler(t, s, ragworthitch.CallStream)
	putVersion(h, "v2", 2)
	h.rollouts.Order(rollout.Order{ID: 4, Service: "llm", To: "v2", Duration: 20 * time.Minute}, clock.Now())
	h.rollouts.Status(rollout.Status{Order: 4, Service: "llm", To: "v2", State: state, Row: 5})
	return h
}

// putVersion adds as many targets of a version as the handler has of the old one. network
// is the last byte of their address.
func putVersion(h *Handler, version string, network int) {
	for i := range testTargets {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint(version, "-", i), Service: "llm", Version: version,
			Address: fmt.Sprintf("127.0.0.%d:%d", network, 1+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
}

// Calls go to the version that the roll-out's state selects, although the targets of the
// new version are less busy. Another version gets calls only if the selected one takes
// none, and a rolled-back version gets none at all.
func TestCallsFollowRollout(t *testing.T) {
	const calls = 400 // the roll-out allows 10 % of them plus 50 as canary calls
	tests := []struct {
		state                    rollout.State
		lostVersion              string
		minAttempts, maxAttempts int // for the new version
	}{
		{rollout.Running, "none", 1, calls/10 + 50},
		{rollout.Moving, "none", calls, calls},
		{rollout.Completed, "none", calls, calls},
		{rollout.RolledBack, "none", 0, 0},
		{rollout.Completed, "v2", 0, 0},
		{rollout.Running, "", calls, calls},
		{rollout.RolledBack, "", 0, 0},
	}
	for _, tt := range tests {
		bubble(t, fmt.Sprintf("%v, version %q lost", tt.state, tt.lostVersion), func(t *testing.T) {
			s := &versionSender{lostVersion: tt.lostVersion, attempts: map[string]int{}}
			h := versionHandler(t, s, tt.state)
			for n := range calls {
				serve(h, &Call{ID: fmt.Sprint(n), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			}
			assert.GreaterOrEqual(t, s.attempts["v2"], tt.minAttempts)
			assert.LessOrEqual(t, s.attempts["v2"], tt.maxAttempts)
		})
	}
}

// A version that was rolled back gets no call once another is ordered: neither as an old one,
// nor when the old one is lost, nor when there is no other left. A call that no target may get
// is rejected at once.
func TestRejectedVersionGetsNoCalls(t *testing.T) {
	const calls = 400
	tests := []struct {
		name        string
		withNext    bool // the next version has targets
		lostVersion string
		maxNext     int
		status      int
	}{
		{"next version on trial", true, "none", calls/10 + 50, http.StatusOK},
		{"old version lost", true, "", calls, http.StatusOK},
		{"no other version left", false, "", 0, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &versionSender{lostVersion: tt.lostVersion, attempts: map[string]int{}}
			h := versionHandler(t, s, rollout.RolledBack)
			if tt.withNext {
				putVersion(h, "v3", 3)
			}
			h.rollouts.Order(rollout.Order{ID: 7, Service: "llm", To: "v3", Duration: 20 * time.Minute}, clock.Now())
			for n := range calls {
				before := clock.Now()
				w, _ := serve(h, &Call{ID: fmt.Sprint(n), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: before})
				assert.Equal(t, tt.status, w.Code)
				if tt.status == http.StatusServiceUnavailable {
					assert.NotEmpty(t, w.Header().Get("Retry-After"))
					assert.LessOrEqual(t, clock.Now().Sub(before), time.Second)
				}
			}
			assert.Zero(t, s.attempts["v2"])
			assert.LessOrEqual(t, s.attempts["v3"], tt.maxNext)
		})
	}
}

// slowSender answers with streams; targets of the new version use newInterval between
// events.
type slowSender struct{ newInterval time.Duration }

func (s *slowSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	interval := 40 * time.Millisecond
	if r.Target.Version() == "v2" {
		interval = s.newInterval
	}
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= 20; n++ {
			if !clock.Sleep(ctx, interval) {
				return ctx.Err()
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\n\n", n), ID: n})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds.
func (*slowSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// A new version that generates events four times slower is rolled back; one as fast as the
// old version is promoted.
func TestSlowVersionRolledBack(t *testing.T) {
	tests := []struct {
		name        string
		newInterval time.Duration
		state       rollout.State
	}{
		{"as fast as the old one", 40 * time.Millisecond, rollout.Moving},
		{"four times slower", 160 * time.Millisecond, rollout.RolledBack},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			h := versionHandler(t, &versionSender{}, rollout.None)
			h.sender = &slowSender{newInterval: tt.newInterval}
			h.rollouts.MarkStatusesRead()
			h.rollouts.Status(rollout.Status{Order: 4, Service: "llm", To: "v2", State: rollout.Running, Row: 6})
			got := rollout.Running
			observe := func(string, rollout.Versions) rollout.TargetCounts {
				return rollout.TargetCounts{Old: 6, New: 6, NewReady: 6, OldLoad: 1}
			}
			for n := 0; got == rollout.Running && n < 2000; n++ {
				serve(h, &Call{ID: fmt.Sprint(n), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
				for _, c := range h.rollouts.Decide(clock.Now(), 0, observe) {
					got = c.State
				}
			}
			assert.Equal(t, tt.state, got)
		})
	}
}

// Targets of a rejected version, which would take the call, do not hide from the caller that
// the others ask for a backoff.
func TestBackoffBesideRejectedVersion(t *testing.T) {
	const wait = time.Second
	bubble(t, "all other targets ask for a backoff", func(t *testing.T) {
		s := &versionSender{lostVersion: "none", attempts: map[string]int{}}
		h := versionHandler(t, s, rollout.RolledBack)
		now := clock.Now()
		for _, m := range h.targets.Service("llm") {
			if m.Target().Version() != "v2" {
				m.Backoff().Observe(backoff.Answer{Statement: backoff.Statement{Kind: backoff.Asked, Time: wait}, SentAt: now, ReceivedAt: now})
			}
		}
		w, _ := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: now, Timeout: 20 * time.Second})
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		assert.Zero(t, s.attempts["v2"])
		retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, retryAfter, wait.Seconds())
	})
}
