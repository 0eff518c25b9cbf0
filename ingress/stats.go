package ingress

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch/upstream"
)

// latencyBuckets range from the latency of plain calls to the duration of long streams.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	700 * time.Millisecond, time.Second, 2 * time.Second, 4500 * time.Millisecond, 10 * time.Second, 25 * time.Second,
}

type stats struct {
	answered, failed, rejected, denied, abandoned      tally.Counter
	hedged, retries, overBudget, ejections, lossyLinks tally.Counter
	peerEjections                                      tally.Counter
	quarantined, panics                                tally.Counter
	limitedAttempts, limitedCalls                      tally.Counter
	barredAttempts, barredCalls, keptCalls             tally.Counter
	canaryAnswers, badCanaryAnswers                    tally.Counter
	keptFromRejected                                   tally.Counter
	failovers, replicaFailovers, abortedStreams        tally.Counter
	shedStreams, queuedStreams, paceProbes             tally.Counter
	plainTime, firstEvent, failoverTime                durationRecorder
	queueTime, closeTime                               durationRecorder
	closedConns                                        tally.Counter
	scope                                              tally.Scope
}

type durationRecorder struct{ h tally.Histogram }

// Record adds a duration.
func (r durationRecorder) Record(d time.Duration) { r.h.RecordDuration(d) }

// tooLong returns the counter of answers of which a part exceeded its bound.
func (s stats) tooLong(part upstream.Part) tally.Counter {
	return s.scope.Tagged(map[string]string{"part": string(part)}).Counter("answers_too_long")
}

// draining returns the counter of targets of a service that said that they are draining.
func (s stats) draining(service string) tally.Counter {
	return s.scope.Tagged(map[string]string{"service": service}).Counter("targets_draining")
}

// backoffs returns the counter of backoffs that targets of a service asked for.
func (s stats) backoffs(service string) tally.Counter {
	return s.scope.Tagged(map[string]string{"service": service}).Counter("backoffs")
}

func newStats(scope tally.Scope) stats {
	if scope == nil {
		scope = tally.NoopScope
	}
	histogram := func(name string) durationRecorder { return durationRecorder{scope.Histogram(name, latencyBuckets)} }
	return stats{scope: scope,
		answered: scope.Counter("answered"), failed: scope.Counter("failed"), rejected: scope.Counter("refused"),
		denied: scope.Counter("denied"), abandoned: scope.Counter("abandoned"), hedged: scope.Counter("hedged"),
		retries: scope.Counter("retries"), overBudget: scope.Counter("over_budget"), ejections: scope.Counter("targets_out"), lossyLinks: scope.Counter("ways_lossy"),
		peerEjections: scope.Counter("targets_out_by_peer"),
		quarantined:   scope.Counter("condemned"), panics: scope.Counter("panics"),
		barredAttempts: scope.Counter("barred_attempts"), barredCalls: scope.Counter("refused_barred"), keptCalls: scope.Counter("kept_from_barred"),
		limitedAttempts: scope.Counter("limited_attempts"), limitedCalls: scope.Counter("refused_limited"),
		canaryAnswers: scope.Counter("rollout_answers"), badCanaryAnswers: scope.Counter("rollout_answers_bad"),
		keptFromRejected: scope.Counter("kept_from_rejected_version"),
		failovers:        scope.Counter("resumed"), replicaFailovers: scope.Counter("resumed_by_copy"), abortedStreams: scope.Counter("streams_cut"),
		shedStreams: scope.Counter("streams_shed"), queuedStreams: scope.Counter("streams_queued"), paceProbes: scope.Counter("pace_probes"), queueTime: histogram("queue_time"),
		plainTime: histogram("plain_time"), firstEvent: histogram("first_event_time"), failoverTime: histogram("resume_time"),
		closedConns: scope.Counter("attempt_conns_closed"), closeTime: histogram("attempt_close_time"),
	}
}
