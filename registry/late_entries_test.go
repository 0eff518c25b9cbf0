package registry

import (
	"cmp"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// lapseGrace is how long a target counts whose removal is doubted.
const lapseGrace = 2 * time.Second

type (
	// lateEntryCase is a case of testdata/late_entries.yaml.
	lateEntryCase struct {
		Name    string
		Steps   []lateEntryStep
		Calls   []string // ids of the targets that accept calls
		Address string   // of the only one of them; empty: any
	}

	lateEntryStep struct {
		Put, Remove, Lapse string // id of the target
		Wait               int    // s
		Read               bool   // the entry was written since the one before was read
		Unavailable        bool   // the store is unavailable
		Address            string
		Started, Sequence  int64
		Draining           bool
	}
)

func (s lateEntryStep) entry() ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: s.Put, Service: "desk", Address: cmp.Or(s.Address, "10.0.0.1:80"),
		Started: s.Started, Sequence: s.Sequence, Draining: s.Draining})
}

// Guards against calls to a target that has left, whose entry the store writes once more
// after its removal, and against a longer wait of targets that live.
func TestLateEntryAfterRemoval(t *testing.T) {
	for _, tt := range cases.Load[lateEntryCase](t, "testdata/late_entries.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r Registry
				var readAt clock.Time
				for _, s := range tt.Steps {
					now := clock.Now()
					switch {
					case s.Put != "" && s.Read:
						r.PutWritten(s.entry(), 0, readAt)
						readAt = now
					case s.Put != "":
						r.Put(s.entry(), 0)
					case s.Remove != "":
						r.Unregister(s.Remove, now, now)
					case s.Lapse != "":
						r.Unregister(s.Lapse, now, now.Add(lapseGrace))
					case s.Unavailable:
						r.RecordUnavailable(now)
					default:
						time.Sleep(time.Duration(s.Wait) * time.Second)
					}
					r.Expire(clock.Now())
				}
				var accepting []string
				for _, m := range r.Service("desk") {
					if m.AcceptsCalls(clock.Now()) {
						accepting = append(accepting, m.Target().ID())
					}
				}
				require.Equal(t, tt.Calls, accepting)
				if tt.Address != "" {
					assert.Equal(t, tt.Address, r.ByID(accepting[0]).Conns().Addr())
				}
			})
		})
	}
}
