package poison

import (
	"time"

	"github.com/ragworthitch/ragworthitch"
)

const (
	// maxEarlyEvents is the number of events of an attempt up to which a crash of its target is
	// strong evidence: most poison requests crash their targets as they begin to run. A
	// bystander stream of 130 events is that young for 1.5 % of its duration, and has to lose
	// three targets within that.
	maxEarlyEvents = 1
	// maxEventJitter is the number of events by which the crashes of a request that crashes
	// targets at one point of its answer may be apart: the last events may be lost with the
	// target, and a resumed attempt may crash the next one an event further.
	maxEventJitter = 6
	// Neighbours is how many other targets of the zone, and as many of the service, are
	// checked for a connection when a target is lost under a young request.
	Neighbours = 5
	// outageThreshold is the number of lost neighbours that indicates a zone outage,
	// or, if they are more than half of those checked, an outage of the service. A
	// single lost neighbour may have crashed under the same request, sent by a peer.
	// Where nine tenths of a zone are lost, five neighbours show it in 9,995 of 10,000
	// cases.
	outageThreshold = 2
)

// Phases of an attempt.
const (
	// Begun: the target has begun to answer, with at most maxEarlyEvents events. A plain
	// call is in this phase from its start to its end.
	Begun Phase = iota
	// Waiting: the target has sent nothing of its answer yet. It may be running other requests,
	// with this one in its queue.
	Waiting
	// Late: the target has sent more events.
	Late
)

type (
	// Phase is how far an attempt has come. A crash in the phase Begun is strong evidence
	// against the request, as few requests at a target are in it.
	Phase uint8

	// Progress is how many events of an answer a call has got.
	Progress struct {
		Total   int // in all attempts
		Attempt int // in one attempt
	}

	// Crash is the crash of a target that ran a request.
	Crash struct {
		Fingerprint Fingerprint       // of the request, or of a part of its prompt
		Part        string            // id of the part; empty: the fingerprint is the request's
		Boot        ragworthitch.Boot // of the target
		Call        string            // id of the call that it ran
		Org         string
		Service     string
		Version     string // of the target's software
		// SoundBefore means that the request, or prompts with the part, had run well recently.
		SoundBefore bool
		Age         time.Duration // time since the crash, if it is a part's and a peer reports it
		// RecentSuccesses is how many attempts of the request had succeeded recently at the
		// instance that observed the crash.
		RecentSuccesses int
		// InOutage is set if other targets of the zone or the service were lost at the
		// same time. Such a crash counts only if several of them were running the
		// request.
		InOutage bool
		Phase    Phase
		Ran      time.Duration // time from the start of the attempt to its end
		// Progress is how far the call had come, or the furthest of several at the target.
		// Furthest is how far any recent call with the request had, at the instance that
		// observed the crash.
		Progress, Furthest Progress
		// Weight is what the crash says against the request or part, as the instance that
		// observed it has measured (Tracker.measure); 0: not measured.
		Weight float64
		// Verdict means that an instance has quarantined the request or part by this crash and
		// others. It binds all instances, whatever else they know.
		Verdict bool
	}

	// LossObservation is what an instance observed when an attempt lost its target.
	LossObservation struct {
		Draining bool // the target was draining or had been deregistered
		Zone     NeighbourCheck
		Service  NeighbourCheck
	}

	// NeighbourCheck counts the other targets that were checked after a loss, and those of
	// them that accepted no connection.
	NeighbourCheck struct{ Asked, Lost int }
)

// run identifies the runs that show whether the request crashes such targets at all, by
// coming as far as extent.
func (c Crash) run(extent Extent) partRun {
	return partRun{part: c.Fingerprint, service: c.Service, version: c.Version, extent: extent}
}

// isContradicted reports whether a call with the request that came this far passed the point
// at which the target crashed, both of the answer and of an attempt. Only weak evidence is
// contradicted.
func (c Crash) isContradicted(furthest Progress) bool {
	return c.isWeak() && isPast(furthest.Total, c.Progress.Total) && isPast(furthest.Attempt, c.Progress.Attempt)
}

// isPast reports whether events are clearly more than those at a point.
func isPast(events, point int) bool {
	return events > point+maxEventJitter
}

// max returns the larger of each number.
func (p Progress) max(o Progress) Progress {
	return Progress{Total: max(p.Total, o.Total), Attempt: max(p.Attempt, o.Attempt)}
}

// isWeak reports whether the crash is weak evidence.
func (c Crash) isWeak() bool { return c.Phase != Begun }

// extent returns how far a run has to come to show that the request does not crash targets
// in this way.
func (c Crash) extent() Extent {
	if c.Phase == Late {
		return ToEnd
	}
	return PastStart
}

// PhaseOf returns the phase of a stream's attempt. answered means that the head of the answer
// was received; events are those of all attempts of the stream.
func PhaseOf(answered bool, events int) Phase {
	switch {
	case !answered:
		return Waiting
	case Young(events):
		return Begun
	}
	return Late
}

// String returns the phase's name in logs.
func (p Phase) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Late:
		return "late"
	}
	return "begun"
}

// Young reports whether an attempt, or a stream, with this many events is at its start.
func Young(events int) bool { return events <= maxEarlyEvents }

// Counts reports whether the request may have caused the loss.
func (l LossObservation) Counts() bool { return !l.Draining }

// InOutage reports whether the target was lost along with others. Of a small service, whose
// other targets the call has tried already, a single one may be left to show it.
func (l LossObservation) InOutage() bool {
	enough := min(outageThreshold, max(1, l.Service.Asked))
	service := l.Service.Lost >= enough && 2*l.Service.Lost > l.Service.Asked
	return l.Zone.Lost >= outageThreshold || service
}
