package emulator

import "time"

// Profile holds the speeds and capacities of a kind of engine.
type Profile struct {
	StepTime           time.Duration // of a step, in which each request of the batch generates a token
	StepTimePerRequest time.Duration // added for each running request
	FirstTokenDelay    time.Duration // added to the step that completes a request's prefill
	PrefillTokensPerMs float64
	PrefillChunk       int // most prompt tokens processed in a step
	Slots              int // concurrent requests
	MemoryTokens       int // capacity of the KV cache
	TokensPerEvent     int
}

// DefaultProfile returns the profile of workloads that name none.
func DefaultProfile() Profile {
	return Profile{StepTime: 2600 * time.Microsecond, StepTimePerRequest: 120 * time.Microsecond, FirstTokenDelay: 14 * time.Millisecond,
		PrefillTokensPerMs: 8, PrefillChunk: 200, Slots: 64, MemoryTokens: 88_000, TokensPerEvent: 10}
}

// PrefillTime returns how long the prefill of a prompt takes at an idle engine.
func (p Profile) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / p.PrefillTokensPerMs * float64(time.Millisecond))
}
