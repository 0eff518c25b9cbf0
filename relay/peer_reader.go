package relay

import (
	"context"
	"errors"
	"fmt"
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
	// includes a new connection and a first read of the table by the peer. With the wait
	// for a desired state, 0.8 s, and one more candidate that does not answer, the table
	// is 2.4 s old when the store is asked.
	answerTimeout = 400 * time.Millisecond
	// maxPeerRetryAgeInWaits is the age of the table, as a multiple of Cache.maxWait,
	// up to which a failed question is followed by a question to another peer. With
	// an older table the instance reads from the store.
	maxPeerRetryAgeInWaits = 3
	// retryJitterPerPeer, times the number of instances in the zone, is the longest
	// random delay before the next read after a failed question. The delay keeps
	// the instances of a zone from reading all at once: it spreads them to 500 reads a
	// second.
	retryJitterPerPeer = 2 * time.Millisecond
)

var (
	errAnswerTooLarge = errors.New("relay: answer exceeds the size limit; table has to be read from the store")
	errPeerBehind     = errors.New("relay: peer does not know all changes; they have to be read from the store")
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

	// LocationQueue holds cache locations that an instance sends to the peer which it
	// asks. The peer writes them to the store.
	LocationQueue interface {
		// Unsent returns the cache locations that no peer has received, and the number
		// of all cache locations so far.
		Unsent() ([]wire.CacheLocation, uint64)
		// MarkSent records that a peer has received the first n cache locations.
		MarkSent(n uint64)
	}

	// PeerReader reads a table by asking peers. It is a platform.Reader whose calls
	// have a timeout of their own. Its methods are not safe for concurrent use.
	PeerReader struct {
		Table     string
		WantsAsOf bool // ask for the table's age, too, not only for its changes
		Selector  *PeerSelector
		Cache     *Cache // of the same table, for peers that ask this instance
		Dial      func(ctx context.Context, addr string) (Conn, error)
		// Locations holds the cache locations to send along with questions; nil: none.
		Locations LocationQueue
		Log       zerolog.Logger

		conn       Conn
		peer       exchange.Peer // at the other end of conn
		readsStore bool          // the table was last read from the store
		lastFailed bool          // the last question failed
		forceStore bool          // the next read goes to the store
		asOf       clock.Time    // time up to which the last answer was complete
	}
)

// ShouldAsk reports whether the next read asks a peer: there is a peer to ask, no peer
// asks this instance, and the last question did not fail in a way that only a read from
// the store resolves.
func (r *PeerReader) ShouldAsk() bool {
	now := clock.Now()
	servesPeers, _ := r.Cache.ServesPeers(now)
	_, ok := r.Selector.Next(now)
	asksPeer := ok && !servesPeers && !r.forceStore
	r.forceStore = false
	if asksPeer {
		r.Cache.clearFailure()
	} else if !r.readsStore {
		r.readsStore = true
		r.Log.Info().Str("table", r.Table).Bool("asked", servesPeers).Bool("othersKnown", ok).Msg("relay: reading the table from the store")
	}
	return asksPeer
}

// ReadAll asks for the whole table. The range is ignored: the peer reads its own.
func (r *PeerReader) ReadAll(ctx context.Context, _ platform.Range) (platform.Page, error) {
	p, err := r.askNext(ctx, wire.Question{Table: r.Table, Whole: true, WantsAsOf: r.WantsAsOf})
	if err == nil {
		r.Cache.Replace(p.Rows, p.Version, p.AsOf)
		r.Cache.setUnavailableAt(p.UnavailableAt)
	}
	return p, err
}

// Changes asks for rows that changed after a version. Its error wraps
// discovery.ErrChangesMissed if Cache does not hold the table as of that version.
func (r *PeerReader) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (platform.Page, error) {
	if !r.Cache.covers(after) {
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrChangesMissed, errNotCached)
	}
	p, err := r.askNext(ctx, wire.Question{Table: r.Table, After: after, Wait: min(wait, r.Cache.maxWait), WantsAsOf: r.WantsAsOf})
	if err == nil {
		r.Cache.Apply(p.Rows, p.Version, p.AsOf)
		r.Cache.setUnavailableAt(p.UnavailableAt)
	}
	return p, err
}

// CloseIdleConnections closes the connection.
func (r *PeerReader) CloseIdleConnections() {
	if r.conn != nil {
		r.conn.CloseNow()
		r.conn = nil
	}
}

// askNext asks the next peer and records whether it answers. It stops when peers
// begin to ask this instance, which then has to read from the store for them.
func (r *PeerReader) askNext(parentCtx context.Context, q wire.Question) (platform.Page, error) {
	now := clock.Now()
	p, ok := r.Selector.Next(now)
	servesPeers, questioned := r.Cache.ServesPeers(now)
	if !ok || servesPeers {
		return platform.Page{}, errNoPeer
	}
	if r.lastFailed {
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
	page, err := r.askPeer(ctx, p, q)
	r.lastFailed = err != nil
	switch {
	case err == nil:
		r.Selector.RecordSuccess(p.Node)
		r.asOf = page.AsOf
		return page, nil
	case errors.Is(err, errPeerBehind), errors.Is(err, errAnswerTooLarge):
		r.forceStore = true
		r.Log.Info().Str("table", r.Table).Str("peer", p.Node).Int64("version", q.After).AnErr("cause", err).Msg("relay: one read from the store in place of the peer")
		return page, err
	case errors.Is(context.Cause(ctx), errServesPeers):
		r.CloseIdleConnections()
		return page, errServesPeers
	}
	if errors.Is(err, errPeerStale) {
		r.Selector.RecordStale(p.Node, clock.Now())
	} else {
		r.CloseIdleConnections()
		r.Selector.RecordFailure(p.Node, clock.Now())
		// The next peer may fail, too, or has to read the table first.
		r.forceStore = clock.Now().Sub(r.asOf) > maxPeerRetryAgeInWaits*r.Cache.maxWait
	}
	r.Log.Warn().Str("table", r.Table).Str("peer", p.Node).Int64("version", q.After).Dur("after", clock.Now().Sub(now)).Err(err).
		Msg("relay: question failed; backing off from the peer")
	clock.Sleep(parentCtx, rand.N(time.Duration(r.Selector.ZoneSize())*retryJitterPerPeer))
	return page, err
}

// askPeer asks p, and connects to p first if need be.
func (r *PeerReader) askPeer(ctx context.Context, p exchange.Peer, q wire.Question) (platform.Page, error) {
	if r.conn != nil && r.peer != p {
		r.CloseIdleConnections()
	}
	if r.conn == nil {
		conn, err := r.Dial(ctx, p.Addr)
		if err != nil {
			return platform.Page{}, err
		}
		r.conn, r.peer = conn, p
	}
	if r.readsStore {
		r.readsStore = false
		r.Log.Info().Str("table", r.Table).Str("peer", p.Node).Msg("relay: reading the table from a peer")
	}
	var locationCount uint64
	if r.Locations != nil {
		q.CacheLocations, locationCount = r.Locations.Unsent()
	}
	askedAt := clock.Now()
	answer, err := r.conn.Ask(ctx, q)
	if err != nil {
		return platform.Page{}, err
	}
	if answer.State == wire.AnswerStale {
		return platform.Page{}, errPeerStale
	}
	if r.Locations != nil {
		r.Locations.MarkSent(locationCount)
	}
	switch answer.State {
	case wire.AnswerMissed:
		return platform.Page{}, errPeerBehind
	case wire.AnswerTooLarge:
		return platform.Page{}, errAnswerTooLarge
	}
	return r.pageOf(answer, askedAt), nil
}

// pageOf converts the answer to a question that was sent at askedAt. The peer
// counts times from the receipt of the question, so that counting them from
// askedAt never makes the table look younger than it is.
func (r *PeerReader) pageOf(answer wire.Answer, askedAt clock.Time) platform.Page {
	p := platform.Page{Version: answer.Version, Relayed: true, AsOf: askedAt.Add(answer.AsOf)}
	if answer.UnavailableAt != 0 {
		p.UnavailableAt = askedAt.Add(answer.UnavailableAt)
	}
	for _, received := range answer.Rows {
		row := platform.StoredRow{RowID: platform.RowID{Table: r.Table, Key: received.Key}, Value: received.Value, Version: received.Version, Deleted: received.Deleted}
		if received.Unreadable {
			row.Err = errUnreadableRow
		}
		p.Rows = append(p.Rows, row)
	}
	return p
}
