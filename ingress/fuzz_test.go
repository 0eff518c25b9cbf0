package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	streamEvents = 12 // events of a complete stream
	testTargets  = 6  // targets that newTestHandler adds
	maxAttempts  = 4  // attempts that the route allows
)

var (
	errBroken = errors.New("connection reset")
	// misleadingStatuses promise that a call has not run. A target that ran it may still
	// answer with them.
	misleadingStatuses = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
)

// faultySender answers at random like failing engines: complete, cut off at any byte,
// refused, as another target, with events out of sequence or, if misleads is set, with a
// status that promises that the call has not run although it has.
type faultySender struct {
	mu       sync.Mutex
	rng      *rand.Rand
	misleads bool // some targets that ran the call answer with misleadingStatuses
	started  int  // attempts that a target has started to run
	reached  int  // attempts that reached a target
}

func (s *faultySender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrNotSent, ctx.Err())
	}
	outcome := s.rng.IntN(10)
	if outcome == 0 {
		return nil, fmt.Errorf("%w: refused", upstream.ErrNotSent)
	}
	s.reached++
	switch outcome {
	case 1:
		return &Reply{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: body("")}, nil
	case 2:
		return &Reply{Status: http.StatusMisdirectedRequest, WrongTarget: true, Header: http.Header{}, Body: body("")}, nil
	}
	s.started++
	switch outcome {
	case 3:
		return nil, fmt.Errorf("%w: reset", upstream.ErrSent)
	case 4:
		return &Reply{Status: http.StatusInternalServerError, Header: http.Header{}, Body: body("failed")}, nil
	}
	if s.misleads && outcome >= 5 && outcome-5 < len(misleadingStatuses) {
		return &Reply{Status: misleadingStatuses[outcome-5], Header: http.Header{}, Body: body("failed")}, nil
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: s.stream(r)}, nil
}

// startedCount returns the number of attempts that a target has started to run.
func (s *faultySender) startedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// stream returns the events after the resume offset or, as an engine with a fault, from
// another offset; complete or cut off at any byte.
func (s *faultySender) stream(r *AttemptRequest) io.ReadCloser {
	lastEvent, _ := strconv.Atoi(r.ResumeOffset) // empty: from the start
	switch fault := s.rng.IntN(8); {
	case fault == 0:
		lastEvent = max(0, lastEvent-1-s.rng.IntN(3)) // repeats events that the caller has
	case fault == 1 && lastEvent > 0 && lastEvent < streamEvents-2: // without any event the gap could not be detected
		lastEvent += 1 + s.rng.IntN(2) // leaves a gap
	}
	var b strings.Builder
	for n := lastEvent + 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, r.Call.ID, n)
	}
	if s.rng.IntN(2) == 0 || b.Len() == 0 {
		return body(b.String())
	}
	return io.NopCloser(io.MultiReader(strings.NewReader(b.String()[:s.rng.IntN(b.Len())]), brokenReader{}))
}

func body(s string) io.ReadCloser { return io.NopCloser(strings.NewReader(s)) }

type brokenReader struct{}

// Read fails like a reset connection.
func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

// newTestHandler returns a handler with unreachable targets in three zones. All attempts go
// to s.
func newTestHandler(t testing.TB, s Sender, kind ragworthitch.CallKind) *Handler {
	d, err := ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: 1,
		Services: []ragworthitch.Service{ragworthitch.NewService(ragworthitch.ServiceParams{Name: "llm",
			Engine: &ragworthitch.Engine{Slots: 8, KVTokens: 80000, CanReplicate: true, TokensPerEvent: 10}})},
		Routes: []ragworthitch.Route{ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "r", Host: "h", Prefix: "/p/", Kind: kind,
			Timeout: 5 * time.Second, Objective: time.Second, MaxAttempts: maxAttempts, Resumable: true,
			Shares: []ragworthitch.Share{{Service: "llm", Weight: 1}}})}})
	require.NoError(t, err)
	tracker := desired.NewTracker(desired.Ages{Reject: time.Minute, Key: time.Minute})
	tracker.Apply(d)
	tracker.MarkVerified(clock.Now())
	var targets registry.Registry
	for i := range testTargets {
		targets.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: fmt.Sprint("i-", i), Service: "llm",
			Address: fmt.Sprintf("127.0.0.1:%d", 1+i), Zone: string(rune('a' + i%3)), Slots: 8}), 0)
	}
	return New(Config{Zone: "a", DesiredState: tracker, Targets: &targets, CacheLocations: &cachelocation.Table{}, Sender: s, Log: zerolog.Nop(),
		RetryBudget: budget.New(budget.Limit{Ratio: 0.8, Extra: 1000, Window: 10 * time.Second})})
}

// serve serves one call and reports whether the answer was cut off.
func serve(h *Handler, c *Call) (w *httptest.ResponseRecorder, cut bool) {
	w = httptest.NewRecorder()
	return w, !h.ServeComplete(context.Background(), w, c)
}

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: ([^/]+)/(\d+)\n\n`)

// FuzzStream checks streams against engines that fail in any way: the caller gets events
// of its own call only, numbered without a gap or a repetition, and an answer that is not
// cut off is complete.
func FuzzStream(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed, uint8(seed%(streamEvents+1)))
	}
	f.Fuzz(func(t *testing.T, seed uint64, offset uint8) {
		for _, misleads := range []bool{false, true} {
			checkFaultyStream(t, seed, offset, misleads)
		}
	})
}

func checkFaultyStream(t *testing.T, seed uint64, offset uint8, misleads bool) {
	s := &faultySender{rng: rand.New(rand.NewPCG(seed, 2)), misleads: misleads}
	lastEvent := int(offset) % (streamEvents + 1)
	c := &Call{ID: "call", Method: "POST", Host: "h", URI: "/p/x", Path: "/p/x", Header: http.Header{}, Prompt: 10, MaxTokens: 100, Received: clock.Now()}
	if lastEvent > 0 {
		c.ResumeOffset = strconv.Itoa(lastEvent)
	}
	w, cut := serve(newTestHandler(t, s, ragworthitch.CallStream), c)
	checkStream(t, w, cut, lastEvent)
	require.LessOrEqual(t, s.startedCount(), maxAttempts)
	if promisesNotRun(w.Code) && !cut {
		require.Zero(t, s.startedCount(), "rejected as not run, though it ran")
	}
}

func checkStream(t *testing.T, w *httptest.ResponseRecorder, cut bool, lastEvent int) {
	if w.Code != http.StatusOK || cut && w.Body.Len() == 0 {
		return
	}
	require.Equal(t, "text/event-stream", w.Header().Get("Content-Type"), "a success without the target's headers")
	rest := w.Body.String()
	for rest != "" {
		m := eventPattern.FindStringSubmatch(rest)
		require.NotNil(t, m, "incomplete event: %q", rest)
		id, _ := strconv.Atoi(m[1])
		require.Equal(t, lastEvent+1, id, "events are not in order")
		require.Equal(t, m[1], m[3])
		require.Equal(t, "call", m[2])
		lastEvent = id
		rest = rest[len(m[0]):]
	}
	if !cut {
		require.Equal(t, streamEvents, lastEvent, "a truncated answer looks complete")
	}
}

// FuzzUnsafe checks that an unsafe call runs at most once, and that a call rejected as not
// run has not run.
func FuzzUnsafe(f *testing.F) {
	for seed := range uint64(300) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		for _, misleads := range []bool{false, true} {
			s := &faultySender{rng: rand.New(rand.NewPCG(seed, 3)), misleads: misleads}
			w, _ := serve(newTestHandler(t, s, ragworthitch.CallUnsafe), &Call{ID: "call", Method: "POST", Host: "h", URI: "/p/x", Path: "/p/x",
				Header: http.Header{}, Received: clock.Now()})
			require.LessOrEqual(t, s.startedCount(), 1)
			if promisesNotRun(w.Code) {
				require.Zero(t, s.startedCount(), "rejected as not run, though it ran")
			}
		}
	})
}

// FuzzReadEvents checks on any bytes that the events read are a prefix of the input that
// ends with an event.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\nda"))
	f.Add([]byte("\n\n\n\n"))
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\nid: 2\n\n"))
	f.Add([]byte("weight-versions: 3\nid: 7\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out []byte
		err := readEvents(strings.NewReader(string(in)), func(e Event) bool {
			require.Regexp(t, "\n\r?\n$", string(e.Raw))
			out = append(out, e.Raw...)
			return true
		})
		require.True(t, strings.HasPrefix(string(in), string(out)))
		if err == nil {
			require.Equal(t, string(in), string(out), "bytes were dropped without an error")
		}
	})
}

// CheckConnection fails.
func (*faultySender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}
