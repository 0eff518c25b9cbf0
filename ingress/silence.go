package ingress

import (
	"cmp"
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// defaultIntervalObjective is the objective for event intervals on routes that set
	// none. The shares below are shares of a route's objective.
	defaultIntervalObjective = 700 * time.Millisecond
	// After connCheckShare without an event the instance checks that the target still
	// accepts connections, or after decodeConnCheckShare while the target prefills no
	// prompt, since events come every 35 to 50 ms then, not every 280 ms. A target without
	// power is found lost after 300 ms, of which the check takes 150 ms.
	connCheckShare       = 0.43
	decodeConnCheckShare = 0.21
	// After replicaFailoverShare without an event a stream with a replica fails over
	// although its target accepts connections. Resuming from a replica takes some 50 ms.
	replicaFailoverShare = 0.78
	// headConnCheckShare is the time without an answer's head after which the connection
	// to the target is checked. It is longer than connCheckShare because prefilling takes
	// a second or more. A check only once the head is overdue would save half of all new
	// connections, but find engines that fall silent meanwhile later.
	headConnCheckShare = 0.86
	// After failoverShare without an event a stream without a replica fails over. This is
	// longer than an engine pauses its streams to prefill a prompt. An engine with more
	// than fullMemoryShare of its KV cache in use may have preempted the stream and has to
	// prefill it again, which takes seconds. The longer fullMemoryFailoverShare applies
	// there, since another engine would have to prefill the stream as well.
	failoverShare           = 1.7
	fullMemoryFailoverShare = 5.7
	fullMemoryShare         = 0.8
	// An engine may pause all its streams for long because it prefills or is slow. These
	// are the multiples of its longest recent pause after which its connection is checked
	// and its streams fail over, with and without a replica.
	connCheckPauses       = 1.1
	replicaFailoverPauses = 2
	failoverPauses        = 4
	// decodeConnCheckIntervals is how many event intervals an engine that prefills nothing
	// may stay silent before its connection is checked.
	decodeConnCheckIntervals = 3
	// maxTimerDelay is how late a timer may fire on a busy machine.
	maxTimerDelay = 250 * time.Millisecond
	// A lost packet delays all events until it is retransmitted, after which they arrive
	// in a burst. An event that comes lateEventIntervals or more usual intervals after the
	// previous event, followed by another event within burstIntervals, shows such a loss:
	// an engine does not generate events that fast. A packet is retransmitted once three
	// more have arrived, or after 200 ms.
	lateEventIntervals = 2.5
	burstIntervals     = 0.27
	// firstEventSampleAt is the number of the event at which the time to first event is
	// learned, since the engine's event interval is known by then.
	firstEventSampleAt   = 6
	silenceCheckInterval = 50 * time.Millisecond
)

// connFailure is the result of a connection check that failed.
type connFailure struct {
	checkedAt clock.Time
	err       error
}

// timerOverran reports whether a timer fired so late that this process must have been
// suspended. The silence of a target then proves nothing, since events may be waiting to be
// read; a failover of all streams would exhaust the retry budget.
func timerOverran(planned, actual time.Duration) bool { return actual > planned+maxTimerDelay }

// noteDelay notes that the attempt was delayed at this process if its timer, planned to fire
// after the given time, has overrun. It reports whether it has.
func (a *attempt) noteDelay(planned, actual time.Duration) bool {
	overran := timerOverran(planned, actual)
	a.delayed = a.delayed || overran
	return overran
}

// canFailOver reports whether the stream may be sent to another target. If not, the
// attempt goes on although its target seems lost.
func (a *attempt) canFailOver() bool {
	return a.s.grant.Route.IsIdempotent() && a.s.attempts < a.s.grant.Route.MaxAttempts() && !a.s.isProbe
}

// checkSilence checks an attempt that has been silent for the given time and reports
// whether its stream has to fail over.
func (a *attempt) checkSilence(ctx context.Context, silence time.Duration) bool {
	now := clock.Now()
	checkAfter, failoverAfter := a.connCheckAfter(now), a.failoverAfter(now)
	if !a.headReceived && a.replicaTarget == nil {
		checkAfter = scaled(headConnCheckShare, a.intervalObjective)
	}
	if (silence >= failoverAfter || a.lostAt != 0) && a.reserveFailover(ctx, now) {
		a.recordSilence(silence)
		return true
	}
	if silence >= checkAfter && now.Sub(a.connCheckedAt) >= checkAfter {
		a.connCheckedAt = now
		go a.checkConnection(ctx, a.connCheckedAt)
	}
	return false
}

// reserveFailover reserves a retry for the failover of an attempt whose target seems silent or
// lost, and reports whether the stream may fail over. It may not if something of the target waits
// to be read, since the instance was slow then and not the target. Reserving may take a while, in
// which more arrives.
func (a *attempt) reserveFailover(ctx context.Context, now clock.Time) bool {
	return !a.hasUnseen() && a.obtainRetry(ctx, now) && !a.hasUnseen()
}

// hasUnseen reports whether something has arrived from the target that watch has not seen yet: the
// sender holds it, it is in the queue, or nobody has read it from the connection.
func (a *attempt) hasUnseen() bool {
	return a.emitting.Load() || len(a.results) > 0 || a.reply != nil && a.reply.hasUnread()
}

// obtainRetry reports whether the retry budget allowed a failover. If not, the attempt goes on:
// its target may only be slow.
func (a *attempt) obtainRetry(ctx context.Context, now clock.Time) bool {
	if a.s.obtainRetry(ctx) {
		return true
	}
	if !a.overBudgetLogged {
		a.overBudgetLogged = true
		a.s.h.stats.overBudget.Inc(1)
		a.s.h.log.Warn().Str("request", a.s.call.ID).Str("target", a.member.Target().ID()).Dur("quiet", now.Sub(a.lastActivityAt)).Bool("targetLost", a.lostAt != 0).
			Msg("resume: retry budget exhausted; waiting for the silent target")
	}
	return false
}

// recordSilence records that an attempt ended because its target was silent.
func (a *attempt) recordSilence(silence time.Duration) {
	a.member.Health().Answered(clock.Now(), silence, true)
	if !a.headReceived && a.fromStart {
		a.s.h.paces.Of(a.s.service()).AddWait(silence, a.expectedFirstEvent(clock.Now()))
	}
}

// failoverAfter returns the silence after which the stream fails over although its target
// accepts connections.
func (a *attempt) failoverAfter(now clock.Time) time.Duration {
	if !a.headReceived && a.replicaTarget == nil {
		return a.firstEventTimeout(now)
	}
	share, pauses := failoverShare, float64(failoverPauses)
	switch {
	case a.s.replicaTarget() != nil:
		share, pauses = replicaFailoverShare, replicaFailoverPauses
	case a.s.grant.Route.StallTimeout() > 0:
		return a.s.grant.Route.StallTimeout()
	case memoryShare(a.s.tokensAt(a.member), a.s.grant.Service.Engine()) > fullMemoryShare:
		share = fullMemoryFailoverShare
	}
	longest := a.member.Pace().LongestInterval(now)
	return max(scaled(share, a.intervalObjective), scaled(pauses, longest))
}

// expectedFirstEvent returns the expected time to first event; 0 if unknown, as in a probe.
func (a *attempt) expectedFirstEvent(now clock.Time) time.Duration {
	if a.s.isPaceProbe {
		return 0
	}
	p := a.s.pace()
	return p.TimeToFirstEvent(a.prefillBacklog+a.prefillTokens, a.s.interval(a.member, p, now))
}

// firstEventTimeout returns the time to first event after which the stream fails over. A probe
// waits as long as its caller, since the engines may be as slow as the estimates say.
func (a *attempt) firstEventTimeout(now clock.Time) time.Duration {
	if a.s.isPaceProbe {
		return a.s.deadline.Sub(a.startedAt)
	}
	expected := a.expectedFirstEvent(now)
	if expected == 0 {
		objective := a.s.grant.Route.Objective()
		if objective == 0 {
			objective = defaultFirstEventObjective
		}
		return scaled(unknownPaceTimeoutShare, objective)
	}
	p := a.s.pace()
	factor, margin := float64(firstEventTimeoutFactor), firstEventTimeoutMargin
	if a.rank == RankLow {
		factor, margin = lowRankTimeoutFactor, lowRankTimeoutMargin
	}
	factor = max(factor, spreadTimeoutFactor*p.Spread)
	return scaled(factor, expected) + scaled(margin, p.PrefillTime(int(p.Prompt), p.EventInterval))
}

func scaled(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }

// checkConnection checks the connection to the attempt's target and reports a failure to
// the attempt, which ignores it if the target has sent something since.
func (a *attempt) checkConnection(ctx context.Context, checkedAt clock.Time) {
	err := a.s.checkConnection(a.member)
	if err == nil {
		return
	}
	select {
	case a.connFailures <- connFailure{checkedAt: checkedAt, err: err}:
	case <-ctx.Done():
	}
}

// connCheckAfter returns the silence after which the connection to the target is checked.
func (a *attempt) connCheckAfter(now clock.Time) time.Duration {
	if !a.member.Work().All().Prefilling() {
		return a.decodeConnCheckAfter(now)
	}
	return max(scaled(connCheckShare, a.intervalObjective), scaled(connCheckPauses, a.member.Pace().LongestInterval(now)))
}

// decodeConnCheckAfter is like connCheckAfter for a target that prefills no prompt.
func (a *attempt) decodeConnCheckAfter(now clock.Time) time.Duration {
	return max(scaled(decodeConnCheckShare, a.intervalObjective), scaled(decodeConnCheckIntervals, a.member.Pace().MeasuredInterval(now)))
}

// nextSilenceCheck returns the time until a silent attempt is checked again.
func (a *attempt) nextSilenceCheck(silence time.Duration) time.Duration {
	now := clock.Now()
	if !a.canFailOver() {
		return a.intervalObjective // only delays are noted
	}
	if checkAfter := a.connCheckAfter(now); silence < checkAfter && a.lostAt == 0 {
		return min(checkAfter-silence, a.decodeConnCheckAfter(now)) // prefills may be done by then
	}
	return silenceCheckInterval
}

// observeEvent records the time of an event, from which the pace of the target and packet
// loss on the link to its zone are learned. A delayed attempt yields no more samples, since its
// events waited at this instance and are then read all at once.
func (a *attempt) observeEvent(readAt clock.Time) {
	if a.delayed {
		a.firstEventAt, a.lastEventAt = cmp.Or(a.firstEventAt, readAt), readAt
		return
	}
	servicePace := a.s.h.paces.Of(a.s.service())
	if a.lastEventAt == 0 {
		a.firstEventAt, a.lastEventAt = readAt, readAt
		if a.fromStart {
			servicePace.AddWait(readAt.Sub(a.startedAt), a.expectedFirstEvent(readAt))
		}
		return
	}
	interval, usual := readAt.Sub(a.lastEventAt), a.s.intervalFromUsual(a.member, servicePace.EventInterval(), readAt)
	if a.lastEventLate && interval <= scaled(burstIntervals, usual) {
		a.recordPacketLoss(readAt)
	}
	a.lastEventLate = usual != 0 && interval >= scaled(lateEventIntervals, usual)
	a.lastEventAt = readAt
	decodeOnly := !a.member.Work().All().Prefilling()
	a.member.Pace().Event(interval, decodeOnly, readAt)
	if decodeOnly {
		a.decodeIntervals.add(interval)
		servicePace.Event(interval)
	}
	if a.events == firstEventSampleAt && a.fromStart && a.prefillBacklog == 0 {
		servicePace.AddFirstEvent(a.firstEventAt.Sub(a.startedAt), a.prefillTokens, a.member.Pace().MeasuredInterval(readAt))
	}
}

// timedEvents returns the number of events whose times were observed.
func (a *attempt) timedEvents() int {
	if a.delayed {
		return 0
	}
	return a.events
}

// recordPacketLoss records a lost packet on the link to the target's zone, and logs the
// link when it starts to count as lossy.
func (a *attempt) recordPacketLoss(readAt clock.Time) {
	zone := a.member.Target().Zone()
	if !a.s.h.links.Stalled(zone, readAt) {
		return
	}
	a.s.h.stats.lossyLinks.Inc(1)
	a.s.h.log.Warn().Str("request", a.s.call.ID).Str("target", a.member.Target().ID()).Str("targetZone", zone).
		Float64("stalls", a.s.h.links.StallWeight(zone, readAt)).Msg("health: link to a zone loses packets")
}
