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

// Guards against a head that is taken for one although the name of a field holds a blank or a
// control byte: the field was passed on, or a body of another length.
func TestOddFieldNames(t *testing.T) { checkHeads(t, "testdata/odd_heads.yaml") }

// Guards against an answer whose status is none.
func TestOddStatuses(t *testing.T) { checkHeads(t, "testdata/odd_statuses.yaml") }

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
