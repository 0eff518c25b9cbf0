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

// pausingSender answers with streams that pause after two events. Resumed streams do not
// pause.
type pausingSender struct {
	pause       time.Duration
	unreachable bool // targets accept no new connection
	attempts    int
}

func (s *pausingSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts++
	pause := s.pause
	if r.ResumeOffset != "" {
		pause = 0
	}
	events := func(emit func(Event) bool) error {
		for n := int64(1); n <= 4; n++ {
			if n == 3 && !clock.Sleep(ctx, pause) {
				return ctx.Err()
			}
			if fmt.Sprint(n) > r.ResumeOffset {
				emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: x\n\n", n), ID: n})
			}
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection fails if the targets are unreachable.
func (s *pausingSender) CheckConnection(context.Context, *registry.Member) error {
	if s.unreachable {
		return upstream.ErrNotSent
	}
	return nil
}

// A stream with a silent target fails over only if the retry budget allows it. Otherwise
// the attempt goes on, since the target may only be slow.
func TestSilentAttemptKeptWithoutRetries(t *testing.T) {
	tests := []struct {
		name        string
		retries     float64
		unreachable bool
		attempts    int
	}{
		{"a retry is left", 1000, false, 2},
		{"none is left", 0, false, 1},
		{"none is left, and the target seems lost", 0, true, 1},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &pausingSender{pause: 3 * time.Second, unreachable: tt.unreachable}
			h := newTestHandler(t, s, ragworthitch.CallStream)
			h.retryBudget = budget.New(budget.Limit{Extra: tt.retries, Window: 10 * time.Second})
			w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
			assert.False(t, cut)
			assert.Equal(t, http.StatusOK, w.Code)
			assert.Contains(t, w.Body.String(), "id: 4\n")
			assert.Equal(t, tt.attempts, s.attempts)
		})
	}
}

// Streams fail over with retries borrowed from peers when the instance's own part of the
// budget is used up, as in a zone outage.
func TestBorrowedRetry(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &pausingSender{pause: 3 * time.Second, unreachable: true}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		h.retryBudget = budget.New(budget.Limit{Window: 10 * time.Second})
		requests := 0
		h.borrowRetries = func(_ context.Context, service string) {
			requests++
			h.retryBudget.Borrowed(service, 1, clock.Now())
		}
		w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), "id: 4\n")
		assert.Equal(t, 2, s.attempts)
		assert.Equal(t, 1, requests)
	})
}

// refusedSender breaks the first attempt after an event; the next attempts are refused the
// connection.
type refusedSender struct{ attempts, refusals int }

func (s *refusedSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	s.attempts++
	if s.attempts > 1 && s.attempts <= 1+s.refusals {
		return nil, upstream.ErrNotSent
	}
	events := func(emit func(Event) bool) error {
		if r.ResumeOffset == "" {
			emit(Event{Raw: []byte("id: 1\ndata: a\n\n"), ID: 1})
			return errBroken
		}
		emit(Event{Raw: []byte("id: 2\ndata: b\n\n"), ID: 2})
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection succeeds.
func (*refusedSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// Attempts whose connection is refused spend no retry, however many targets refuse, as in
// a zone outage.
func TestRefusedConnectionIsNoRetry(t *testing.T) {
	s := &refusedSender{refusals: 3}
	h := newTestHandler(t, s, ragworthitch.CallStream)
	h.retryBudget = budget.New(budget.Limit{Extra: 1, Window: 10 * time.Second})
	w, cut := serve(h, &Call{ID: "call", Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Prompt: 10, Received: clock.Now()})
	assert.False(t, cut)
	assert.Contains(t, w.Body.String(), "id: 2\n")
	assert.False(t, h.retryBudget.Spend("llm", clock.Now()), "the retry is used")
}
