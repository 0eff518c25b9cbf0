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
)

// replicaSender breaks the first attempt after an event, once another target has taken
// over the address of the replica target. It keeps the second order.
type replicaSender struct {
	h           *Handler
	service     string // of the target that takes over the address
	started     int64
	secondOrder *Order
}

func (s *replicaSender) Send(_ context.Context, o *Order) (*Reply, error) {
	if o.After != "" {
		s.secondOrder = o
		return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: body("id: 2\ndata: b\n\n")}, nil
	}
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
		s.h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "new", Started: s.started, Service: s.service, Address: o.BackupAt, Zone: "b"}), 0)
		return errBroken
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe succeeds, so that no target is ejected and the stream does not fail over once
// more.
func (*replicaSender) Probe(context.Context, *registry.Member) error { return nil }

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
			s.h = modelHandler(t, s, ragworthitch.CallStream)
			w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			require.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, tt.used, s.secondOrder.Target.ID() == "new")
			assert.Equal(t, tt.used, s.secondOrder.CopyAt != "")
			assert.Equal(t, "llm", s.secondOrder.Target.Service())
		})
	}
}

// zoneSender breaks the first two attempts and records all orders.
type zoneSender struct {
	orders []*Order
}

func (s *zoneSender) Send(_ context.Context, o *Order) (*Reply, error) {
	s.orders = append(s.orders, o)
	n := int64(len(s.orders))
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: a\n\n", n), ID: n})
		if n < 3 {
			return errBroken
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe succeeds, as it may for a moment in a zone that has just lost power.
func (*zoneSender) Probe(context.Context, *registry.Member) error { return nil }

// A stream places no replica in a zone where it has just lost an attempt: the engines
// there accept connections again soon but would not hold the replica.
func TestNoReplicaInFailedZone(t *testing.T) {
	for range 20 {
		s := &zoneSender{}
		h := modelHandler(t, s, ragworthitch.CallStream)
		zones := map[string]string{}
		for _, m := range h.targets.Service("llm") {
			zones[m.Target().Address()] = m.Target().Zone()
		}
		w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
		require.False(t, cut)
		require.Equal(t, http.StatusOK, w.Code)
		first, second, third := s.orders[0], s.orders[1], s.orders[2]
		assert.Equal(t, first.BackupAt, second.CopyAt)
		assert.NotEqual(t, first.Target.Zone(), zones[second.BackupAt], "the first zone has just been lost")
		assert.Equal(t, second.BackupAt, third.CopyAt)
		assert.NotEmpty(t, third.BackupAt, "where all other zones were lost, one of them may be back")
	}
}
