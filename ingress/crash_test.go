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
	crashRead  = 300 * time.Millisecond // until a run begins
	crashAfter = 100 * time.Millisecond
	crashEvent = 40 * time.Millisecond
	deadly     = "deadly"
	mended     = "v2" // the version of the software that a deadly call does not crash
)

// callCount numbers the calls of these tests.
var callCount atomic.Int64

// crashSender has targets run calls one event after the other; those with the deadly
// body crash them, after so many events.
type crashSender struct {
	mu    sync.Mutex
	dead  map[string]bool
	sends map[string]int // by body
	after int            // events before the crash
	runs  []time.Time    // when targets have begun a deadly call
}

// Send has a target run an order.
func (s *crashSender) Send(ctx context.Context, o *Order) (*Reply, error) {
	if s.isDead(o.Member) {
		return nil, upstream.ErrNotSent
	}
	body := string(o.Call.Body)
	s.mu.Lock()
	if s.sends == nil {
		s.sends = map[string]int{}
	}
	s.sends[body]++
	s.mu.Unlock()
	if !clock.Sleep(ctx, crashRead) || s.isDead(o.Member) {
		return nil, upstream.ErrSent
	}
	kills := body == deadly && o.Target.Version() != mended
	if kills {
		s.mu.Lock()
		s.runs = append(s.runs, time.Now())
		s.mu.Unlock()
	}
	if o.Call.Prompt == 0 {
		return s.plain(ctx, o, kills)
	}
	events := func(emit func(Event) bool) error {
		after, _ := strconv.Atoi(o.After) // empty: from the start
		for n := after + 1; n <= modelEvents; n++ {
			if kills && n > s.after {
				clock.Sleep(ctx, crashAfter)
				s.kill(o.Member)
			}
			if !clock.Sleep(ctx, crashEvent) {
				return ctx.Err()
			}
			if s.isDead(o.Member) {
				return errBroken
			}
			emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: x\n\n", n), ID: int64(n)})
		}
		return nil
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

func (s *crashSender) plain(ctx context.Context, o *Order, kills bool) (*Reply, error) {
	if kills {
		s.kill(o.Member)
	}
	if s.isDead(o.Member) {
		return nil, upstream.ErrSent
	}
	return &Reply{Status: http.StatusOK, Sized: true, Header: http.Header{}, Body: body("answer")}, nil
}

// Probe finds who is not dead.
func (s *crashSender) Probe(_ context.Context, m *registry.Member) error {
	if s.isDead(m) {
		return upstream.ErrNotSent
	}
	return nil
}

func (s *crashSender) isDead(m *registry.Member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead[m.Target().ID()]
}

func (s *crashSender) kill(ms ...*registry.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead == nil {
		s.dead = map[string]bool{}
	}
	for _, m := range ms {
		s.dead[m.Target().ID()] = true
	}
}

func (s *crashSender) sent(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sends[body]
}

// manyTargets adds targets of a version, two in each of three zones more.
func manyTargets(h *Handler, version string) {
	for i := range modelTargets {
		h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint(version, "-", i), Service: "llm", Version: version,
			Address: fmt.Sprintf("127.0.0.%d:%d", 2+len(version), 100+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
}

func crashCall(body string) *Call {
	return &Call{ID: fmt.Sprint("call-", callCount.Add(1)), Method: "POST", Host: "h", Path: "/p/x", Header: http.Header{}, Body: []byte(body), Prompt: 10, Output: 100, Received: clock.Now()}
}

func sayCondemned(t *testing.T, w *httptest.ResponseRecorder, cut bool) {
	t.Helper()
	assert.False(t, cut)
	assert.Equal(t, http.StatusInternalServerError, w.Code, "it has run, and coming again at once is of no use")
	wait, err := strconv.Atoi(w.Header().Get("Retry-After"))
	require.NoError(t, err)
	assert.Positive(t, wait)
	assert.Contains(t, w.Body.String(), "crashed the targets")
}

// The load: a request crashes each target that begins to run it. Three have crashed,
// and it is not run again: neither for the caller whose try showed it, nor for those
// that come later, who are told at once.
func TestDeadlyStream(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &crashSender{}
		h := modelHandler(t, s, ragworthitch.CallStream)
		w, cut := serve(h, crashCall(deadly))
		sayCondemned(t, w, cut)
		assert.Len(t, s.runs, 3)
		sends := s.sent(deadly)
		begun := time.Now()
		w, cut = serve(h, crashCall(deadly))
		sayCondemned(t, w, cut)
		assert.Zero(t, time.Since(begun))
		assert.Equal(t, sends, s.sent(deadly))
		w, cut = serve(h, crashCall("other"))
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", modelEvents))
	})
}

// One that makes an event before each crash is cut where its caller has it.
func TestDeadlyStreamThatBegins(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &crashSender{after: 1}
		h := modelHandler(t, s, ragworthitch.CallStream)
		w, cut := serve(h, crashCall(deadly))
		assert.True(t, cut)
		assert.Contains(t, w.Body.String(), "id: 1\n")
		assert.Len(t, s.runs, 3)
		c := crashCall(deadly)
		c.After = "1"
		w, cut = serve(h, c)
		sayCondemned(t, w, cut)
	})
}

// Runs that wait at their targets when their request is condemned are given up before
// they begin: at the instance that saw it, and at another that is told. So it is when
// many callers come at the same moment, whose targets all crash together, as if zones
// had failed.
func TestWaitingRunsAreGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		calls  int
		apart  time.Duration
		begins int
	}{
		{"one after the other", 5, crashRead / 2, 5},
		{"at the same moment", 10, 0, 10},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &crashSender{}
			h, other := modelHandler(t, s, ragworthitch.CallStream), modelHandler(t, s, ragworthitch.CallStream)
			other.crashes = h.crashes
			manyTargets(h, "v1")
			manyTargets(other, "v1")
			condemned, _ := h.crashes.Await(poison.Of("", "POST", "h", "/p/x", []byte(deadly)))
			at := make(chan time.Time, 1)
			go func() {
				<-condemned
				at <- time.Now()
			}()
			var group sync.WaitGroup
			for i := range tt.calls {
				group.Go(func() {
					clock.Sleep(t.Context(), time.Duration(i)*tt.apart)
					w, cut := serve([]*Handler{h, other}[i%2], crashCall(deadly))
					sayCondemned(t, w, cut)
				})
			}
			group.Wait()
			from := <-at
			for _, begun := range s.runs {
				assert.False(t, begun.After(from), "a run begins %v after the verdict", begun.Sub(from))
			}
			assert.LessOrEqual(t, len(s.runs), tt.begins)
		})
	}
}

// A zone whose targets are all lost says nothing of what they ran, nor does a target
// that had said it would end.
func TestBadLuckIsNotBlamed(t *testing.T) {
	tests := []struct {
		name   string
		before func(s *crashSender, h *Handler, m *registry.Member)
		deaths int
	}{
		{"one target crashes", func(s *crashSender, _ *Handler, m *registry.Member) { s.kill(m) }, 1},
		{"its zone fails", func(s *crashSender, h *Handler, m *registry.Member) {
			for _, o := range h.targets.All() {
				if o.Target().Zone() == m.Target().Zone() {
					s.kill(o)
				}
			}
		}, 0},
		{"it was leaving", func(s *crashSender, h *Handler, m *registry.Member) {
			t := m.Target()
			h.targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.ID(), Service: t.Service(), Address: t.Address(), Zone: t.Zone(),
				Slots: 8, Draining: true, Sequence: 9}), 0)
			s.kill(m)
		}, 0},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			s := &crashSender{}
			h := modelHandler(t, s, ragworthitch.CallStream)
			manyTargets(h, "v1")
			c := crashCall("innocent")
			print := poison.Of("", c.Method, c.Host, c.Path, c.Body)
			go func() {
				time.Sleep(crashRead + crashEvent/2)
				for _, m := range h.targets.All() {
					if m.Work().Own().Running > 0 {
						tt.before(s, h, m)
					}
				}
				time.Sleep(crashEvent + time.Millisecond)
				assert.Equal(t, tt.deaths, h.crashes.Judge(print, clock.Now()).Deaths)
			}()
			w, cut := serve(h, c)
			assert.False(t, cut)
			assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", modelEvents))
			assert.Equal(t, poison.Verdict{}, h.crashes.Judge(print, clock.Now()), "it has run well since")
		})
	}
}

// condemnedAt is a handler where a request is condemned.
func condemnedAt(t *testing.T, s *crashSender) *Handler {
	h := modelHandler(t, s, ragworthitch.CallStream)
	c := crashCall(deadly)
	for i := range 3 {
		h.crashes.Died(poison.Death{Print: poison.Of("", c.Method, c.Host, c.Path, c.Body), Boot: ragworthitch.NewBoot(fmt.Sprint("x", i), 0), Service: "llm", Version: "v1"},
			poison.SourcePeer, clock.Now())
	}
	return h
}

// The load: hundreds of callers come back with a condemned request when its time is
// over. One of them is its trial, which is sent once; the others are told to wait on.
func TestOneTrial(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &crashSender{}
		h := condemnedAt(t, s)
		time.Sleep(31 * time.Second)
		var group sync.WaitGroup
		for range 300 {
			group.Go(func() {
				w, _ := serve(h, crashCall(deadly))
				assert.NotEqual(t, http.StatusOK, w.Code)
			})
		}
		group.Wait()
		assert.Equal(t, 1, s.sent(deadly))
	})
}

// A request that was condemned by mistake is served by its trial, and from then on.
func TestTrialEndsWell(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &crashSender{after: modelEvents}
		h := condemnedAt(t, s)
		w, cut := serve(h, crashCall(deadly))
		sayCondemned(t, w, cut)
		time.Sleep(31 * time.Second)
		for range 2 {
			w, cut = serve(h, crashCall(deadly))
			assert.False(t, cut)
			assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", modelEvents))
		}
	})
}

// When the service has targets of a new version, the trial need not wait, and goes to
// one of them.
func TestTrialAtNewVersion(t *testing.T) {
	bubble(t, "", func(t *testing.T) {
		s := &crashSender{}
		h := condemnedAt(t, s)
		manyTargets(h, "v1")
		w, cut := serve(h, crashCall(deadly))
		sayCondemned(t, w, cut)
		manyTargets(h, mended)
		w, cut = serve(h, crashCall(deadly))
		assert.False(t, cut)
		assert.Contains(t, w.Body.String(), fmt.Sprintf("id: %d\n", modelEvents))
		assert.Empty(t, s.runs)
	})
}

// A plain service dies of a call as well; calls that may run once crash one target
// for each try.
func TestDeadlyPlainCall(t *testing.T) {
	for _, kind := range []ragworthitch.CallKind{ragworthitch.CallUnsafe, ragworthitch.CallSafe} {
		bubble(t, kind.String(), func(t *testing.T) {
			s := &crashSender{}
			h := modelHandler(t, s, kind)
			call := func() *Call {
				c := crashCall(deadly)
				c.Prompt = 0
				return c
			}
			for range 3 {
				serve(h, call())
				synctest.Wait()
			}
			w, cut := serve(h, call())
			sayCondemned(t, w, cut)
			assert.LessOrEqual(t, len(s.runs), 4)
		})
	}
}
