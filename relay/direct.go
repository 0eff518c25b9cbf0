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

// errNotHeld is why a table is read whole though no changes were missed: others
// have begun to ask for it.
var errNotHeld = errors.New("relay: table is not held whole")

// Direct reads a table from the store, and keeps it in Cache while other
// instances ask for it.
type Direct struct {
	Store platform.Reader
	Cache *Cache
}

// Whole reads the table.
func (d Direct) Whole(ctx context.Context, r platform.Range) (platform.Page, error) {
	begun := clock.Now()
	p, err := d.Store.Whole(ctx, r)
	if asked, _ := d.Cache.Asked(begun); !asked {
		d.Cache.Drop()
	} else if err != nil {
		d.Cache.Failed(clock.Now())
	} else {
		d.Cache.Replace(p.Rows, p.Version, begun)
	}
	return p, err
}

// Changes waits for changed rows. It returns an error that wraps
// discovery.ErrMissed if the table has to be read whole for others.
func (d Direct) Changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Page, error) {
	begun := clock.Now()
	asked, begins := d.Cache.Asked(begun)
	if !asked {
		d.Cache.Drop()
	} else if !d.Cache.Holds() {
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrMissed, errNotHeld)
	}
	if asked {
		wait = min(wait, d.Cache.wait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !asked {
		go func() {
			select {
			case <-begins:
				cancel(errNotHeld)
			case <-ctx.Done():
			}
		}()
	}
	if asked {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, wait+answerTime)
		defer end()
	}
	p, err := d.Store.Changes(ctx, table, after, wait)
	switch {
	case err == nil && asked:
		d.Cache.Change(p.Rows, p.Version, begun)
	case err != nil && errors.Is(context.Cause(ctx), errNotHeld):
		return platform.Page{}, fmt.Errorf("%w: %w", discovery.ErrMissed, errNotHeld)
	case err != nil:
		d.Cache.Failed(clock.Now())
	}
	return p, err
}

// Drop closes idle connections to the store.
func (d Direct) Drop() { d.Store.Drop() }
