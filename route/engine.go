package route

const (
	// PrefillPerMs is how many prompt tokens an engine reads in a ms, as
	// published for the engines we serve.
	PrefillPerMs = 8
	// runningMs is what one more running stream costs a new one, in ms: a
	// step takes about 0.12 ms longer for each, 150 ms over the 1,300 steps
	// of a mean answer, and every prompt read at the engine stops all its
	// streams. 400 and 800 were alike and better than 150
	// (docs/design/platform.md has the figures).
	runningMs = 400
	// memoryMs is what it costs, in ms, to be sent to an engine whose memory
	// would be full, above the share memoryFree: the newest streams there
	// are stopped and read in again when it runs out.
	memoryMs   = 8000
	memoryFree = 0.6
	// engineZoneMs is what an engine of another zone costs, in ms: more than
	// one running stream, so that streams stay in their zone while its
	// engines are about as busy as others. A link between zones that loses
	// packets then meets few of them: with one zone's links losing 2.5 to 5%
	// for 12 to 20 s, 0.97 of the streams were on time, 0.88 with 100 ms.
	// Without such links nothing was lost by it.
	engineZoneMs = 500
	// engineLossMs is what a way that loses packets costs, in ms: a packet
	// sent again comes 200 ms late and more, so that an answer of 130 events
	// is late nearly always; a wait of this length before its first event
	// still leaves it in time.
	engineLossMs = 2500
	// engineJitterMs spreads the choices of instances that know nothing of
	// each other's calls; half the reading of a mean prompt.
	engineJitterMs = 100
	// zoneTroubleMs is what it costs, in ms, if all other engines of the
	// zone have failed of late: engines of a zone fail together, and a
	// stream that loses its engine before its first event waits for a
	// second reading.
	zoneTroubleMs = 6000
	// homeMs is what an engine gains, in ms, by being a new call's home (see
	// Homes), and keptMs a call's that was broken off and comes back: its
	// prompt is most likely still in its home's memory, which saves a
	// reading of a second for the caller and for those behind it.
	homeMs = 400
	keptMs = 2500
	// secondHome is the part of that for the second home.
	secondHome = 0.4
)

// EngineCandidate is what is known of one model engine.
type EngineCandidate struct {
	Takes    bool
	Prefill  int     // prompt tokens not yet read there
	Running  int     // streams there
	Memory   float64 // share of its memory that streams and copies take
	Errors   float64
	SameZone bool
	Loss     float64 // how sure it is that the way there loses packets, 0 to 1
	Trouble  float64 // share of the zone's engines that have failed of late
	Home     float64 // 1 for the call's home, less for its second one
	Back     bool    // the call was broken off and comes back
	Barred   bool    // not wanted: already tried, or the wrong zone for a copy
	Jitter   float64 // in [0, 1)
}

// Engines is the policy for model engines: the least time until a new
// prompt is read, and the least disturbance of the streams beside it.
type Engines struct{}

// Usable reports whether the engine takes work.
func (Engines) Usable(c EngineCandidate) bool { return c.Takes && !c.Barred }

// Score is the expected delay in ms; lower is better.
func (Engines) Score(c EngineCandidate, _ uint64) float64 {
	s := float64(c.Prefill)/PrefillPerMs + runningMs*float64(c.Running) + memoryMs*max(0, c.Memory-memoryFree) +
		engineJitterMs*c.Jitter + 10*errorCostMs*c.Errors + zoneTroubleMs*c.Trouble +
		engineLossMs*c.Loss
	if !c.SameZone {
		s += engineZoneMs
	}
	gain := float64(homeMs)
	if c.Back {
		gain = keptMs
	}
	return s - gain*c.Home
}

// Homes says how much each engine is at home for a call: by rendezvous
// hashing of what the call is about over the engines' addresses, every
// instance finds the same home without having seen the call before, and
// keeps it when other engines come or go. about may be empty: no home.
func Homes(about string, addrs []string) []float64 {
	out := make([]float64, len(addrs))
	if about == "" {
		return out
	}
	key := Key(about)
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
		out[second] = secondHome
	}
	return out
}
