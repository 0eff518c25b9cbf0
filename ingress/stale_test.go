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

// staleSender answers as another target in all zones except currentZone.
type staleSender struct {
	currentZone string
	attempts    int
}

func (s *staleSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts++
	if r.Target.Zone() != s.currentZone {
		return &Reply{Status: http.StatusMisdirectedRequest, WrongTarget: true, Header: http.Header{}, Body: body("")}, nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// CheckConnection fails.
func (*staleSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// An instance with stale entries for two zones sends at most one attempt to each of them,
// even if their targets look less busy. Otherwise the stream could use up all its attempts
// there.
func TestStaleZonesAvoided(t *testing.T) {
	s := &staleSender{currentZone: "c"}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	for _, m := range h.targets.Service("llm") {
		if m.Target().Zone() == s.currentZone {
			m.Work().Begin(0, 100)
			m.Work().Begin(0, 100)
		}
	}
	w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	assert.False(t, cut)
	assert.Equal(t, http.StatusOK, w.Code)
	assert.LessOrEqual(t, s.attempts, 3)
}

// refusingSender refuses connections in lostZone.
type refusingSender struct {
	lostZone string
	attempts map[string]int // by zone
}

func (s *refusingSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts[r.Target.Zone()]++
	if r.Target.Zone() == s.lostZone {
		return nil, upstream.ErrNotSent
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// CheckConnection fails.
func (*refusingSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// In a zone outage an instance avoids the whole zone after two failures there, although it
// has no evidence on the other targets of the zone. It uses the zone again when targets
// have started there.
func TestZoneOutageAvoided(t *testing.T) {
	s := &refusingSender{lostZone: "a", attempts: map[string]int{}}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	for i := range 150 {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("many-", i), Service: "llm",
			Address: fmt.Sprintf("127.0.0.2:%d", 1+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
	time.Sleep(2 * time.Millisecond) // so that the targets were added before the failures
	serveCalls := func() {
		for range 10 {
			w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
		}
	}
	serveCalls()
	assert.LessOrEqual(t, s.attempts["a"], 2)

	s.lostZone = ""
	for i := range 50 {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("new-", i), Service: "llm",
			Address: fmt.Sprintf("127.0.0.3:%d", 1+i), Zone: "a", Slots: 8}), 0)
	}
	before := s.attempts["a"]
	serveCalls()
	assert.Greater(t, s.attempts["a"], before+5)
}
