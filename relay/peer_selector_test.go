package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

// All instances of a zone rank an instance with the fastest link first, whatever peers they
// know besides.
func TestFastLinksAreAskedFirst(t *testing.T) {
	var all []exchange.Peer
	for i := range 30 {
		rate := 20
		if i%7 == 3 {
			rate = 1000
		}
		all = append(all, exchange.Peer{Node: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Rate: rate})
	}
	for i, self := range all {
		known := append(append([]exchange.Peer{}, all[:i]...), all[i+1:]...)
		s := NewPeerSelector(self, func() []exchange.Peer { return known })
		ranked := s.ranked()
		require.Len(t, ranked, 15)
		slow := 0
		for _, p := range ranked {
			assert.Equal(t, self.Zone, p.Zone)
			if p.Rate == 20 {
				slow++
			}
			assert.False(t, p.Rate == 1000 && slow > 0, "%s comes after a slower one", p.Node)
		}
		p, asks := s.Next(clock.Now())
		assert.Equal(t, self.Node != ranked[0].Node, asks)
		if asks {
			assert.Equal(t, ranked[0], p)
		}
	}
}

// Guards against answers that take the link of the instance for longer than the bounds on
// changes allow, in zones of any size, and against reads from the store by a whole zone
// although the link could carry the answers.
func TestAnswerLimitFollowsLinkAndZone(t *testing.T) {
	const desiredStateSize = 150 << 10
	tests := []struct {
		rate, zoneSize int
		relayed        bool
	}{
		{1000, 56, true},
		{1000, 500, true},
		{1000, 1000, false},
		{20, 2, true},
		{20, 56, false},
		{0, 2, false},
	}
	for _, tt := range tests {
		cache := NewCache(sameRow, pollWait, nil)
		s := &Server{Tables: map[string]*Cache{table: cache}, Draining: func() bool { return false }, LinkRate: tt.rate, ZoneSize: func() int { return tt.zoneSize }}
		cache.Replace([]platform.StoredRow{{RowID: platform.RowID{Table: table, Key: "state"}, Version: 1, Value: make([]byte, desiredStateSize)}}, 1, clock.Now())
		a := s.Answer(t.Context(), wire.Question{Table: table, Whole: true}, clock.Now())
		assert.Equal(t, tt.relayed, a.State == wire.AnswerOK, "%d Mbit/s, %d instances in the zone", tt.rate, tt.zoneSize)
		if tt.rate > 0 {
			assert.LessOrEqual(t, s.answerLimit()*tt.zoneSize, tt.rate*bytesPerMegabit, "bytes in a second")
		}
	}
}

// Guards against ranking the whole zone for each question and each answer: an instance
// answers its zone, so that the work would grow with the square of the zone's size.
func TestRankingIsKept(t *testing.T) {
	list := func(n int) []exchange.Peer {
		out := make([]exchange.Peer, n)
		for i := range out {
			out[i] = exchange.Peer{Node: fmt.Sprint("n", i), Zone: "z"}
		}
		return out
	}
	peers := list(1000)
	s := NewPeerSelector(exchange.Peer{Node: "self", Zone: "z"}, func() []exchange.Peer { return peers })
	assert.Equal(t, 1001, s.ZoneSize())
	assert.Zero(t, testing.AllocsPerRun(10, func() {
		s.Next(clock.Now())
		s.ZoneSize()
		s.Backoff()
	}))
	peers = list(500)
	assert.Equal(t, 501, s.ZoneSize(), "the peers have changed")
	peers = nil
	assert.Equal(t, 1, s.ZoneSize())
}
