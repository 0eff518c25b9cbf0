package admit

import (
	"os"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHopeless(t *testing.T) {
	b, err := os.ReadFile("testdata/hopeless.yaml")
	require.NoError(t, err)
	var cases []struct {
		Name            string
		Left            time.Duration
		Prompt, Backlog int
		After           int64
		Hopeless        bool
	}
	require.NoError(t, yaml.Unmarshal(b, &cases))
	require.NotEmpty(t, cases)
	for _, tt := range cases {
		t.Run(tt.Name, func(t *testing.T) {
			s := Stream{Left: tt.Left, Prompt: tt.Prompt, Backlog: tt.Backlog, Output: 1800, Stride: 10, After: tt.After}
			assert.Equal(t, tt.Hopeless, s.Hopeless(), "needs %v of %v", s.Needs(), tt.Left)
		})
	}
}
