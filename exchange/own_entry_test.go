package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/cachelocation"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
)

// An instance that starts again finds the entry that it wrote before, and waits for the
// table of instances no longer than it was told to.
func TestAwaitOwnEntry(t *testing.T) {
	self := Peer{Node: "n-0", Zone: "ate", Addr: "127.0.0.1:1"}
	tests := []struct {
		name    string
		written []Peer
		read    bool
		want    Peer
		wait    time.Duration
	}{
		{"the entry is there", []Peer{{Node: "n-1"}, self}, true, self, 100 * time.Millisecond},
		{"there is none", []Peer{{Node: "n-1"}}, true, Peer{}, 100 * time.Millisecond},
		{"the table can't be read", nil, false, Peer{}, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(self.Node, self.Zone, &registry.Registry{}, &cachelocation.Table{}, &poison.Tracker{}, zerolog.Nop())
				time.AfterFunc(60*time.Millisecond, func() {
					for _, p := range tt.written {
						e.UpdatePeer(p, false)
					}
					if tt.read {
						e.SetKnownAsOf(clock.Now())
					}
				})
				start := clock.Now()
				assert.Equal(t, tt.want, e.AwaitOwnEntry(t.Context(), time.Second))
				assert.Equal(t, tt.wait, clock.Now().Sub(start))
			})
		})
	}
}
