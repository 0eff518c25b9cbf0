package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/rollout"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// eventQueueSize and maxQueuedBytes bound how many events, and of what total size, are
// read ahead of a slow caller. A larger event is queued alone.
const (
	eventQueueSize = 64
	maxQueuedBytes = 16 << 10
)

type (
	// attempt is one send of a stream to one target.
	attempt struct {
		s                     *stream
		member, replicaTarget *registry.Member // replicaTarget: holds the replica that the attempt resumes from; nil: none
		startedAt             clock.Time
		sentWallTime          time.Time     // wall clock, as in the start times that targets report
		lastActivityAt        clock.Time    // when something was last received
		connCheckedAt         clock.Time    // when the connection to the target was last checked
		intervalObjective     time.Duration // objective for event intervals
		rank                  Rank          // priority at the target
		prefillTokens         int           // tokens to prefill for this attempt
		fromStart             bool          // the attempt neither resumes the stream nor uses a replica
		prefillBacklog        int           // tokens that the target had to prefill first when the attempt was sent
		// expectedAtSend is the time to first event expected from the service's usual
		// pace; 0 if unknown.
		expectedAtSend time.Duration
		prefillDone    func()     // removes prefillTokens from the target's load
		firstEventAt   clock.Time // 0: none yet
		lastEventAt    clock.Time // 0: none yet
		lastEventLate  bool       // the last event was late, as after a lost packet
		results        chan readResult
		emitting       atomic.Bool         // the sender holds a result, for which the queue may have no space yet
		queueSpace     *semaphore.Weighted // bytes left in results, of maxQueuedBytes
		connFailures   chan connFailure
		sent           chan sendResult // result of Sender.Send, sent once
		watchEnded     chan struct{}   // closed when watch has returned
		events         int             // events received
		newEvents      int             // numbered events that the caller did not have yet
		idleBytes      int             // size of the events since the last one that brought the caller anything new
		// headReceived is set with the head of the answer, which engines send when they
		// start to generate.
		headReceived     bool
		headReceivedAt   clock.Time
		lostAt           clock.Time // when the target was found lost, and nothing was read since; 0: it was not
		overBudgetLogged bool       // the exhausted retry budget has been logged
		reply            *Reply     // nil: the head has not been received
		decodeIntervals  decodeIntervals
		paceRecorded     bool // the pace of the target's version has been recorded
		failureRecorded  bool // a failure of the target's version has been recorded
		// delayed means that this process was suspended or that the caller read slowly, so that
		// the times at which events are read say nothing about the target.
		delayed bool
	}

	// sendResult is the result of Sender.Send.
	sendResult struct {
		reply *Reply
		err   error
	}

	// readResult is one thing received from the target: the head of the answer, an event
	// or the end. If the answer is no stream, the event's Raw is the whole body.
	readResult struct {
		reply  *Reply
		event  Event
		readAt clock.Time // when the event was read
		err    error
		end    bool
		space  int64 // bytes taken out of attempt.queueSpace
		memory int   // bytes taken out of Handler.answerMemory
	}
)

var (
	errTargetLost   = errors.New("ingress: target lost")
	errTargetSilent = errors.New("ingress: target silent")
	errBootEnded    = errors.New("ingress: target's boot has ended")
	errEmptyStream  = fmt.Errorf("%w: stream without a length ended without an event", upstream.ErrSent)
)

// sendCatchingPanic is like send, with a.results as the receiver. It passes on a panic as
// the error that ends the attempt.
func (a *attempt) sendCatchingPanic(ctx context.Context, r *AttemptRequest) {
	emitResult := func(result readResult) bool {
		a.emitting.Store(true)
		defer a.emitting.Store(false)
		if ctx.Err() != nil || !a.reserveSpace(ctx, &result) {
			return false // an end that follows a cancellation is not the target's
		}
		select {
		case a.results <- result:
			return true
		case <-ctx.Done():
			a.freeSpace(result)
			return false
		}
	}
	if err := a.s.h.catchPanic(a.s.call.ID, func() { a.send(ctx, r, emitResult) }); err != nil {
		select {
		case a.sent <- sendResult{err: err}:
		default: // the result is there already
		}
		emitResult(readResult{err: err, end: true})
	}
	<-a.watchEnded // what watch does not see it must not miss between what it sees
	a.freeQueue()
}

// stop stops the target's work for an attempt that has ended with err, and returns the error with
// which the attempt was sent. The connection is closed when stop returns: the goroutine that
// reads from it may notice the end of the context much later, and until then the target would
// work beside that of the next attempt.
func (a *attempt) stop(cancel context.CancelFunc, err error) error {
	endedAt := clock.Now()
	cancel()
	sent := <-a.sent
	unread := false
	if sent.reply != nil {
		unread = err != nil && sent.reply.hasUnread()
		sent.reply.Body.Close() // fails only if the connection is closed already
	}
	if err != nil {
		a.recordStop(clock.Now().Sub(endedAt), unread)
	}
	return sent.err
}

// recordStop records and logs that the attempt's connection was closed after the given time.
// unread means that bytes had arrived that nobody had read.
func (a *attempt) recordStop(took time.Duration, unread bool) {
	a.s.h.stats.closedConns.Inc(1)
	a.s.h.stats.closeTime.Record(took)
	a.s.h.log.Info().Str("request", a.s.call.ID).Str("target", a.member.Target().ID()).Dur("after", took).Int("queued", len(a.results)).Bool("unread", unread).
		Msg("resume: connection of the ended attempt closed")
}

// send sends the attempt and passes everything received from the target to emitResult.
func (a *attempt) send(ctx context.Context, r *AttemptRequest, emitResult func(readResult) bool) {
	reply, err := a.s.activeCall.send(ctx, r)
	a.sent <- sendResult{reply: reply, err: err}
	if err != nil {
		emitResult(readResult{err: err, end: true})
		return
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		body, err := readFailure(reply.Body)
		emitResult(readResult{reply: reply, event: Event{Raw: body}, err: err, end: true})
		return
	}
	if !emitResult(readResult{reply: reply}) {
		return
	}
	err = reply.events(func(e Event) bool { return emitResult(readResult{event: e, readAt: clock.Now()}) })
	emitResult(readResult{err: err, end: true})
}

// reserveSpace waits for space in the queue of results. While the memory for answers is
// used up, the queue holds one event at a time.
func (a *attempt) reserveSpace(ctx context.Context, result *readResult) bool {
	size := len(result.event.Raw)
	if size == 0 {
		return true
	}
	result.space = int64(min(size, maxQueuedBytes))
	if a.s.h.answerMemory.TryReserve(size) {
		result.memory = size
	} else {
		result.space = maxQueuedBytes
	}
	if a.queueSpace.Acquire(ctx, result.space) == nil {
		return true
	}
	a.s.h.answerMemory.Free(result.memory)
	return false
}

// freeSpace frees what reserveSpace has taken for a result.
func (a *attempt) freeSpace(result readResult) {
	a.s.h.answerMemory.Free(result.memory)
	a.queueSpace.Release(result.space)
}

// freeQueue frees the space of the results that watch did not read. Only the sender calls it, once
// it adds no more.
func (a *attempt) freeQueue() {
	for {
		select {
		case result := <-a.results:
			a.freeSpace(result)
		default:
			return
		}
	}
}

// generationTime returns the time since the engine sent the head of its answer; 0 if it has
// sent none.
func (a *attempt) generationTime(now clock.Time) time.Duration {
	if !a.headReceived {
		return 0
	}
	return now.Sub(a.headReceivedAt)
}

// resolveSendError returns err. If the attempt was cancelled while its connection was
// still being opened, the call has not run, and the result also wraps sendErr, the error of
// the connection.
func (a *attempt) resolveSendError(err, sendErr error) error {
	if err == nil || a.headReceived || errors.Is(err, upstream.ErrNotSent) || !errors.Is(sendErr, upstream.ErrNotSent) {
		return err
	}
	a.s.revertAttempt()
	return fmt.Errorf("%w: %w", sendErr, err)
}

// watch forwards events until the attempt ends or its target is lost or silent.
func (a *attempt) watch(ctx context.Context) error {
	defer close(a.watchEnded)
	s := a.s
	lost, bootEnded := a.member.Health().NextFailure(), a.member.Life().Done()
	quarantined, stopWaiting := s.h.poisonTracker.Await(s.request)
	defer stopWaiting()
	if s.isProbe || s.soundElsewhere {
		quarantined = nil
	}
	timerSetAt := clock.Now()
	wait := a.decodeConnCheckAfter(timerSetAt)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if !a.canFailOver() {
		lost = nil
	}
	var head *Reply
	for {
		select {
		case result := <-a.results:
			now := clock.Now()
			a.noteDelay(wait, now.Sub(timerSetAt))
			if a.lostAt != 0 && (result.readAt == 0 || result.readAt > a.lostAt) {
				lost, a.lostAt = a.member.Health().NextFailure(), 0 // what arrives shows that it was not
			}
			a.lastActivityAt = now
			if result.reply != nil {
				head = result.reply
				a.reply, a.headReceived, a.headReceivedAt = head, true, now
			}
			if result.end {
				defer a.freeSpace(result)
				return a.finish(ctx, head, result)
			}
			if result.event.Raw != nil {
				a.member.Health().RecordContact(result.readAt)
				a.observeEvent(result.readAt)
				a.recordPace()
				err := a.forward(head, result.event)
				a.freeSpace(result)
				if err != nil {
					return err
				}
			}
		case failure := <-a.connFailures:
			if failure.checkedAt > a.lastActivityAt && !a.hasUnseen() && !s.refutes(a.member, failure.err, failure.checkedAt) {
				s.eject(a.member, health.CauseSilent, failure.err)
			}
		case <-lost:
			now := clock.Now()
			if a.reserveFailover(ctx, now) {
				return errTargetLost
			}
			lost, a.lostAt = nil, now
			wait, timerSetAt = silenceCheckInterval, now
			timer.Reset(wait)
		case <-quarantined:
			if !a.headReceived && !a.hasUnseen() {
				return errQuarantined
			}
			quarantined = nil // the attempt has begun and goes on
		case <-bootEnded:
			if a.member.Lost(a.sentWallTime) {
				return errBootEnded
			}
			bootEnded = nil // the target's next boot received the attempt
		case <-timer.C:
			now := clock.Now()
			if a.noteDelay(wait, now.Sub(timerSetAt)) {
				a.lastActivityAt = now
			}
			silence := now.Sub(a.lastActivityAt)
			if a.canFailOver() && a.checkSilence(ctx, silence) {
				return errTargetSilent
			}
			wait, timerSetAt = a.nextSilenceCheck(silence), now
			timer.Reset(wait)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// forward sends an event to the caller.
func (a *attempt) forward(head *Reply, event Event) error {
	s := a.s
	if a.events == 0 {
		a.prefillDone()
	}
	a.events++
	s.totalEvents++
	if !poison.Young(a.events) {
		s.recordNoCrash(a.member)
	}
	if a.replicaTarget == nil && a.events == soundAfterEvents {
		s.recordSoundRun(a.member, poison.PastStart)
	}
	s.replicaStarted = true
	if err := a.countProgress(event); err != nil {
		return err
	}
	if event.ID != 0 {
		if event.ID <= s.lastID {
			return nil // the caller has the event
		}
		if !s.isNextID(event.ID, a.newEvents == 0) {
			return errMissingEvent
		}
		a.newEvents++
	}
	if !s.headSent {
		s.sendHead(head)
		s.h.stats.firstEvent.Record(clock.Now().Sub(s.call.Received))
	}
	if _, err := s.w.Write(event.Raw); err != nil {
		return err
	}
	if err := s.w.flush(); err != nil {
		return err
	}
	if event.ID != 0 {
		s.lastID = event.ID
	}
	if s.interruptedAt != 0 {
		s.recordFailover(a)
	}
	return nil
}

// finish handles the end of an attempt that was not cancelled.
func (a *attempt) finish(ctx context.Context, head *Reply, result readResult) error {
	s, now := a.s, clock.Now()
	switch {
	case result.err != nil && errors.Is(result.err, upstream.ErrNotSent):
		s.revertAttempt()
		if ctx.Err() == nil && !errors.Is(result.err, registry.ErrBarred) {
			s.eject(a.member, health.CauseRefused, result.err)
		}
		return result.err
	case result.err != nil:
		s.mayHaveRun = true
		if ctx.Err() == nil && !errors.Is(result.err, errPanic) && !errors.Is(result.err, upstream.ErrTooLong) {
			s.checkAfterReset(a.member)
		}
		return result.err
	case head.WrongTarget:
		s.dropStaleEntry(a.member)
		return upstream.ErrNotSent
	case head.NotRun && a.member.Backoff().Active(now):
		a.member.Health().RecordContact(now) // the backoff says what there is to know
		return upstream.ErrNotSent
	case head.NotRun:
		a.member.Health().Answered(now, 0, true)
		s.recordSymptom(a.member, rollout.Failing, true)
		return upstream.ErrNotSent
	}
	s.mayHaveRun = true
	if err := a.checkEnd(ctx, head); err != nil {
		return err
	}
	if head.Status != http.StatusOK {
		return a.finishWithoutStream(head, result.event.Raw)
	}
	if !s.headSent {
		// The caller has all events, and the target has none to add.
		s.sendHead(head)
	}
	if a.replicaTarget == nil && a.events > 0 {
		s.recordSoundRun(a.member, poison.ToEnd)
	}
	s.h.paces.Of(s.service()).AddAnswer(s.lastID, s.admission(0, 0).MaxEvents(), a.lastEventAt.Sub(a.firstEventAt), a.timedEvents())
	return nil
}

// checkEnd returns an error unless an answer that was read to its end is whole: a stream without a
// length that has ended without an event may have broken off, and see activeCall.checkEnd.
func (a *attempt) checkEnd(ctx context.Context, head *Reply) error {
	if !head.Delimited && head.Status == http.StatusOK && a.endedTooEarly() {
		return errEmptyStream
	}
	var gone error
	err := upstream.CheckEnd(ctx, head.Delimited, func(ctx context.Context) error {
		gone = a.s.checkSender(ctx, a.member, head)
		return gone
	})
	if gone != nil && ctx.Err() == nil && !errors.Is(gone, registry.ErrBackoff) { // else it may be there, but can't be asked
		a.s.eject(a.member, health.CauseRefused, gone)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", upstream.ErrSent, err)
	}
	return nil
}

// endedTooEarly reports whether a stream has ended without any event. One that was interrupted
// before counts as ended without a further event only if two targets end it so.
func (a *attempt) endedTooEarly() bool {
	if a.events > 0 {
		return false
	}
	s := a.s
	doubtful := s.lastID == 0 || s.failedAttempts > 0 && !s.endedEmpty
	s.endedEmpty = true
	return doubtful
}

// finishWithoutStream handles an answer that is not a stream. A failure may be retried at
// another target; any other answer is forwarded.
func (a *attempt) finishWithoutStream(head *Reply, body []byte) error {
	s := a.s
	s.recordNoCrash(a.member)
	a.member.Health().Answered(clock.Now(), 0, head.isFailure())
	s.recordSymptom(a.member, rollout.Failing, head.isFailure())
	a.failureRecorded = true
	if s.headSent {
		return upstream.ErrSent
	}
	if head.isFailure() && s.grant.Route.IsIdempotent() && s.attempts < s.grant.Route.MaxAttempts() {
		return upstream.ErrSent
	}
	s.logFailure(head.Status, "target answered without a stream", nil)
	s.writeAnswer(&attemptResult{member: a.member, reply: head, body: body})
	return nil
}
