package instance

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/poison"
)

const (
	// crashWriteTimeout bounds a write of crash records or of the claim of a probe, and
	// crashRetryDelay follows a failed write of records. Records that are not written are
	// known to the running instances, but not to those that start later.
	crashWriteTimeout    = 400 * time.Millisecond
	crashRetryDelay      = 200 * time.Millisecond
	maxCrashBatch        = 20 // edits in one write
	crashCleanupInterval = time.Minute
)

// persistCrashes writes the records of poison requests to the store, where starting
// instances read them.
func (i *Instance) persistCrashes(ctx context.Context) error {
	cleanup := time.NewTicker(crashCleanupInterval)
	defer cleanup.Stop()
	for ctx.Err() == nil {
		edits, more := i.poisonTracker.TakeEdits()
		if n := batchSize(edits); n > 0 {
			i.writeCrashEdits(ctx, edits, n)
			continue
		}
		i.awaitCrashes(ctx, more, cleanup.C)
	}
	return nil
}

// awaitCrashes waits for records to be written, and meanwhile evaluates crashes that begin to count
// and removes expired ones.
func (i *Instance) awaitCrashes(ctx context.Context, more <-chan struct{}, cleanup <-chan time.Time) {
	var due <-chan time.Time
	if wait := i.poisonTracker.UntilDue(clock.Now()); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-more:
	case <-due:
		i.poisonTracker.EvaluateIfDue(clock.Now())
	case <-cleanup:
		i.poisonTracker.Expire(clock.Now())
	case <-ctx.Done():
	}
}

// batchSize returns the number of leading edits to write in one call: only writes or only
// deletions, since a row may not be written and deleted in the same call.
func batchSize(edits []poison.Edit) int {
	n := 0
	for n < min(len(edits), maxCrashBatch) && (len(edits[n].Drop) > 0) == (len(edits[0].Drop) > 0) {
		n++
	}
	return n
}

// writeCrashEdits writes the first n edits and returns the others to the queue, or all
// edits if the write fails.
func (i *Instance) writeCrashEdits(ctx context.Context, edits []poison.Edit, n int) {
	writeCtx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	err := platform.CrashWriter{Store: i.store}.Apply(writeCtx, edits[:n])
	if err == nil {
		i.poisonTracker.RequeueEdits(edits[n:])
		return
	}
	i.log.Warn().Err(err).Int("edits", n).Msg("instance: crash records not written; will retry")
	i.poisonTracker.RequeueEdits(edits)
	clock.Sleep(ctx, crashRetryDelay)
}

// claimProbes claims the probes of one call, whose request or parts are quarantined. It
// returns false if another instance has claimed one of them or the store cannot be reached.
func (i *Instance) claimProbes(ctx context.Context, probes []poison.Probe) bool {
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	row, err := platform.CrashWriter{Store: i.store}.ClaimProbes(ctx, probes)
	if err != nil {
		i.log.Info().Stringer("fingerprint", probes[0].Fingerprint).Int("trial", probes[0].Count).AnErr("cause", err).Msg("instance: probe not claimed")
		return false
	}
	i.poisonTracker.RecordClaim(probes, row, clock.Now())
	return true
}
