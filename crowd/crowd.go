// Package crowd emulates clients that keep to no agreement with the server: they send requests
// that they never finish, requests that are larger than allowed or costly to hold, and they do
// not read the answers. It tests what such clients can make a server hold.
//
// A client speaks HTTP/1.1 through net/http's encoder of requests, and decides only when the
// bytes are sent and how many of them.
package crowd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
)

const (
	// dialTimeout bounds opening a connection, as a server that holds too many accepts none.
	dialTimeout = 2 * time.Second
	// stallTimeout is how long a client waits for a server that accepts no bytes.
	stallTimeout = time.Second
	// reconnectPause is the time between two connections of a client.
	reconnectPause = 20 * time.Millisecond
	// defaultConnections is how many connections a client opens, one after the other.
	defaultConnections = 4
)

// ErrNotLoopback means that a crowd's server is not on this machine.
var ErrNotLoopback = errors.New("crowd: server is not at a loopback address")

type (
	// Crowd is a number of clients of one kind.
	Crowd struct {
		Kind        Kind
		Clients     int
		Connections int // that each client opens, as the server closes them; 0: defaultConnections
		// Unfinished means that no client finishes a request, so that none is run. It has no
		// effect on SentAhead and SlowReaders.
		Unfinished bool
		// Returning means that a client with an unfinished body notices that the server has
		// closed its connection, and opens the next one.
		Returning bool
		Server    Server
	}

	// Server is what a crowd is sent to, and what the server allows.
	Server struct {
		Addr      string // host:port, on loopback
		Host      string // of the requests; empty: Addr
		Method    string // empty: POST
		Path      string
		Header    http.Header // of each request
		IDHeader  string      // header with a new id for each request; empty: none
		HeadBytes int         // limit of a request's head
		BodyBytes int         // limit of a request's body
		Body      Text
	}

	// Text is how a body begins and ends. Between them it is filled to its size.
	Text struct{ Start, End string }

	// Run is a crowd at work. Create it with Start.
	Run struct {
		clients *pool.Pool
		stop    func()         // closes all connections and waits for the clients
		settled sync.WaitGroup // clients that have not yet done all that they do
		opened  atomic.Int64   // connections
		closed  atomic.Int64   // connections that the server has closed
		serial  atomic.Int64   // of request ids
	}

	// client is one client with its current connection.
	client struct {
		run    *Run
		kind   Kind
		server Server
		index  int
		// finishes is set if the client finishes its requests.
		finishes  bool
		returning bool
		settle    func()
	}
)

// Start starts the clients. They run until the Run is stopped or ctx ends.
func (c Crowd) Start(ctx context.Context) (*Run, error) {
	if err := checkLoopback(c.Server.Addr); err != nil {
		return nil, err
	}
	if kinds[c.Kind] == nil {
		return nil, fmt.Errorf("crowd: unknown kind %q", c.Kind)
	}
	if _, err := c.Server.newRequest(); err != nil {
		return nil, fmt.Errorf("crowd: %w", err)
	}
	connections := c.Connections
	if connections == 0 {
		connections = defaultConnections
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Run{clients: pool.New()}
	r.stop = sync.OnceFunc(func() {
		cancel()
		r.clients.Wait()
	})
	for i := range c.Clients {
		r.settled.Add(1)
		cl := &client{run: r, kind: c.Kind, server: c.Server, index: i, finishes: !c.Unfinished && i%finishingShare == 0, returning: c.Returning, settle: sync.OnceFunc(r.settled.Done)}
		r.clients.Go(func() { cl.connectRepeatedly(ctx, connections) })
	}
	return r, nil
}

// AwaitSettled waits until each client has sent all that it sends, or has used up its
// connections. Clients then hold the connections that are left.
func (r *Run) AwaitSettled() { r.settled.Wait() }

// Stop closes all connections and waits for the clients to end.
func (r *Run) Stop() { r.stop() }

// Opened returns the number of connections that were opened.
func (r *Run) Opened() int { return int(r.opened.Load()) }

// Closed returns the number of connections that the server has closed.
func (r *Run) Closed() int { return int(r.closed.Load()) }

func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("crowd: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%w: %s", ErrNotLoopback, addr)
	}
	return nil
}

// connectRepeatedly opens connections one after the other, and behaves on each as the kind
// says until the server closes it.
func (c *client) connectRepeatedly(ctx context.Context, connections int) {
	defer c.settle()
	for range connections {
		if ctx.Err() != nil {
			return
		}
		if err := c.connect(ctx); err == nil && ctx.Err() == nil {
			c.run.closed.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectPause):
		}
	}
}

// connect opens one connection and returns when the server has closed it, or ctx ends.
func (c *client) connect(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.server.Addr)
	if err != nil {
		return err
	}
	c.run.opened.Add(1)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	kinds[c.kind](ctx, c, conn)
	return nil
}

// newRequest returns a request without a body.
func (s Server) newRequest() (*http.Request, error) {
	method := s.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+s.Addr+s.Path, nil)
	if err != nil {
		return nil, err
	}
	if s.Host != "" {
		req.Host = s.Host
	}
	for k, v := range s.Header {
		req.Header[k] = v
	}
	return req, nil
}

// newRequest returns a request with a body of the given length; -1: in chunks.
func (c *client) newRequest(length int64) *http.Request {
	req, err := c.server.newRequest()
	if err != nil {
		panic(err) // Start has made the same request
	}
	if c.server.IDHeader != "" {
		req.Header.Set(c.server.IDHeader, fmt.Sprintf("crowd-%d-%d", c.index, c.run.serial.Add(1)))
	}
	req.ContentLength = length
	return req
}
