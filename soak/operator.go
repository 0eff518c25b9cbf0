package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	// writeTimeout bounds one attempt to write a version; writeNextVersion retries
	// until the store acknowledges the version.
	writeTimeout       = 2 * time.Second
	writeRetryInterval = 100 * time.Millisecond
)

// operator writes versions of the desired state.
type operator struct {
	storeAddr   string
	maxAttempts int // of all routes
	http        http.Client

	mu      sync.Mutex
	changes []Change
	writeMu sync.Mutex // serialises versions
}

// writeNextVersion writes the next version and retries until the store acknowledges it or
// ctx ends.
func (o *operator) writeNextVersion(ctx context.Context) error { return o.writeVersion(ctx, true) }

// writeVersion is like writeNextVersion; without keys the version has no organisations.
func (o *operator) writeVersion(ctx context.Context, withKeys bool) error {
	o.writeMu.Lock()
	defer o.writeMu.Unlock()
	v := o.latestVersion() + 1
	value, err := desiredState(v, o.maxAttempts, withKeys)
	if err != nil {
		return err
	}
	c := Change{Version: v, AddedRoute: routePath(v), AddedKey: keyOf(v), SentAt: time.Now().UnixNano()}
	if v > activeRoutes {
		c.RemovedRoute = routePath(v - activeRoutes)
	}
	if v > activeKeys {
		c.RevokedKey = keyOf(v - activeKeys)
	}
	if !withKeys {
		c.AddedKey, c.NoKeys = "", true
	}
	o.mu.Lock()
	o.changes = append(o.changes, c)
	o.mu.Unlock()
	row := platform.ExternalRow{Table: platform.TableOperator, Key: platform.KeyDesired, Value: value}
	for {
		if row.Send(&o.http, o.storeAddr) == nil {
			break
		}
		if !clock.Sleep(ctx, writeRetryInterval) {
			return nil // the execution is over
		}
	}
	o.mu.Lock()
	o.changes[v-1].AckedAt = time.Now().UnixNano()
	o.mu.Unlock()
	return nil
}

// latestVersion returns the newest version that was sent; 0: none.
func (o *operator) latestVersion() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.changes)
}

func (o *operator) allChanges() []Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Change(nil), o.changes...)
}
