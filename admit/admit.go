// Package admit decides which streams are not worth sending to an engine:
// those that cannot end before their caller leaves, even if all goes well.
// They are refused at once, which tells the caller the truth early and leaves
// the engines to streams that can still be served.
package admit

import (
	"time"

	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// eventPace is the shortest time between two events of 10 tokens: a step
	// of an engine that runs nothing else takes 2.6 ms a token.
	eventPace = 27 * time.Millisecond
	// shortOutput is the part of the most tokens asked for that the shorter
	// answers have; nine of ten are longer.
	shortOutput = 0.55
)

// Stream is what is known of a stream before it is sent.
type Stream struct {
	Left    time.Duration // until the caller leaves
	Prompt  int           // tokens to be read
	Backlog int           // prompt tokens that wait at the best engine
	Output  int           // most tokens to be generated
	Stride  int           // tokens in an event
	After   int64         // events the caller has
}

// Needs is the shortest time in which the stream can end.
func (s Stream) Needs() time.Duration {
	read := time.Duration(float64(s.Backlog+s.Prompt) / route.PrefillPerMs * float64(time.Millisecond))
	events := int64(1)
	if s.Stride > 0 {
		events = max(1, int64(shortOutput*float64(s.Output))/int64(s.Stride)-s.After)
	}
	return read + time.Duration(events)*eventPace
}

// Hopeless reports whether the stream cannot end in time.
func (s Stream) Hopeless() bool { return s.Needs() > s.Left }
