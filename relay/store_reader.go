package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/discovery"
	"github.com/ragworthitch/ragworthitch/platform"
)

var (
	// errNotCached makes the caller read the whole table, which the cache needs.
	errNotCached = errors.New("relay: table is not cached")
	// errQuestioned ends a long call for changes when peers begin to ask for the table.
	errQuestioned = errors.New("relay: peers have begun to ask this instance")
)

// StoreReader reads a table from the store and keeps the rows in Cache.
type StoreReader struct {
	Store platform.Reader
	Cache *Cache
}

// ReadAll reads the whole table.
func (s StoreReader) ReadAll(ctx context.Context, r platform.Range) (platform.Page, error) {
	start := clock.Now()
	p, err := s.Store.ReadAll(ctx, r)
	if err != nil {
		s.Cache.StoreFailed(clock.Now())
		return p, err
	}
	s.Cache.Replace(p.Rows, p.Version, start)
	return p, nil
}

// Changes waits for changed rows. Its error wraps discovery.ErrChangesMissed if the cache
// does not hold the table as of the version, and discovery.ErrInterrupted if peers have
// begun to ask for the table, which they expect within a shorter wait.
func (s StoreReader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	start := clock.Now()
	servesPeers, questioned := s.Cache.ServesPeers(start)
	if !s.Cache.covers(after) {
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrChangesMissed, errNotCached)
	}
	if servesPeers {
		wait = min(wait, s.Cache.maxWait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !servesPeers {
		go func() {
			select {
			case <-questioned:
				cancel(errQuestioned)
			case <-ctx.Done():
			}
		}()
	}
	if servesPeers {
		var cancelTimeout context.CancelFunc
		ctx, cancelTimeout = context.WithTimeout(ctx, wait+answerTimeout)
		defer cancelTimeout()
	}
	p, err := s.Store.Changes(ctx, table, after, wait)
	switch {
	case err == nil:
		s.Cache.Apply(p.Rows, p.Version, start)
	case errors.Is(context.Cause(ctx), errQuestioned):
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrInterrupted, errQuestioned)
	default:
		s.Cache.StoreFailed(clock.Now())
	}
	return p, err
}

// CloseIdleConnections closes idle connections to the store.
func (s StoreReader) CloseIdleConnections() { s.Store.CloseIdleConnections() }
