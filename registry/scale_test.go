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
	const added, large, maxGrowth = 1000, 12000, 4
	// The time is that of the last targets added, a stretch of the same length for both, since
	// a long one is interrupted by other processes more often.
	timePerTarget := func(n int) time.Duration {
		best := time.Duration(0)
		for range 10 {
			var r Registry
			var start time.Time
			for i := range n {
				if i == n-added {
					start = time.Now()
				}
				r.Put(newStartedTarget(fmt.Sprint("t", i), fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255), 100), 0)
			}
			if took := time.Since(start) / added; best == 0 || took < best {
				best = took
			}
		}
		return best
	}
	few, many := timePerTarget(added), timePerTarget(large)
	assert.Less(t, many, maxGrowth*few, "%v for each of the last of %d targets, %v for each of %d", many, large, few, added)
}
