package relay

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

// localConn is a connection to a server in the same process.
type localConn struct{ server *Server }

func (l localConn) Ask(ctx context.Context, q wire.Question) (wire.Answer, error) {
	return l.server.Answer(ctx, q, clock.Now()), nil
}

func (localConn) CloseNow() error { return nil }

// An instance reads a row that exceeds defaultAnswerSize from the store, and then asks
// peers again.
func TestLargeRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache, r := newCacheAndReader()
		row := func(version int64, size int) platform.StoredRow {
			return platform.StoredRow{RowID: platform.RowID{Table: table, Key: "state"}, Version: version, Value: bytes.Repeat([]byte("x"), size)}
		}
		cache.Replace([]platform.StoredRow{row(1, 100)}, 1, clock.Now())
		assert.True(t, r.ShouldAsk())
		p, err := r.ReadAll(t.Context(), platform.Range{})
		assert.NoError(t, err)
		assert.Len(t, p.Rows, 1)

		cache.Apply([]platform.StoredRow{row(2, defaultAnswerSize)}, 2, clock.Now())
		assert.True(t, r.ShouldAsk())
		_, err = r.Changes(t.Context(), table, 1, time.Second)
		assert.ErrorIs(t, err, errAnswerTooLarge)
		assert.False(t, r.ShouldAsk(), "the next read goes to the store")
		r.Cache.Apply([]platform.StoredRow{row(2, defaultAnswerSize)}, 2, clock.Now())
		assert.True(t, r.ShouldAsk(), "the read after that asks a peer")
		_, err = r.Changes(t.Context(), table, 2, time.Second)
		assert.NoError(t, err, "the reader goes on asking after the read from the store")
	})
}

// newCacheAndReader returns the cache of an instance and a reader that asks it.
func newCacheAndReader() (*Cache, *PeerReader) {
	cache := NewCache(sameRow, time.Minute, nil)
	server := &Server{Tables: map[string]*Cache{table: cache}, Draining: func() bool { return false }, Log: zerolog.Nop()}
	r := &PeerReader{Table: table, Selector: NewPeerSelector(exchange.Peer{Node: "me", Zone: "z"}, func() []exchange.Peer { return []exchange.Peer{{Node: nameRankedBefore("me", "z"), Zone: "z"}} }),
		Cache: NewCache(sameRow, time.Minute, nil), Dial: func(context.Context, string) (Conn, error) { return localConn{server}, nil }, Log: zerolog.Nop()}
	cache.recordQuestion(clock.Now())
	return cache, r
}

// nameRankedBefore returns the name of an instance that ranks before the named one.
func nameRankedBefore(name, zone string) string {
	for c := 'a'; ; c++ {
		other := string(c)
		selector := NewPeerSelector(exchange.Peer{Node: name, Zone: zone}, func() []exchange.Peer { return []exchange.Peer{{Node: other, Zone: zone}} })
		if selector.ranked()[0].Node == other {
			return other
		}
	}
}

// Answers say when the store was last unavailable: target entries that expired during
// an outage stay valid for two seconds after its end, also at asking instances.
func TestStoreOutageIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache, r := newCacheAndReader()
		cache.Replace(nil, 1, clock.Now())
		p, err := r.ReadAll(t.Context(), platform.Range{})
		assert.NoError(t, err)
		assert.Zero(t, p.UnavailableAt)

		cache.StoreFailed(clock.Now())
		time.Sleep(300 * time.Millisecond)
		recoveredAt := clock.Now()
		cache.Apply(storedRows([]string{"a deleted"}, 2), 2, recoveredAt)
		time.Sleep(time.Second)
		p, err = r.Changes(t.Context(), table, 1, 0)
		assert.NoError(t, err)
		assert.Len(t, p.Rows, 1)
		assert.Equal(t, recoveredAt, p.UnavailableAt)
	})
}
