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

// errNotCached makes the caller read the whole table, which the cache needs when
// peers begin to ask for it.
var errNotCached = errors.New("relay: table is not cached")

// StoreReader reads a table from the store, and keeps the rows in Cache while peers ask
// for the table.
type StoreReader struct {
	Store platform.Reader
	Cache *Cache
}

// ReadAll reads the whole table.
func (s StoreReader) ReadAll(ctx context.Context, r platform.Range) (platform.Page, error) {
	start := clock.Now()
	p, err := s.Store.ReadAll(ctx, r)
	if servesPeers, _ := s.Cache.ServesPeers(start); !servesPeers {
		s.Cache.Clear()
	} else if err != nil {
		s.Cache.StoreFailed(clock.Now())
	} else {
		s.Cache.Replace(p.Rows, p.Version, start)
	}
	return p, err
}

// Changes waits for changed rows. Its error wraps discovery.ErrChangesMissed if peers
// have begun to ask for the table and the cache does not hold the table yet.
func (s StoreReader) Changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	start := clock.Now()
	servesPeers, questioned := s.Cache.ServesPeers(start)
	if !servesPeers {
		s.Cache.Clear()
	} else if !s.Cache.IsLoaded() {
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
				cancel(errNotCached)
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
	case err == nil && servesPeers:
		s.Cache.Apply(p.Rows, p.Version, start)
	case err != nil && errors.Is(context.Cause(ctx), errNotCached):
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrChangesMissed, errNotCached)
	case err != nil:
		s.Cache.StoreFailed(clock.Now())
	}
	return p, err
}

// CloseIdleConnections closes idle connections to the store.
func (s StoreReader) CloseIdleConnections() { s.Store.CloseIdleConnections() }
