package poison

import (
	"github.com/ragworthitch/ragworthitch"
)

const (
	// youngEvents is how many events a request may have made, over all its runs, when
	// a crash can still be its doing: one that crashes its target does so as the run
	// begins. An innocent stream of 130 events is that young for 1.5% of its life, and
	// has to lose three targets within that.
	youngEvents = 1
	// Neighbours is how many other targets, of the zone and of the service, are asked
	// for a connection each, when one was lost under a young request.
	Neighbours = 5
	// outage is how many of them, lost as well, speak for a failure of the zone, or, if
	// they are more than half, of the service. Where nine tenths of a zone were lost,
	// five neighbours show it in 9,995 of 10,000 cases. One says little: it may have
	// crashed under the same request, sent by another instance.
	outage = 2
)

type (
	// Death is the crash of a target under a request that it had just begun to run.
	Death struct {
		Print   Fingerprint
		Boot    ragworthitch.Boot // of the target
		Call    string            // id of the try that it ran
		Org     string
		Service string
		Version string // of the target's software
		// Well is how many runs of the request had ended well of late at the instance that
		// saw it: others may not have had any.
		Well int
		// Together: others of its zone or service were lost with it. That speaks
		// against the request only if they were running it, too.
		Together bool
	}

	// Sighting is what an instance saw of a run whose target was lost.
	Sighting struct {
		Events  int  // that all runs of the request have made so far
		Leaving bool // the target had said that it would end, or was taken away
		Zone    Round
		Service Round
	}

	// Round is how many other targets were asked for a connection after one was
	// lost, and how many of them gave none.
	Round struct{ Asked, Lost int }
)

// Young reports whether a request that has made so many events may have crashed
// its target: those that run on have not.
func Young(events int) bool { return events <= youngEvents }

// Counts reports whether the loss may be the request's doing.
func (s Sighting) Counts() bool { return Young(s.Events) && !s.Leaving }

// Together reports whether the target was lost with others.
func (s Sighting) Together() bool {
	service := s.Service.Lost >= outage && 2*s.Service.Lost > s.Service.Asked
	return s.Zone.Lost >= outage || service
}
