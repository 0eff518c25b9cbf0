package ingress

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// barredWaitShare of the latency objective is how long a call waits for the end of a
	// backoff. The answer can then still be in time.
	barredWaitShare = 0.5
	// maxNamedTargets is the number of targets that the cause of a rejected call names.
	maxNamedTargets = 20
	// retryAfterSpread is the ratio of the longest to the shortest Retry-After of one cause.
	retryAfterSpread = (1 + retryAfterVariation) / (1 - retryAfterVariation)
)

// barredTargets are the barred targets of a service, if all are.
type barredTargets struct {
	all     bool
	names   []string
	nextEnd time.Duration // until the first backoff ends; 0: there is none
}

// countKept counts a call, once, that is kept from a target for another reason than the
// target's health.
func (c *activeCall) countKept(m *registry.Member, now clock.Time) {
	if c.keptFromBarred || m.Barred(now) == nil {
		return
	}
	c.keptFromBarred = true
	c.h.stats.keptCalls.Inc(1)
}

// barredTargets returns the targets that the call might be sent to, if all are barred, and
// otherwise the zero value.
func (c *activeCall) barredTargets(now clock.Time) barredTargets {
	var b barredTargets
	excludes := c.exclusions(now)
	for _, m := range c.h.targets.Service(c.service()) {
		if excludes(m) {
			continue
		}
		err := m.Barred(now)
		if err == nil {
			return barredTargets{}
		}
		b.names = append(b.names, m.Target().ID())
		if wait := m.Backoff().Remaining(now); errors.Is(err, registry.ErrBackoff) && (b.nextEnd == 0 || wait < b.nextEnd) {
			b.nextEnd = wait
		}
	}
	b.all = len(b.names) > 0
	return b
}

// awaitBackoff waits for a target that asked for a backoff, if no target accepts the call and
// the backoff ends soon enough for the call to be in time. It reports whether it has waited.
func (c *activeCall) awaitBackoff(ctx context.Context) bool {
	now := clock.Now()
	maxWait := time.Duration(barredWaitShare*float64(c.grant.Route.Objective())) - now.Sub(c.call.Received)
	shortest := time.Duration(math.MaxInt64)
	excludes := c.exclusions(now)
	for _, m := range c.h.targets.Service(c.service()) {
		if c.tried.has(m) || excludes(m) {
			continue
		}
		if m.AcceptsCalls(now) {
			return false
		}
		err := m.Barred(now)
		if err != nil && !errors.Is(err, registry.ErrBackoff) || !m.Health().Usable(now) {
			continue
		}
		shortest = min(shortest, m.Backoff().Wait(now))
	}
	return shortest <= maxWait && clock.Sleep(ctx, max(shortest, time.Millisecond))
}

// barredRetryAfter returns the time after which to retry a call for which all targets are
// barred. It is not before the end of the first backoff, unless callers do not wait that long.
func (c *activeCall) barredRetryAfter(b barredTargets, now clock.Time) time.Duration {
	if b.nextEnd == 0 {
		return varied(noTargetRetryAfter)
	}
	earliest, latest := b.nextEnd, scaled(retryAfterSpread, b.nextEnd)
	if c.call.Timeout > 0 {
		latest = min(latest, scaled(maxReturnShare*(1+retryAfterVariation), c.remaining(now)))
	}
	if earliest > latest {
		earliest = scaled(1/retryAfterSpread, latest)
	}
	return max(earliest+scaled(rand.Float64(), latest-earliest), time.Millisecond)
}

// rejectBarred rejects a call, which has not run, if all targets are barred. It reports
// whether it did.
func (c *activeCall) rejectBarred(cause string) bool {
	now := clock.Now()
	b := c.barredTargets(now)
	if !b.all {
		return false
	}
	c.h.stats.barredCalls.Inc(1)
	c.rejectUnvaried(fmt.Sprintf("%s; %s", cause, b), c.barredRetryAfter(b, now))
	return true
}

// String names the targets.
func (b barredTargets) String() string {
	names, more := b.names, ""
	if len(names) > maxNamedTargets {
		names, more = names[:maxNamedTargets], fmt.Sprintf(" and %d more", len(b.names)-maxNamedTargets)
	}
	return "targets that drain or asked for a backoff: " + strings.Join(names, " ") + more
}
