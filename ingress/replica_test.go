package ingress

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
)

// replicaSender breaks the first attempt after an event, once another target has taken
// over the address of the replica target. It records the second attempt.
type replicaSender struct {
	h             *Handler
	service       string // of the target that takes over the address
	started       int64  // its start time in Unix milliseconds; 0: not reported
	secondAttempt *AttemptRequest
}

func (s *replicaSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	if r.ResumeOffset != "" {
		s.secondAttempt = r
		return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 2\ndata: b\n\n")}, nil
	}
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
		s.h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "new", Started: s.started, Service: s.service, Address: r.ReplicateTo, Zone: "b"}), 0)
		return errBroken
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds, so that no target is ejected and the stream does not fail over
// once more.
func (*replicaSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// A stream resumes from a replica only at a target of its service that was at the
// replica's address when the attempt was sent.
func TestReplicaTarget(t *testing.T) {
	tests := []struct {
		name    string
		service string
		started time.Duration // start time of the target that takes over the address, relative to now
		used    bool
	}{
		{"its entry was added late", "llm", -time.Second, true},
		{"it reports no start time", "llm", 0, true},
		{"it started after the replica", "llm", time.Second, false},
		{"it belongs to another service", "desk", -time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &replicaSender{service: tt.service}
			if tt.started != 0 {
				s.started = time.Now().Add(tt.started).UnixMilli()
			}
			s.h = newTestHandler(t, s, ragworthitch.CallStream)
			w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			require.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, tt.used, s.secondAttempt.Target.ID() == "new")
			assert.Equal(t, tt.used, s.secondAttempt.ReplicaAddress != "")
			assert.Equal(t, "llm", s.secondAttempt.Target.Service())
		})
	}
}

// zoneSender breaks the first two attempts and records all attempts.
type zoneSender struct {
	attempts []*AttemptRequest
}

func (s *zoneSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts = append(s.attempts, r)
	n := int64(len(s.attempts))
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: a\n\n", n), ID: n})
		if n < 3 {
			return errBroken
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds, as it may for a moment in a zone that has just lost power.
func (*zoneSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// A stream places no replica in a zone where it has just lost an attempt: the engines
// there accept connections again soon but would not hold the replica.
func TestNoReplicaInFailedZone(t *testing.T) {
	for range 20 {
		s := &zoneSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		zones := map[string]string{}
		for _, m := range h.targets.Service("llm") {
			zones[m.Target().Address()] = m.Target().Zone()
		}
		w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
		require.False(t, cut)
		require.Equal(t, http.StatusOK, w.Code)
		first, second, third := s.attempts[0], s.attempts[1], s.attempts[2]
		assert.Equal(t, first.ReplicateTo, second.ReplicaAddress)
		assert.NotEqual(t, first.Target.Zone(), zones[second.ReplicateTo], "the first zone has just been lost")
		assert.Equal(t, second.ReplicateTo, third.ReplicaAddress)
		assert.NotEmpty(t, third.ReplicateTo, "where all other zones were lost, one of them may be back")
	}
}

// rollbackSender breaks the first attempt after an event, once the version that has the
// replica is rolled back. It records the second attempt.
type rollbackSender struct {
	h             *Handler
	secondAttempt *AttemptRequest
}

func (s *rollbackSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	if r.ResumeOffset != "" {
		s.secondAttempt = r
		return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 2\ndata: b\n\n")}, nil
	}
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
		s.h.rollouts.Status(rollout.Status{Order: 4, Service: "llm", To: "v2", State: rollout.RolledBack, Row: 6})
		return errBroken
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds.
func (*rollbackSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// A stream does not resume from a replica at a version that was rolled back in the meantime.
func TestNoResumeAtRejectedVersion(t *testing.T) {
	s := &rollbackSender{}
	s.h = newTestHandler(t, s, ragworthitch.CallStream)
	putVersion(s.h, "v2", 2)
	s.h.rollouts.Order(rollout.Order{ID: 4, Service: "llm", To: "v2", Duration: time.Minute}, clock.Now())
	s.h.rollouts.Status(rollout.Status{Order: 4, Service: "llm", To: "v2", State: rollout.Moving, Row: 5})
	w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	require.False(t, cut)
	assert.Equal(t, http.StatusOK, w.Code)
	require.NotNil(t, s.secondAttempt)
	assert.NotEqual(t, "v2", s.secondAttempt.Target.Version())
	assert.Empty(t, s.secondAttempt.ReplicaAddress)
}
