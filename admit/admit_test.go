package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

type hopelessCase struct {
	Name            string
	Left            time.Duration
	Prompt, Backlog int
	After           int64
	Hopeless        bool
	Likely          time.Duration // 0: not checked
}

func TestHopeless(t *testing.T) {
	for _, tt := range cases.Load[hopelessCase](t, "testdata/hopeless.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			s := Stream{Left: tt.Left, Prompt: tt.Prompt, Backlog: tt.Backlog, Output: 1800, Stride: 10, After: tt.After}
			if tt.Likely > 0 {
				assert.Equal(t, tt.Likely, s.Likely())
			}
			assert.Equal(t, tt.Hopeless, s.Hopeless(), "needs %v of %v", s.Needs(), tt.Left)
		})
	}
}
