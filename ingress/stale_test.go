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

// staleSender answers for other targets everywhere but in one zone.
type staleSender struct {
	good   string
	orders int
}

// Send answers one order.
func (s *staleSender) Send(_ context.Context, o *Order) (*Reply, error) {
	s.orders++
	if o.Target.Zone() != s.good {
		return &Reply{Status: http.StatusMisdirectedRequest, Elsewhere: true, Header: http.Header{}, Body: body("")}, nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// Probe finds nobody.
func (*staleSender) Probe(context.Context, *registry.Member) error { return upstream.ErrNotSent }

// The load: an instance is cut off from the store while the engines of two
// zones restart. It sends one order to each of these zones at most, though
// their engines look idle and those of the third zone are busy: a route allows
// four targets, and each of them may be one of the six streams of a day that
// were cut because all their tries went to engines that were there no more.
func TestStaleZonesAreLeft(t *testing.T) {
	s := &staleSender{good: "c"}
	h := modelHandler(t, s, ragworthitch.CallStream)
	for _, m := range h.targets.Service("llm") {
		if m.Target().Zone() == s.good {
			m.Work().Begin(0, 100)
			m.Work().Begin(0, 100)
		}
	}
	w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	assert.False(t, cut)
	assert.Equal(t, http.StatusOK, w.Code)
	assert.LessOrEqual(t, s.orders, 3)
}

// refusingSender's zone takes no connections.
type refusingSender struct {
	lost   string
	orders map[string]int // by zone
}

// Send answers one order.
func (s *refusingSender) Send(_ context.Context, o *Order) (*Reply, error) {
	s.orders[o.Target.Zone()]++
	if o.Target.Zone() == s.lost {
		return nil, upstream.ErrNotSent
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: body("id: 1\ndata: a\n\n")}, nil
}

// Probe finds nobody.
func (*refusingSender) Probe(context.Context, *registry.Member) error { return upstream.ErrNotSent }

// The load: all fifty engines of a zone are lost at once, and an instance there has
// ten new streams. What it sees of two of them says enough of the others, of which
// it has seen nothing: each stream that is sent there is refused, or, where the
// zone has lost power, is 150 ms later for it. The others of the zone count again
// once one of them has started.
func TestLostZoneIsLeft(t *testing.T) {
	s := &refusingSender{lost: "a", orders: map[string]int{}}
	h := modelHandler(t, s, ragworthitch.CallStream)
	for i := range 150 {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("many-", i), Service: "llm",
			Address: fmt.Sprintf("127.0.0.2:%d", 1+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
	time.Sleep(2 * time.Millisecond) // they have been known for some time
	calls := func() {
		for range 10 {
			w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
		}
	}
	calls()
	assert.LessOrEqual(t, s.orders["a"], 2)

	s.lost = ""
	for i := range 50 {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("new-", i), Service: "llm",
			Address: fmt.Sprintf("127.0.0.3:%d", 1+i), Zone: "a", Slots: 8}), 0)
	}
	before := s.orders["a"]
	calls()
	assert.Greater(t, s.orders["a"], before+5)
}
