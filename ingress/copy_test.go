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

// copySender breaks the first run after an event, once the address of its copy
// has been taken by another target; it notes the second order.
type copySender struct {
	h       *Handler
	service string // of the target that takes the address
	started int64
	second  *Order
}

// Send answers one order.
func (s *copySender) Send(_ context.Context, o *Order) (*Reply, error) {
	if o.After != "" {
		s.second = o
		return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: body("id: 2\ndata: b\n\n")}, nil
	}
	events := func(emit func(Event) bool) error {
		emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
		s.h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "new", Started: s.started, Service: s.service, Address: o.BackupAt, Zone: "b"}), 0)
		return errBroken
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe finds everybody: targets that were found lost would have the stream moved
// once more, or begun anew at the new target, while the test looks at it.
func (*copySender) Probe(context.Context, *registry.Member) error { return nil }

// A stream goes on from its copy only at a target of its service that was at
// the copy's address when the copy was begun.
func TestCopyHolder(t *testing.T) {
	tests := []struct {
		name    string
		service string
		started time.Duration // of the target that takes the address, from now
		used    bool
	}{
		{"its entry came late", "llm", -time.Second, true},
		{"it does not tell its start", "llm", 0, true},
		{"it started after the copy was begun", "llm", time.Second, false},
		{"it belongs to another service", "desk", -time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &copySender{service: tt.service}
			if tt.started != 0 {
				s.started = time.Now().Add(tt.started).UnixMilli()
			}
			s.h = modelHandler(t, s, ragworthitch.CallStream)
			w, cut := serve(s.h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			require.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Equal(t, tt.used, s.second.Target.ID() == "new")
			assert.Equal(t, tt.used, s.second.CopyAt != "")
			assert.Equal(t, "llm", s.second.Target.Service())
		})
	}
}

// zoneSender breaks the first run, and notes where the next ones, and their
// copies, are.
type zoneSender struct {
	orders []*Order
}

// Send answers one order.
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

// Probe finds everybody, as a zone that has just lost power does for a moment.
func (*zoneSender) Probe(context.Context, *registry.Member) error { return nil }

// The load: a zone's engines crash, and 3 s later some of the zone's to which
// their streams have moved. The copy of a stream that has moved is not laid in the
// zone that it has just lost, whose engines take connections again when it is
// needed, but hold nothing. Of 640 streams that went on from a copy on such a day,
// 113 found none.
func TestNoCopyInALostZone(t *testing.T) {
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
