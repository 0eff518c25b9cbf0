package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/discovery"
	"github.com/ragworthitch/ragworthitch/exchange"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// answerTime is how long an answer may take beyond the wait that was asked
	// for, a new connection and the reading of a table included. With the wait
	// for a desired state, 0.8 s, and one more candidate that does not answer,
	// knowledge is 2.4 s old when the store is asked.
	answerTime = 400 * time.Millisecond
	// askAgain is how old knowledge may be, in waits, for another instance to be asked
	// after one that did not answer, which takes 0.8 s with the reading of the table:
	// older, and the store is asked itself.
	askAgain = 3
	// spread is over how long the instances of a zone turn elsewhere, for each
	// of them, when the one that they asked does not answer: 500 calls a second
	// for a zone at the most.
	spread = 2 * time.Millisecond
)

var (
	errLarge   = errors.New("relay: too much to be told; read from the store")
	errBehind  = errors.New("relay: instance asked does not know the table well enough")
	errNobody  = errors.New("relay: nobody to ask")
	errReads   = errors.New("relay: others ask for the table here")
	errUnknown = errors.New("relay: value of the row is not readable")
)

type (
	// Conn asks one instance.
	Conn interface {
		Ask(ctx context.Context, q wire.Question) (wire.Answer, error)
		CloseNow() error
	}

	// Notes are what an instance has noted for whoever reads the store for it.
	Notes interface {
		// Fresh are the notes that nobody has taken, and how many there have been.
		Fresh() ([]wire.Place, uint64)
		// Taken notes that they have been taken up to so many.
		Taken(n uint64)
	}

	// Asker reads a table by asking other instances; it is a platform.Reader.
	// Its calls end by themselves, and its methods are not for concurrent use.
	Asker struct {
		Table  string
		Proof  bool // for the age of the table, not only its changes
		Choice *Choice
		Cache  *Cache // of the same table, for those who ask this instance
		Dial   func(ctx context.Context, addr string) (Conn, error)
		// Notes are told along with the questions; nil: there are none.
		Notes Notes
		Log   zerolog.Logger

		conn   Conn
		peer   exchange.Peer // at the other end of conn
		direct bool          // the table was last read from the store
		failed bool          // the last question was not answered
		store  bool          // the next call goes to the store, whoever could be asked
		proved clock.Time    // up to when the last answer was complete
	}
)

// Use reports whether to ask another instance next: there is one to ask, and
// nobody asks this one.
func (a *Asker) Use() bool {
	now := clock.Now()
	asked, _ := a.Cache.Asked(now)
	_, ok := a.Choice.Next(now)
	use := ok && !asked && !a.store
	a.store = false
	if use {
		a.Cache.Drop()
	} else if !a.direct {
		a.direct = true
		a.Log.Info().Str("table", a.Table).Bool("asked", asked).Bool("othersKnown", ok).Msg("relay: table read from the store")
	}
	return use
}

// Whole asks for the whole table; the range is the asked instance's.
func (a *Asker) Whole(ctx context.Context, _ platform.Range) (platform.Page, error) {
	return a.ask(ctx, wire.Question{Table: a.Table, Whole: true, Proof: a.Proof})
}

// Changes asks for changed rows.
func (a *Asker) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Page, error) {
	return a.ask(ctx, wire.Question{Table: a.Table, After: after, Wait: min(wait, a.Cache.wait), Proof: a.Proof})
}

// Drop closes the connection.
func (a *Asker) Drop() {
	if a.conn != nil {
		a.conn.CloseNow()
		a.conn = nil
	}
}

// ask asks the next instance, and notes if it does not answer. It gives up when
// others ask this instance: it then has to read for them.
func (a *Asker) ask(life context.Context, q wire.Question) (platform.Page, error) {
	now := clock.Now()
	p, ok := a.Choice.Next(now)
	asked, begins := a.Cache.Asked(now)
	if !ok || asked {
		return platform.Page{}, errNobody
	}
	if a.failed {
		q.Wait = 0 // knowledge has grown old by now
	}
	ctx, cancel := context.WithTimeout(life, q.Wait+answerTime)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go func() {
		select {
		case <-begins:
			stop(errReads)
		case <-ctx.Done():
		}
	}()
	page, err := a.from(ctx, p, q)
	a.failed = err != nil
	switch {
	case err == nil:
		a.Choice.Served(p.Node)
		a.proved = page.Proved
		return page, nil
	case errors.Is(err, discovery.ErrMissed):
		return page, err
	case errors.Is(err, errLarge):
		a.store = true // it is too much to be told
		return page, err
	case errors.Is(context.Cause(ctx), errReads):
		a.Drop()
		return page, errReads
	}
	if errors.Is(err, errBehind) {
		a.Choice.Behind(p.Node, clock.Now())
	} else {
		a.Drop()
		a.Choice.Failed(p.Node, clock.Now())
		// The next one may not answer either, or have to read the table first.
		a.store = clock.Now().Sub(a.proved) > askAgain*a.Cache.wait
	}
	a.Log.Warn().Str("table", a.Table).Str("peer", p.Node).Int64("version", q.After).Dur("after", clock.Now().Sub(now)).Err(err).
		Msg("relay: instance not asked for a while")
	clock.Sleep(life, rand.N(time.Duration(a.Choice.Size())*spread))
	return page, err
}

// from asks an instance on the connection to it.
func (a *Asker) from(ctx context.Context, p exchange.Peer, q wire.Question) (platform.Page, error) {
	if a.conn != nil && a.peer != p {
		a.Drop()
	}
	if a.conn == nil {
		conn, err := a.Dial(ctx, p.Addr)
		if err != nil {
			return platform.Page{}, err
		}
		a.conn, a.peer = conn, p
	}
	if a.direct {
		a.direct = false
		a.Log.Info().Str("table", a.Table).Str("peer", p.Node).Msg("relay: table asked of another instance")
	}
	var notes uint64
	if a.Notes != nil {
		q.Places, notes = a.Notes.Fresh()
	}
	asked := clock.Now()
	answer, err := a.conn.Ask(ctx, q)
	if err != nil {
		return platform.Page{}, err
	}
	if answer.State == wire.AnswerBehind {
		return platform.Page{}, errBehind
	}
	if a.Notes != nil {
		a.Notes.Taken(notes)
	}
	switch answer.State {
	case wire.AnswerMissed:
		return platform.Page{}, discovery.ErrMissed
	case wire.AnswerLarge:
		return platform.Page{}, errLarge
	}
	return a.page(answer, asked), nil
}

// page is what an answer says to a question that was asked at a moment. The
// instance counted from when it received the question, which was not before.
func (a *Asker) page(answer wire.Answer, asked clock.Time) platform.Page {
	p := platform.Page{Version: answer.Version, Relayed: true, Proved: asked.Add(answer.Proved)}
	if answer.Away != 0 {
		p.Away = asked.Add(answer.Away)
	}
	for _, r := range answer.Rows {
		row := platform.StoredRow{RowID: platform.RowID{Table: a.Table, Key: r.Key}, Value: r.Value, Version: r.Version, Deleted: r.Gone}
		if r.Bad {
			row.Err = errUnknown
		}
		p.Rows = append(p.Rows, row)
	}
	return p
}
