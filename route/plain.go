package route

const (
	// defaultLatencyMs is assumed for a target without measured response
	// times, so that a new target gets its share of calls. It is of the
	// order of a plain service's usual response time.
	defaultLatencyMs = 40
	// errorCostMs is the cost of a target at which every call fails. A failed
	// call is worth as little to its caller as one that takes all the time
	// within which an answer is expected.
	errorCostMs = 300
	// plainPacketLossCostMs is the cost of a link that certainly loses
	// packets: some of its calls wait 200 ms for a retransmission.
	plainPacketLossCostMs = 30
	// coldStartShare is how much slower a target is expected to be just after
	// its start, relative to its usual response time.
	coldStartShare = 0.5
	// crossZoneLatencyMs is the round-trip time to another zone.
	crossZoneLatencyMs = 2
)

// PlainCandidate holds what the instance knows of one target of a plain service.
type PlainCandidate struct {
	AcceptsCalls bool
	LatencyMs    float64 // usual response time; 0: unknown
	ErrorRate    float64 // share of recent calls that failed
	Running      int     // calls of this instance in progress
	Slots        int     // calls that the target runs concurrently
	SameZone     bool
	Cold         bool    // reports that it is still slow after its start
	Loss         float64 // confidence that the link to its zone loses packets, 0 to 1
	Jitter       float64 // in [0, 1), breaks ties
}

// Plain is the policy for plain services: the lowest expected response time,
// with failures counted as delay.
type Plain struct{}

// Usable reports whether the target accepts calls.
func (Plain) Usable(c PlainCandidate) bool { return c.AcceptsCalls }

// Score returns the expected response time in ms; lower is better.
func (Plain) Score(c PlainCandidate, _ uint64) float64 {
	lat := c.LatencyMs
	if lat == 0 {
		lat = defaultLatencyMs
	}
	queue := float64(c.Running) / float64(max(c.Slots, 1))
	s := lat*(1+queue) + errorCostMs*c.ErrorRate + 5*float64(c.Running) + lat*0.3*c.Jitter
	if c.Cold {
		s += coldStartShare * lat
	}
	if !c.SameZone {
		s += crossZoneLatencyMs
	}
	return s + plainPacketLossCostMs*c.Loss
}
