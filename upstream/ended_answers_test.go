package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	endedAnswer = "answer" // the body of the answers in this file
	// endedTries is how often each answer is asked for: which call learns of a reset is up to
	// the kernel and the scheduler.
	endedTries = 5
)

// ask sends a request with a body of n bytes to a server that answers with answer.
func ask(t *testing.T, n int, answer func(c *net.TCPConn, req *http.Request)) (*http.Response, error) {
	t.Helper()
	s, err := loopback.ServeRaw(answer)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	p := NewPool(s.Addr(), 0)
	t.Cleanup(p.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr()+"/", bytes.NewReader(make([]byte, n)))
	require.NoError(t, err)
	return p.Do(req, Hooks{})
}

// Guards against a part of an answer that looks whole: its connection was lost while the request
// was being written, and the kernel told that to the write, so that the read met an end of file.
func TestAnswerBeforeRequestIsRead(t *testing.T) {
	type endedCase struct {
		Name  string
		Head  []string
		End   loopback.ConnEnd
		Whole bool
	}
	for _, tt := range cases.Load[endedCase](t, "testdata/ended_answers.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			t.Parallel()
			tries := endedTries
			if tt.End == loopback.EndSilent {
				tries = 1 // it takes unacknowledgedTimeout
			}
			for range tries {
				resp, err := ask(t, loopback.LongRequestBytes, func(c *net.TCPConn, req *http.Request) {
					fmt.Fprintf(c, "%s\r\n\r\n%s", strings.Join(tt.Head, "\r\n"), endedAnswer)
					tt.End.End(c, req)
				})
				var got []byte
				if err == nil {
					got, err = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
				if !tt.Whole {
					assert.Error(t, err, "looks whole: %q", got)
					continue
				}
				assert.NoError(t, err)
				assert.Equal(t, endedAnswer, string(got))
			}
		})
	}
}

// Guards against a look at unread bytes that takes the news of a reset from the read of the
// answer, which then meets an end of file.
func TestHasUnreadLeavesReset(t *testing.T) {
	for end, whole := range map[loopback.ConnEnd]bool{loopback.EndReset: false, loopback.EndRead: true} {
		t.Run(string(end), func(t *testing.T) {
			resp, err := ask(t, 0, func(c *net.TCPConn, req *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", endedAnswer)
				end.End(c, req)
			})
			require.NoError(t, err)
			defer resp.Body.Close()
			got := make([]byte, len(endedAnswer))
			_, err = io.ReadFull(resp.Body, got)
			require.NoError(t, err)
			require.False(t, HasUnread(resp))
			time.Sleep(time.Second / 2) // the connection ends
			require.False(t, HasUnread(resp))
			_, err = resp.Body.Read(got)
			if whole {
				assert.ErrorIs(t, err, io.EOF)
				return
			}
			assert.NotErrorIs(t, err, io.EOF)
			assert.Error(t, err)
		})
	}
}
