package downstream

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

// What clients make the process hold, in bytes.
const (
	// connBytes is for a connection: its goroutine, its buffers and what net/http keeps.
	connBytes = 16 << 10
	// callBytes is for a request that is being served: the goroutines, buffers and connection
	// that serve it, and socketBuffer bytes that the client may have sent ahead.
	callBytes = 80 << 10
	// hijackedBytes is for a connection that another protocol uses.
	hijackedBytes = 32 << 10
	// A head is kept as text, decoded, and in the copies that are changed and sent on. A field
	// takes a place in the map of each, however short it is.
	headFactor = 3
	fieldBytes = 512
)

const (
	// headSlack is what may be read past the end of a head, as net/http reads ahead.
	headSlack = 4 << 10
	// timeMargin is granted beyond the time limits on clients, for the way to them.
	timeMargin      = time.Second
	defaultHeadTime = 5 * time.Second
	defaultIdleTime = 60 * time.Second
	// drainTime is how long a client may take to send the rest of a body that nobody reads.
	drainTime = time.Second
	// stalledWrite is how long a write may take before the process counts as waiting for the
	// client.
	stalledWrite = time.Second
	// closeTime is how long a refused client has to read the answer before the connection is
	// closed, which may discard it.
	closeTime = 500 * time.Millisecond
	// refusalTimeout bounds the writing of that answer, and refusalRetryAfter is the
	// Retry-After of one for lack of memory, in seconds: another process may have memory.
	refusalTimeout    = time.Second
	refusalRetryAfter = "0.3"
)

// Stages of a connection. The process waits for the client in all of them but stageCall and
// stageHijacked.
const (
	stageNew      stage = iota // accepted, nothing received
	stageHead                  // a part of a head has been received
	stageCall                  // a request is being served
	stageBody                  // the body of a request is being read
	stageIdle                  // between two requests
	stageClosing               // the answer has been sent, and the connection is being closed
	stageHijacked              // in use by another protocol
)

type (
	stage uint8

	// conn is a connection of a client. It follows its stages by what net/http reads and
	// writes, and bounds what it holds.
	conn struct {
		net.Conn
		l     *Listener
		state connState
	}

	connState struct {
		mu         sync.Mutex
		stage      stage
		since      clock.Time // when the client began to keep the process waiting
		writeSince clock.Time // when the write in progress began; 0: none
		headBytes  int        // of the head that is being read
		headLines  int
		bodyBytes  int  // of the body, as far as it was read
		held       int  // bytes taken out of the guard's memory
		refused    bool // the head was not accepted, and the client was told
		evicted    bool
		closed     bool

		hasWriteDeadline bool // the handler has set one
	}
)

// headCost returns what a head makes the process hold.
func headCost(size, fields int) int { return headFactor*size + fieldBytes*fields }

// Read reads from the client and counts what it reads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if status := c.received(p[:n]); status != 0 {
			c.answerRefused(status)
			return 0, io.EOF
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.expired() == stageHead {
		c.answerRefused(http.StatusRequestTimeout)
	}
	return n, err
}

// received counts received bytes. It returns the status with which the request is refused; 0:
// it is not.
func (c *conn) received(b []byte) (status int) {
	s := &c.state
	s.mu.Lock()
	switch s.stage {
	case stageBody:
		s.bodyBytes += len(b)
		s.mu.Unlock()
		return 0
	case stageNew, stageIdle:
		s.stage, s.since, s.headBytes, s.headLines = stageHead, clock.Now(), 0, 0
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.headTime())) // fails if the connection is closed
	case stageHead:
	default:
		s.mu.Unlock()
		return 0
	}
	before := headCost(s.headBytes, s.headLines)
	s.headBytes += len(b)
	s.headLines += bytes.Count(b, []byte("\n"))
	extra := headCost(s.headBytes, s.headLines) - before
	size := s.headBytes
	s.mu.Unlock()
	if limit := c.l.cfg.Limits().HeaderBytes; limit > 0 && size > limit+headSlack {
		c.l.countClosed(boundHead, c.RemoteAddr())
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.hold(extra) {
		c.l.countRefused(boundMemory, c.RemoteAddr())
		return http.StatusServiceUnavailable
	}
	return 0
}

// hold takes bytes out of the guard's memory for the connection.
func (c *conn) hold(n int) bool {
	if !c.l.guard.memory.TryReserve(n) {
		return false
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.closed {
		c.l.guard.memory.Free(n)
		return false
	}
	c.state.held += n
	return true
}

// release returns all that the connection holds beyond n bytes.
func (c *conn) release(n int) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.held > n {
		c.l.guard.memory.Free(c.state.held - n)
		c.state.held = n
	}
}

// answerRefused answers a request whose head is not accepted, and ends the connection.
func (c *conn) answerRefused(status int) {
	resp := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: http.Header{}}
	if status == http.StatusServiceUnavailable {
		resp.Header.Set("Retry-After", refusalRetryAfter)
	}
	c.state.mu.Lock()
	c.state.refused = true
	c.state.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)) // fails if the connection is closed
	if resp.Write(c.Conn) != nil || c.CloseWrite() != nil {
		return // the client is gone
	}
	time.Sleep(closeTime)
}

// beginCall records that the head of a request is whole, and takes memory for serving it.
func (c *conn) beginCall(size, fields int) bool {
	c.state.mu.Lock()
	if c.state.stage != stageHead { // the head was read together with the request before
		c.state.since = clock.Now()
	}
	c.state.stage, c.state.bodyBytes = stageCall, 0
	c.state.mu.Unlock()
	c.release(connBytes)
	return c.hold(callBytes + headCost(size, fields))
}

// beginBody records that a body is being read, and endBody that it is not any more.
func (c *conn) beginBody() { c.setStage(stageBody) }
func (c *conn) endBody()   { c.setStage(stageCall) }

// beginDrain records that net/http reads the rest of a body that the handler left.
func (c *conn) beginDrain() {
	c.setStage(stageBody)
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime)) // fails if the connection is closed
}

func (c *conn) setStage(s stage) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.stage = s
}

// trackState follows the stages that net/http reports.
func trackState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch s {
	case http.StateIdle:
		c.state.mu.Lock()
		c.state.stage, c.state.since = stageIdle, clock.Now()
		c.state.mu.Unlock()
		c.release(connBytes)
	case http.StateHijacked:
		c.setStage(stageHijacked)
		c.release(hijackedBytes)
	}
}

// Write writes to the client. What net/http answers to a head that was refused is discarded.
func (c *conn) Write(p []byte) (int, error) {
	if c.isRefused() {
		return len(p), nil
	}
	if c.beginWrite() && c.l.cfg.WriteTimeout > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(c.l.cfg.WriteTimeout)) // fails if the connection is closed
	}
	defer c.endWrite()
	return c.Conn.Write(p)
}

func (c *conn) isRefused() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.state.refused
}

// beginWrite records that a write begins, and reports whether its handler set no deadline.
func (c *conn) beginWrite() bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.writeSince = clock.Now()
	return !c.state.hasWriteDeadline
}

func (c *conn) endWrite() {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.writeSince = 0
}

// SetWriteDeadline sets the deadline of writes; the zero time: each has WriteTimeout.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.state.mu.Lock()
	c.state.hasWriteDeadline = !t.IsZero()
	c.state.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of a body. Those that net/http sets for a head or between
// requests are replaced by the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.state.mu.Lock()
	s := c.state.stage
	c.state.mu.Unlock()
	switch {
	case t.IsZero():
	case s == stageNew || s == stageIdle:
		t = time.Now().Add(c.idleTime())
	case s == stageHead:
		return nil // set with the first byte of the head
	}
	return c.Conn.SetReadDeadline(t)
}

// headTime is how long a client may take for a head, and idleTime how long it may send none.
func (c *conn) headTime() time.Duration {
	return orDefault(c.l.cfg.Limits().HeaderTime, defaultHeadTime) + timeMargin
}

func (c *conn) idleTime() time.Duration {
	return orDefault(c.l.cfg.Limits().IdleTime, defaultIdleTime) + timeMargin
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d <= 0 {
		return otherwise
	}
	return d
}

// expired counts a client that took too long, and returns in which stage.
func (c *conn) expired() stage {
	c.state.mu.Lock()
	s := c.state.stage
	c.state.mu.Unlock()
	switch s {
	case stageNew, stageIdle:
		c.l.countClosed(boundIdleTime, c.RemoteAddr())
	case stageHead:
		c.l.countClosed(boundHeadTime, c.RemoteAddr())
	case stageBody:
		c.l.countClosed(boundBodyTime, c.RemoteAddr())
	}
	return s
}

// CloseWrite tells the client that no answer follows.
func (c *conn) CloseWrite() error {
	c.state.mu.Lock()
	c.state.stage, c.state.since = stageClosing, clock.Now()
	c.state.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.state.mu.Lock()
	if !c.state.closed {
		c.state.closed = true
		c.l.guard.memory.Free(c.state.held)
		c.state.held = 0
	}
	c.state.mu.Unlock()
	c.l.remove(c)
	return err
}

// waiting returns for how long the process has waited for the client, and what it holds
// meanwhile. ok is false if it does not wait, or the connection is being closed already.
func (c *conn) waiting(now clock.Time) (w waiting, ok bool) {
	s := &c.state
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.since
	switch s.stage {
	case stageHijacked:
		return waiting{}, false
	case stageCall:
		if s.writeSince == 0 || now.Sub(s.writeSince) < stalledWrite {
			return waiting{}, false
		}
		since = s.writeSince
	}
	return waiting{conn: c, waited: now.Sub(since), held: s.held + s.bodyBytes, answering: s.stage == stageCall}, !s.evicted && !s.closed
}

// evictedBytes returns what the connection still holds after it was evicted.
func (c *conn) evictedBytes() int {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if !c.state.evicted {
		return 0
	}
	return c.state.held + c.state.bodyBytes
}

// evict closes the connection because a bound was met. What it holds is free once the
// goroutines that serve it have ended.
func (c *conn) evict(b bound) {
	c.state.mu.Lock()
	done := c.state.evicted || c.state.closed
	answered := c.state.stage == stageIdle || c.state.stage == stageClosing
	c.state.evicted = true
	c.state.mu.Unlock()
	switch {
	case done:
		return
	case answered:
		_ = c.Conn.Close() // a reset could discard the answer before the client has read it
	default:
		reset(c.Conn)
	}
	c.l.forget(c)
	c.l.countClosed(b, c.RemoteAddr())
}
