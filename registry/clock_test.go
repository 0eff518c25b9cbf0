package registry

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

// heartbeat is the interval at which targets write their registrations.
const heartbeat = 1200 * time.Millisecond

func TestMain(m *testing.M) {
	clock.FollowRuntime() // synctest bubbles have their own clock
	os.Exit(m.Run())
}

// heartbeatOf returns the registration that the boot which started at a time writes as
// its sequence-th.
func heartbeatOf(started, sequence int64) ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: "a", Service: "desk", Address: "10.0.0.1:80", Started: started, Sequence: sequence})
}

// Guards against ignoring a boot for long because the target's clock was set back
// before its start.
func TestClockSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		r.Put(heartbeatOf(400_000, 9), 0)
		begun := clock.Now()
		sequence := int64(1)
		for r.Put(heartbeatOf(10_000, sequence), 0) == Ignored {
			time.Sleep(heartbeat)
			sequence++
			assert.Less(t, clock.Now().Sub(begun), maxWriteDelay+2*heartbeat)
		}
		assert.Equal(t, int64(10_000), r.ByID("a").Target().Boot().Started())
		assert.Equal(t, Known, r.Put(heartbeatOf(10_000, sequence+1), 0))
	})
}

// Guards against delayed writes of an ended boot that add it again.
func TestLateWritesDoNotRevive(t *testing.T) {
	tests := []struct {
		name           string
		sequences      []int64
		every          time.Duration
		successorAlive bool // the later boot keeps writing
	}{
		{"delayed, then all at once", []int64{4, 5, 6, 7, 8, 9}, time.Millisecond, false},
		{"while the later boot writes", []int64{4, 5, 6, 7, 8, 9, 10, 11}, heartbeat, true},
		{"the same write, read repeatedly", []int64{4, 4, 4, 4, 4, 4, 4, 4}, heartbeat, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Registry
				r.Put(heartbeatOf(10_000, 3), 0)
				r.Put(heartbeatOf(20_000, 1), 0)
				for i, s := range tt.sequences {
					assert.Equal(t, Ignored, r.Put(heartbeatOf(10_000, s), 0))
					if tt.successorAlive {
						assert.Equal(t, Known, r.Put(heartbeatOf(20_000, int64(2+i)), 0))
					}
					time.Sleep(tt.every)
				}
			})
		})
	}
}
