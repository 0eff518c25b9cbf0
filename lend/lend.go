// Package lend lends retries and permits between entry instances. Each instance has its
// own part of the retry budget and of targets' rate limits, but the need is uneven: in a
// zone outage the instances of that zone need several times their part, while the others
// need none. An instance that has used up its part borrows from others, first from those
// in other zones; the lender counts what it lends as used, so that the limit holds.
package lend

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// perLoan is the number that a borrower asks for. It covers the few streams that an
	// instance has in one zone.
	perLoan = 4
	// maxLenders is the number of instances that are asked in a round, one after the
	// other, until one of them lends. Nearly all others have retries left when one zone
	// fails.
	maxLenders = 5
	// lenderTimeout bounds the request to one lender, including the connection, which
	// takes some 4 ms between zones. It must leave time for the failover that waits for
	// the retry.
	lenderTimeout = 40 * time.Millisecond
	// roundInterval is the time after a failed round during which no new one starts.
	// It limits the requests in an overload, when no instance has retries to lend.
	roundInterval = 250 * time.Millisecond
	// idleTimeout is the time after which a lender closes a connection without requests.
	idleTimeout = 60 * time.Second
)

type (
	// Pool holds this instance's part of limits that all instances share, such as the
	// retry budgets of services.
	Pool interface {
		// Lend takes up to n out of the part of a limit and returns their number.
		Lend(of string, n int, now clock.Time) int
		// Borrowed adds what a peer has lent out of its part.
		Borrowed(of string, n int, now clock.Time)
	}

	// Lender serves a pool to other instances.
	Lender struct {
		Pool Pool
		Name string // of what the pool holds, for the log
		Log  zerolog.Logger
	}

	// Borrower borrows from other instances.
	Borrower struct {
		Zone  string
		Peers func() []exchange.Peer
		Pool  Pool
		Path  string // where peers serve the pool
		Name  string // of what the pool holds, for the log
		Log   zerolog.Logger

		mu        sync.Mutex
		rounds    map[string]*round     // in progress, by what is borrowed
		notBefore map[string]clock.Time // of the next round, by what is borrowed
		conns     map[string]*wire.Conn // idle ones, by address
	}

	// round is a sequence of requests to lenders; done is closed at its end.
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
	n := l.Pool.Lend(request.Of, request.Count, clock.Now())
	l.Log.Info().Str("asker", borrower).Str("of", request.Of).Int("asked", request.Count).Int("lent", n).Msg("lend: " + l.Name + " lent")
	return c.SendLoan(ctx, wire.Loan{Of: request.Of, Count: n})
}

// Borrow tries to borrow and waits for the result. It shares a round that is in
// progress.
func (b *Borrower) Borrow(ctx context.Context, of string) {
	r := b.startRound(of)
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
func (b *Borrower) startRound(of string) *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rounds[of]; r != nil {
		return r
	}
	if clock.Now() < b.notBefore[of] {
		return nil
	}
	if b.rounds == nil {
		b.rounds, b.notBefore, b.conns = map[string]*round{}, map[string]clock.Time{}, map[string]*wire.Conn{}
	}
	r := &round{done: make(chan struct{})}
	b.rounds[of] = r
	go b.runRound(of, r)
	return r
}

// runRound asks one instance after the other until one of them lends.
func (b *Borrower) runRound(of string, r *round) {
	lent := 0
	for _, p := range b.candidates() {
		n, err := b.borrowFrom(p, of)
		b.Log.Info().Str("peer", p.Node).Str("peerZone", p.Zone).Str("of", of).Int("lent", n).AnErr("error", err).Msg("lend: " + b.Name + " borrowed")
		if lent = n; n > 0 {
			b.Pool.Borrowed(of, n, clock.Now())
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rounds, of)
	if lent == 0 {
		b.notBefore[of] = clock.Now().Add(roundInterval)
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

// borrowFrom asks one instance and returns the number that it has lent.
// A loan whose reply doesn't arrive in time is lost.
func (b *Borrower) borrowFrom(p exchange.Peer, of string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lenderTimeout)
	defer cancel()
	c, err := b.takeConn(ctx, p.Addr)
	if err != nil {
		return 0, err
	}
	n, err := c.Borrow(ctx, wire.Loan{Of: of, Count: perLoan})
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
	return wire.DialLoan(ctx, addr, b.Path)
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
