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
	"github.com/ragworthitch/ragworthitch/wire"
)

const service = "llm"

var limit = budget.Limit{Ratio: 0.8, Extra: 20, Window: 10 * time.Second}

// spendAll uses up a budget and returns the number of retries that were left.
func spendAll(b *budget.Budget) (n int) {
	for b.Spend(service, clock.Now()) {
		n++
	}
	return n
}

// peer starts an instance that lends retries of b.
func peer(t *testing.T, node, zone string, b *budget.Budget) exchange.Peer {
	srv := httptest.NewServer(&Lender{Pool: b, Log: zerolog.Nop()})
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return exchange.Peer{Node: node, Zone: zone, Addr: strings.TrimPrefix(srv.URL, "http://")}
}

// Guards against loans that exceed the budget, as retries count for the lender and
// the borrower together, and against a lender that lends all of its part.
func TestBorrow(t *testing.T) {
	own, lenderBudget := budget.New(limit), budget.New(limit)
	perInstance := spendAll(budget.New(limit))
	far := peer(t, "far", "b", lenderBudget)
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{far} }, Pool: own, Path: wire.LoanPath, Log: zerolog.Nop()}
	used := spendAll(own)
	assert.Equal(t, perInstance, used)
	for range 20 {
		b.Borrow(t.Context(), service)
		used += spendAll(own)
	}
	assert.Greater(t, used, perInstance, "nothing was borrowed")
	remaining := spendAll(lenderBudget)
	assert.Equal(t, 2*perInstance, used+remaining)
	assert.GreaterOrEqual(t, float64(remaining), 0.1*float64(perInstance)-1, "the lender has to keep a part of its budget")
}

// Guards against a round of requests for each stream that needs a retry.
func TestConcurrentBorrow(t *testing.T) {
	own, lenderBudget := budget.New(budget.Limit{Window: limit.Window}), budget.New(limit)
	far := peer(t, "far", "b", lenderBudget)
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{far} }, Pool: own, Path: wire.LoanPath, Log: zerolog.Nop()}
	var group sync.WaitGroup
	for range perLoan {
		group.Go(func() {
			b.Borrow(t.Context(), service)
			assert.True(t, own.Spend(service, clock.Now()))
		})
	}
	group.Wait()
}

// Guards against waiting long for a lender that doesn't answer, and against new
// rounds right after a failed one.
func TestSilentLender(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	silent := exchange.Peer{Node: "silent", Zone: "b", Addr: ln.Addr().String()}
	sameZone := peer(t, "near", "a", budget.New(limit))
	own := budget.New(budget.Limit{Window: limit.Window})
	b := &Borrower{Zone: "a", Peers: func() []exchange.Peer { return []exchange.Peer{sameZone, silent} }, Pool: own, Path: wire.LoanPath, Log: zerolog.Nop()}
	started := time.Now()
	b.Borrow(t.Context(), service)
	assert.Positive(t, spendAll(own))
	assert.Less(t, time.Since(started), 10*lenderTimeout)

	b.Peers = func() []exchange.Peer { return []exchange.Peer{silent} }
	b.Borrow(t.Context(), service)
	started = time.Now()
	b.Borrow(t.Context(), service)
	assert.Less(t, time.Since(started), lenderTimeout)
	assert.Zero(t, spendAll(own))
}
