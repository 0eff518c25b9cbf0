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
	// UsualOutput is the part of the most tokens asked for that answers
	// usually have.
	UsualOutput = 0.75
	// usualPace is the usual time between two events, beside two other
	// streams. Streams that a leaving instance takes are judged by it: one
	// that is cut after all goes on within 0.1 s at the instance that its
	// caller turns to, one that is refused may find no other. With 38 and 48
	// ms, and so more refused, rolling restarts served 0.008 and 0.05 less.
	usualPace = 30 * time.Millisecond
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
func (s Stream) Needs() time.Duration { return s.takes(shortOutput, eventPace) }

// Likely is the time that the stream usually takes.
func (s Stream) Likely() time.Duration { return s.takes(UsualOutput, usualPace) }

// takes is the time for a part of the most tokens asked for, at a pace.
func (s Stream) takes(output float64, pace time.Duration) time.Duration {
	read := time.Duration(float64(s.Backlog+s.Prompt) / route.PrefillPerMs * float64(time.Millisecond))
	events := int64(1)
	if s.Stride > 0 {
		events = max(1, int64(output*float64(s.Output))/int64(s.Stride)-s.After)
	}
	return read + time.Duration(events)*pace
}

// Hopeless reports whether the stream cannot end in time.
func (s Stream) Hopeless() bool { return s.Needs() > s.Left }
