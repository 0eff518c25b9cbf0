package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

type hopelessCase struct {
	Name            string
	Remaining       time.Duration
	Prompt, Backlog int
	After           int64
	Hopeless        bool
	Expected        time.Duration // 0: not checked
}

// testPace describes engines that prefill 8 tokens per ms and take 27 ms per
// event of 10 tokens, 30 ms beside other streams. Short answers have 990 of
// 1,800 tokens, usual ones 1,350.
var testPace = pace.Pace{Gap: 27 * time.Millisecond, Ratio: 1.0 / (8 * 27), Whole: 30 * time.Millisecond, ShortAnswer: 0.55, Length: 0.75}

// Guards against rejecting streams without estimates of the engines' speed.
func TestNoEstimates(t *testing.T) {
	s := Stream{Left: time.Millisecond, Prompt: 8000, Backlog: 90000, Output: 1800, Stride: 10}
	assert.False(t, s.Hopeless())
	assert.Zero(t, s.Likely())
}

func TestHopeless(t *testing.T) {
	for _, tt := range cases.Load[hopelessCase](t, "testdata/hopeless.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			s := Stream{Pace: testPace, Left: tt.Remaining, Prompt: tt.Prompt, Backlog: tt.Backlog, Output: 1800, Stride: 10, After: tt.After}
			if tt.Expected > 0 {
				assert.InDelta(t, tt.Expected, s.Likely(), float64(time.Millisecond))
			}
			assert.Equal(t, tt.Hopeless, s.Hopeless(), "needs %v of %v", s.MinDuration(), tt.Remaining)
		})
	}
}
