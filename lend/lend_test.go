package lend

import (
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
)

const service = "llm"

var limit = budget.Limit{Ratio: 0.8, Extra: 20, Span: 10 * time.Second}

// spend takes all repeats out of a budget.
func spend(b *budget.Budget) (n int) {
	for b.Spend(service, clock.Now()) {
		n++
	}
	return n
}

func peer(t *testing.T, node, zone string, b *budget.Budget) exchange.Peer {
	srv := httptest.NewServer(&Lender{Budget: b, Log: zerolog.Nop()})
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return exchange.Peer{Node: node, Zone: zone, Addr: strings.TrimPrefix(srv.URL, "http://")}
}

// The load: the streams of one instance are all lost at once. It goes on with
// repeats of instances that need none; what they lend they do not use, so that all
// together use no more than without loans.
func TestBorrow(t *testing.T) {
	own, other := budget.New(limit, nil), budget.New(limit, nil)
	alone := spend(budget.New(limit, nil))
	far := peer(t, "far", "b", other)
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{far} }, Budget: own, Log: zerolog.Nop()}
	used := spend(own)
	assert.Equal(t, alone, used)
	for range 20 {
		b.Borrow(t.Context(), service)
		used += spend(own)
	}
	assert.Greater(t, used, alone, "nothing was borrowed")
	left := spend(other)
	assert.Equal(t, 2*alone, used+left)
	assert.GreaterOrEqual(t, float64(left), 0.1*float64(alone)-1, "the lender keeps a part for itself")
}

// Streams that need a repeat at the same moment share one round of questions.
func TestBorrowTogether(t *testing.T) {
	own, other := budget.New(budget.Limit{Span: limit.Span}, nil), budget.New(limit, nil)
	far := peer(t, "far", "b", other)
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{far} }, Budget: own, Log: zerolog.Nop()}
	var group sync.WaitGroup
	for range repeats {
		group.Go(func() {
			b.Borrow(t.Context(), service)
			assert.True(t, own.Spend(service, clock.Now()))
		})
	}
	group.Wait()
}

// An instance that does not answer costs little of the time that a stream has, and
// another one is asked; if nobody lends, nobody is asked again at once.
func TestSilentLender(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	silent := exchange.Peer{Node: "silent", Zone: "b", Addr: ln.Addr().String()}
	near := peer(t, "near", "a", budget.New(limit, nil))
	own := budget.New(budget.Limit{Span: limit.Span}, nil)
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{near, silent} }, Budget: own, Log: zerolog.Nop()}
	begun := time.Now()
	b.Borrow(t.Context(), service)
	assert.Positive(t, spend(own))
	assert.Less(t, time.Since(begun), 10*answerTime)

	b.Peers = func() []exchange.Peer { return []exchange.Peer{silent} }
	b.Borrow(t.Context(), service)
	begun = time.Now()
	b.Borrow(t.Context(), service)
	assert.Less(t, time.Since(begun), answerTime)
	assert.Zero(t, spend(own))
}
