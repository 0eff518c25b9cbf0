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

// Direct reads a table from the store, and keeps it in Cache while peers ask for it.
type Direct struct {
	Store platform.Reader
	Cache *Cache
}

// Whole reads the whole table.
func (d Direct) Whole(ctx context.Context, r platform.Range) (platform.Page, error) {
	start := clock.Now()
	p, err := d.Store.Whole(ctx, r)
	if servesPeers, _ := d.Cache.ServesPeers(start); !servesPeers {
		d.Cache.Clear()
	} else if err != nil {
		d.Cache.StoreFailed(clock.Now())
	} else {
		d.Cache.Replace(p.Rows, p.Version, start)
	}
	return p, err
}

// Changes waits for changed rows. Its error wraps discovery.ErrMissed if peers have
// begun to ask for the table and the cache does not hold it yet.
func (d Direct) Changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	start := clock.Now()
	servesPeers, questioned := d.Cache.ServesPeers(start)
	if !servesPeers {
		d.Cache.Clear()
	} else if !d.Cache.IsLoaded() {
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrMissed, errNotCached)
	}
	if servesPeers {
		wait = min(wait, d.Cache.maxWait)
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
	p, err := d.Store.Changes(ctx, table, after, wait)
	switch {
	case err == nil && servesPeers:
		d.Cache.Apply(p.Rows, p.Version, start)
	case err != nil && errors.Is(context.Cause(ctx), errNotCached):
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrMissed, errNotCached)
	case err != nil:
		d.Cache.StoreFailed(clock.Now())
	}
	return p, err
}

// Drop closes idle connections to the store.
func (d Direct) Drop() { d.Store.Drop() }
