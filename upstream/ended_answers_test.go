package upstream

import (
	"bytes"
	"context"
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
	_, resp, err := askPool(t, n, answer)
	return resp, err
}

// askPool is like ask, and returns the pool as well.
func askPool(t *testing.T, n int, answer func(c *net.TCPConn, req *http.Request)) (*Pool, *http.Response, error) {
	t.Helper()
	s, err := loopback.ServeRaw(answer)
	require.NoError(t, err)
	t.Cleanup(func() { s.Close() })
	p := NewPool(s.Addr(), 0)
	t.Cleanup(p.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.Addr()+"/", bytes.NewReader(make([]byte, n)))
	require.NoError(t, err)
	resp, err := p.Do(req, Hooks{})
	return p, resp, err
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

// Guards against a cut answer that looks whole, or whose connection is kept, in each form of answers and
// each way in which a connection ends.
func TestCutAnswers(t *testing.T) {
	type cutFrame struct{ Name, Answer string }
	ends := []loopback.ConnEnd{loopback.EndResetAtOnce, loopback.EndReset, loopback.EndResetLate, loopback.EndResetPart, loopback.EndResetSlow, loopback.EndCloseSlow, loopback.EndUnread}
	for _, tt := range cases.Load[cutFrame](t, "testdata/cut_frames.yaml") {
		for _, end := range ends {
			t.Run(tt.Name+", "+string(end), func(t *testing.T) {
				t.Parallel()
				p, resp, err := askPool(t, loopback.LongRequestBytes, func(c *net.TCPConn, req *http.Request) {
					io.WriteString(c, tt.Answer)
					end.End(c, req)
				})
				var got []byte
				if err == nil {
					got, err = io.ReadAll(resp.Body)
					resp.Body.Close()
				}
				assert.Error(t, err, "looks whole: %q", got)
				assert.Zero(t, p.Open(), "connection is kept")
			})
		}
	}
}

// Guards against the end of an answer that waits for its request for ever, or that counts as whole,
// once this process has given the request up.
func TestAnswerEndedByUs(t *testing.T) {
	ways := map[string]func(cancel context.CancelFunc, resp *http.Response){
		"closed":    func(_ context.CancelFunc, resp *http.Response) { resp.Body.Close() },
		"cancelled": func(cancel context.CancelFunc, _ *http.Response) { cancel() },
	}
	for name, giveUp := range ways {
		t.Run(name, func(t *testing.T) {
			s, err := loopback.ServeRaw(func(c *net.TCPConn, req *http.Request) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", endedAnswer)
				c.CloseWrite()
				loopback.EndSilent.End(c, req)
			})
			require.NoError(t, err)
			defer s.Close()
			p := NewPool(s.Addr(), 0)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+"/", bytes.NewReader(make([]byte, loopback.LongRequestBytes)))
			require.NoError(t, err)
			resp, err := p.Do(req, Hooks{})
			require.NoError(t, err)
			time.AfterFunc(50*time.Millisecond, func() { giveUp(cancel, resp) })
			asked := time.Now()
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			assert.Error(t, err)
			assert.Less(t, time.Since(asked), unacknowledgedTimeout/2)
			assert.Zero(t, p.Open())
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
