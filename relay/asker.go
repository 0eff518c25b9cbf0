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
	// answerTimeout is how long an answer may take beyond the requested wait. It
	// includes a new connection and a first read of the table by the peer.
	answerTimeout = 400 * time.Millisecond
	// maxPeerRetryAgeInWaits is the age of the table, as a multiple of Cache.maxWait,
	// up to which a failed question is followed by a question to another peer. With
	// an older table the instance reads from the store.
	maxPeerRetryAgeInWaits = 3
	// retryJitterPerPeer, times the number of instances in the zone, is the longest
	// random delay before the next read after a failed question. The delay keeps
	// the instances of a zone from reading all at once.
	retryJitterPerPeer = 2 * time.Millisecond
)

var (
	errAnswerTooLarge = errors.New("relay: answer exceeds the size limit; table has to be read from the store")
	errPeerStale      = errors.New("relay: peer does not hold a current table")
	errNoPeer         = errors.New("relay: no peer to ask")
	errServesPeers    = errors.New("relay: peers have begun to ask this instance for the table")
	errUnreadableRow  = errors.New("relay: row value cannot be decoded")
)

type (
	// Conn is a connection to a peer that answers questions.
	Conn interface {
		Ask(ctx context.Context, q wire.Question) (wire.Answer, error)
		CloseNow() error
	}

	// Notes holds cache locations that an instance sends to the peer which it
	// asks. The peer writes them to the store.
	Notes interface {
		// Fresh returns the cache locations that no peer has received, and the number
		// of all cache locations so far.
		Fresh() ([]wire.Place, uint64)
		// Taken records that a peer has received the first n cache locations.
		Taken(n uint64)
	}

	// Asker reads a table by asking peers. It is a platform.Reader whose calls
	// have a timeout of their own. Its methods are not safe for concurrent use.
	Asker struct {
		Table  string
		Proof  bool // ask for the table's age, too, not only for its changes
		Choice *Choice
		Cache  *Cache // of the same table, for peers that ask this instance
		Dial   func(ctx context.Context, addr string) (Conn, error)
		// Notes holds the cache locations to send along with questions; nil: none.
		Notes Notes
		Log   zerolog.Logger

		conn       Conn
		peer       exchange.Peer // at the other end of conn
		readsStore bool          // the table was last read from the store
		lastFailed bool          // the last question failed
		forceStore bool          // the next read goes to the store
		asOf       clock.Time    // time up to which the last answer was complete
	}
)

// Use reports whether the next read asks a peer. It does if there is a peer to ask, no
// peer asks this instance, and the last question did not fail in a way that only a read
// from the store resolves.
func (a *Asker) Use() bool {
	now := clock.Now()
	servesPeers, _ := a.Cache.ServesPeers(now)
	_, ok := a.Choice.Next(now)
	use := ok && !servesPeers && !a.forceStore
	a.forceStore = false
	if use {
		a.Cache.Clear()
	} else if !a.readsStore {
		a.readsStore = true
		a.Log.Info().Str("table", a.Table).Bool("asked", servesPeers).Bool("othersKnown", ok).Msg("relay: reading the table from the store")
	}
	return use
}

// Whole asks for the whole table, in the range that the peer reads.
func (a *Asker) Whole(ctx context.Context, _ platform.Range) (platform.Page, error) {
	return a.askNext(ctx, wire.Question{Table: a.Table, Whole: true, WantsAsOf: a.Proof})
}

// Changes asks for rows that changed after a version.
func (a *Asker) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Page, error) {
	return a.askNext(ctx, wire.Question{Table: a.Table, After: after, Wait: min(wait, a.Cache.maxWait), WantsAsOf: a.Proof})
}

// Drop closes the connection.
func (a *Asker) Drop() {
	if a.conn != nil {
		a.conn.CloseNow()
		a.conn = nil
	}
}

// askNext asks the next peer and records whether it answers. It stops when peers
// begin to ask this instance, which then has to read from the store for them.
func (a *Asker) askNext(parentCtx context.Context, q wire.Question) (platform.Page, error) {
	now := clock.Now()
	p, ok := a.Choice.Next(now)
	servesPeers, questioned := a.Cache.ServesPeers(now)
	if !ok || servesPeers {
		return platform.Page{}, errNoPeer
	}
	if a.lastFailed {
		q.Wait = 0 // the table is already older than usual
	}
	ctx, cancel := context.WithTimeout(parentCtx, q.Wait+answerTimeout)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	go func() {
		select {
		case <-questioned:
			stop(errServesPeers)
		case <-ctx.Done():
		}
	}()
	page, err := a.askPeer(ctx, p, q)
	a.lastFailed = err != nil
	switch {
	case err == nil:
		a.Choice.RecordSuccess(p.Node)
		a.asOf = page.Proved
		return page, nil
	case errors.Is(err, discovery.ErrMissed):
		return page, err
	case errors.Is(err, errAnswerTooLarge):
		a.forceStore = true
		return page, err
	case errors.Is(context.Cause(ctx), errServesPeers):
		a.Drop()
		return page, errServesPeers
	}
	if errors.Is(err, errPeerStale) {
		a.Choice.RecordStale(p.Node, clock.Now())
	} else {
		a.Drop()
		a.Choice.RecordFailure(p.Node, clock.Now())
		// The next peer may fail, too, or has to read the table first.
		a.forceStore = clock.Now().Sub(a.asOf) > maxPeerRetryAgeInWaits*a.Cache.maxWait
	}
	a.Log.Warn().Str("table", a.Table).Str("peer", p.Node).Int64("version", q.After).Dur("after", clock.Now().Sub(now)).Err(err).
		Msg("relay: question failed; backing off from the peer")
	clock.Sleep(parentCtx, rand.N(time.Duration(a.Choice.ZoneSize())*retryJitterPerPeer))
	return page, err
}

// askPeer asks p, and connects to p first if need be.
func (a *Asker) askPeer(ctx context.Context, p exchange.Peer, q wire.Question) (platform.Page, error) {
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
	if a.readsStore {
		a.readsStore = false
		a.Log.Info().Str("table", a.Table).Str("peer", p.Node).Msg("relay: reading the table from a peer")
	}
	var locationCount uint64
	if a.Notes != nil {
		q.CacheLocations, locationCount = a.Notes.Fresh()
	}
	askedAt := clock.Now()
	answer, err := a.conn.Ask(ctx, q)
	if err != nil {
		return platform.Page{}, err
	}
	if answer.State == wire.AnswerStale {
		return platform.Page{}, errPeerStale
	}
	if a.Notes != nil {
		a.Notes.Taken(locationCount)
	}
	switch answer.State {
	case wire.AnswerMissed:
		return platform.Page{}, discovery.ErrMissed
	case wire.AnswerTooLarge:
		return platform.Page{}, errAnswerTooLarge
	}
	return a.pageOf(answer, askedAt), nil
}

// pageOf converts the answer to a question that was sent at askedAt. The peer
// counts times from the receipt of the question, so that counting them from
// askedAt never makes the table look younger than it is.
func (a *Asker) pageOf(answer wire.Answer, askedAt clock.Time) platform.Page {
	p := platform.Page{Version: answer.Version, Relayed: true, Proved: askedAt.Add(answer.AsOf)}
	if answer.UnavailableAt != 0 {
		p.Away = askedAt.Add(answer.UnavailableAt)
	}
	for _, r := range answer.Rows {
		row := platform.StoredRow{RowID: platform.RowID{Table: a.Table, Key: r.Key}, Value: r.Value, Version: r.Version, Deleted: r.Deleted}
		if r.Unreadable {
			row.Err = errUnreadableRow
		}
		p.Rows = append(p.Rows, row)
	}
	return p
}
