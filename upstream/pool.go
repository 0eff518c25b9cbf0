// Package upstream pools the HTTP/1.1 connections to a target. Each connection
// carries one request at a time, and the pool never resends a request. The pool
// of net/http does so when an idle connection turns out to be closed, which is
// unsafe for calls that may run only once.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// DialTimeout is 30 times the round trip between zones and shorter than the
	// first SYN retransmission (1 s), so that the caller tries another target
	// before then.
	DialTimeout = 150 * time.Millisecond

	// defaultIdleTime applies to targets that send no Keep-Alive header.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how long before the target's own idle timeout a connection
	// is dropped, so that no request meets the target's close.
	idleMargin = 1 * time.Second
	// maxIdleTime bounds the idle time that a Keep-Alive header allows.
	maxIdleTime = 20 * time.Second

	// headGrace is how long a cancelled request still waits for the head of its answer, which
	// may be on its way: it can say something about the target that holds for other requests.
	headGrace = 10 * time.Millisecond

	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var (
	// ErrNotSent means that no byte of the request was sent: the target cannot
	// have run it.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrSent means that at least a part of the request was sent and no complete
	// response was received: the target may have run it.
	ErrSent = errors.New("upstream: request sent, response incomplete")
	// ErrRefused means that the target's host refused the connection: nothing listens at
	// the address. A time-out or a reset may be due to the link instead. Errors that wrap
	// ErrRefused also wrap ErrNotSent.
	ErrRefused = errors.New("upstream: connection refused")

	transport = &http.Transport{
		DialContext:        dial,
		DisableCompression: true,
		ReadBufferSize:     readBufferBytes,
		WriteBufferSize:    writeBufferBytes,
		// headGuard bounds heads first, and knows what was too long.
		MaxResponseHeaderBytes: MaxHeadBytes + readBufferBytes,
	}
)

type (
	// Pool holds the connections to one target. Create it with NewPool.
	Pool struct {
		addr string
		max  int

		mu     sync.Mutex
		idle   []*conn // most recently used last
		open   int     // connections, idle or in use
		closed bool
	}

	// Hooks are called while a request is sent. Each may be nil.
	Hooks struct {
		// MayWrite is called when there is a connection, before anything is written. Its
		// error keeps the request from being sent.
		MayWrite func() error
		// OnHead is called with the head of the answer, before the answer is judged, unless the
		// head is invalid.
		OnHead func(*http.Response)
	}

	conn struct {
		pool      *Pool
		http      *http.ClientConn
		sock      *trackedConn
		trace     *httptrace.ClientTrace
		idleSince clock.Time
		maxIdle   time.Duration
	}

	// body is a response body whose Close returns the connection to its pool if
	// the body is complete, and closes the connection otherwise. Close may be called while
	// another goroutine reads, and more than once; the connection is closed when it returns.
	body struct {
		checkedBody
		poolConn *conn
		endWatch func() bool // ends the watch for the end of the request's context
		last     bool        // the target closes the connection after it
		complete atomic.Bool // read to its end
		closing  sync.Once
	}
)

// NewPool returns a pool for the target at addr (host:port) with at most max
// connections; 0 means no limit.
func NewPool(addr string, max int) *Pool { return &Pool{addr: addr, max: max} }

// SetLimit sets the maximum number of open connections. Connections that are
// already open stay, and a max of 0 changes nothing.
func (p *Pool) SetLimit(max int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if max > 0 {
		p.max = max
	}
}

// Addr returns the target's host:port.
func (p *Pool) Addr() string { return p.addr }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Do sends req once and returns the response with its body unread. The
// connection is reused once the body was read to its end and closed, unless
// Discard was called. Errors wrap ErrNotSent, and ErrRefused or the error of
// Hooks.MayWrite if that is the reason, or ErrSent, and ErrTooLong if the head of the answer
// exceeded a bound, or ErrBadHead if it is invalid. Errors of the body may wrap ErrTooLong or
// ErrBadHead, too, or ErrCut if an answer without a length is not known to be whole (see CheckEnd).
func (p *Pool) Do(req *http.Request, hooks Hooks) (*http.Response, error) {
	c, err := p.acquire(req.Context())
	if err != nil {
		return nil, err
	}
	if err := hooks.mayWrite(req.Context()); err != nil {
		p.putIdle(c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	before := c.sock.bytesWritten()
	resp, endWatch, refused, err := c.roundTrip(req)
	if resp != nil && hooks.OnHead != nil && !errors.Is(refused, ErrBadHead) {
		hooks.OnHead(resp)
	}
	if refused != nil {
		if endWatch != nil {
			endWatch()
		}
		c.close()
		return nil, fmt.Errorf("%w: %w", ErrSent, refused)
	}
	if err != nil {
		c.close()
		if c.sock.bytesWritten() == before {
			return nil, fmt.Errorf("%w: %s", ErrNotSent, shortText(err))
		}
		return nil, fmt.Errorf("%w: %s", ErrSent, shortText(err))
	}
	c.maxIdle = maxIdleTimeOf(resp.Header)
	resp.Body = &body{checkedBody: checkedBody{resp.Body, resp}, poolConn: c, last: resp.Close, endWatch: endWatch}
	return resp, nil
}

func (h Hooks) mayWrite(ctx context.Context) error {
	if ctx.Err() != nil || h.MayWrite == nil {
		return ctx.Err()
	}
	return h.MayWrite()
}

// roundTrip sends req and reads the head of its answer. refused says which bound the head
// exceeded, or why it is invalid. The request is cancelled headGrace after its context ends, and from
// the head of the answer on at once, until endWatch is called.
func (c *conn) roundTrip(req *http.Request) (resp *http.Response, endWatch func() bool, refused, err error) {
	parent := req.Context()
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() { time.AfterFunc(headGrace, cancel) })
	c.sock.head.begin()
	c.sock.request.begin()
	resp, err = c.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, c.trace)))
	stop()
	exceeded := c.sock.head.end(c.sock.Conn)
	if err != nil {
		cancel()
		switch {
		case exceeded != nil:
			return nil, nil, exceeded, err
		case isRefusal(err):
			return nil, nil, err, err
		}
		return nil, nil, nil, err
	}
	if refused = c.sock.request.received(resp); refused == nil {
		refused = checkFields(resp.Header)
	}
	return resp, context.AfterFunc(parent, cancel), refused, nil
}

// Discard closes the connection of a response that does not belong to the
// request sent on it.
func Discard(resp *http.Response) {
	if b, ok := resp.Body.(*body); ok {
		b.closing.Do(b.discard)
	}
}

// CheckConnection opens a connection to the target and keeps it for the next
// request.
func (p *Pool) CheckConnection(ctx context.Context) error {
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

// Close closes the idle connections. Those in use are closed when their
// responses end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.DropIdle()
}

// DropIdle closes the idle connections, for a target that may be unreachable.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// acquire returns an idle connection, or a new one if there is none.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	now := clock.Now()
	p.mu.Lock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.idleSince) < c.maxIdle && c.http.Err() == nil {
			p.mu.Unlock()
			return c, nil
		}
		p.open--
		c.http.Close()
	}
	p.mu.Unlock()
	return p.connect(ctx)
}

// reserve makes room for one more connection and reports whether there is any. At the limit
// it closes an idle connection, as a check has to open a new one.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.max > 0 && p.open >= p.max {
		if len(p.idle) == 0 {
			return false
		}
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		oldest.http.Close()
	}
	p.open++
	return true
}

// connect opens a connection, unless the limit is reached.
func (p *Pool) connect(ctx context.Context) (*conn, error) {
	if !p.reserve() {
		return nil, fmt.Errorf("%w: limit of %d connections to %s reached", ErrNotSent, p.max, p.addr)
	}
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	var sock *trackedConn
	hc, err := transport.NewClientConn(context.WithValue(dialCtx, socketKey{}, &sock), "http", p.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %w: %v", ErrNotSent, ErrRefused, err)
		}
		return nil, fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	trace := &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			sock.head.receivedInformational(sock.Conn)
			return sock.request.receivedInformational(h)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { sock.request.wrote(info.Err) },
	}
	return &conn{pool: p, http: hc, sock: sock, trace: trace, maxIdle: defaultIdleTime}, nil
}

// putIdle keeps a connection for the next request, or closes the connection if it
// has failed or the pool is closed.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.http.Err() != nil {
		p.open--
		c.http.Close()
		return
	}
	p.idle = append(p.idle, c)
}

func (c *conn) close() {
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
	c.http.Close()
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.checkedBody.Read(p)
	switch {
	case err == io.EOF:
		b.complete.Store(true)
	case err != nil:
		err = BodyError(err)
	}
	return n, err
}

func (b *body) Close() error {
	var err error
	b.closing.Do(func() { err = b.release() })
	return err
}

// release returns the connection to its pool, or closes it.
func (b *body) release() error {
	if !b.complete.Load() || b.last { // net/http notices only later that it was the last
		b.discard()
		return nil
	}
	b.endWatch()
	err := b.ReadCloser.Close()
	b.poolConn.pool.putIdle(b.poolConn)
	return err
}

// discard closes the connection.
func (b *body) discard() {
	b.endWatch()
	b.poolConn.close()
}

// maxIdleTimeOf returns how long a connection may stay idle, from the Keep-Alive
// header of its last response.
func maxIdleTimeOf(h http.Header) time.Duration {
	for f := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout=")
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(v); err == nil && s >= 0 {
			return min(max(time.Duration(s)*time.Second-idleMargin, 0), maxIdleTime)
		}
	}
	return defaultIdleTime
}
