package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

// What a target's answers have asked for outlives its registration, which may expire and
// return while the store is unavailable: guards against calls beyond its rate limit, and in
// its backoff, after that. Another boot, or one at another address, has asked for nothing.
func TestRequestsOfTargetOutliveRegistration(t *testing.T) {
	tests := []struct {
		name, id, address string
		started           int64
		want              bool
	}{
		{"the same boot", "a", "127.0.0.1:1", 0, true},
		{"another address", "a", "127.0.0.1:2", 0, false},
		{"another boot", "a", "127.0.0.1:1", 900, false},
		{"another target", "b", "127.0.0.1:1", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r Registry
			put := func(id, address string, started int64) *Member {
				r.Put(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: id, Service: "s", Address: address, Zone: "z", Slots: 8, Started: started}), 0)
				return r.ByID(id)
			}
			now := clock.Now()
			m := put("a", "127.0.0.1:1", 0)
			require.NotNil(t, m)
			m.ObserveRateLimit(ratelimit.Answer{Statement: ratelimit.Statement{Kind: ratelimit.Named, Rate: 2}, SentAt: now, ReceivedAt: now})
			m.Backoff().Observe(backoff.Answer{Statement: backoff.Statement{Kind: backoff.Asked, Time: time.Minute}, SentAt: now, ReceivedAt: now})
			require.True(t, m.RateLimit().Active() && m.Backoff().Active(now))
			r.Unregister("a", now, now)
			require.Nil(t, r.ByID("a"))
			m = put(tt.id, tt.address, tt.started)
			require.NotNil(t, m)
			assert.Equal(t, tt.want, m.RateLimit().Active(), "rate limit")
			assert.Equal(t, tt.want, m.Backoff().Active(now), "backoff")
			assert.Equal(t, tt.want, len(r.Limited()) > 0)
		})
	}
}
