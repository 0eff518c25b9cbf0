package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// maxDials limits the targets that are dialled for one call, since each dial may take
	// upstream.DialTimeout.
	maxDials = 4
	// hedgeDelayShare of the latency objective is the time after which a safe call without
	// an answer is also sent to a second target, whose answer can still be in time.
	hedgeDelayShare = 0.6
	// minHedgeDelay prevents hedging of every call on routes with a very low objective.
	minHedgeDelay  = 40 * time.Millisecond
	maxAnswerBytes = 8 << 20
	// hungAfter is the time without an answer after which a cancelled attempt counts as a
	// failure of its target.
	hungAfter = 400 * time.Millisecond
)

var errAnswerTooLarge = errors.New("ingress: answer is larger than 8 MiB")

// attemptResult is the result of one attempt of a plain call.
type attemptResult struct {
	member *registry.Member
	reply  *Reply
	body   []byte
	err    error
}

// servePlain serves a call of a plain service. It reads the whole answer before it sends
// any of it, so that a truncated answer never reaches the caller.
func (c *activeCall) servePlain(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other attempts
	safe := c.grant.Route.Kind() == ragworthitch.CallSafe
	results := make(chan attemptResult, maxDials+c.grant.Route.MaxAttempts())
	pending, dials := 0, 0
	startAttempt := func() bool {
		if dials >= maxDials {
			return false
		}
		m := c.pickPlain(clock.Now())
		if m == nil || !c.permitAttempt(ctx) {
			return false
		}
		dials++
		pending++
		c.h.rollouts.Sent(c.service(), m.Target().Version(), c.role, c.attempts > 0)
		c.attempts++
		c.tried.add(m)
		go func() { results <- c.sendPlainCatchingPanic(ctx, m) }()
		return true
	}
	startAttempt()
	hedge := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(c.grant.Route.Objective()))))
	defer hedge.Stop()
	var lastFailure *attemptResult // an answer with an error status, sent to the caller if no attempt succeeds
	var cause error
	for pending > 0 {
		select {
		case result := <-results:
			pending--
			if c.deliver(result) {
				return
			}
			switch {
			case result.err != nil:
				cause = result.err
			case !result.reply.notRun():
				lastFailure = &result
			}
			if st, ok := c.quarantined(); ok {
				c.answerQuarantined(st)
				return
			}
			if c.mayHaveRun && !safe {
				break // an unsafe call runs at most once
			}
			startAttempt()
		case <-hedge.C:
			if safe && pending > 0 && startAttempt() {
				c.h.stats.hedged.Inc(1)
			}
		case <-ctx.Done():
			for ; pending > 0; pending-- { // the attempts end with ctx
				if c.deliver(<-results) {
					return
				}
			}
			c.failExpired(ctx)
			return
		}
	}
	if lastFailure != nil {
		c.logFailure(lastFailure.reply.Status, "target failed the call", nil)
		c.writeAnswer(lastFailure)
		return
	}
	c.fail(http.StatusBadGateway, "no target answered", cause)
}

// deliver records the result of an attempt. It sends a successful answer to the caller and
// reports whether it did.
func (c *activeCall) deliver(result attemptResult) bool {
	switch {
	case result.err != nil && errors.Is(result.err, upstream.ErrNotSent):
		c.revertAttempt()
		return false
	case result.err != nil:
		c.mayHaveRun = true
		return false
	case result.reply.notRun():
		return false
	}
	c.mayHaveRun = true
	c.recordNoCrash()
	if result.reply.isFailure() {
		return false
	}
	c.recordAnswer(result.member, result.reply.Status)
	c.h.stats.plainTime.Record(clock.Now().Sub(c.call.Received))
	c.writeAnswer(&result)
	return true
}

// sendPlainCatchingPanic is like sendPlain and returns a panic as an error.
func (c *activeCall) sendPlainCatchingPanic(ctx context.Context, m *registry.Member) attemptResult {
	result := attemptResult{member: m}
	if err := c.h.catchPanic(c.call.ID, func() { result = c.sendPlain(ctx, m) }); err != nil {
		result.err = err
	}
	return result
}

// sendPlain sends the call to m and reads the whole answer. The attempt is cancelled when
// the target's boot ends.
func (c *activeCall) sendPlain(parent context.Context, m *registry.Member) attemptResult {
	startedAt := clock.Now()
	_, end := m.Work().Begin(0, 0)
	defer end()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	sentWallTime := time.Now()
	defer context.AfterFunc(m.Life(), func() {
		if m.Lost(sentWallTime) {
			cancel()
		}
	})()
	result := attemptResult{member: m}
	r := &AttemptRequest{Call: c.call, Target: m.Target(), Member: m, Org: c.grant.Org, Remaining: c.remaining(startedAt)}
	result.reply, result.err = c.h.sender.Send(ctx, r)
	if result.err == nil {
		result.body, result.err = readBody(result.reply.Body)
	}
	c.recordHealth(parent, result, startedAt)
	return result
}

// recordHealth records what the result of an attempt says about its target's health.
func (c *activeCall) recordHealth(ctx context.Context, result attemptResult, startedAt clock.Time) {
	now := clock.Now()
	took := now.Sub(startedAt)
	switch {
	case result.err != nil && ctx.Err() != nil:
		if took > hungAfter {
			result.member.Health().Answered(now, took, true)
		}
	case errors.Is(result.err, upstream.ErrNotSent):
		c.eject(result.member, health.CauseRefused, result.err)
	case result.err != nil:
		result.member.Health().Answered(now, took, true)
		go c.investigatePlainLoss(result.member, startedAt)
		c.recordPlainSymptoms(result, startedAt, took)
		c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.print).Str("target", result.member.Target().ID()).Dur("after", took).Err(result.err).Msg("ingress: target sent no complete answer")
	case result.reply.WrongTarget:
		c.dropStaleEntry(result.member)
	default:
		result.member.Health().Answered(now, took, result.reply.isFailure())
		c.recordPlainSymptoms(result, startedAt, took)
	}
}

// failExpired answers a call whose deadline has passed or whose caller has disconnected.
func (c *activeCall) failExpired(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.abandon()
	}
	c.fail(http.StatusGatewayTimeout, "deadline exceeded", ctx.Err())
}

// writeAnswer sends a whole answer to the caller.
func (c *activeCall) writeAnswer(result *attemptResult) {
	copyHeaders(c.w, result.reply)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	c.w.WriteHeader(result.reply.Status)
	if _, err := c.w.Write(result.body); err != nil {
		c.h.log.Info().Str("request", c.call.ID).Err(err).Msg("ingress: caller disconnected before the answer was written")
	}
}

func readBody(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	b, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrSent, err)
	}
	if len(b) > maxAnswerBytes {
		return nil, fmt.Errorf("%w: %w", upstream.ErrSent, errAnswerTooLarge)
	}
	return b, nil
}
