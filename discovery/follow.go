// Package discovery follows tables of the platform's store: it reads a table
// once, then waits for its changes, reads it anew when changes were missed,
// and says how old its knowledge is.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// firstBackoff and maxBackoff bound the wait after a failed call; the
	// store answers in 4 ms, and a fresh start must not be far behind its
	// return.
	firstBackoff = 30 * time.Millisecond
	maxBackoff   = 300 * time.Millisecond
	// answerTime is how long the store may take beyond the wait it was
	// asked for before the connection counts as dead.
	answerTime = 400 * time.Millisecond
	// slowAnswerTime is the same after a call has failed that way: a slow
	// store, which takes some 50 times its usual 4 to 8 ms, is still of use.
	slowAnswerTime = 1500 * time.Millisecond
	// relayGap is the least time between the starts of two calls to a relay,
	// which answers when there is news: changes that come together are taken
	// together, and none is much later for it.
	relayGap = 50 * time.Millisecond
	// panicPause is the wait after a panic while a table was taken over.
	panicPause = time.Second
	// lagRoom is how many times as long as the last answer one may take.
	lagRoom = 2
)

var (
	// ErrMissed is returned by a Source when changes were lost: the table has
	// to be read anew.
	ErrMissed = errors.New("discovery: changes were missed")

	// errRelay is why a call to a Relay failed: the next one goes elsewhere.
	errRelay = errors.New("discovery: relay failed")
	// errPanicked is why a call ended that panicked in this process.
	errPanicked = errors.New("discovery: panic")
)

type (
	// Reading is what a Source knows of a table.
	Reading[T any] struct {
		Rows    []T
		Version int64
		// Relayed says that another instance has read this from the store, and
		// what Proved and Away are: the moment up to which nothing but Rows is
		// known to have changed, and the last one at which the store did not
		// answer that instance; 0: none.
		Relayed bool
		Proved  clock.Time
		Away    clock.Time
	}

	// Source is a table of the store.
	Source[T any] interface {
		// Read reads the whole table.
		Read(ctx context.Context) (Reading[T], error)
		// Changes waits for rows changed after a version.
		Changes(ctx context.Context, after int64, wait time.Duration) (Reading[T], error)
		// Drop closes idle connections, which may have gone silent.
		Drop()
	}

	// Relay is a Source that knows the table from another instance, which
	// follows it for several. Its calls end by themselves.
	Relay[T any] interface {
		Source[T]
		// Use reports whether the next call should go there.
		Use() bool
	}

	// Sink takes what a Follower learns.
	Sink[T any] interface {
		// Replace takes the whole table, read from at on.
		Replace(rows []T, at clock.Time)
		// Change takes changed rows; rows may be empty: nothing changed up
		// to at.
		Change(rows []T, at clock.Time)
		// Away takes note that the store did not answer at a moment.
		Away(at clock.Time)
	}

	// Follower keeps a Sink up to date with a Source.
	Follower[T any] struct {
		Name   string // of the table, for logs
		Source Source[T]
		Relay  Relay[T] // asked in place of Source when it can be; nil: never
		Sink   Sink[T]
		Wait   time.Duration // how long to wait for changes in one call
		Gap    time.Duration // least time between the starts of two calls
		Reread time.Duration // the table is read whole this often at least; 0: never
		// Contact is shared with other followers of the store; nil: with none.
		// Rests says that this one waits for another's word while the store
		// is away.
		Contact *Contact
		Rests   bool
		// Backoff is the longest wait after a failed call, as of now; nil:
		// maxBackoff.
		Backoff func() time.Duration
		Log     zerolog.Logger

		version int64
		readAt  clock.Time
		fails   int
		lag     time.Duration // what the last answer took beyond the wait asked for
		relayed bool          // the last call went to the relay
		behind  bool          // the relay has failed since the last answer: knowledge has grown old
		away    clock.Time    // when the store was last away, as the relay says
	}
)

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := clock.Now()
		err := f.guarded(ctx, begun)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errPanicked) {
			f.Log.Error().Str("table", f.Name).Int64("version", f.version).Err(err).Msg("discovery: panic while a table was taken over; what is known stays")
			clock.Sleep(ctx, panicPause)
			continue
		}
		f.behind = errors.Is(err, errRelay)
		if f.behind {
			continue // the relay has noted why, and is not asked for a while
		}
		f.note(err, begun)
		if f.Rests && f.fails > 1 {
			f.Contact.await(ctx)
			continue
		}
		clock.Sleep(ctx, f.pause(err, clock.Now().Sub(begun)))
	}
	return nil
}

// guarded is step, and an error if that panics: a row that this process cannot take
// would end it each time that it starts and reads it.
func (f *Follower[T]) guarded(ctx context.Context, begun clock.Time) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v", errPanicked, v)
		}
	}()
	return f.step(ctx, begun)
}

// step makes one call.
func (f *Follower[T]) step(ctx context.Context, begun clock.Time) error {
	f.relayed = f.Relay != nil && f.Relay.Use()
	if f.relayed {
		return f.ask(ctx, begun)
	}
	whole := f.version == 0 || f.Reread > 0 && begun.Sub(f.readAt) > f.Reread
	limit, wait := f.patience()
	if whole {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, limit+wait)
	defer cancel()
	r, err := f.read(ctx, f.Source, whole, wait)
	if err != nil {
		return err
	}
	if took := clock.Now().Sub(begun); !whole && took >= wait {
		f.lag = took - wait // nothing had changed
	}
	f.take(r, whole, begun, begun)
	return nil
}

// ask makes one call to the relay. The instance that answers reads the table
// whole now and then, so that this one need not.
func (f *Follower[T]) ask(ctx context.Context, begun clock.Time) error {
	whole := f.version == 0
	r, err := f.read(ctx, f.Relay, whole, f.Wait)
	if errors.Is(err, ErrMissed) {
		return err
	}
	if err != nil {
		return errRelay
	}
	if r.Away > f.away {
		f.away = r.Away
		f.Sink.Away(r.Away)
	}
	f.take(r, whole, begun, r.Proved)
	f.readAt = begun
	return nil
}

func (f *Follower[T]) read(ctx context.Context, from Source[T], whole bool, wait time.Duration) (Reading[T], error) {
	if whole {
		return from.Read(ctx)
	}
	return from.Changes(ctx, f.version, wait)
}

// take hands over what a call that began at a moment has brought; it is
// complete up to proved.
func (f *Follower[T]) take(r Reading[T], whole bool, begun, proved clock.Time) {
	f.regained(begun)
	if whole {
		f.version, f.readAt = r.Version, begun
		f.Sink.Replace(r.Rows, proved)
		return
	}
	f.version = max(f.version, r.Version)
	f.Sink.Change(r.Rows, proved)
}

// patience is how long the next call may take beyond the wait for changes that
// it asks for. What it proves is as old as the call: a slow store is asked for a
// shorter wait, and one that has just failed to answer, or is asked since the relay
// has, for none.
func (f *Follower[T]) patience() (limit, wait time.Duration) {
	if f.fails > 0 {
		return slowAnswerTime, 0
	}
	limit = max(answerTime, lagRoom*f.lag)
	if f.behind {
		return limit, 0
	}
	return limit, max(0, f.Wait-f.lag)
}

// regained takes note of an answer of the store to a call that began at a
// moment. If calls had failed, the store has been away until about then.
func (f *Follower[T]) regained(at clock.Time) {
	if f.fails > 0 {
		f.Sink.Away(at)
	}
	if f.Contact != nil {
		f.Contact.answered()
	}
}

// note logs lost and regained contact, and has the table read anew after
// missed changes.
func (f *Follower[T]) note(err error, begun clock.Time) {
	switch {
	case err == nil && f.fails > 0:
		f.Log.Info().Str("table", f.Name).Int("failedCalls", f.fails).Int64("version", f.version).Msg("discovery: store regained")
		f.fails = 0
	case err == nil:
	case errors.Is(err, ErrMissed):
		f.version = 0
		f.Log.Warn().Str("table", f.Name).AnErr("cause", err).Msg("discovery: changes missed; table is read anew")
	default:
		if f.fails == 0 {
			f.Log.Warn().Str("table", f.Name).Int64("version", f.version).Dur("after", clock.Now().Sub(begun)).Err(err).Msg("discovery: store lost")
		}
		f.fails++
		f.Sink.Away(clock.Now())
		f.Source.Drop()
	}
}

// pause is how long to wait before the next call.
func (f *Follower[T]) pause(err error, took time.Duration) time.Duration {
	switch {
	case errors.Is(err, ErrMissed):
		return 0
	case err == nil && f.relayed:
		return max(min(f.Gap, relayGap)-took, 0)
	case err == nil:
		return max(f.Gap-took, 0)
	}
	longest := maxBackoff
	if f.Backoff != nil {
		longest = f.Backoff()
	}
	d := min(firstBackoff<<min(f.fails-1, 6), longest)
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}
