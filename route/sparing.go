package route

// Busy is a candidate that says how many calls are in progress there.
type Busy interface{ InProgress() int }

// Sparing is a policy for calls that may crash their target: as Policy, but each call
// in progress there costs Cost more, in the policy's unit.
type Sparing[C Busy] struct {
	Policy Policy[C]
	Cost   float64
}

// Usable reports whether the target takes work.
func (s Sparing[C]) Usable(c C) bool { return s.Policy.Usable(c) }

// Score is the policy's, with what those who are beside the call might pay.
func (s Sparing[C]) Score(c C, key uint64) float64 {
	return s.Policy.Score(c, key) + s.Cost*float64(c.InProgress())
}

// InProgress is how many streams the engine has.
func (c EngineCandidate) InProgress() int { return c.Running }

// InProgress is how many calls of this instance the target has.
func (c PlainCandidate) InProgress() int { return c.Running }
