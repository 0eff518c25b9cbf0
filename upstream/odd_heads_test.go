package upstream

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// Guards against a head that is accepted although the name of a field holds a blank or a control
// byte: the field was passed on, or a body of another length.
func TestOddFieldNames(t *testing.T) { checkHeads(t, "testdata/odd_heads.yaml") }

// Guards against an answer with an invalid status.
func TestOddStatuses(t *testing.T) { checkHeads(t, "testdata/odd_statuses.yaml") }

// Guards against the chunks of an answer of HTTP/1.0, which has none, that are passed on as its body.
func TestOddEncodings(t *testing.T) { checkHeads(t, "testdata/odd_encodings.yaml") }

// checkHeads asks a target for each answer of a file, and checks which the pool accepts.
func checkHeads(t *testing.T, file string) {
	type answerHead struct {
		Name, Head, Body string
		Accepted         bool
	}
	for _, tt := range cases.Load[answerHead](t, file) {
		t.Run(tt.Name, func(t *testing.T) {
			body := cmp.Or(tt.Body, "answer")
			resp, err := ask(t, 0, func(c *net.TCPConn, _ *http.Request) { fmt.Fprintf(c, "%s\r\n\r\n%s", tt.Head, body) })
			if !tt.Accepted {
				assert.ErrorIs(t, err, ErrSent)
				return
			}
			require.NoError(t, err)
			defer resp.Body.Close()
			got, err := io.ReadAll(resp.Body)
			assert.NoError(t, err)
			assert.Equal(t, body, string(got))
			assert.Equal(t, "sound", resp.Header.Get("X-Sound"))
		})
	}
}

// Guards against an answer that counts as whole although its trailers are invalid.
func TestOddTrailers(t *testing.T) {
	type trailers struct {
		Name, Lines string
		Accepted    bool
	}
	for _, tt := range cases.Load[trailers](t, "testdata/odd_trailers.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			p, resp, err := askPool(t, 0, func(c *net.TCPConn, _ *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n%s\r\n", tt.Lines)
				c.Read(make([]byte, 1)) // until the connection is closed
			})
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if tt.Accepted {
				assert.NoError(t, err)
				return
			}
			assert.Error(t, err)
			assert.Zero(t, p.Open(), "connection is kept")
		})
	}
}
