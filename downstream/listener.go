package downstream

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// socketBuffer bounds what the kernel keeps of a connection in each direction, in bytes:
	// requests that were sent ahead, and answers that the client does not read.
	socketBuffer = 32 << 10
	// acceptTimeout is how long a new connection waits for memory that is being freed. The
	// next one waits behind it.
	acceptTimeout = 5 * time.Millisecond
	// maxTimeout stands for a timeout that is set elsewhere.
	maxTimeout = 24 * time.Hour
	// logInterval is how often a listener logs that a bound was met.
	logInterval = time.Second
)

type (
	// ListenerConfig configures a Listener.
	ListenerConfig struct {
		Name     string // in logs and metrics
		MaxConns int    // 0: no limit
		// Limits returns the limits on requests in force; a zero stands for the default. Nil:
		// the defaults.
		Limits func() ragworthitch.Limits
		// WriteTimeout bounds each write by handlers that set no deadline; 0: none.
		WriteTimeout time.Duration
		// AcceptsHTTP10 serves clients of HTTP/1.0 as well: no answer is long enough to be cut
		// off. Without chunks, an answer without a length that is cut off looks whole to them.
		AcceptsHTTP10 bool
	}

	// Listener serves the clients of one address. Create it with Guard.Wrap.
	Listener struct {
		net.Listener
		guard   *Guard
		cfg     ListenerConfig
		log     zerolog.Logger
		refused tally.Counter

		mu       sync.Mutex
		conns    map[*conn]struct{} // open connections
		evicted  map[*conn]struct{} // closed, but not yet all freed
		loggedAt clock.Time         // last line about a bound
		unlogged int                // times that a bound was met since
	}

	connKey struct{}
)

// Listen listens on an address, with bounded buffers of the connections.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setBuffers(raw) }}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Wrap returns a Listener for the connections of ln.
func (g *Guard) Wrap(ln net.Listener, cfg ListenerConfig) *Listener {
	if cfg.Limits == nil {
		cfg.Limits = func() ragworthitch.Limits { return ragworthitch.Limits{} }
	}
	l := &Listener{Listener: ln, guard: g, cfg: cfg, log: g.log.With().Str("listener", cfg.Name).Logger(), conns: map[*conn]struct{}{}, evicted: map[*conn]struct{}{}}
	l.refused = l.counter("refused")
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, l)
	return l
}

// counter returns a counter of connections.
func (l *Listener) counter(name string) tally.Counter {
	return l.guard.scope.Counter("connections_" + name + "_" + l.cfg.Name)
}

// setBuffers bounds the buffers of a listening socket, which its connections inherit.
func setBuffers(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system without these options keeps its own sizes.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBuffer)
	})
}

// Server returns a server for the listener's connections.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{Handler: l.handler(h), ReadHeaderTimeout: maxTimeout, IdleTimeout: maxTimeout,
		MaxHeaderBytes: http.DefaultMaxHeaderBytes, // conn bounds heads first
		ConnState:      func(nc net.Conn, s http.ConnState) { trackState(nc, s) },
		ConnContext:    func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }}
}

// Accept returns the next connection for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		reset(nc)
	}
}

// admit returns the connection with its memory taken, or nil if there is no room for it.
func (l *Listener) admit(nc net.Conn) *conn {
	if l.cfg.MaxConns > 0 && l.open() >= l.cfg.MaxConns && !l.evictLongest() {
		l.countRefused(boundConnections, nc.RemoteAddr())
		return nil
	}
	memory := l.guard.memory
	if !memory.TryReserveWithin(connBytes, acceptTimeout) {
		l.countRefused(boundMemory, nc.RemoteAddr())
		return nil
	}
	c := &conn{Conn: nc, l: l, state: connState{since: clock.Now(), held: connBytes}}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	return c
}

// open returns the number of connections that are open.
func (l *Listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// forget removes a connection from the open ones while what it holds is being freed, and
// remove removes it for good.
func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.evicted[c] = struct{}{}
	}
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	delete(l.evicted, c)
}

// countClosed counts and logs that a client's connection is closed because a bound was met.
func (l *Listener) countClosed(b bound, client net.Addr) {
	l.counter("closed_" + string(b)).Inc(1)
	if b != boundIdleTime {
		l.logBound(b, client, "downstream: client met a bound; its connection is closed")
	}
}

// countRefused counts and logs that a client's connection or request is refused for lack of
// room.
func (l *Listener) countRefused(b bound, client net.Addr) {
	l.refused.Inc(1)
	l.logBound(b, client, "downstream: no room for a client; refused")
}

// logBound logs that a client met a bound, at most once every logInterval.
func (l *Listener) logBound(b bound, client net.Addr, message string) {
	l.mu.Lock()
	l.unlogged++
	now, n := clock.Now(), l.unlogged
	if l.loggedAt != 0 && now.Sub(l.loggedAt) < logInterval {
		l.mu.Unlock()
		return
	}
	l.loggedAt, l.unlogged = now, 0
	open := len(l.conns)
	l.mu.Unlock()
	l.log.Warn().Str("bound", string(b)).Stringer("client", client).Int("connections", open).Int("maxConnections", l.cfg.MaxConns).Int64("memory", l.guard.memory.Used()).
		Int64("maxMemory", l.guard.memory.Limit()).Int("times", n).Msg(message)
}

// reset closes a connection with a reset, and without sending what waits to be sent.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, Close sends no reset
	}
	_ = nc.Close()
}
