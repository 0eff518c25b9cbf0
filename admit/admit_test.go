package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/pace"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

type deadlineCase struct {
	Name            string
	Remaining       time.Duration
	Prompt, Backlog int
	Offset          int64
	Misses          bool
	Expected        time.Duration // 0: not checked
}

// testPace describes engines that prefill 8 tokens per ms and take 27 ms per
// event of 10 tokens, 30 ms beside other streams. Short answers have 990 of
// 1,800 tokens, usual ones 1,350.
var testPace = pace.Pace{EventInterval: 27 * time.Millisecond, PrefillRatio: 1.0 / (8 * 27), LoadedInterval: 30 * time.Millisecond, ShortAnswer: 0.55, UsualAnswer: 0.75}

// Guards against rejecting streams without estimates of the engines' speed.
func TestNoEstimates(t *testing.T) {
	s := Stream{Remaining: time.Millisecond, Prompt: 8000, Backlog: 90000, MaxTokens: 1800, TokensPerEvent: 10}
	assert.False(t, s.MissesDeadline())
	assert.Zero(t, s.ExpectedDuration())
}

func TestMissesDeadline(t *testing.T) {
	for _, tt := range cases.Load[deadlineCase](t, "testdata/deadline.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			s := Stream{Pace: testPace, Remaining: tt.Remaining, Prompt: tt.Prompt, Backlog: tt.Backlog, MaxTokens: 1800, TokensPerEvent: 10, ResumeOffset: tt.Offset}
			if tt.Expected > 0 {
				assert.InDelta(t, tt.Expected, s.ExpectedDuration(), float64(time.Millisecond))
			}
			assert.Equal(t, tt.Misses, s.MissesDeadline(), "needs %v of %v", s.MinDuration(), tt.Remaining)
		})
	}
}
