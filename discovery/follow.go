// Package discovery follows tables of the platform's store: it reads a table
// once, then polls for changes, reads the whole table again when changes were
// missed, and reports how stale its data is.
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
	// initialBackoff and maxBackoff bound the delay after a failed call. They are
	// short, so that a starting instance reads the tables soon after the store, which
	// answers in 4 ms, is available again.
	initialBackoff = 30 * time.Millisecond
	maxBackoff     = 300 * time.Millisecond
	// responseTimeout is how long the store may take beyond the requested wait
	// before the call is abandoned and idle connections are closed.
	responseTimeout = 400 * time.Millisecond
	// slowResponseTimeout replaces responseTimeout after a failed call, so that a
	// slow store, which takes some 50 times its usual 4 to 8 ms, can still be read. For a
	// whole table it applies to each page, as the table may be larger than a slow link
	// carries in that time. The first read has the short time for all pages: peers with
	// fast links often have the table sooner.
	slowResponseTimeout = 1500 * time.Millisecond
	// minRelayInterval is the minimum time between the starts of two calls to a
	// relay, which answers as soon as a row changes: changes that follow each other
	// closely are fetched together.
	minRelayInterval = 50 * time.Millisecond
	panicRetryDelay  = time.Second
	// latencyFactor times the latency of the last answer is the timeout of the next
	// call, if that is longer than responseTimeout.
	latencyFactor = 2
)

var (
	// ErrChangesMissed is returned by a Source when the changes since a version are no
	// longer available: the whole table has to be read again.
	ErrChangesMissed = errors.New("discovery: changes were missed")

	// ErrInterrupted is returned by a Source that ended a call early: the call should be
	// repeated at once.
	ErrInterrupted = errors.New("discovery: call interrupted")

	errRelayFailed = errors.New("discovery: relay failed")
	errPanicked    = errors.New("discovery: panic")
)

type (
	// ReadResult is the result of a call to a Source.
	ReadResult[T any] struct {
		Rows    []T
		Version int64
		// Relayed is set if another instance read the rows from the store. AsOf and
		// UnavailableAt are set only if Relayed is.
		Relayed       bool
		AsOf          clock.Time // Rows contains all changes up to this time
		UnavailableAt clock.Time // when the store last failed to answer that instance; 0: never
	}

	// Source is a table of the store.
	Source[T any] interface {
		// Read reads the whole table, page by page. Each page may take pageTimeout.
		Read(ctx context.Context, pageTimeout time.Duration) (ReadResult[T], error)
		// Changes waits for rows that changed after a version, at most for wait.
		Changes(ctx context.Context, after int64, wait time.Duration) (ReadResult[T], error)
		// CloseIdleConnections closes idle connections, which may be broken.
		CloseIdleConnections()
	}

	// Relay is a Source that reads the table from another instance, which polls
	// the store for several. Its calls have timeouts of their own.
	Relay[T any] interface {
		Source[T]
		// ShouldAsk reports whether the next call should go to the relay.
		ShouldAsk() bool
	}

	// Sink receives the rows of a table from a Follower.
	Sink[T any] interface {
		// Replace sets the whole table; rows contains all changes up to at.
		Replace(rows []T, at clock.Time)
		// ApplyChanges applies all changes up to at; rows may be empty.
		ApplyChanges(rows []T, at clock.Time)
		// MarkUnavailable records that the store was unavailable at a time.
		MarkUnavailable(at clock.Time)
	}

	// Follower copies a table from a Source to a Sink and keeps the copy up to date.
	Follower[T any] struct {
		Name           string // of the table, for logs
		Source         Source[T]
		Relay          Relay[T] // called in place of Source while its ShouldAsk returns true; nil: never
		Sink           Sink[T]
		MaxWait        time.Duration // how long a call waits for changes
		MinInterval    time.Duration // minimum time between the starts of two calls
		RereadInterval time.Duration // interval of reads of the whole table; 0: never
		// FirstPollDelay is the least time from the first call to Source to the next one. It
		// leaves time to find peers that can be asked instead.
		FirstPollDelay time.Duration
		// Recovery is shared with the other followers of the store; nil: not shared.
		// With AwaitsRecovery, this follower waits for another follower's successful
		// call after two failed calls of its own.
		Recovery       *RecoverySignal
		AwaitsRecovery bool
		// MaxBackoff returns the maximum delay after a failed call; nil: maxBackoff.
		MaxBackoff func() time.Duration
		Log        zerolog.Logger

		loaded        bool // the whole table has been read, and no changes were missed since
		version       int64
		lastFullRead  clock.Time
		failures      int
		latency       time.Duration // of the last answer, beyond the requested wait
		viaRelay      bool          // the last call went to the relay
		relayFailed   bool          // the last call went to the relay and failed
		unavailableAt clock.Time    // when the store was last unavailable, as reported by the relay
	}
)

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start := clock.Now()
		err := f.pollRecovering(ctx, start)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, errPanicked) {
			f.Log.Error().Str("table", f.Name).Int64("version", f.version).Err(err).Msg("discovery: panic while applying rows; keeping the previous ones")
			clock.Sleep(ctx, panicRetryDelay)
			continue
		}
		f.relayFailed = errors.Is(err, errRelayFailed)
		if f.relayFailed || errors.Is(err, ErrInterrupted) {
			continue // the relay logs the cause and returns false from ShouldAsk for a while
		}
		f.recordOutcome(err, start)
		if f.AwaitsRecovery && f.failures > 1 {
			f.Recovery.wait(ctx)
			continue
		}
		delay := f.nextDelay(err, clock.Now().Sub(start))
		if err == nil {
			delay = max(delay, f.FirstPollDelay)
			f.FirstPollDelay = 0
		}
		clock.Sleep(ctx, delay)
	}
	return nil
}

// pollRecovering calls poll and turns a panic into an error, so that a row that makes
// a decoder or sink panic doesn't crash every instance that reads the row.
func (f *Follower[T]) pollRecovering(ctx context.Context, start clock.Time) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v", errPanicked, v)
		}
	}()
	return f.poll(ctx, start)
}

// poll makes one call to the relay or the source and delivers the result.
func (f *Follower[T]) poll(ctx context.Context, start clock.Time) error {
	f.viaRelay = f.Relay != nil && f.Relay.ShouldAsk()
	if f.viaRelay {
		return f.pollRelay(ctx, start)
	}
	full := !f.loaded || f.RereadInterval > 0 && start.Sub(f.lastFullRead) > f.RereadInterval
	timeout, wait := f.callLimits()
	if full {
		wait = 0
	}
	if !full || f.failures == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout+wait)
		defer cancel()
	}
	result, err := f.fetch(ctx, f.Source, full, timeout, wait)
	if err != nil {
		return err
	}
	if elapsed := clock.Now().Sub(start); !full && elapsed >= wait {
		f.latency = elapsed - wait // no rows changed: the source waited for the full time
	}
	f.deliver(result, full, start, start)
	return nil
}

// pollRelay makes one call to the relay. The answering instance rereads the whole
// table regularly, so this one skips its own rereads.
func (f *Follower[T]) pollRelay(ctx context.Context, start clock.Time) error {
	full := !f.loaded
	result, err := f.fetch(ctx, f.Relay, full, 0, f.MaxWait)
	if errors.Is(err, ErrChangesMissed) {
		return err
	}
	if err != nil {
		return errRelayFailed
	}
	if result.UnavailableAt > f.unavailableAt {
		f.unavailableAt = result.UnavailableAt
		f.Sink.MarkUnavailable(result.UnavailableAt)
	}
	f.deliver(result, full, start, result.AsOf)
	f.lastFullRead = start
	return nil
}

func (f *Follower[T]) fetch(ctx context.Context, source Source[T], full bool, pageTimeout, wait time.Duration) (ReadResult[T], error) {
	if full {
		return source.Read(ctx, pageTimeout)
	}
	return source.Changes(ctx, f.version, wait)
}

// deliver passes the result of a call that began at start to the sink. The result
// contains all changes up to completeAt.
func (f *Follower[T]) deliver(r ReadResult[T], full bool, start, completeAt clock.Time) {
	f.recordAnswer(start)
	if full {
		f.loaded, f.version, f.lastFullRead = true, r.Version, start
		f.Sink.Replace(r.Rows, completeAt)
		return
	}
	f.version = max(f.version, r.Version)
	f.Sink.ApplyChanges(r.Rows, completeAt)
}

// callLimits returns the wait to request in the next call and the timeout beyond that
// wait. The sink's data is as stale as the call is long, so the wait shrinks as the
// latency of the store grows, and is zero after a failed call to the store or relay.
func (f *Follower[T]) callLimits() (timeout, wait time.Duration) {
	if f.failures > 0 {
		return slowResponseTimeout, 0
	}
	timeout = max(responseTimeout, latencyFactor*f.latency)
	if f.relayFailed {
		return timeout, 0
	}
	return timeout, max(0, f.MaxWait-f.latency)
}

// recordAnswer handles an answer to a call that began at a time. After failed calls,
// the store counts as unavailable until that time.
func (f *Follower[T]) recordAnswer(at clock.Time) {
	if f.failures > 0 {
		f.Sink.MarkUnavailable(at)
	}
	if f.Recovery != nil {
		f.Recovery.broadcast()
	}
}

// recordOutcome logs when the store becomes unavailable and available again, and makes
// the next call read the whole table if changes were missed.
func (f *Follower[T]) recordOutcome(err error, start clock.Time) {
	switch {
	case err == nil && f.failures > 0:
		f.Log.Info().Str("table", f.Name).Int("failedCalls", f.failures).Int64("version", f.version).Msg("discovery: store available again")
		f.failures = 0
	case err == nil:
	case errors.Is(err, ErrChangesMissed):
		f.loaded = false
		f.Log.Warn().Str("table", f.Name).AnErr("cause", err).Msg("discovery: changes missed; reading the whole table again")
	default:
		if f.failures == 0 {
			f.Log.Warn().Str("table", f.Name).Int64("version", f.version).Dur("after", clock.Now().Sub(start)).Err(err).Msg("discovery: store unavailable")
		}
		f.failures++
		f.Sink.MarkUnavailable(clock.Now())
		f.Source.CloseIdleConnections()
	}
}

// nextDelay returns how long to wait before the next call. Delays after failures grow
// exponentially, with jitter.
func (f *Follower[T]) nextDelay(err error, elapsed time.Duration) time.Duration {
	switch {
	case errors.Is(err, ErrChangesMissed):
		return 0
	case err == nil && f.viaRelay:
		return max(min(f.MinInterval, minRelayInterval)-elapsed, 0)
	case err == nil:
		return max(f.MinInterval-elapsed, 0)
	}
	maxDelay := maxBackoff
	if f.MaxBackoff != nil {
		maxDelay = f.MaxBackoff()
	}
	delay := min(initialBackoff<<min(f.failures-1, 6), maxDelay)
	return time.Duration(float64(delay) * (0.5 + rand.Float64()))
}
