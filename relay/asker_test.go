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

// local is a connection to a server in this process.
type local struct{ server *Server }

func (l local) Ask(ctx context.Context, q wire.Question) (wire.Answer, error) {
	return l.server.Answer(ctx, q, clock.Now()), nil
}

func (local) CloseNow() error { return nil }

// The load: the desired state grows to a thousand routes before a hundred
// instances. One that has it would take seconds to tell all others of its zone;
// each is sent to the store for that, once, and goes on asking.
func TestLargeRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache, a := asked()
		row := func(version int64, size int) platform.StoredRow {
			return platform.StoredRow{RowID: platform.RowID{Table: table, Key: "state"}, Version: version, Value: bytes.Repeat([]byte("x"), size)}
		}
		cache.Replace([]platform.StoredRow{row(1, 100)}, 1, clock.Now())
		assert.True(t, a.Use())
		p, err := a.Whole(t.Context(), platform.Range{})
		assert.NoError(t, err)
		assert.Len(t, p.Rows, 1)

		cache.Change([]platform.StoredRow{row(2, maxTold)}, 2, clock.Now())
		assert.True(t, a.Use())
		_, err = a.Changes(t.Context(), table, 1, time.Second)
		assert.ErrorIs(t, err, errLarge)
		assert.False(t, a.Use(), "the next call goes to the store")
		assert.True(t, a.Use(), "the one after it does not")
		_, err = a.Changes(t.Context(), table, 2, time.Second)
		assert.NoError(t, err, "who has read it goes on asking")
	})
}

// asked are the cache of an instance that is asked for its table, and its asker.
func asked() (*Cache, *Asker) {
	cache := NewCache(sameRow, time.Minute)
	server := &Server{Tables: map[string]*Cache{table: cache}, Leaving: func() bool { return false }, Log: zerolog.Nop()}
	a := &Asker{Table: table, Choice: NewChoice("me", "z", func() []exchange.Peer { return []exchange.Peer{{Node: before("me", "z"), Zone: "z"}} }),
		Cache: NewCache(sameRow, time.Minute), Dial: func(context.Context, string) (Conn, error) { return local{server}, nil }, Log: zerolog.Nop()}
	cache.ask(clock.Now())
	return cache, a
}

// before is a name that comes before another in the order of a zone.
func before(name, zone string) string {
	for c := 'a'; ; c++ {
		other := string(c)
		choice := NewChoice(name, zone, func() []exchange.Peer { return []exchange.Peer{{Node: other, Zone: zone}} })
		if choice.ranked()[0].Node == other {
			return other
		}
	}
}

// When the store was away is told along: entries of targets that lapsed meanwhile
// count for two seconds after its return, at those who ask, too.
func TestAwayIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache, a := asked()
		cache.Replace(nil, 1, clock.Now())
		p, err := a.Whole(t.Context(), platform.Range{})
		assert.NoError(t, err)
		assert.Zero(t, p.Away)

		cache.Failed(clock.Now())
		time.Sleep(300 * time.Millisecond)
		back := clock.Now()
		cache.Change(stored([]string{"a gone"}, 2), 2, back)
		time.Sleep(time.Second)
		p, err = a.Changes(t.Context(), table, 1, 0)
		assert.NoError(t, err)
		assert.Len(t, p.Rows, 1)
		assert.Equal(t, back, p.Away)
	})
}
