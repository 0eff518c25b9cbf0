package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	stalledCallers  = 20
	stalledTimeout  = time.Second // of their calls
	largeAnswerSize = 6 << 20
	largeEventSize  = 2 << 10
	// maxStalledBytes is the most memory that a caller which reads nothing may take.
	maxStalledBytes = 64 << 10
)

type (
	// largeSender answers plain calls with size bytes, and streams with events of
	// largeEventSize until the attempt is cancelled.
	largeSender struct{ size int }

	// stalledWriter is the connection of a caller that accepts the first open bytes.
	stalledWriter struct {
		*httptest.ResponseRecorder
		mu       sync.Mutex
		open     int
		deadline time.Time
	}
)

func (s largeSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	header := http.Header{"Content-Length": {strconv.Itoa(s.size)}}
	plain := io.NopCloser(io.LimitReader(zeros{ctx}, int64(s.size)))
	if s.size > 0 {
		return &Reply{Status: http.StatusOK, Delimited: true, Header: header, Body: plain}, nil
	}
	events := func(emit func(Event) bool) error {
		for id := int64(1); ctx.Err() == nil; id++ {
			raw := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", id, bytes.Repeat([]byte{'x'}, largeEventSize))
			if !emit(Event{Raw: raw, ID: id}) {
				break
			}
		}
		return ctx.Err()
	}
	return &Reply{Status: http.StatusOK, Delimited: true, Header: http.Header{}, Body: http.NoBody, Events: events}, nil
}

// CheckConnection fails.
func (largeSender) CheckConnection(context.Context, *registry.Member) error {
	return upstream.ErrNotSent
}

// zeros reads as zero bytes until its context ends.
type zeros struct{ ctx context.Context }

func (z zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), z.ctx.Err()
}

func (w *stalledWriter) SetWriteDeadline(t time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = t
	return nil
}

func (w *stalledWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open >= len(b) {
		w.open -= len(b)
		return w.ResponseRecorder.Write(b)
	}
	if w.deadline.IsZero() {
		select {} // like a connection without a deadline
	}
	time.Sleep(time.Until(w.deadline))
	return 0, os.ErrDeadlineExceeded
}

// slowCall returns a call with the given timeout.
func slowCall(timeout time.Duration) *Call {
	return &Call{ID: "call", Method: "POST", Host: "h", URI: "/p/x", Path: "/p/x", Header: http.Header{}, Timeout: timeout, Received: clock.Now()}
}

// running returns the number of attempts of this instance in progress.
func running(h *Handler) int {
	n := 0
	for _, m := range h.targets.All() {
		n += m.Work().Own().Running
	}
	return n
}

// stall connects callers that send a call each and read nothing. The returned function
// disconnects them.
func stall(tb testing.TB, h *Handler, callers int, timeout time.Duration) (disconnect func()) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.Serve(r.Context(), w, slowCall(timeout)) }))
	conns := make([]net.Conn, callers)
	for i := range conns {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		require.NoError(tb, err)
		require.NoError(tb, c.(*net.TCPConn).SetReadBuffer(4<<10))
		_, err = io.WriteString(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		require.NoError(tb, err)
		conns[i] = c
	}
	return func() {
		for _, c := range conns {
			c.Close()
		}
		srv.Close()
	}
}

// Callers that send a call and read nothing must not keep their call past its deadline, nor
// the slots of its targets.
func TestStalledCallersEndAtDeadline(t *testing.T) {
	tests := []struct {
		name string
		kind ragworthitch.CallKind
		size int
	}{
		{"streams", ragworthitch.CallStream, 0},
		{"plain answers", ragworthitch.CallUnsafe, largeAnswerSize},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := newTestHandler(t, largeSender{tt.size}, tt.kind)
			defer stall(t, h, stalledCallers, stalledTimeout)()
			require.Eventually(t, func() bool { return h.Active() == stalledCallers }, stalledTimeout, 10*time.Millisecond)
			assert.Eventually(t, func() bool { return h.Active() == 0 && running(h) == 0 }, stalledTimeout+3*time.Second, 50*time.Millisecond,
				"%d calls still in progress, %d at targets", h.Active(), running(h))
		})
	}
}

// A call whose caller makes no progress ends after callerStallTimeout, long before its
// deadline, and is not sent to another target.
func TestStalledCallerEndsEarly(t *testing.T) {
	tests := []struct {
		name string
		kind ragworthitch.CallKind
		size int
	}{
		{"stream", ragworthitch.CallStream, 0},
		{"plain answer", ragworthitch.CallUnsafe, largeAnswerSize},
	}
	for _, tt := range tests {
		bubble(t, tt.name, func(t *testing.T) {
			h := newTestHandler(t, largeSender{tt.size}, tt.kind)
			w := &stalledWriter{ResponseRecorder: httptest.NewRecorder(), open: 40 << 10}
			start := clock.Now()
			call := slowCall(0)
			assert.False(t, h.ServeComplete(t.Context(), w, call), "a truncated answer looks complete")
			assert.InDelta(t, callerStallTimeout, clock.Now().Sub(start), float64(callerStallTimeout)/4)
			synctest.Wait()
			assert.Zero(t, running(h))
			assert.Zero(t, h.Active())
			assert.True(t, h.answerMemory.Fits(0))
		})
	}
}

// New calls are rejected as not run while answers that nobody reads take all the memory for
// answers.
func TestRejectsWithoutAnswerMemory(t *testing.T) {
	bubble(t, "rejects", func(t *testing.T) {
		h := newTestHandler(t, largeSender{0}, ragworthitch.CallStream)
		h.answerMemory = admit.NewMemory(3 * maxQueuedBytes)
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go h.ServeComplete(ctx, &stalledWriter{ResponseRecorder: httptest.NewRecorder()}, slowCall(0))
			synctest.Wait()
		}
		w := httptest.NewRecorder()
		assert.True(t, h.ServeComplete(t.Context(), w, slowCall(0)))
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		assert.NotEmpty(t, w.Header().Get("Retry-After"))
		assert.Equal(t, 2, running(h), "the rejected call was sent")

		cancel()
		time.Sleep(2 * callerStallTimeout)
		synctest.Wait()
		assert.True(t, h.answerMemory.Fits(3*maxQueuedBytes), "memory is not freed")
		assert.False(t, h.answerMemory.Fits(3*maxQueuedBytes+1))
	})
}

// Small plain answers that nobody reads count against the memory for answers, too.
func TestSmallAnswersTakeAnswerMemory(t *testing.T) {
	bubble(t, "plain answers", func(t *testing.T) {
		const answerSize, callers = maxBufferedBytes / 2, 4
		h := newTestHandler(t, largeSender{answerSize}, ragworthitch.CallUnsafe)
		h.answerMemory = admit.NewMemory(callers*answerSize + maxQueuedBytes - 1)
		for range callers {
			go h.ServeComplete(t.Context(), &stalledWriter{ResponseRecorder: httptest.NewRecorder()}, slowCall(0))
			synctest.Wait()
		}
		w := httptest.NewRecorder()
		assert.True(t, h.ServeComplete(t.Context(), w, slowCall(0)))
		assert.Equal(t, http.StatusServiceUnavailable, w.Code)
		time.Sleep(2 * callerStallTimeout)
		w = httptest.NewRecorder()
		assert.True(t, h.ServeComplete(t.Context(), w, slowCall(0)))
		assert.Equal(t, http.StatusOK, w.Code, "memory is not freed")
	})
}

// A large answer reaches a caller that reads it whole and unchanged.
func TestLargeAnswerIsWhole(t *testing.T) {
	h := newTestHandler(t, largeSender{largeAnswerSize}, ragworthitch.CallUnsafe)
	w, cut := serve(h, slowCall(0))
	assert.False(t, cut)
	assert.Equal(t, largeAnswerSize, w.Body.Len())
	assert.Equal(t, strconv.Itoa(largeAnswerSize), w.Header().Get("Content-Length"))
	assert.Zero(t, running(h))
}

// truncatingSender answers with a large body that ends early.
type truncatingSender struct{ largeSender }

func (s truncatingSender) Send(_ context.Context, r *AttemptRequest) (*Reply, error) {
	truncated := io.MultiReader(bytes.NewReader(make([]byte, 2*maxBufferedBytes)), brokenReader{})
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(truncated)}, nil
}

// A large answer that its target truncates must not look complete to the caller.
func TestTruncatedLargeAnswerIsCut(t *testing.T) {
	h := newTestHandler(t, truncatingSender{}, ragworthitch.CallSafe)
	_, cut := serve(h, slowCall(0))
	assert.True(t, cut)
	assert.Zero(t, running(h))
}

// BenchmarkStalledCallers reports the heap that a caller which reads nothing takes.
func BenchmarkStalledCallers(b *testing.B) {
	for _, bb := range []struct {
		name string
		kind ragworthitch.CallKind
		size int
	}{
		{"streams", ragworthitch.CallStream, 0},
		{"plain answers", ragworthitch.CallUnsafe, largeAnswerSize},
	} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(stalledHeap(b, bb.kind, bb.size)), "heapBytes/caller")
			}
		})
	}
}

// Callers that read nothing must take less than maxStalledBytes each once all buffers are
// full.
func TestStalledCallersTakeLittleMemory(t *testing.T) {
	assert.Less(t, stalledHeap(t, ragworthitch.CallStream, 0), maxStalledBytes)
	assert.Less(t, stalledHeap(t, ragworthitch.CallUnsafe, largeAnswerSize), maxStalledBytes)
}

// stalledHeap returns the heap that each of stalledCallers takes, in bytes. While buffers
// fill, which takes long on a busy machine, the heap holds what is on its way besides; so
// it returns the least of some samples.
func stalledHeap(tb testing.TB, kind ragworthitch.CallKind, size int) int {
	const samples, interval = 20, 250 * time.Millisecond
	h := newTestHandler(tb, largeSender{size}, kind)
	before := heapBytes()
	disconnect := stall(tb, h, stalledCallers, 0)
	defer disconnect()
	require.Eventually(tb, func() bool { return h.Active() == stalledCallers }, 10*time.Second, 10*time.Millisecond)
	least := 0
	for n := 0; n < samples && (n < 2 || least >= maxStalledBytes); n++ {
		time.Sleep(interval)
		require.Equal(tb, stalledCallers, h.Active(), "calls ended before their buffers were full")
		if heap := (heapBytes() - before) / stalledCallers; n == 0 || heap < least {
			least = heap
		}
	}
	return least
}

// heapBytes returns the size of the live heap.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
