package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
)

const (
	testMemory = 8 << 20
	waitTime   = 5 * time.Second
	pollTime   = 2 * time.Millisecond
)

// testServer serves requests with a handler that reads the body, and holds those to /hold
// until release is closed.
type testServer struct {
	t        *testing.T
	guard    *Guard
	listener *Listener
	limits   atomic.Pointer[ragworthitch.Limits]
	runs     atomic.Int64
	release  chan struct{}
}

func newTestServer(t *testing.T, maxConns int, limits ragworthitch.Limits) *testServer {
	s := &testServer{t: t, guard: NewGuard(testMemory, zerolog.Nop(), nil), release: make(chan struct{})}
	s.limits.Store(&limits)
	ln, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	s.listener = s.guard.Wrap(ln, ListenerConfig{Name: "test", MaxConns: maxConns, Limits: func() ragworthitch.Limits { return *s.limits.Load() }})
	srv := s.listener.Server(http.HandlerFunc(s.serve))
	go srv.Serve(s.listener)
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		return
	}
	b, err := s.guard.Memory().Read(http.MaxBytesReader(w, r.Body, s.limits.Load().BodyBytes))
	defer s.guard.Memory().Free(len(b))
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.runs.Add(1)
	if r.URL.Path == "/hold" {
		<-s.release
	}
}

// testClient is a connection to a testServer.
type testClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) dial() *testClient {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	return &testClient{Conn: c, t: s.t, r: bufio.NewReader(c)}
}

// isRefused reports whether a new connection is closed at once.
func (s *testServer) isRefused() bool {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		return true
	}
	defer c.Close()
	return (&testClient{Conn: c, t: s.t, r: bufio.NewReader(c)}).isClosed(waitTime)
}

func (c *testClient) send(text string) {
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// status returns the status of the next answer; 0: the connection is closed without one.
func (c *testClient) status() int {
	c.SetReadDeadline(time.Now().Add(waitTime))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// isClosed reports whether the server closes the connection within a time.
func (c *testClient) isClosed(within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.r.ReadByte()
	ne, ok := err.(net.Error)
	return err != nil && !(ok && ne.Timeout())
}

// headOf returns a head of exactly size bytes, with very short fields if short is set.
func headOf(size int, short bool) string {
	b := &strings.Builder{}
	b.WriteString("GET / HTTP/1.1\r\nHost:h\r\n")
	for i := 0; short && b.Len() < size-40; i++ {
		fmt.Fprintf(b, "G%X:\r\n", i)
	}
	if spare := size - b.Len() - len("X:\r\n\r\n"); spare >= 0 {
		b.WriteString("X:" + strings.Repeat("x", spare) + "\r\n")
	}
	return b.String() + "\r\n"
}

func bodyOf(size int, chunked bool) string {
	text := strings.Repeat("x", size)
	if chunked {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost:h\r\nTransfer-Encoding:chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, text)
	}
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost:h\r\nContent-Length:%d\r\n\r\n%s", size, text)
}

// Guards against limits that reject what they allow, or allow more.
func TestRequestAtLimit(t *testing.T) {
	limits := ragworthitch.Limits{HeaderBytes: 4096, BodyBytes: 100_000}
	tests := []struct {
		name, request string
		status        int
	}{
		{"head at the limit", headOf(4096, false), http.StatusOK},
		{"head at the limit, short fields", headOf(4096, true), http.StatusOK},
		{"head one byte over", headOf(4097, false), http.StatusRequestHeaderFieldsTooLarge},
		{"head one byte over, short fields", headOf(4097, true), http.StatusRequestHeaderFieldsTooLarge},
		{"head far over", headOf(40_960, false), http.StatusRequestHeaderFieldsTooLarge},
		{"body at the limit", bodyOf(100_000, false), http.StatusOK},
		{"body at the limit, in a chunk", bodyOf(100_000, true), http.StatusOK},
		{"body one byte over", bodyOf(100_001, false), http.StatusRequestEntityTooLarge},
		{"body one byte over, in a chunk", bodyOf(100_001, true), http.StatusRequestEntityTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestServer(t, 0, limits)
			c := s.dial()
			c.send(tt.request)
			assert.Equal(t, tt.status, c.status())
			if tt.status == http.StatusOK {
				c.send(headOf(100, false))
				assert.Equal(t, http.StatusOK, c.status(), "the next request on the connection")
			}
		})
	}
}

// Guards against a request that is run though it was sent behind one that was refused.
func TestRequestBehindRefusedIsNotRun(t *testing.T) {
	s := newTestServer(t, 0, ragworthitch.Limits{HeaderBytes: 4096, BodyBytes: 1000})
	for _, refused := range []string{headOf(4097, true), headOf(40_960, true), bodyOf(1001, false), bodyOf(1001, true), bodyOf(400_000, false)} {
		c := s.dial()
		go io.WriteString(c, refused+headOf(100, false)+headOf(100, false))
		assert.Contains(t, []int{http.StatusRequestHeaderFieldsTooLarge, http.StatusRequestEntityTooLarge}, c.status())
		assert.Zero(t, c.status(), "the connection goes on")
	}
	assert.Zero(t, s.runs.Load())
}

// Guards against times that do not follow the limits in force, or that end clients which keep
// to them.
func TestTimesFollowLimits(t *testing.T) {
	s := newTestServer(t, 0, ragworthitch.Limits{BodyBytes: 1000, HeaderTime: time.Minute, IdleTime: time.Minute})
	early := s.dial()
	early.send("GET / HT")
	assert.False(t, early.isClosed(100*time.Millisecond))
	s.limits.Store(&ragworthitch.Limits{BodyBytes: 1000, HeaderTime: 50 * time.Millisecond, IdleTime: 500 * time.Millisecond})
	c := s.dial()
	c.send(headOf(100, false))
	require.Equal(t, http.StatusOK, c.status())
	time.Sleep(400 * time.Millisecond) // four fifths of the idle time
	c.send(headOf(100, false))
	assert.Equal(t, http.StatusOK, c.status())
	assert.True(t, c.isClosed(waitTime), "idle for too long")
	slow := s.dial()
	slow.send("GET / HT")
	assert.Equal(t, http.StatusRequestTimeout, slow.status(), "too slow with the head")
	assert.True(t, slow.isClosed(waitTime))
	drained := s.dial()
	drained.send("POST /unread HTTP/1.1\r\nHost:h\r\nContent-Length:100\r\n\r\n")
	require.Equal(t, http.StatusOK, drained.status())
	assert.True(t, drained.isClosed(waitTime), "the rest of a body that nobody reads does not come")
}

// Guards against a full listener that closes calls in progress, or refuses new connections
// while clients keep it waiting.
func TestLongestWaitingIsClosed(t *testing.T) {
	s := newTestServer(t, 3, ragworthitch.Limits{BodyBytes: 1000})
	defer close(s.release)
	call := s.dial()
	call.send("GET /hold HTTP/1.1\r\nHost:h\r\n\r\n")
	require.Eventually(t, func() bool { return s.runs.Load() == 1 }, waitTime, pollTime)
	half := s.dial()
	half.send("GET / HT")
	require.Eventually(t, func() bool { return s.listener.open() == 2 }, waitTime, pollTime)
	time.Sleep(20 * time.Millisecond)
	idle := s.dial()
	idle.send(headOf(100, false))
	require.Equal(t, http.StatusOK, idle.status())
	fresh := s.dial()
	fresh.send("GET /hold HTTP/1.1\r\nHost:h\r\n\r\n")
	assert.True(t, half.isClosed(waitTime), "has kept the server waiting the longest")
	require.Eventually(t, func() bool { return s.runs.Load() == 3 }, waitTime, pollTime)
	assert.False(t, idle.isClosed(20*time.Millisecond))
	last := s.dial()
	last.send("GET /hold HTTP/1.1\r\nHost:h\r\n\r\n")
	assert.True(t, idle.isClosed(waitTime))
	require.Eventually(t, func() bool { return s.runs.Load() == 4 }, waitTime, pollTime)
	assert.True(t, s.isRefused(), "all connections are calls in progress")
	assert.False(t, call.isClosed(20*time.Millisecond))
}

// Guards against incomplete bodies that keep ordinary requests out, and against the closing of
// connections that hold little.
func TestMemoryIsReclaimed(t *testing.T) {
	const bodyBytes = 2 << 20
	s := newTestServer(t, 0, ragworthitch.Limits{BodyBytes: bodyBytes})
	small := s.dial()
	small.send("GET / HT")
	var stalled []*testClient
	for range 12 {
		c := s.dial()
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost:h\r\nContent-Length:%d\r\n\r\n", bodyBytes))
		go io.WriteString(c, strings.Repeat("x", bodyBytes-1))
		stalled = append(stalled, c)
	}
	require.Eventually(t, func() bool { return stalled[0].isClosed(pollTime) || s.guard.Memory().Used() > testMemory/2 }, waitTime, pollTime)
	assert.Eventually(t, func() bool {
		c := s.dial()
		go io.WriteString(c, bodyOf(bodyBytes, false))
		return c.status() == http.StatusOK
	}, waitTime, pollTime, "a whole body of the allowed size")
	assert.LessOrEqual(t, s.guard.Memory().Used(), int64(testMemory))
	assert.False(t, small.isClosed(20*time.Millisecond))
}

// Guards against memory that closed connections keep, whatever their stage.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	s := newTestServer(t, 0, ragworthitch.Limits{HeaderBytes: 4096, BodyBytes: 1000})
	requests := []string{"", "GET / HT", headOf(4000, true)[:3900], headOf(4000, true), headOf(5000, true), bodyOf(900, false)[:500], bodyOf(900, false), bodyOf(900, true)[:500],
		"GET /hold HTTP/1.1\r\nHost:h\r\n\r\n", headOf(100, false) + headOf(100, false)[:50], "nonsense\r\n\r\n"}
	var clients []*testClient
	for _, r := range requests {
		c := s.dial()
		c.send(r)
		clients = append(clients, c)
	}
	require.Eventually(t, func() bool { return s.guard.Memory().Used() > connBytes }, waitTime, pollTime)
	for _, c := range clients {
		c.Close()
	}
	close(s.release)
	assert.Eventually(t, func() bool { return s.guard.Memory().Used() == 0 && s.listener.open() == 0 }, waitTime, pollTime, "%d bytes, %d connections", s.guard.Memory().Used(), s.listener.open())
}

// Guards against heads that hold more than is counted: decoded, and copied twice.
func TestHeadCostCoversFields(t *testing.T) {
	const heads = 50
	text := headOf(16<<10, true)
	var kept []http.Header
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cost := 0
	for range heads {
		r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 4096))
		require.NoError(t, err)
		kept = append(kept, r.Header, r.Header.Clone(), r.Header.Clone())
		cost += headCost(headSize(r))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d bytes held, %d counted", held/heads, cost/heads)
	assert.LessOrEqual(t, held, int64(cost))
	runtime.KeepAlive(kept)
}

// Guards against an answer to a client of HTTP/1.0 that was cut off and looks whole: without
// chunks, an answer that has no length ends with its connection.
func TestClientsOfHTTP10AreRefused(t *testing.T) {
	s := newTestServer(t, 0, ragworthitch.Limits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10})
	for _, head := range []string{"GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", "POST / HTTP/1.0\r\nContent-Length: 3\r\n\r\nask"} {
		c := s.dial()
		c.send(head)
		assert.Equal(t, http.StatusHTTPVersionNotSupported, c.status(), head)
		assert.True(t, c.isClosed(waitTime), head)
	}
	assert.Zero(t, s.runs.Load())
	c := s.dial()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, http.StatusOK, c.status())
}
