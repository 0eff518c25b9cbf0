package route

// Weights of the engine score. The unit is one prefill: the time in which a
// usual engine processes a usual prompt of the service. Callers of this
// package measure it per service, so no weight depends on an engine's speed.
const (
	// runningStreamCost is the cost of each stream that runs at the engine:
	// streams slow each other down, and each prefill stalls all of them.
	runningStreamCost = 0.4
	// answerWeight weighs a slow engine's longer generation against its
	// longer prefill.
	answerWeight = 0.5
	// memoryCost applies to memory use above memoryFreeShare: an engine that
	// runs out of memory preempts its newest streams and repeats their prefill.
	memoryCost      = 8
	memoryFreeShare = 0.6
	// crossZoneCost exceeds runningStreamCost, so that streams stay in their
	// zone while its engines are about as loaded as others. Fewer streams then
	// meet packet loss between zones.
	crossZoneCost = 0.5
	// packetLossCost is the cost of a link that certainly loses packets. A
	// retransmission takes 200 ms or more; in a long stream it makes events
	// late more often than a queue of this length does.
	packetLossCost = 2.5
	// jitterWeight is the weight of a random term. It spreads the choices of
	// instances that don't know of each other's calls yet.
	jitterWeight = 0.1
	// errorCost is the cost of an engine at which every call fails.
	errorCost = 3
	// coldStartCost is the cost of an engine that reports that it is still
	// slow after its start.
	coldStartCost = 0.5
	// missedObjectiveCost is the cost of an engine whose first event is
	// expected after the objective. It makes busy engines that meet the
	// objective preferable to slow idle ones.
	missedObjectiveCost = 5
	// zoneOutageCost is the cost of an engine when all other engines of its
	// zone failed recently: a stream that loses its engine before the first
	// event needs a second prefill.
	zoneOutageCost = 6
	// preferredBonus is the bonus of a new call's preferred target, and
	// returningBonus that of the engine that probably still caches the prompt
	// of a call which was interrupted: a cached prompt needs no prefill.
	preferredBonus = 0.4
	returningBonus = 2.5
	// secondPreferredShare is the share of the bonus that the second target
	// by rendezvous hashing gets.
	secondPreferredShare = 0.4
)

// EngineCandidate holds what the instance knows of one model engine.
type EngineCandidate struct {
	AcceptsCalls    bool
	Backlog         float64 // outstanding prefill work, in prefills
	Running         int     // running streams
	Slowdown        float64 // event interval relative to the usual one; 0: unknown
	Answer          float64 // generation time of the answer at a usual engine, in prefills
	Memory          float64 // share of the engine's memory that streams and replicas take
	ErrorRate       float64 // share of recent calls that failed, 0 to 1
	SameZone        bool
	Loss            float64 // confidence that the link to its zone loses packets, 0 to 1
	ZoneOutage      float64 // share of the zone's engines that were lost recently
	Cold            bool    // reports that it is still slow after its start
	Preference      float64 // 1 for the call's preferred target, less for the second one
	Returning       bool    // the call was interrupted and its caller has reconnected
	Excluded        bool    // already tried, or in the wrong zone for a replica
	MissesObjective bool    // its first event is expected after the objective
	Jitter          float64 // in [0, 1)
}

// Engines is the policy for model engines. It minimises the time to the first
// event and to the end of the answer, and the slowdown of other streams.
type Engines struct{}

// Usable reports whether the engine accepts the call.
func (Engines) Usable(c EngineCandidate) bool { return c.AcceptsCalls && !c.Excluded }

// Score returns the expected delay in prefills; lower is better.
func (Engines) Score(c EngineCandidate, _ uint64) float64 {
	slowdown := c.Slowdown
	if slowdown == 0 {
		slowdown = 1
	}
	s := slowdown*c.Backlog + (slowdown-1)*(1+answerWeight*c.Answer) + runningStreamCost*float64(c.Running) +
		memoryCost*max(0, c.Memory-memoryFreeShare) + jitterWeight*c.Jitter + errorCost*c.ErrorRate +
		zoneOutageCost*c.ZoneOutage + packetLossCost*c.Loss
	if c.MissesObjective {
		s += missedObjectiveCost
	}
	if c.Cold {
		s += coldStartCost
	}
	if !c.SameZone {
		s += crossZoneCost
	}
	bonus := float64(preferredBonus)
	if c.Returning {
		bonus = returningBonus
	}
	return s - bonus*c.Preference
}

// PreferenceWeights returns the affinity of a call for each engine, by rendezvous hashing
// of the call's subject and the engines' addresses: 1 for the preferred
// target, less for the second one, 0 for the others. All instances agree on
// the preferred target. It changes only when that engine leaves, or when an
// engine with a higher hash joins. An empty subject has no preferred target.
func PreferenceWeights(subject string, addrs []string) []float64 {
	out := make([]float64, len(addrs))
	if subject == "" {
		return out
	}
	key := Key(subject)
	first, second := -1, -1
	var top, next float64
	for i, a := range addrs {
		switch w := Affinity(key, a); {
		case first < 0 || w > top:
			second, next = first, top
			first, top = i, w
		case second < 0 || w > next:
			second, next = i, w
		}
	}
	if first >= 0 {
		out[first] = 1
	}
	if second >= 0 {
		out[second] = secondPreferredShare
	}
	return out
}
