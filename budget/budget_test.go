package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

var testLimit = Limit{Ratio: 0.8, Extra: 150, Span: 10 * time.Second}

func at(s float64) clock.Time {
	return clock.Time(100*time.Second) + clock.Time(s*float64(time.Second))
}

type budgetCase struct {
	Name  string
	Steps []struct {
		Calls, Spend, Granted int
		At                    float64
	}
}

func TestBudget(t *testing.T) {
	for _, tt := range cases.Load[budgetCase](t, "testdata/budget.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			b := New(testLimit)
			for i, s := range tt.Steps {
				for range s.Calls {
					b.Called("svc", at(s.At))
				}
				granted := 0
				for range s.Spend {
					if b.Spend("svc", at(s.At)) {
						granted++
					}
				}
				assert.Equal(t, s.Granted, granted, "step %d", i)
			}
		})
	}
}

// Many entries under a storm of failures: in no window of the operator's
// length do their repeats together pass the limit for their calls together.
func TestEntriesTogether(t *testing.T) {
	const entries, ticks, tick = 22, 600, 100 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	var bs []*Budget
	for range entries {
		bs = append(bs, New(testLimit))
	}
	calls, repeats := make([]int, ticks), make([]int, ticks)
	for i := range ticks {
		now := at(float64(i) * tick.Seconds())
		for _, b := range bs {
			for range rng.IntN(3) {
				calls[i]++
				b.Called("svc", now)
				for range 4 { // every call fails, again and again
					if b.Spend("svc", now) {
						repeats[i]++
					}
				}
			}
		}
	}
	window := int(testLimit.Span / tick)
	for i := window; i <= ticks; i++ {
		c, r := 0, 0
		for j := i - window; j < i; j++ {
			c, r = c+calls[j], r+repeats[j]
		}
		require.LessOrEqual(t, float64(r), testLimit.Ratio*float64(c)+testLimit.Extra, "window ending at tick %d", i)
	}
}
