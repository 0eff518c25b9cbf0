package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

type (
	// limitCase is a case of testdata/observe.yaml.
	limitCase struct {
		Name    string
		Answers []answerCase
	}

	answerCase struct {
		SentMs     int      `yaml:"sentMs"`
		ReceivedMs int      `yaml:"receivedMs"`
		Names      *float64 // requests a second; absent: none
		Unreadable bool
		Failed     bool
		Limit      *float64 // in force afterwards; absent: none
	}
)

// Guards against a limit that ends by an answer that is older than the limit, by a failure
// or by an unreadable header, and against one that never ends.
func TestObserve(t *testing.T) {
	for _, tt := range cases.Load[limitCase](t, "testdata/observe.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			var l Limit
			for i, a := range tt.Answers {
				l.Observe(Answer{Statement: a.statement(), Successful: !a.Failed, SentAt: atMs(a.SentMs), ReceivedAt: atMs(a.ReceivedMs)})
				rate, ok := l.Rate()
				assert.Equal(t, a.Limit != nil, ok, "answer %d", i)
				if a.Limit != nil {
					assert.Equal(t, *a.Limit, rate, "answer %d", i)
				}
			}
		})
	}
}

func (a answerCase) statement() Statement {
	switch {
	case a.Unreadable:
		return Statement{Kind: Unreadable}
	case a.Names != nil:
		return Statement{Kind: Named, Rate: *a.Names}
	}
	return Statement{}
}

func atMs(ms int) clock.Time { return clock.Time(time.Hour).Add(time.Duration(ms) * time.Millisecond) }
