// Package lend moves repeats between entry instances. Each keeps to its own part
// of the operator's limit, but failures do not come evenly: the instances of a zone
// whose engines were lost need several times their part within a second, while the
// others need none. One that has used up its part borrows of instances in other
// zones; what they lend they count as used, so that the limit holds.
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
	// repeats is how many are asked for at once: an instance has a few streams
	// at the engines of a zone.
	repeats = 4
	// lenders is how many instances are asked, one after the other, until one
	// lends: nearly all others have something to lend when one zone fails.
	lenders = 5
	// answerTime bounds what one of them may take, connection included: some
	// 4 ms between zones, and a stream has to go on within the 700 ms that its
	// caller allows.
	answerTime = 40 * time.Millisecond
	// pause is the least time between two rounds of questions that brought
	// nothing, so that an overload that uses up everybody's part is not one of
	// questions too.
	pause = 250 * time.Millisecond
	// idleTime is how long a connection is kept on which nothing is asked.
	idleTime = 60 * time.Second
)

type (
	// Lender lends out of a budget to other instances.
	Lender struct {
		Budget *budget.Budget
		Log    zerolog.Logger
	}

	// Borrower borrows of other instances.
	Borrower struct {
		Zone   string
		Peers  func() []exchange.Peer
		Budget *budget.Budget
		Log    zerolog.Logger

		mu      sync.Mutex
		rounds  map[string]*round // under way, by service
		restsTo map[string]clock.Time
		conns   map[string]*wire.Conn // idle ones, by address
	}

	// round is one round of questions.
	round struct{ done chan struct{} }
)

// ServeHTTP lends to one instance until its connection ends.
func (l *Lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptLoan(w, r)
	if err != nil {
		l.Log.Warn().Err(err).Msg("lend: connection refused")
		return
	}
	defer c.CloseNow()
	for l.answer(r.Context(), c, r.RemoteAddr) == nil {
	}
}

// answer lends once; the error ends the connection.
func (l *Lender) answer(ctx context.Context, c *wire.Conn, asker string) error {
	ctx, cancel := context.WithTimeout(ctx, idleTime)
	defer cancel()
	q, err := c.RecvLoan(ctx)
	if err != nil {
		return err
	}
	n := l.Budget.Lend(q.Service, q.Repeats, clock.Now())
	l.Log.Info().Str("asker", asker).Str("service", q.Service).Int("asked", q.Repeats).Int("lent", n).Msg("lend: repeats lent")
	return c.SendLoan(ctx, wire.Loan{Service: q.Service, Repeats: n})
}

// Borrow has repeats of a service borrowed, and returns when that has been tried.
func (b *Borrower) Borrow(ctx context.Context, service string) {
	r := b.begin(service)
	if r == nil {
		return
	}
	select {
	case <-r.done:
	case <-ctx.Done():
	}
}

// begin returns the round of questions that is under way, or begins one; nil if
// the last one brought nothing.
func (b *Borrower) begin(service string) *round {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.rounds[service]; r != nil {
		return r
	}
	if clock.Now() < b.restsTo[service] {
		return nil
	}
	if b.rounds == nil {
		b.rounds, b.restsTo, b.conns = map[string]*round{}, map[string]clock.Time{}, map[string]*wire.Conn{}
	}
	r := &round{done: make(chan struct{})}
	b.rounds[service] = r
	go b.ask(service, r)
	return r
}

// ask asks one instance after the other until one lends.
func (b *Borrower) ask(service string, r *round) {
	got := 0
	for _, p := range b.choose() {
		n, err := b.borrow(p, service)
		b.Log.Info().Str("peer", p.Node).Str("peerZone", p.Zone).Str("service", service).Int("lent", n).AnErr("error", err).Msg("lend: repeats borrowed")
		if got = n; n > 0 {
			b.Budget.Borrowed(service, n, clock.Now())
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rounds, service)
	if got == 0 {
		b.restsTo[service] = clock.Now().Add(pause)
	}
	close(r.done)
}

// choose are the instances to ask, at random: those of other zones first, since
// failures come by zones.
func (b *Borrower) choose() []exchange.Peer {
	var near, far []exchange.Peer
	for _, p := range b.Peers() {
		if p.Zone == b.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	shuffle(near)
	shuffle(far)
	all := append(far, near...)
	return all[:min(lenders, len(all))]
}

func shuffle(ps []exchange.Peer) {
	rand.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
}

// borrow asks one instance. What it lends without being heard is lost.
func (b *Borrower) borrow(p exchange.Peer, service string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	c, err := b.conn(ctx, p.Addr)
	if err != nil {
		return 0, err
	}
	n, err := c.Borrow(ctx, wire.Loan{Service: service, Repeats: repeats})
	if err != nil {
		c.CloseNow()
		return 0, err
	}
	b.keep(p.Addr, c)
	return n, nil
}

// conn is a connection to an address that nobody else uses.
func (b *Borrower) conn(ctx context.Context, addr string) (*wire.Conn, error) {
	b.mu.Lock()
	c := b.conns[addr]
	delete(b.conns, addr)
	b.mu.Unlock()
	if c != nil {
		return c, nil
	}
	return wire.DialLoan(ctx, addr)
}

func (b *Borrower) keep(addr string, c *wire.Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if old := b.conns[addr]; old != nil {
		old.CloseNow()
	}
	b.conns[addr] = c
}
