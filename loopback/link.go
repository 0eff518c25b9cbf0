package loopback

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Faults of a link.
const (
	Delay          = "delay"   // each read is forwarded after a delay
	Reset          = "reset"   // open and new connections are reset
	BlockRequests  = "cutTo"   // bytes to the server are held until the fault ends
	BlockResponses = "cutBack" // bytes to the client are held until the fault ends
	BlockBoth      = "silence" // bytes in both directions are held
	LoseRequests   = "loseTo"  // parts of the bytes to the server are held for a delay, as packets sent again
	LoseResponses  = "loseBack"
)

// A Link is a TCP proxy between two loopback addresses that injects network
// faults. Create it with NewLink.
type Link struct {
	serverAddr string
	ln         net.Listener
	// onServerEnd is called when the server has ended or refused a connection, before the
	// client sees it.
	onServerEnd func()

	mu           sync.Mutex
	fault        string        // empty: none
	delay        time.Duration // of a Delay fault
	faultChanged chan struct{} // closed and replaced when the fault changes
	connections  map[*connection]bool
}

// direction holds the faults that hold back all bytes of a direction, and parts of them.
type direction struct{ blocking, losing string }

var (
	requests  = direction{BlockRequests, LoseRequests}
	responses = direction{BlockResponses, LoseResponses}
)

// connection is one proxied connection.
type connection struct{ client, server *net.TCPConn }

const (
	bufferBytes = 32 << 10
	dialTimeout = time.Second
	lossOdds    = 4 // one read in so many is lost
)

// NewLink listens on one address and forwards connections to serverAddr.
func NewLink(listen, serverAddr string) (*Link, error) {
	return NewWatchedLink(listen, serverAddr, func() {})
}

// NewWatchedLink is like NewLink and calls onServerEnd when the server has ended or refused a
// connection, before the client sees it.
func NewWatchedLink(listen, serverAddr string, onServerEnd func()) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{serverAddr: serverAddr, ln: ln, onServerEnd: onServerEnd, faultChanged: make(chan struct{}), connections: map[*connection]bool{}}
	go l.accept()
	return l, nil
}

// ServerAddr returns the address to which connections are forwarded.
func (l *Link) ServerAddr() string { return l.serverAddr }

// Close stops listening, so that new connections are refused. Open connections
// last until the client, the server or a fault ends them.
func (l *Link) Close() {
	l.ln.Close()
}

// Refused reports whether nothing listens at an address.
func Refused(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Abort stops listening and resets all connections.
func (l *Link) Abort() {
	l.Close()
	l.ClearFault()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAll()
}

// SetFault injects a fault until ClearFault is called. Only Delay and losses use delay.
func (l *Link) SetFault(fault string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault, l.delay = fault, delay
	l.notify()
	if fault == Reset {
		l.resetAll()
	}
}

// ClearFault ends the fault.
func (l *Link) ClearFault() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = ""
	l.notify()
}

// resetAll resets all connections. The caller holds l.mu.
func (l *Link) resetAll() {
	for conn := range l.connections {
		conn.reset()
	}
}

// notify wakes the goroutines in awaitFault. The caller holds l.mu.
func (l *Link) notify() {
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.relay(c.(*net.TCPConn))
	}
}

// relay forwards an accepted connection to the server.
func (l *Link) relay(client *net.TCPConn) {
	defer client.Close()
	if l.isResetting() {
		client.SetLinger(0)
		return
	}
	server, err := net.DialTimeout("tcp", l.serverAddr, dialTimeout)
	if err != nil {
		l.onServerEnd()
		client.SetLinger(0)
		return
	}
	conn := &connection{client: client, server: server.(*net.TCPConn)}
	defer conn.server.Close()
	l.mu.Lock()
	l.connections[conn] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.connections, conn)
	}()
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(conn, conn.server, conn.client, requests, responses) })
	directions.Go(func() { l.copyDirection(conn, conn.client, conn.server, responses, requests) })
	directions.Wait()
}

func (l *Link) isResetting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == Reset
}

// copyDirection forwards the bytes of the direction forth; in the direction back the
// receiver's reset travels.
func (l *Link) copyDirection(conn *connection, to, from *net.TCPConn, forth, back direction) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		if err != nil && from == conn.server {
			l.onServerEnd()
		}
		l.awaitFault(forth)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				l.awaitFault(back)
				conn.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			to.CloseWrite()
			return
		case err != nil:
			conn.reset()
			return
		}
	}
}

// awaitFault waits while a fault holds bytes back. The blocking fault and BlockBoth
// hold them until the fault changes, Delay for its delay, and the losing fault for its
// delay, or each time twice as long, while packets are lost.
func (l *Link) awaitFault(d direction) {
	retransmissions := 0
	for {
		l.mu.Lock()
		fault, delay, changed := l.fault, l.delay, l.faultChanged
		l.mu.Unlock()
		switch fault {
		case d.blocking, BlockBoth:
			<-changed
			continue
		case d.losing:
			if rand.IntN(lossOdds) != 0 {
				return
			}
			awaitOrChanged(delay<<retransmissions, changed)
			retransmissions++
			continue
		case Delay:
			awaitOrChanged(delay, changed)
		}
		return
	}
}

func awaitOrChanged(d time.Duration, changed <-chan struct{}) {
	select {
	case <-time.After(d):
	case <-changed:
	}
}

// reset closes both sides with RST, as a crash of a process does.
func (c *connection) reset() {
	c.client.SetLinger(0)
	c.server.SetLinger(0)
	c.client.Close()
	c.server.Close()
}
