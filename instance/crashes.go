package instance

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/poison"
)

const (
	// crashTime bounds a try to change the rows of crashes, and crashPause is between
	// one that failed and the next. What is not kept is known by all instances that
	// run, but not by those that start.
	crashTime  = 400 * time.Millisecond
	crashPause = 200 * time.Millisecond
	// crashBatch is how many changes are made in one call, and forgetEvery how often
	// it is looked for what is too old.
	crashBatch  = 20
	forgetEvery = time.Minute
)

// keepCrashes keeps what is known of requests that crash targets in the store, so
// that instances that start know it.
func (i *Instance) keepCrashes(ctx context.Context) error {
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for ctx.Err() == nil {
		edits, more := i.crashes.Take()
		if n := batch(edits); n > 0 {
			i.makeEdits(ctx, edits, n)
			continue
		}
		select {
		case <-more:
		case <-forget.C:
			i.crashes.Forget(clock.Now())
		case <-ctx.Done():
		}
	}
	return nil
}

// batch is how many of the first edits are made together: a row is not written and
// dropped in one call.
func batch(edits []poison.Edit) int {
	n := 0
	for n < min(len(edits), crashBatch) && (len(edits[n].Drop) > 0) == (len(edits[0].Drop) > 0) {
		n++
	}
	return n
}

// makeEdits makes the first n edits, and gives back those that are left.
func (i *Instance) makeEdits(ctx context.Context, edits []poison.Edit, n int) {
	mctx, cancel := context.WithTimeout(ctx, crashTime)
	defer cancel()
	err := platform.CrashKeeper{Store: i.store}.Make(mctx, edits[:n])
	if err == nil {
		i.crashes.Return(edits[n:])
		return
	}
	i.log.Warn().Err(err).Int("edits", n).Msg("instance: crashes not kept; tried again")
	i.crashes.Return(edits)
	clock.Sleep(ctx, crashPause)
}

// claimTrial takes a trial of a condemned request, unless another instance has.
func (i *Instance) claimTrial(ctx context.Context, t poison.Trial) bool {
	ctx, cancel := context.WithTimeout(ctx, crashTime)
	defer cancel()
	row, err := platform.CrashKeeper{Store: i.store}.Claim(ctx, t)
	if err != nil {
		i.log.Info().Stringer("fingerprint", t.Print).Int("trial", t.Count).AnErr("cause", err).Msg("instance: trial left to others")
		return false
	}
	return i.crashes.Claim(t, row, clock.Now())
}
