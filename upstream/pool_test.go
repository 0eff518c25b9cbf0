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

// get makes one call and reads its answer whole.
func get(t *testing.T, p *Pool, path string) (string, error) {
	resp, err := p.Do(request(t, t.Context(), p.Addr(), path))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

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

func TestConnectionIsUsedAgain(t *testing.T) {
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

// A connection whose answer was not read to its end, or did not belong to
// the request, is not used again.
func TestConnectionIsDropped(t *testing.T) {
	p, conns := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 100_000)) })
	resp, err := p.Do(request(t, t.Context(), p.Addr(), "/"))
	require.NoError(t, err)
	resp.Body.Close()
	resp, err = p.Do(request(t, t.Context(), p.Addr(), "/"))
	require.NoError(t, err)
	Discard(resp)
	_, err = get(t, p, "/")
	require.NoError(t, err)
	assert.EqualValues(t, 3, conns.Load())
	assert.Equal(t, 1, p.Open())
}

// A request is never sent a second time behind the caller's back, and an
// error tells whether the first one left.
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

// An idle connection that the target closed is not used; the call goes out on
// a new one.
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
		go p.Do(request(t, ctx, p.Addr(), "/"))
	}
	require.Eventually(t, func() bool { return p.Open() == 3 }, time.Second, time.Millisecond)
	_, err := p.Do(request(t, ctx, p.Addr(), "/"))
	assert.True(t, errors.Is(err, ErrNotSent), "%v", err)
}

func TestKeepFor(t *testing.T) {
	for v, want := range map[string]time.Duration{
		"": defaultIdle, "timeout=5": 4 * time.Second, "max=100, timeout=3": 2 * time.Second,
		"timeout=0": 0, "timeout=x": defaultIdle, "timeout=3600": maxIdle,
	} {
		assert.Equal(t, want, keepFor(http.Header{"Keep-Alive": {v}}), v)
	}
}

// resetConn is a connection that the other side resets when it is told to.
type resetConn struct {
	net.Conn
	reset atomic.Bool
}

// Write sends nothing once the connection is reset.
func (c *resetConn) Write(b []byte) (int, error) {
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.Conn.Write(b)
}

// An idle connection that was reset, and not noticed yet, takes no byte of
// the request: the call was not sent.
func TestResetIdleConnection(t *testing.T) {
	p, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	var conn *resetConn
	connect := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := connect(ctx, network, addr)
		if counted, ok := c.(*countedConn); ok {
			conn = &resetConn{Conn: counted.Conn}
			counted.Conn = conn
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
