package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against work for each target that grows with the number of targets when an
// instance reads the whole table.
func TestAddingTargetsIsLinear(t *testing.T) {
	const small, large, maxGrowth = 1000, 12000, 4
	timePerTarget := func(n int) time.Duration {
		best := time.Duration(0)
		for range 3 {
			var r Registry
			start := time.Now()
			for i := range n {
				r.Put(newStartedTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), 100), 0)
			}
			if took := time.Since(start) / time.Duration(n); best == 0 || took < best {
				best = took
			}
		}
		return best
	}
	few, many := timePerTarget(small), timePerTarget(large)
	assert.Less(t, many, maxGrowth*few, "%v for each of %d targets, %v for each of %d", many, large, few, small)
}
