package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func request(t *testing.T, ctx context.Context, addr, path string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	require.NoError(t, err)
	return req
}

// get sends a request and reads its response to the end.
func get(t *testing.T, p *Pool, path string) (string, error) {
	resp, err := p.Do(request(t, t.Context(), p.Addr(), path), Hooks{})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// serve starts a server, and returns a pool for it and the number of connections that
// it has accepted.
func serve(t *testing.T, h http.HandlerFunc) (*Pool, *atomic.Int64) {
	var conns atomic.Int64
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			conns.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.Close)
	return NewPool(strings.TrimPrefix(srv.URL, "http://"), 3), &conns
}

// Guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	p, conns := serve(t, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) })
	for i := range 5 {
		got, err := get(t, p, fmt.Sprint("/", i))
		require.NoError(t, err)
		assert.Equal(t, fmt.Sprint("/", i), got)
	}
	assert.EqualValues(t, 1, conns.Load())
	assert.Equal(t, 1, p.Open())
	p.Close()
	assert.Equal(t, 0, p.Open())
}

// A connection is not reused if its response was not read to the end or was
// discarded.
func TestConnectionIsDropped(t *testing.T) {
	p, conns := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 100_000)) })
	resp, err := p.Do(request(t, t.Context(), p.Addr(), "/"), Hooks{})
	require.NoError(t, err)
	resp.Body.Close()
	resp, err = p.Do(request(t, t.Context(), p.Addr(), "/"), Hooks{})
	require.NoError(t, err)
	Discard(resp)
	_, err = get(t, p, "/")
	require.NoError(t, err)
	assert.EqualValues(t, 3, conns.Load())
	assert.Equal(t, 1, p.Open())
}

// The pool never resends a request, and the error says whether the request was sent.
func TestErrorsTellWhetherSent(t *testing.T) {
	var calls atomic.Int64
	p, _ := serve(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	_, err := get(t, p, "/")
	assert.True(t, errors.Is(err, ErrSent), "%v", err)
	assert.EqualValues(t, 1, calls.Load())
	assert.Equal(t, 0, p.Open())

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	_, err = get(t, NewPool(ln.Addr().String(), 0), "/")
	assert.True(t, errors.Is(err, ErrNotSent), "%v", err)
}

// Guards against a reset, a time-out or the limit of connections that is taken for a
// refused connection: a refusal ejects the target at all instances.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close()
	p := NewPool(ln.Addr().String(), 0)
	_, err = get(t, p, "/")
	assert.ErrorIs(t, err, ErrRefused)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, p.CheckConnection(t.Context()), ErrRefused)

	connect := transport.DialContext
	t.Cleanup(func() { transport.DialContext = connect })
	for _, cause := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, context.DeadlineExceeded} {
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, cause }
		_, err = get(t, p, "/")
		assert.ErrorIs(t, err, ErrNotSent, "%v", cause)
		assert.NotErrorIs(t, err, ErrRefused, "%v", cause)
	}
}

// A request is not sent on an idle connection that the target has closed.
func TestClosedIdleConnection(t *testing.T) {
	p, conns := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	_, err := get(t, p, "/")
	require.NoError(t, err)
	p.mu.Lock()
	p.idle[0].sock.Close()
	p.mu.Unlock()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.idle[0].http.Err() != nil
	}, time.Second, time.Millisecond)
	_, err = get(t, p, "/")
	require.NoError(t, err)
	assert.EqualValues(t, 2, conns.Load())
}

func TestLimitOfConnections(t *testing.T) {
	hold := make(chan struct{})
	p, _ := serve(t, func(http.ResponseWriter, *http.Request) { <-hold })
	defer close(hold)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 3 {
		go p.Do(request(t, ctx, p.Addr(), "/"), Hooks{})
	}
	require.Eventually(t, func() bool { return p.Open() == 3 }, time.Second, time.Millisecond)
	_, err := p.Do(request(t, ctx, p.Addr(), "/"), Hooks{})
	assert.True(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.NotErrorIs(t, err, ErrRefused)
}

// Guards against a check that fails because idle connections take up the limit: the target
// would be ejected although it accepts connections.
func TestCheckAtLimitOfConnections(t *testing.T) {
	hold := make(chan struct{})
	p, conns := serve(t, func(http.ResponseWriter, *http.Request) { <-hold })
	for range 3 {
		go get(t, p, "/")
	}
	require.Eventually(t, func() bool { return p.Open() == 3 }, time.Second, time.Millisecond)
	assert.ErrorIs(t, p.CheckConnection(t.Context()), ErrNotSent)
	close(hold)
	require.Eventually(t, func() bool { return p.CheckConnection(t.Context()) == nil }, time.Second, time.Millisecond)
	assert.Equal(t, 3, p.Open())
	require.Eventually(t, func() bool { return conns.Load() == 4 }, time.Second, time.Millisecond)
}

func TestMaxIdleTime(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"": defaultIdleTime, "timeout=5": 4 * time.Second, "max=100, timeout=3": 2 * time.Second,
		"timeout=0": 0, "timeout=x": defaultIdleTime, "timeout=3600": maxIdleTime,
	} {
		assert.Equal(t, want, maxIdleTimeOf(http.Header{"Keep-Alive": {v}}), v)
	}
}

// resetConn fails writes with ECONNRESET once reset is set.
type resetConn struct {
	net.Conn
	reset atomic.Bool
}

func (c *resetConn) Write(b []byte) (int, error) {
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(b)
}

// A request on an idle connection whose reset was not noticed yet counts as not
// sent.
func TestResetIdleConnection(t *testing.T) {
	p, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	var conn *resetConn
	connect := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if tracked, ok := c.(*trackedConn); ok {
			conn = &resetConn{Conn: tracked.Conn}
			tracked.Conn = conn
		}
		return c, err
	}
	t.Cleanup(func() { transport.DialContext = connect })
	_, err := get(t, p, "/")
	require.NoError(t, err)
	conn.reset.Store(true)
	_, err = get(t, p, "/")
	assert.True(t, errors.Is(err, ErrNotSent), "%v", err)
}

// A connection whose target closes it after an answer is not kept. The next request would
// fail if net/http has not noticed the close yet.
func TestLastAnswerOfConnection(t *testing.T) {
	p, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, "ok")
	})
	for range 100 {
		_, err := get(t, p, "/")
		require.NoError(t, err)
		require.Zero(t, p.Open())
	}
}

// BenchmarkDo measures a request on an idle connection of loopback, with its answer.
func BenchmarkDo(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }))
	b.Cleanup(srv.Close)
	p := NewPool(strings.TrimPrefix(srv.URL, "http://"), 3)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, srv.URL, nil)
		require.NoError(b, err)
		resp, err := p.Do(req, Hooks{})
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b, err)
		resp.Body.Close()
	}
}

// A target must not work on after its answer was closed: the connection is closed when Close
// returns, though another goroutine is reading, and the connection is not counted twice.
func TestCloseWhileReading(t *testing.T) {
	p, _ := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	for range 50 {
		resp, err := p.Do(request(t, t.Context(), p.Addr(), "/"), Hooks{})
		require.NoError(t, err)
		readEnded := make(chan error)
		go func() {
			_, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			readEnded <- err
		}()
		resp.Body.Close()
		assert.ErrorIs(t, resp.Body.(*body).poolConn.sock.SetDeadline(time.Now()), net.ErrClosed)
		assert.Error(t, <-readEnded)
		assert.Equal(t, 0, p.Open())
	}
}
