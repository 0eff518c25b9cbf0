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
)

// pacedSender answers like engines that prefill a prompt in prefill and send an event each
// interval.
type pacedSender struct {
	prefill, interval time.Duration
	sent              int
}

func (s *pacedSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	s.sent++
	if !clock.Sleep(ctx, s.prefill) {
		return nil, ctx.Err()
	}
	events := func(emit func(Event) bool) error {
		for id := int64(1); id <= 20; id++ {
			if !clock.Sleep(ctx, s.interval) || !emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: a\n\n", id), ID: id}) {
				return ctx.Err()
			}
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

func (*pacedSender) CheckConnection(context.Context, *registry.Member) error { return nil }

// sendInTurn sends a stream every half second for the given time and returns for each whether it
// was served.
func sendInTurn(t *testing.T, h *Handler, d time.Duration) (served []bool) {
	for end := clock.Now().Add(d); clock.Now() < end; clock.Sleep(t.Context(), 500*time.Millisecond) {
		call := roomCall()
		w, cut := serve(h, call)
		served = append(served, !cut && w.Code == http.StatusOK)
	}
	return served
}

// learnFirstEvent gives the handler its first sample of the prefill time, of a stream whose events
// seemed to come at the given interval; that of others is 30 ms.
func learnFirstEvent(h *Handler, took, interval time.Duration) {
	p := h.paces.Of("llm")
	p.Event(30 * time.Millisecond)
	p.AddFirstEvent(took, 2000, interval)
}

func countOf(served []bool) (n int) {
	for _, ok := range served {
		if ok {
			n++
		}
	}
	return n
}

// Guards against an instance that rejects all streams for good since one sample of the pace was
// wrong: what it rejects by cannot be learnt anew without a stream that is sent.
func TestBadPaceSampleIsCorrected(t *testing.T) {
	handlers := map[string]func(t *testing.T, s Sender) *Handler{
		"one priority": func(t *testing.T, s Sender) *Handler { return newTestHandler(t, s, ragworthitch.CallStream) },
		"two priorities": func(t *testing.T, s Sender) *Handler {
			h, _ := newRoomHandler(t, s)
			h.fixedPace = nil
			return h
		},
	}
	for name, newHandler := range handlers {
		bubble(t, name, func(t *testing.T) {
			h := newHandler(t, &pacedSender{prefill: 400 * time.Millisecond, interval: 30 * time.Millisecond})
			learnFirstEvent(h, 5*time.Second, 20*time.Microsecond)
			sendInTurn(t, h, 12*time.Second)
			served := sendInTurn(t, h, 8*time.Second)
			assert.Equal(t, len(served), countOf(served), "served from 12 s after the sample")
		})
	}
}

// Guards against probes that take engines' time on and on where the estimates are right.
func TestProbesOfSlowEnginesAreRare(t *testing.T) {
	bubble(t, "slow engines", func(t *testing.T) {
		s := &pacedSender{prefill: 8 * time.Second, interval: 30 * time.Millisecond}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		learnFirstEvent(h, 8*time.Second, 30*time.Millisecond)
		sendInTurn(t, h, 80*time.Second)
		assert.LessOrEqual(t, s.sent, 7, "at once, and after 4, 8, 16, 16, 16 and 16 s")
	})
}

// Guards against a probe for a caller that waits too briefly for a first event.
func TestNoProbeWithoutTime(t *testing.T) {
	bubble(t, "caller in a hurry", func(t *testing.T) {
		s := &pacedSender{prefill: 400 * time.Millisecond, interval: 30 * time.Millisecond}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		learnFirstEvent(h, 5*time.Second, 20*time.Microsecond)
		call := roomCall()
		call.Timeout = 900 * time.Millisecond // the objective is 1 s
		w, _ := serve(h, call)
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		assert.Zero(t, s.sent)
	})
}
