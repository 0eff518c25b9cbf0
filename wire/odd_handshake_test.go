package wire

import (
	"context"
	"crypto/sha1"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// handshakeID is appended to the key of a handshake (RFC 6455, section 1.3).
const handshakeID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Guards against a peer whose handshake is accepted though its head is invalid.
func TestOddHandshake(t *testing.T) {
	type handshake struct {
		Name, Status, Line string
		Accepted           bool
	}
	for _, tt := range cases.Load[handshake](t, "testdata/odd_handshakes.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			ended := make(chan struct{})
			s, err := loopback.ServeRaw(func(c *net.TCPConn, req *http.Request) {
				key := sha1.Sum([]byte(req.Header.Get("Sec-WebSocket-Key") + handshakeID))
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: %s\r\n%s\r\n\r\n", tt.Status, base64.StdEncoding.EncodeToString(key[:]), tt.Line)
				c.Read(make([]byte, 1))
				close(ended)
			})
			require.NoError(t, err)
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			c, err := DialView(ctx, s.Addr())
			if err == nil {
				defer c.CloseNow()
			}
			if tt.Accepted {
				assert.NoError(t, err)
				return
			}
			assert.ErrorIs(t, err, ErrClosed)
			select {
			case <-ended:
			case <-time.After(time.Second):
				assert.Fail(t, "connection is open")
			}
		})
	}
}
