package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// maxDials limits the targets that are dialled for one call, since each dial may take
	// upstream.DialTimeout. Refused dials, which take a round trip, do not count.
	maxDials = 4
	// hedgeDelayShare of the latency objective is the time after which a safe call without
	// an answer is also sent to a second target, whose answer can still be in time.
	hedgeDelayShare = 0.6
	// minHedgeDelay prevents hedging of every call on routes with a very low objective.
	minHedgeDelay = 40 * time.Millisecond
	// maxBufferedBytes is the largest answer that is read whole before any of it is sent
	// to the caller. The rest of a larger one is passed on as it is read, so that a slow
	// caller takes little memory; the call then cannot be retried.
	maxBufferedBytes = 16 << 10
	// maxFailureBytes is the largest answer to a stream that is not a stream.
	maxFailureBytes = 64 << 10
	// hungAfter is the time without an answer after which a cancelled attempt counts as a
	// failure of its target.
	hungAfter = 400 * time.Millisecond
)

// attemptResult is the result of one attempt of a plain call.
type attemptResult struct {
	member *registry.Member
	reply  *Reply
	body   []byte
	rest   io.Reader // what follows body; nil: body is the whole answer
	err    error
	// checkEnd returns an error unless the answer, read to its end, is whole.
	checkEnd func() error
	end      func() // ends the attempt at its target, if rest is not nil
}

// close ends the attempt if it is still in progress.
func (r *attemptResult) close() {
	if r.rest == nil {
		return
	}
	r.reply.Body.Close()
	r.end()
}

// servePlain serves a call of a plain service. An answer of up to maxBufferedBytes is read
// whole before it is sent, so that the call can be retried if the answer is truncated.
func (c *activeCall) servePlain(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	safe := c.grant.Route.Kind() == ragworthitch.CallSafe
	results := make(chan attemptResult, maxDials)
	pending, dials := 0, 0
	defer func() {
		cancel() // ends the other attempts
		if pending > 0 {
			go closeAll(results, pending)
		}
	}()
	startAttempt := func() bool {
		if dials >= maxDials {
			return false
		}
		m, permit, isTest := c.selectPlain(ctx)
		if m == nil {
			return false
		}
		dials++
		pending++
		c.h.rollouts.Sent(c.service(), m.Target().Version(), c.role, c.attempts > 0)
		c.attempts++
		c.tried.add(m)
		go func() { results <- c.sendPlainCatchingPanic(ctx, m, permit, isTest) }()
		return true
	}
	for !startAttempt() && (c.awaitTest(ctx) || c.awaitPermit(ctx) || c.awaitBackoff(ctx)) {
	}
	hedge := time.NewTimer(max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(c.grant.Route.Objective()))))
	defer hedge.Stop()
	var lastFailure *attemptResult // an answer with an error status, sent to the caller if no attempt succeeds
	var cause error
	for pending > 0 {
		select {
		case result := <-results:
			pending--
			defer result.close()
			if c.deliver(result) {
				return
			}
			switch {
			case result.err != nil:
				cause = result.err
				if isRefused(result.err) {
					dials--
				}
			case !result.reply.notRun():
				lastFailure = &result
			default:
				result.close()
			}
			if st, ok := c.quarantined(); ok {
				c.answerQuarantined(st)
				return
			}
			if c.mayHaveRun && !safe {
				break // an unsafe call runs at most once
			}
			for !startAttempt() && pending == 0 && dials < maxDials && c.awaitTest(ctx) {
			}
		case <-hedge.C:
			c.onlyUnlimited = true
			if safe && pending > 0 && startAttempt() {
				c.h.stats.hedged.Inc(1)
			}
			c.onlyUnlimited = false
		case <-ctx.Done():
			for pending > 0 { // the attempts end with ctx
				pending--
				result := <-results
				defer result.close()
				if c.deliver(result) {
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

// selectPlain selects the target of the next attempt and takes what the attempt needs: a
// retry out of the retry budget, unless it is the first one, and the target's permit. The
// target is nil if there is none.
func (c *activeCall) selectPlain(ctx context.Context) (m *registry.Member, permit ratelimit.Permit, isTest bool) {
	for selections := 0; selections < maxSelections; {
		m := c.pickPlain(clock.Now())
		if m == nil || !c.permitAttempt(ctx) {
			return nil, ratelimit.Permit{}, false
		}
		ok, isTest := m.Health().BeginCall(clock.Now())
		if ok { // otherwise another call tests the target
			selections++
			if permit, ok := c.takePermit(m); ok {
				return m, permit, isTest
			}
		}
		c.retryReserved = c.attempts > 0 // for the next selection
	}
	return nil, ratelimit.Permit{}, false
}

// closeAll ends the next n attempts whose results arrive.
func closeAll(results <-chan attemptResult, n int) {
	for range n {
		result := <-results
		result.close()
	}
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
	extent := poison.ToEnd
	if result.rest != nil {
		extent = poison.PastStart // the rest of the answer may break off
	}
	c.recordRun(result.member, extent)
	if result.reply.isFailure() {
		return false
	}
	c.recordSoundRun(result.member, extent)
	c.recordAnswer(result.member, result.reply.Status)
	c.h.stats.plainTime.Record(clock.Now().Sub(c.call.Received))
	c.writeAnswer(&result)
	return true
}

// sendPlainCatchingPanic is like sendPlain and returns a panic as an error.
func (c *activeCall) sendPlainCatchingPanic(ctx context.Context, m *registry.Member, permit ratelimit.Permit, isTest bool) attemptResult {
	result := attemptResult{member: m}
	if err := c.h.catchPanic(c.call.ID, func() { result = c.sendPlain(ctx, m, permit, isTest) }); err != nil {
		result.err = err
	}
	return result
}

// sendPlain sends the call to m and reads the whole answer. The attempt is cancelled when
// the target's boot ends.
func (c *activeCall) sendPlain(parent context.Context, m *registry.Member, permit ratelimit.Permit, isTest bool) attemptResult {
	startedAt := clock.Now()
	_, endWork := m.Work().Begin(0, 0)
	dropBody := m.Work().AddBody(len(c.call.Body))
	ctx, cancel := context.WithCancel(parent)
	sentWallTime := time.Now()
	stopWatching := context.AfterFunc(m.Life(), func() {
		if m.Lost(sentWallTime) {
			cancel()
		}
	})
	result := attemptResult{member: m, end: sync.OnceFunc(func() {
		stopWatching()
		cancel()
		endWork()
		dropBody()
	})}
	defer func() {
		if result.rest == nil {
			result.end()
		}
	}()
	r := &AttemptRequest{Call: c.call, Target: m.Target(), Member: m, Org: c.grant.Org, Remaining: c.remaining(startedAt), Permit: permit, HealthPath: c.grant.Service.HealthPath(), isTest: isTest}
	result.reply, result.err = c.send(ctx, r)
	if result.err == nil {
		result.body, result.rest, result.err = readStart(result.reply.Body)
	}
	result.checkEnd = func() error { return c.checkEnd(ctx, m, result.reply) }
	if result.err == nil && result.rest == nil {
		result.err = result.checkEnd()
	}
	c.recordHealth(parent, result, startedAt)
	return result
}

// checkEnd returns an error unless an answer that was read to its end is whole (see
// upstream.CheckEnd). A target that drains is asked as well, since it may end in the middle of an
// answer.
func (c *activeCall) checkEnd(ctx context.Context, m *registry.Member, reply *Reply) error {
	err := upstream.CheckEnd(ctx, reply.Delimited, func(ctx context.Context) error { return c.checkSender(ctx, m, reply) })
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrSent, err)
	}
	return nil
}

// checkSender returns an error if the target that sent a reply without a length is gone.
func (c *activeCall) checkSender(ctx context.Context, m *registry.Member, reply *Reply) error {
	if reply.CheckTarget != nil {
		return reply.CheckTarget(ctx)
	}
	return c.h.sender.CheckConnection(ctx, m)
}

// recordHealth records what the result of an attempt says about its target's health.
func (c *activeCall) recordHealth(ctx context.Context, result attemptResult, startedAt clock.Time) {
	now := clock.Now()
	took := now.Sub(startedAt)
	switch {
	case errors.Is(result.err, registry.ErrBarred): // not sent
	case result.err != nil && ctx.Err() != nil:
		if took > hungAfter {
			result.member.Health().Answered(now, took, true)
		}
	case errors.Is(result.err, upstream.ErrNotSent):
		c.eject(result.member, health.CauseRefused, result.err)
	case c.judgeTooLong(result.member, startedAt, result.err):
		c.recordPlainSymptoms(result, startedAt, took)
	case result.err != nil:
		result.member.Health().Answered(now, took, true)
		go c.investigatePlainLoss(result.member, startedAt, result.member.Work().PeakBodies())
		c.recordPlainSymptoms(result, startedAt, took)
		c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).
			Str("target", result.member.Target().ID()).Dur("after", took).Err(result.err).Msg("ingress: target sent no complete answer")
	case result.reply.WrongTarget:
		c.dropStaleEntry(result.member)
	case result.reply.NotRun && result.member.Backoff().Active(now):
		result.member.Health().RecordContact(now) // the backoff says what there is to know
	default:
		c.h.targetMemory.Survived(c.service(), result.member.Work().All().Bodies)
		result.member.Health().Answered(now, took, result.reply.isFailure())
		c.recordPlainSymptoms(result, startedAt, took)
	}
}

// failExpired answers a call whose deadline has passed or whose caller has disconnected.
func (c *activeCall) failExpired(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.abandon(nil)
	}
	c.fail(http.StatusGatewayTimeout, "deadline exceeded", ctx.Err())
}

// promisesNotRun reports whether an answer with the status tells the caller that the call
// has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeAnswer sends a target's answer to the caller. The target may have run the call, so
// the status must not promise the contrary.
func (c *activeCall) writeAnswer(result *attemptResult) {
	if promisesNotRun(result.reply.Status) {
		c.fail(http.StatusBadGateway, "target may have run the call that it rejected", nil)
		return
	}
	c.h.answerMemory.Take(len(result.body))
	defer c.h.answerMemory.Free(len(result.body))
	copyHeaders(c.w, result.reply)
	if result.rest == nil {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
	}
	c.w.WriteHeader(result.reply.Status)
	if _, err := c.w.Write(result.body); err != nil {
		c.abandon(err)
	}
	if result.rest != nil {
		c.passOn(result)
	}
}

// passOn sends the rest of an answer to the caller as it is read. An answer that cannot be
// passed on to its end is cut off, so that it does not look complete.
func (c *activeCall) passOn(result *attemptResult) {
	_, err := io.CopyBuffer(c.w, struct{ io.Reader }{result.rest}, result.body)
	if err == nil {
		err = result.checkEnd()
	}
	switch {
	case err == nil:
		return
	case errors.Is(err, errNotAccepted):
		c.abandon(err)
	}
	c.judgeTooLong(result.member, c.call.Received, err)
	c.h.stats.failed.Inc(1)
	c.logFailure(0, "answer truncated", err)
	panic(http.ErrAbortHandler)
}

// readStart reads the body of an answer up to maxBufferedBytes, and closes it if that was
// all; otherwise it also returns the rest.
func readStart(r io.ReadCloser) (start []byte, rest io.Reader, err error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBufferedBytes+1))
	if err == nil && len(b) > maxBufferedBytes {
		return b, r, nil
	}
	r.Close()
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", upstream.ErrSent, err)
	}
	return b, nil, nil
}

// readFailure reads and closes the body of an answer of at most maxFailureBytes.
func readFailure(r io.ReadCloser) ([]byte, error) {
	defer r.Close()
	b, err := io.ReadAll(upstream.LimitBody(r, maxFailureBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", upstream.ErrSent, err)
	}
	return b, nil
}
