package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Offline is the share of a load's streams that a scheduler which knows all of
// them beforehand, and all that befalls the engines, could have begun in time:
// each prompt is read at one engine, one after the other there, and streams
// that would be late are left out from the start. It is optimistic: an answer
// costs it nothing, engines do not crash in the middle of one, and the pauses
// of streams beside a reading don't count. It is for comparing what the product
// serves when more comes than can be served.
func Offline(l Load, draws int) float64 {
	begun, all := 0, 0
	for range draws {
		l.Seed++
		n, of := offline(l)
		begun, all = begun+n, all+of
	}
	return float64(begun) / float64(all)
}

// offline schedules one draw. All streams have the same time to begin, so the
// order of arrival is that of deadlines, and the engine that reads a prompt
// first is the one to take; when a stream would be late, the longest prompt
// that is not being read yet at that engine is left out, as in Moore's and
// Hodgson's algorithm for one machine.
func offline(l Load) (begun, all int) {
	p := &play{load: l}
	callers := p.draw(rand.New(rand.NewPCG(l.Seed, 1)))
	engines := make([]schedule, l.Engines)
	for n := range engines {
		engines[n] = schedule{load: &l, n: n}
	}
	for _, c := range callers {
		best := slices.MinFunc(engines, func(a, b schedule) int { return int(a.with(c) - b.with(c)) })
		engines[best.n].take(c)
	}
	for _, e := range engines {
		begun += len(e.taken)
	}
	return begun, len(callers)
}

// schedule is what one engine reads, in order.
type schedule struct {
	load  *Load
	n     int
	taken []*caller
}

// with is when the engine would have read a caller's prompt after the others.
func (s schedule) with(c *caller) time.Duration { return s.end(append(slices.Clone(s.taken), c)) }

// end is when the engine has read all the callers' prompts.
func (s schedule) end(callers []*caller) time.Duration {
	at := time.Duration(0)
	for _, c := range callers {
		at = s.read(max(at, c.at), s.load.kind().PrefillTime(c.prompt))
	}
	return at
}

// read is when a reading ends that takes so long at full speed.
func (s schedule) read(from, work time.Duration) time.Duration {
	const tick = 20 * time.Millisecond
	for work > 0 {
		work -= time.Duration(float64(tick) / s.slow(from))
		from += tick
	}
	return from
}

// slow is how many times as long the engine takes at a time.
func (s schedule) slow(at time.Duration) float64 {
	times := s.load.speed(s.n)
	for _, f := range s.load.Faults {
		from := time.Duration(f.AtMs) * time.Millisecond
		if f.Kind == FaultSlow && f.strikes(s.n, s.load.Engines) && at >= from && at < from+time.Duration(f.ForMs)*time.Millisecond {
			times *= f.Factor
		}
	}
	return times
}

// take adds a caller, and leaves the longest prompt out if the caller's would
// be late.
func (s *schedule) take(c *caller) {
	s.taken = append(s.taken, c)
	if s.end(s.taken)-c.at <= firstAim {
		return
	}
	waits := s.waiting(c.at)
	longest := waits
	for i := waits; i < len(s.taken); i++ {
		if s.taken[i].prompt > s.taken[longest].prompt {
			longest = i
		}
	}
	s.taken = slices.Delete(s.taken, longest, longest+1)
}

// waiting is the index of the first caller whose prompt is not being read yet
// at a time; the last one always counts.
func (s *schedule) waiting(at time.Duration) int {
	for i := range s.taken {
		if s.end(s.taken[:i]) > at {
			return i
		}
	}
	return len(s.taken) - 1
}
