package ingress

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// pausingSender answers with streams that pause for a while after two events.
// An order that goes on after an event is answered at once.
type pausingSender struct {
	pause   time.Duration
	refuses bool // targets take no new connection meanwhile
	runs    int
}

// Send answers one order.
func (s *pausingSender) Send(ctx context.Context, o *Order) (*Reply, error) {
	s.runs++
	pause := s.pause
	if o.After != "" {
		pause = 0
	}
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= 4; n++ {
			if n == 3 && !clock.Sleep(ctx, pause) {
				return ctx.Err()
			}
			if fmt.Sprint(n) > o.After {
				emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: x\n\n", n), ID: n})
			}
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe finds what the sender says.
func (s *pausingSender) Probe(context.Context, *registry.Member) error {
	if s.refuses {
		return upstream.ErrNotSent
	}
	return nil
}

// The load: a service fails until no repeat is left in the budget, and then
// engines pause. A stream with a silent target goes on elsewhere if a repeat
// is left, and waits for the run that is under way if none is: giving it up
// would cut a stream that may be no worse than slow.
func TestSilentRunKeptWithoutRepeats(t *testing.T) {
	tests := []struct {
		name    string
		repeats float64
		refuses bool
		runs    int
	}{
		{"a repeat is left", 1000, false, 2},
		{"none is left", 0, false, 1},
		{"none is left, and the target seems lost", 0, true, 1},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &pausingSender{pause: 3 * time.Second, refuses: tt.refuses}
			h := modelHandler(t, s, ragworthitch.CallStream)
			h.budget = budget.New(budget.Limit{Extra: tt.repeats, Span: 10 * time.Second}, nil)
			w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Contains(t, w.Body.String(), "id: 4\n")
			assert.Equal(t, tt.runs, s.runs)
		})
	}
}

// The load: the engines of an instance's zone are lost, and its part of the budget
// is used up. Its streams go on with repeats that others lend.
func TestBorrowedRepeat(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &pausingSender{pause: 3 * time.Second, refuses: true}
		h := modelHandler(t, s, ragworthitch.CallStream)
		h.budget = budget.New(budget.Limit{Span: 10 * time.Second}, nil)
		asked := 0
		h.borrow = func(_ context.Context, service string) {
			asked++
			h.budget.Borrowed(service, 1, clock.Now())
		}
		w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), "id: 4\n")
		assert.Equal(t, 2, s.runs)
		assert.Equal(t, 1, asked)
	})
}

// refusedSender breaks the first run after an event; the next targets refuse the
// connection.
type refusedSender struct{ orders, refused int }

// Send answers one order.
func (s *refusedSender) Send(_ context.Context, o *Order) (*Reply, error) {
	s.orders++
	if s.orders > 1 && s.orders <= 1+s.refused {
		return nil, upstream.ErrNotSent
	}
	events := func(emit func(Event) bool) error {
		if o.After == "" {
			emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
			return errBroken
		}
		emit(Event{Raw: []byte("id: 2\ndata: b\n\n"), ID: 2})
		return nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// Probe finds everybody.
func (*refusedSender) Probe(context.Context, *registry.Member) error { return nil }

// The load: a zone is lost at once, and streams that move find engines there, or
// where they have their copies, that take no connection. What has not arrived at a
// target is no repeat: one repeat in the budget is enough, however many refuse. On
// a day with 1,500 lost runs, 500 orders were not taken.
func TestRefusedOrderIsNoRepeat(t *testing.T) {
	s := &refusedSender{refused: 3}
	h := modelHandler(t, s, ragworthitch.CallStream)
	h.budget = budget.New(budget.Limit{Extra: 1, Span: 10 * time.Second}, nil)
	w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	assert.False(t, cut)
	assert.Contains(t, w.Body.String(), "id: 2\n")
	assert.False(t, h.budget.Spend("llm", clock.Now()), "the repeat is used")
}
