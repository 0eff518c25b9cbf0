package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

func at(s float64) clock.Time {
	return clock.Time(100*time.Second) + clock.Time(s*float64(time.Second))
}

type beliefCase struct {
	Name  string
	Steps []struct {
		At     float64
		Failed bool
		OK     int // answers
		Bad    int // answers that were failures
		Want   *struct {
			Usable bool
			Lately bool
			Errors [2]float64
		}
	}
}

func TestBelief(t *testing.T) {
	for _, tt := range cases.Load[beliefCase](t, "testdata/belief.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			var s State
			for i, step := range tt.Steps {
				now := at(step.At)
				if step.Failed {
					s.Failed(now)
				}
				for range step.OK {
					s.Answered(now, 30*time.Millisecond, false)
				}
				for range step.Bad {
					s.Answered(now, 30*time.Millisecond, true)
				}
				if w := step.Want; w != nil {
					assert.Equal(t, w.Usable, s.Usable(now), "step %d", i)
					_, lately := s.FailedLately(now)
					assert.Equal(t, w.Lately, lately, "step %d", i)
					assert.GreaterOrEqual(t, s.Errors(now), w.Errors[0], "step %d", i)
					assert.LessOrEqual(t, s.Errors(now), w.Errors[1], "step %d", i)
				}
			}
		})
	}
}

// All who wait on a target are woken by its failure, also while it is left
// alone already.
func TestLostWakesEveryTime(t *testing.T) {
	var s State
	for i := range 3 {
		lost := s.Lost()
		s.Failed(at(float64(i) / 10))
		select {
		case <-lost:
		default:
			t.Fatalf("failure %d woke nobody", i)
		}
	}
}
