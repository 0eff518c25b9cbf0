package soak

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// noKeysFrom and noKeysFor are when the plans' versions without organisations are in force:
	// before the faults, since nearly all calls are rejected meanwhile.
	noKeysFrom = 500 * time.Millisecond
	noKeysFor  = 2 * time.Second
	// keyNever is in no version.
	keyNever = "key-never"
)

// takeKeys writes a version without organisations, and one with keys at the end of the fault.
func (x *execution) takeKeys(ctx context.Context, f Fault) error {
	if err := x.operator.writeVersion(ctx, false); err != nil {
		return err
	}
	clock.Sleep(ctx, f.Duration())
	return x.operator.writeNextVersion(ctx)
}

// checkNeverValid checks that no call with a key that no version had has run.
func (c *checker) checkNeverValid(call *Call) {
	if call.Key == keyNever && len(c.attempts[call.ID]) > 0 {
		c.addViolation(RuleRevoked, call.SentAt, "call %s ran with %s, which no version had", call.ID, call.Key)
	}
}

// checkNoKeys checks that no call has run that was sent after all keys were removed, before
// the next version.
func (c *checker) checkNoKeys(call *Call) {
	for i, ch := range c.history.Changes {
		if !ch.NoKeys || ch.AckedAt == 0 || call.SentAt <= ch.AckedAt+int64(revokeDelay) || c.nextSentAt(i) < call.EndedAt {
			continue
		}
		if len(c.attempts[call.ID]) > 0 {
			c.addViolation(RuleRevoked, call.SentAt, "call %s ran with %s, though version %d had removed all keys %.1f s before", call.ID, call.Key, ch.Version, seconds(call.SentAt-ch.AckedAt))
		}
	}
}

// nextSentAt returns when the version after change i was sent, or the end of time.
func (c *checker) nextSentAt(i int) int64 {
	if i+1 < len(c.history.Changes) {
		return c.history.Changes[i+1].SentAt
	}
	return 1<<63 - 1
}

// mayLackKeys reports whether a version without keys may be in force when the instance handles
// the call.
func (c *checker) mayLackKeys(call *Call) bool {
	for i, ch := range c.history.Changes {
		if !ch.NoKeys || ch.SentAt > call.EndedAt {
			continue
		}
		if i+1 == len(c.history.Changes) || !c.mustBeInForce(c.history.Changes[i+1], call) {
			return true
		}
	}
	return false
}
