package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An instance that was itself suspended must not count its targets as silent.
func TestTimerOverran(t *testing.T) {
	for _, tt := range []struct {
		planned, actual time.Duration
		want            bool
	}{
		{300 * time.Millisecond, 301 * time.Millisecond, false},
		{50 * time.Millisecond, 250 * time.Millisecond, false}, // within the delay of a busy machine
		{300 * time.Millisecond, 4300 * time.Millisecond, true},
		{50 * time.Millisecond, 800 * time.Millisecond, true},
	} {
		assert.Equal(t, tt.want, timerOverran(tt.planned, tt.actual), "%v after %v", tt.actual, tt.planned)
	}
}
