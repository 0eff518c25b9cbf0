package ingress

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	crashHeadDelay     = 300 * time.Millisecond // until the head of an answer
	crashDelay         = 100 * time.Millisecond
	crashEventInterval = 40 * time.Millisecond
	poisonBody         = "poison"
	fixedVersion       = "v2" // a version that the poison request does not crash
)

var callCount atomic.Int64

// poisonSender answers with streams and plain answers. Requests with the poison body crash
// their targets after crashAfterEvents events.
type poisonSender struct {
	mu               sync.Mutex
	crashed          map[string]bool
	attempts         map[string]int // by body
	crashAfterEvents int
	poisonStarts     []time.Time // when attempts of a poison request started
}

func (s *poisonSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	if s.isCrashed(r.Member) {
		return nil, upstream.ErrNotSent
	}
	body := string(r.Call.Body)
	s.mu.Lock()
	if s.attempts == nil {
		s.attempts = map[string]int{}
	}
	s.attempts[body]++
	s.mu.Unlock()
	if !clock.Sleep(ctx, crashHeadDelay) || s.isCrashed(r.Member) {
		return nil, upstream.ErrSent
	}
	crashes := body == poisonBody && r.Target.Version() != fixedVersion
	if crashes {
		s.mu.Lock()
		s.poisonStarts = append(s.poisonStarts, time.Now())
		s.mu.Unlock()
	}
	if r.Call.Prompt == 0 {
		return s.plain(ctx, r, crashes)
	}
	events := func(emit func(Event) bool) error {
		lastEvent, _ := strconv.Atoi(r.ResumeOffset) // empty: from the start
		for n := lastEvent + 1; n <= streamEvents; n++ {
			if crashes && n > s.crashAfterEvents {
				clock.Sleep(ctx, crashDelay)
				s.crash(r.Member)
			}
			if !clock.Sleep(ctx, crashEventInterval) {
				return ctx.Err()
			}
			if s.isCrashed(r.Member) {
				return errBroken
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: x\n\n", n), ID: int64(n)})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

func (s *poisonSender) plain(ctx context.Context, r *AttemptRequest, crashes bool) (*Reply, error) {
	if crashes {
		s.crash(r.Member)
	}
	if s.isCrashed(r.Member) {
		return nil, upstream.ErrSent
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: body("answer")}, nil
}

// CheckConnection fails for crashed targets.
func (s *poisonSender) CheckConnection(_ context.Context, m *registry.Member) error {
	if s.isCrashed(m) {
		return upstream.ErrNotSent
	}
	return nil
}

func (s *poisonSender) isCrashed(m *registry.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[m.Target().ID()]
}

func (s *poisonSender) crash(ms ...*registry.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed == nil {
		s.crashed = map[string]bool{}
	}
	for _, m := range ms {
		s.crashed[m.Target().ID()] = true
	}
}

func (s *poisonSender) attemptsOf(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[body]
}

// addTargets adds testTargets targets of a version, spread over three zones.
func addTargets(h *Handler, version string) {
	for i := range testTargets {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint(version, "-", i), Service: "llm", Version: version,
			Address: fmt.Sprintf("127.0.0.%d:%d", 2+len(version), 100+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
}

func newCall(body string) *Call {
	return &Call{ID: fmt.Sprint("call-", callCount.Add(1)), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Body: []byte(body),
		Prompt: 10, MaxTokens: 100, Received: clock.Now()}
}

func assertQuarantined(t *testing.T, w *httptest.ResponseRecorder, cut bool) {
	t.Helper()
	assert.False(t, cut)
	assert.Equal(t, http.StatusInternalServerError, w.Code, "a request that ran must not be rejected as not run")
	wait, err := strconv.Atoi(w.Header().Get("Retry-After"))
	require.NoError(t, err)
	assert.Positive(t, wait)
	assert.Contains(t, w.Body.String(), "crashed the targets")
}

// A request that has crashed three targets is not run again, neither for the call that
// crashed them nor for later calls, which are answered at once.
func TestPoisonStream(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		w, cut := serve(h, newCall(poisonBody))
		assertQuarantined(t, w, cut)
		assert.Len(t, s.poisonStarts, 3)
		attempts := s.attemptsOf(poisonBody)
		startedAt := time.Now()
		w, cut = serve(h, newCall(poisonBody))
		assertQuarantined(t, w, cut)
		assert.Zero(t, time.Since(startedAt))
		assert.Equal(t, attempts, s.attemptsOf(poisonBody))
		w, cut = serve(h, newCall("other"))
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))
	})
}

// A poison stream that generates an event before each crash is cut off after the event,
// and its caller's retry is answered as quarantined.
func TestPoisonStreamAfterFirstEvent(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{crashAfterEvents: 1}
		h := newTestHandler(t, s, ragworthitch.CallStream)
		w, cut := serve(h, newCall(poisonBody))
		assert.True(t, cut)
		assert.Contains(t, w.Body.String(), "id: 1\n")
		assert.Len(t, s.poisonStarts, 3)
		c := newCall(poisonBody)
		c.ResumeOffset = "1"
		w, cut = serve(h, c)
		assertQuarantined(t, w, cut)
	})
}

// When a request is quarantined, its attempts that have not begun at their targets end
// there, also those of a peer, and also if many attempts crash their targets at the same
// moment as in a zone outage.
func TestWaitingAttemptsEnd(t *testing.T) {
	tests := []struct {
		name      string
		calls     int
		spacing   time.Duration
		maxStarts int
	}{
		{"one after the other", 5, crashHeadDelay / 2, 5},
		{"at the same moment", 10, 0, 10},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &poisonSender{}
			h, peer := newTestHandler(t, s, ragworthitch.CallStream), newTestHandler(t, s, ragworthitch.CallStream)
			peer.poisonTracker = h.poisonTracker
			addTargets(h, "v1")
			addTargets(peer, "v1")
			quarantined, _ := h.poisonTracker.Await(poison.Request{Fingerprint: poison.Of("", "POST", "h", "/p/x", []byte(poisonBody))})
			quarantinedAt := make(chan time.Time, 1)
			go func() {
				<-quarantined
				quarantinedAt <- time.Now()
			}()
			var group sync.WaitGroup
			for i := range tt.calls {
				group.Go(func() {
					clock.Sleep(t.Context(), time.Duration(i)*tt.spacing)
					w, cut := serve([]*Handler{h, peer}[i%2], newCall(poisonBody))
					assertQuarantined(t, w, cut)
				})
			}
			group.Wait()
			since := <-quarantinedAt
			for _, startedAt := range s.poisonStarts {
				assert.False(t, startedAt.After(since), "an attempt starts %v after the quarantine", startedAt.Sub(since))
			}
			assert.LessOrEqual(t, len(s.poisonStarts), tt.maxStarts)
		})
	}
}

// Crashes are not blamed on a request if the target's zone fails or the target was
// draining.
func TestUnrelatedLossNotBlamed(t *testing.T) {
	tests := []struct {
		name       string
		loseTarget func(s *poisonSender, h *Handler, m *registry.Member)
		crashes    int
	}{
		{"one target crashes", func(s *poisonSender, _ *Handler, m *registry.Member) { s.crash(m) }, 1},
		{"its zone fails", func(s *poisonSender, h *Handler, m *registry.Member) {
			for _, o := range h.targets.All() {
				if o.Target().Zone() == m.Target().Zone() {
					s.crash(o)
				}
			}
		}, 0},
		{"it was draining", func(s *poisonSender, h *Handler, m *registry.Member) {
			t := m.Target()
			h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.ID(), Service: t.Service(), Address: t.Address(), Zone: t.Zone(),
				Slots: 8, Draining: true, Sequence: 9}), 0)
			s.crash(m)
		}, 0},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &poisonSender{}
			h := newTestHandler(t, s, ragworthitch.CallStream)
			addTargets(h, "") // of the same version as the others
			c := newCall("harmless")
			request := poison.Request{Fingerprint: poison.Of("", c.Method, c.Host, c.Path, c.Body)}
			go func() {
				time.Sleep(crashHeadDelay + crashEventInterval/2)
				for _, m := range h.targets.All() {
					if m.Work().Own().Running > 0 {
						tt.loseTarget(s, h, m)
					}
				}
				time.Sleep(crashEventInterval + time.Millisecond)
				assert.Equal(t, tt.crashes, h.poisonTracker.Status(request, clock.Now()).Crashes)
			}()
			w, cut := serve(h, c)
			assert.False(t, cut)
			assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))
			assert.Equal(t, poison.Status{}, h.poisonTracker.Status(request, clock.Now()), "released by a successful attempt")
		})
	}
}

// quarantinedHandler returns a handler that knows the poison request as quarantined.
func quarantinedHandler(t *testing.T, s *poisonSender) *Handler {
	h := newTestHandler(t, s, ragworthitch.CallStream)
	c := newCall(poisonBody)
	for i := range 3 {
		h.poisonTracker.RecordCrash(poison.Crash{Fingerprint: poison.Of("", c.Method, c.Host, c.Path, c.Body),
			Boot: ragworthitch.NewBoot(fmt.Sprint("x", i), 0), Service: "llm", Version: "v1"},
			poison.SourcePeer, clock.Now())
	}
	return h
}

// When the probe of a quarantined request is due, only one of many retries becomes the
// probe. The others are answered as quarantined.
func TestSingleProbe(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := quarantinedHandler(t, s)
		time.Sleep(31 * time.Second)
		var group sync.WaitGroup
		for range 300 {
			group.Go(func() {
				w, _ := serve(h, newCall(poisonBody))
				assert.NotEqual(t, http.StatusOK, w.Code)
			})
		}
		group.Wait()
		assert.Equal(t, 1, s.attemptsOf(poisonBody))
	})
}

// A request that was quarantined by mistake is released by a successful probe.
func TestSuccessfulProbeReleases(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{crashAfterEvents: streamEvents}
		h := quarantinedHandler(t, s)
		w, cut := serve(h, newCall(poisonBody))
		assertQuarantined(t, w, cut)
		time.Sleep(31 * time.Second)
		for range 2 {
			w, cut = serve(h, newCall(poisonBody))
			assert.False(t, cut)
			assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))
		}
	})
}

// If the service has targets of a new version, the probe is due at once and goes to one of
// them.
func TestProbeAtNewVersion(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &poisonSender{}
		h := quarantinedHandler(t, s)
		addTargets(h, "v1")
		w, cut := serve(h, newCall(poisonBody))
		assertQuarantined(t, w, cut)
		addTargets(h, fixedVersion)
		w, cut = serve(h, newCall(poisonBody))
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))
		assert.Empty(t, s.poisonStarts)
	})
}

// Plain calls are quarantined like streams; an unsafe poison call crashes one target in
// each attempt.
func TestPoisonPlainCall(t *testing.T) {
	for _, kind := range []ragworthitch.CallKind{ragworthitch.CallUnsafe, ragworthitch.CallSafe} {
		bubble(t, kind.String(), func(t *testing.T) {
			s := &poisonSender{}
			h := newTestHandler(t, s, kind)
			call := func() *Call {
				c := newCall(poisonBody)
				c.Prompt = 0
				return c
			}
			for range 3 {
				serve(h, call())
				synctest.Wait()
			}
			w, cut := serve(h, call())
			assertQuarantined(t, w, cut)
			assert.LessOrEqual(t, len(s.poisonStarts), 4)
		})
	}
}
