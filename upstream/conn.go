package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
)

type (
	// trackedConn counts the written bytes that the kernel accepted, bounds the heads that are
	// read, and records what becomes of the request.
	trackedConn struct {
		net.Conn
		mu      sync.Mutex // held during a write
		written int64      // bytes
		head    headGuard
		request requestState
	}

	// socketKey is the context key of the **trackedConn in which dial stores the
	// new connection.
	socketKey struct{}
)

// dial opens a connection and stores it where the socketKey value of ctx points.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Control: DialControl}
	nc, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc}
	if p, ok := ctx.Value(socketKey{}).(**trackedConn); ok {
		*p = c
	}
	return c, nil
}

func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	c.request.fail(err)
	return n, err
}

// Close closes the connection. That ends the writing of the request, and a wait for it in end.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.request.wrote(net.ErrClosed)
	return err
}

// bytesWritten returns how many bytes the kernel accepted. A write in progress ends
// first, so that the count is final once the connection is closed.
func (c *trackedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// Read reads within the bounds of a head, while one is read. It returns io.EOF at the end of an
// answer without a length only if the answer may be whole (see CheckEnd).
func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		limit, err := c.head.allowed(len(b))
		if err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b[:limit])
		c.head.received(c.Conn, n)
		c.request.read(b[:n])
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			if err = c.head.expired(c.Conn, err); err == nil {
				continue
			}
		}
		if err == io.EOF {
			err = c.end()
		}
		return n, err
	}
}

// end returns what a read returns at the end of the connection: io.EOF, or an error if that is also
// the end of an answer which is not known to be whole, as far as the connection knows (see CheckEnd). A
// target may end its answer before it has read the request, so end waits until the request is
// written, at the longest until the connection is closed.
func (c *trackedConn) end() error {
	if !c.request.awaitWriteEnd() {
		return io.EOF
	}
	c.mu.Lock() // the last part of the request may be in a write that goes on
	defer c.mu.Unlock()
	if err := c.request.failed(); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	return io.EOF
}
