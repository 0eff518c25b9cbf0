package loopback

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// closeTimeout bounds how long a link takes to pass the end of a connection on.
const closeTimeout = 200 * time.Millisecond

// startStreamLink starts a server behind a link that sends without end on each connection. The
// channel has a value for each connection whose client the server has seen leave.
func startStreamLink(t *testing.T) (l *Link, addr string, seen <-chan error) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go sendEndlessly(c)
			go func() {
				_, err := c.Read(make([]byte, 1))
				ended <- err
				c.Close()
			}()
		}
	}()
	port, err := FreePort()
	require.NoError(t, err)
	addr = fmt.Sprint("127.0.0.1:", port)
	l, err = NewLink(addr, server.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Abort()
		server.Close()
	})
	return l, addr, ended
}

func sendEndlessly(c net.Conn) {
	for {
		if _, err := c.Write([]byte("event")); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against a link that keeps a connection to the server after its client has left: the
// server would work on for nobody, and count as a second one at work on the stream. Only a fault
// that holds the requests back holds the end back, until the fault is over.
func TestLinkPassesCloseOn(t *testing.T) {
	tests := map[string]struct {
		fault  string
		unread bool // the client leaves with bytes unread, which resets the connection
		held   bool
	}{
		"no fault":                  {"", false, false},
		"no fault, bytes unread":    {"", true, false},
		"responses held":            {BlockResponses, false, false},
		"responses held and unread": {BlockResponses, true, false},
		"requests held":             {BlockRequests, false, true},
		"both held, bytes unread":   {BlockBoth, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, addr, seen := startStreamLink(t)
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			_, err = c.Read(make([]byte, 1))
			require.NoError(t, err)
			if tt.unread {
				time.Sleep(blockedWait)
			}
			l.SetFault(tt.fault, 0)
			if !tt.unread {
				drain(c)
			}
			require.NoError(t, c.Close())
			if tt.held {
				assertNoEnd(t, seen)
				l.ClearFault()
			}
			assertEnd(t, seen)
		})
	}
}

// drain reads what has arrived.
func drain(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(blockedWait))
	for {
		if _, err := c.Read(make([]byte, bufferBytes)); err != nil {
			return
		}
	}
}

func assertEnd(t *testing.T, seen <-chan error) {
	select {
	case err := <-seen:
		assert.Error(t, err)
	case <-time.After(closeTimeout):
		assert.Fail(t, "the server has not seen the client leave")
	}
}

func assertNoEnd(t *testing.T, seen <-chan error) {
	select {
	case <-seen:
		assert.Fail(t, "the end has passed a link that holds requests back")
	case <-time.After(blockedWait):
	}
}
