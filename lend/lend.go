// Package lend lends retries between entry instances. Each instance has its own
// part of the retry budget, but failures are uneven: in a zone outage the instances
// of that zone need several times their part, while the others need none. An
// instance without retries borrows from instances in other zones; the lender counts
// what it lends as used, so that the budget holds.
package lend

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// retriesPerLoan is the number of retries that a borrower asks for. It covers the
	// few streams that an instance has in one zone.
	retriesPerLoan = 4
	// maxLenders is the number of instances that are asked in a round, one after the
	// other, until one of them lends.
	maxLenders = 5
	// lenderTimeout bounds the request to one lender, including the connection. It
	// must leave time for the failover that waits for the retry.
	lenderTimeout = 40 * time.Millisecond
	// roundInterval is the time after a failed round during which no new one starts.
	// It limits the requests in an overload, when no instance has retries to lend.
	roundInterval = 250 * time.Millisecond
	// idleTimeout is the time after which a lender closes a connection without requests.
	idleTimeout = 60 * time.Second
)

type (
	// Lender serves retries out of a budget to other instances.
	Lender struct {
		Budget *budget.Budget
		Log    zerolog.Logger
	}

	// Borrower borrows retries from other instances.
	Borrower struct {
		Zone   string
		Peers  func() []exchange.Peer
		Budget *budget.Budget
		Log    zerolog.Logger

		mu        sync.Mutex
		rounds    map[string]*round     // in progress, by service
		notBefore map[string]clock.Time // of the next round, by service
		conns     map[string]*wire.Conn // idle ones, by address
	}

	// round is a sequence of requests to lenders for a service's retries; done is
	// closed at its end.
	round struct{ done chan struct{} }
)

// ServeHTTP serves one borrower until its connection ends.
func (l *Lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptLoan(w, r)
	if err != nil {
		l.Log.Warn().Err(err).Msg("lend: handshake with a borrower failed")
		return
	}
	defer c.CloseNow()
	for l.lend(r.Context(), c, r.RemoteAddr) == nil {
	}
}

// lend receives one request for a loan and answers it; an error ends the
// connection.
func (l *Lender) lend(ctx context.Context, c *wire.Conn, borrower string) error {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	request, err := c.RecvLoan(ctx)
	if err != nil {
		return err
	}
	n := l.Budget.Lend(request.Service, request.Retries, clock.Now())
	l.Log.Info().Str("asker", borrower).Str("service", request.Service).Int("asked", request.Retries).Int("lent", n).Msg("lend: retries lent")
	return c.SendLoan(ctx, wire.Loan{Service: request.Service, Retries: n})
}

// Borrow tries to borrow retries of a service and waits for the result. It shares
// a round that is in progress.
func (b *Borrower) Borrow(ctx context.Context, service string) {
	r := b.startRound(service)
	if r == nil {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// startRound returns the round in progress or starts one. It returns nil within
// roundInterval after a failed round.
func (b *Borrower) startRound(service string) *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rounds[service]; r != nil {
		return r
	}
	if clock.Now() < b.notBefore[service] {
		return nil
	}
	if b.rounds == nil {
		b.rounds, b.notBefore, b.conns = map[string]*round{}, map[string]clock.Time{}, map[string]*wire.Conn{}
	}
	r := &round{done: make(chan struct{})}
	b.rounds[service] = r
	go b.runRound(service, r)
	return r
}

// runRound asks one instance after the other until one of them lends.
func (b *Borrower) runRound(service string, r *round) {
	lent := 0
	for _, p := range b.candidates() {
		n, err := b.borrowFrom(p, service)
		b.Log.Info().Str("peer", p.Node).Str("peerZone", p.Zone).Str("service", service).Int("lent", n).AnErr("error", err).Msg("lend: retries borrowed")
		if lent = n; n > 0 {
			b.Budget.Borrowed(service, n, clock.Now())
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rounds, service)
	if lent == 0 {
		b.notBefore[service] = clock.Now().Add(roundInterval)
	}
	close(r.done)
}

// candidates returns at most maxLenders instances to ask, in random order but those
// of other zones first.
func (b *Borrower) candidates() []exchange.Peer {
	var sameZone, otherZones []exchange.Peer
	for _, p := range b.Peers() {
		if p.Zone == b.Zone {
			sameZone = append(sameZone, p)
		} else {
			otherZones = append(otherZones, p)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	all := append(otherZones, sameZone...)
	return all[:min(maxLenders, len(all))]
}

func shuffle(ps []exchange.Peer) {
	rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
}

// borrowFrom asks one instance and returns the number of retries that it has lent.
// A loan whose reply doesn't arrive in time is lost.
func (b *Borrower) borrowFrom(p exchange.Peer, service string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	c, err := b.takeConn(ctx, p.Addr)
	if err != nil {
		return 0, err
	}
	n, err := c.Borrow(ctx, wire.Loan{Service: service, Retries: retriesPerLoan})
	if err != nil {
		c.CloseNow()
		return 0, err
	}
	b.putConn(p.Addr, c)
	return n, nil
}

// takeConn returns an idle connection to an address, or a new one.
func (b *Borrower) takeConn(ctx context.Context, addr string) (*wire.Conn, error) {
	b.mu.Lock()
	c := b.conns[addr]
	delete(b.conns, addr)
	b.mu.Unlock()
	if c != nil {
		return c, nil
	}
	return wire.DialLoan(ctx, addr)
}

// putConn keeps a connection for the next request to its address.
func (b *Borrower) putConn(addr string, c *wire.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.conns[addr]; old != nil {
		old.CloseNow()
	}
	b.conns[addr] = c
}
