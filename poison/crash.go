package poison

import (
	"time"

	"github.com/ragworthitch/ragworthitch"
)

const (
	// maxEarlyEvents is the number of events, over all attempts of a request, up to
	// which a crash may be caused by the request: a poison request crashes its target
	// soon after the attempt starts. A bystander stream of 130 events is that young for
	// 1.5 % of its duration, and has to lose three targets within that.
	maxEarlyEvents = 1
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

type (
	// Crash is the crash of a target soon after it started a request.
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
	}

	// LossObservation is what an instance observed when an attempt lost its target.
	LossObservation struct {
		Events   int  // of all attempts of the request so far
		Draining bool // the target was draining or had been deregistered
		Zone     NeighbourCheck
		Service  NeighbourCheck
	}

	// NeighbourCheck counts the other targets that were checked after a loss, and those of
	// them that accepted no connection.
	NeighbourCheck struct{ Asked, Lost int }
)

func (c Crash) partRun() partRun {
	return partRun{part: c.Fingerprint, service: c.Service, version: c.Version}
}

// Young reports whether a request with this many events may have crashed its target.
func Young(events int) bool { return events <= maxEarlyEvents }

// Counts reports whether the request may have caused the loss.
func (l LossObservation) Counts() bool { return Young(l.Events) && !l.Draining }

// InOutage reports whether the target was lost along with others. Of a small service, whose
// other targets the call has tried already, a single one may be left to show it.
func (l LossObservation) InOutage() bool {
	enough := min(outageThreshold, max(1, l.Service.Asked))
	service := l.Service.Lost >= enough && 2*l.Service.Lost > l.Service.Asked
	return l.Zone.Lost >= outageThreshold || service
}
