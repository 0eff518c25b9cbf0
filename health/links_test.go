package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

// Two stalls within a second make a way sure to lose packets; some seconds
// without one clear it. Other ways are not touched.
func TestLinks(t *testing.T) {
	now := clock.Time(time.Minute)
	var l Links
	assert.Zero(t, l.Loss("a", now))
	assert.True(t, l.Stalled("a", now), "one stall is more likely than not a lost packet")
	assert.InDelta(t, 0.67, l.Loss("a", now), 0.01)
	now = now.Add(300 * time.Millisecond)
	assert.False(t, l.Stalled("a", now), "known already")
	assert.Equal(t, 1.0, l.Loss("a", now))
	assert.Zero(t, l.Loss("b", now))
	assert.Less(t, l.Loss("a", now.Add(10*time.Second)), 0.1)
	assert.True(t, l.Stalled("a", now.Add(10*time.Second)), "it begins anew")
}
