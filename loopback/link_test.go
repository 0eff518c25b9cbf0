package loopback

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	echoTimeout = 2 * time.Second
	blockedWait = 50 * time.Millisecond // enough for an echo over loopback that is not held back
)

// startEchoLink starts an echo server behind a link and returns the link's address.
func startEchoLink(t *testing.T) (*Link, string) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := reserved.Addr().String()
	reserved.Close()
	l, err := NewLink(addr, server.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		l.Abort()
		server.Close()
	})
	return l, addr
}

// echoes reports whether four bytes sent on c come back within the timeout.
func echoes(t *testing.T, c net.Conn, d time.Duration) bool {
	_, err := c.Write([]byte("word"))
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(d)))
	_, err = io.ReadFull(c, make([]byte, 4))
	return err == nil
}

// dialEcho opens a connection over the link and checks that it works.
func dialEcho(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.True(t, echoes(t, c, echoTimeout))
	return c
}

// Each fault has its effect on open connections, and bytes that a fault held
// back arrive after it ends.
func TestLinkFaults(t *testing.T) {
	for _, kind := range []string{BlockRequests, BlockResponses, BlockBoth} {
		t.Run(kind, func(t *testing.T) {
			l, addr := startEchoLink(t)
			c := dialEcho(t, addr)
			l.SetFault(kind, 0)
			assert.False(t, echoes(t, c, blockedWait))
			l.ClearFault()
			require.NoError(t, c.SetReadDeadline(time.Now().Add(echoTimeout)))
			_, err := io.ReadFull(c, make([]byte, 4))
			assert.NoError(t, err, "bytes held back by the fault")
		})
	}
	t.Run(Delay, func(t *testing.T) {
		l, addr := startEchoLink(t)
		c := dialEcho(t, addr)
		l.SetFault(Delay, 100*time.Millisecond)
		startedAt := time.Now()
		assert.True(t, echoes(t, c, echoTimeout))
		assert.GreaterOrEqual(t, time.Since(startedAt), 200*time.Millisecond, "delay in both directions")
	})
	for _, kind := range []string{LoseRequests, LoseResponses} {
		t.Run(kind, func(t *testing.T) {
			l, addr := startEchoLink(t)
			c := dialEcho(t, addr)
			l.SetFault(kind, 50*time.Millisecond)
			lost := 0
			for range 40 {
				startedAt := time.Now()
				require.True(t, echoes(t, c, echoTimeout))
				if time.Since(startedAt) >= 50*time.Millisecond {
					lost++
				}
			}
			assert.Greater(t, lost, 0)
			assert.Less(t, lost, 40)
		})
	}
	t.Run(Reset, func(t *testing.T) {
		l, addr := startEchoLink(t)
		c := dialEcho(t, addr)
		l.SetFault(Reset, 0)
		assert.False(t, echoes(t, c, echoTimeout))
		l.ClearFault()
		dialEcho(t, addr)
	})
	t.Run("close", func(t *testing.T) {
		l, addr := startEchoLink(t)
		l.Close()
		_, err := net.Dial("tcp", addr)
		assert.Error(t, err)
	})
}

// Guards against a client that sees the end of a connection to a crashed server before the link
// has been closed, and then can open another.
func TestServerEnd(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		server.Close()
		c.Close()
	}()
	port, err := FreePort()
	require.NoError(t, err)
	addr := fmt.Sprint("127.0.0.1:", port)
	refused := make(chan bool, 1)
	l, err := NewWatchedLink(addr, server.Addr().String(), func() { refused <- Refused(server.Addr().String()) })
	require.NoError(t, err)
	t.Cleanup(l.Abort)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.Len(t, refused, 1, "the client saw the end of the connection first")
	assert.True(t, <-refused)
}
