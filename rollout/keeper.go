package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// TurnInterval is the delay between the turns of instances that have come to the same
	// decision, and MaxTurn the longest delay. Most instances learn of the change
	// before their turn.
	TurnInterval = 300 * time.Millisecond
	MaxTurn      = 2 * time.Second
)

// ErrTaken is wrapped by a Store's error if another instance has changed the status
// first.
var ErrTaken = errors.New("rollout: another instance has changed the status")

type (
	// Store holds the statuses and the evidence of all instances.
	Store interface {
		// WriteStatus writes a status if its condition holds, and returns it as written.
		// With an error that wraps ErrTaken it returns the current status.
		WriteStatus(ctx context.Context, c Change) (Status, error)
		// WriteEvidence writes evidence.
		WriteEvidence(ctx context.Context, e Evidence) error
	}

	// Keeper writes an instance's decisions and evidence to the store. Set its exported
	// fields before use.
	Keeper struct {
		Tracker        *Tracker
		Store          Store
		Turn           func(service string) time.Duration // delay before this instance writes a decision
		ObserveTargets func(service string, v Versions) TargetCounts
		Log            zerolog.Logger

		dueSince map[string]clock.Time // by service: since when a decision is due
	}
)

// Step writes the evidence and decisions that are due.
func (k *Keeper) Step(ctx context.Context, now clock.Time, storeNow time.Duration) {
	if !k.Tracker.Active() {
		return
	}
	for _, e := range k.Tracker.PendingEvidence(now) {
		k.writeEvidence(ctx, e)
	}
	due := map[string]clock.Time{}
	for _, c := range k.Tracker.Decide(now, storeNow, k.ObserveTargets) {
		since, ok := k.dueSince[c.Service]
		if !ok {
			since = now
		}
		due[c.Service] = since
		if now.Sub(since) >= k.Turn(c.Service) {
			k.writeStatus(ctx, c)
			due[c.Service] = now // after a failure, other instances get their turns first
		}
	}
	k.dueSince = due
}

func (k *Keeper) writeEvidence(ctx context.Context, e Evidence) {
	if err := k.Store.WriteEvidence(ctx, e); err != nil {
		k.Tracker.EvidenceWriteFailed(e)
		k.Log.Warn().Str("service", e.Service).Int64("order", e.Order).Err(err).Msg("rollout: writing evidence failed; will retry")
	}
}

func (k *Keeper) writeStatus(ctx context.Context, c Change) {
	st, err := k.Store.WriteStatus(ctx, c)
	taken := errors.Is(err, ErrTaken)
	if err == nil || taken && st.Row != 0 {
		k.Tracker.Status(st)
	}
	v := c.Verdict
	k.Log.Info().Str("service", c.Service).Int64("order", c.Order).Str("to", c.To).Stringer("state", c.State).Int64("rowBefore", c.If).Str("reason", c.Reason).
		Bool("bad", v.Bad).Bool("good", v.Good).Str("route", v.Route).Stringer("symptom", v.Symptom).Float64("score", v.Score).Float64("bound", v.Bound).
		Stringer("new", v.New).Stringer("old", v.Old).Int("callsHere", c.Calls.All).Int("trialsHere", c.Calls.Canary).Int("besidesHere", c.Calls.OtherNew).
		Bool("taken", taken).AnErr("error", err).Msg("rollout: status decided")
}
