package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// Guards against lists that are taken for whole while others that have started at the same
// time are still missing.
func TestGrowth(t *testing.T) {
	type step struct {
		At    float64 // seconds after the start
		Size  int
		Whole bool
	}
	type growthCase struct {
		Name  string
		Steps []step
	}
	started := clock.Time(time.Hour)
	at := func(s float64) clock.Time { return started.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range cases.Load[growthCase](t, "testdata/growth.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			g := Growth{Started: started}
			for i, s := range c.Steps {
				assert.Equal(t, s.Whole, g.IsWhole(s.Size, at(s.At)), "step %d", i)
			}
		})
	}
}
