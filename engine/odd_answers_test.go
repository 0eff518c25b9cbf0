package engine

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/loopback"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// Guards against a load or a token that an agent takes from an invalid answer.
func TestOddAnswers(t *testing.T) {
	type oddAnswer struct {
		Name, Head string
		Accepted   bool
	}
	bodies := map[string]string{"/v1/load": `{"running":1}`, "/v1/completions": "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"}
	for _, tt := range cases.Load[oddAnswer](t, "testdata/odd_answers.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			s, err := loopback.ServeRaw(func(c *net.TCPConn, req *http.Request) {
				body := bodies[req.URL.Path]
				fmt.Fprintf(c, "%s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", tt.Head, len(body), body)
			})
			require.NoError(t, err)
			defer s.Close()
			c := NewClient(s.Addr())
			load, loadErr := c.Load(t.Context())
			stream, streamErr := c.Complete(t.Context(), Completion{Prompt: "p", MaxTokens: 1})
			if !tt.Accepted {
				assert.ErrorIs(t, loadErr, ErrEngine, "%+v", load)
				assert.ErrorIs(t, streamErr, ErrEngine)
				return
			}
			require.NoError(t, loadErr)
			assert.Equal(t, 1, load.Running)
			require.NoError(t, streamErr)
			defer stream.Close()
			token, err := stream.Next()
			require.NoError(t, err)
			assert.Equal(t, "a", token)
		})
	}
}
