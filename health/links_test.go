package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
)

// Guards against noticing a lossy link late, and against taking a recovered link or
// the link to another zone for lossy.
func TestLinks(t *testing.T) {
	now := clock.Time(time.Minute)
	var l Links
	assert.Zero(t, l.Loss("a", now))
	assert.True(t, l.Stalled("a", now), "the first stall makes the link lossy")
	assert.InDelta(t, 0.67, l.Loss("a", now), 0.01)
	now = now.Add(300 * time.Millisecond)
	assert.False(t, l.Stalled("a", now), "the link is lossy already")
	assert.Equal(t, 1.0, l.Loss("a", now))
	assert.Zero(t, l.Loss("b", now))
	assert.Less(t, l.Loss("a", now.Add(10*time.Second)), 0.1)
	assert.True(t, l.Stalled("a", now.Add(10*time.Second)), "the link had recovered")
}
