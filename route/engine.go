package route

const (
	// prefillPerMs is how many prompt tokens an engine reads in a ms, as
	// published for the engines we serve; only the ratio to the other
	// figures here matters.
	prefillPerMs = 8
	// runningMs is what one more running stream costs a new one, in ms to
	// its end: a step takes about 0.12 ms longer for each, over some 1,300
	// steps of a mean answer.
	runningMs = 150
	// memoryMs is what it costs, in ms, to be sent to an engine whose memory
	// would be full, above the share memoryFree: the newest streams there
	// are stopped and read in again when it runs out.
	memoryMs   = 8000
	memoryFree = 0.6
	// engineZoneMs is the way to another zone and back.
	engineZoneMs = 100
	// engineJitterMs spreads the choices of instances that know nothing of
	// each other's calls; half the reading of a mean prompt.
	engineJitterMs = 100
	// zoneTroubleMs is what it costs, in ms, if all other engines of the
	// zone have failed of late: engines of a zone fail together, and a
	// stream that loses its engine before its first event waits for a
	// second reading.
	zoneTroubleMs = 6000
)

// EngineCandidate is what is known of one model engine.
type EngineCandidate struct {
	Takes    bool
	Prefill  int     // prompt tokens not yet read there
	Running  int     // streams there
	Memory   float64 // share of its memory that streams and copies take
	Errors   float64
	SameZone bool
	Trouble  float64 // share of the zone's engines that have failed of late
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
	s := float64(c.Prefill)/prefillPerMs + runningMs*float64(c.Running) + memoryMs*max(0, c.Memory-memoryFree) +
		engineJitterMs*c.Jitter + 10*errorCostMs*c.Errors + zoneTroubleMs*c.Trouble
	if !c.SameZone {
		s += engineZoneMs
	}
	return s
}
