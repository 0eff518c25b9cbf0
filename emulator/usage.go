package emulator

// Reasons for which prefilled tokens are of no use. Preempted tokens count always; those
// of attempts that ended early count under the cause if the attempt had sent no event,
// otherwise under AfterFirstEvent, since the caller has a part of the answer.
const (
	Preempted       VainReason = iota // the engine was short of memory
	CancelledSilent                   // the instance has cancelled the attempt, as for a silent engine
	EngineLost                        // the engine crashed, or doesn't work
	CallerGone                        // the caller has disconnected, or its time is over
	AfterFirstEvent
	vainReasons
)

type (
	// VainReason is the reason for which prefilled tokens are of no use.
	VainReason uint8

	// VainTokens counts tokens that were prefilled in vain, by reason.
	VainTokens [vainReasons]int

	// Usage is the prefill of one attempt.
	Usage struct {
		Vain VainTokens // of attempts that ended before their answer
		// ReplicaReuse and CacheReuse are tokens of earlier attempts that this attempt
		// did not have to prefill again.
		ReplicaReuse, CacheReuse int
	}
)

// String returns the reason's name in reports.
func (r VainReason) String() string {
	return [...]string{Preempted: "preempted", CancelledSilent: "cancelledSilent", EngineLost: "engineLost", CallerGone: "callerGone", AfterFirstEvent: "afterFirstEvent"}[r]
}

// VainReasons returns all reasons.
func VainReasons() []VainReason {
	return []VainReason{Preempted, CancelledSilent, EngineLost, CallerGone, AfterFirstEvent}
}

// Sum returns the tokens of all reasons.
func (v VainTokens) Sum() int {
	n := 0
	for _, tokens := range v {
		n += tokens
	}
	return n
}

// Add adds the tokens of o.
func (v *VainTokens) Add(o VainTokens) {
	for reason, tokens := range o {
		v[reason] += tokens
	}
}

// Deduct removes up to n tokens, from the first of the reasons on.
func (v *VainTokens) Deduct(n int, reasons ...VainReason) {
	for _, reason := range reasons {
		taken := min(n, v[reason])
		v[reason] -= taken
		n -= taken
	}
}

// Usage returns the generation's prefill.
func (g *Generation) Usage() Usage {
	g.engine.mu.Lock()
	defer g.engine.mu.Unlock()
	return Usage{Vain: g.vain, ReplicaReuse: g.replicaReuse, CacheReuse: g.cacheReuse}
}

// discard counts the tokens prefilled so far as prefilled in vain; the caller holds
// the engine's mu.
func (g *Generation) discard(reason VainReason) {
	if g.ended {
		return
	}
	if reason != Preempted && g.eventSent {
		reason = AfterFirstEvent
	}
	g.vain[reason] += g.prefilled
	g.prefilled = 0
}
