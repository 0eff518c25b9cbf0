package admit

import (
	"time"

	"github.com/ragworthitch/ragworthitch/pace"
)

// Shares of an engine's memory up to which it gets new streams. The rest is for load that is
// not known yet; what lies between the two shares is for more urgent streams. An engine
// without memory preempts streams and prefills them again.
const (
	memoryShare       = 0.85
	urgentMemoryShare = 0.95
	// ampleMemoryShare is the share up to which several instances may send to an engine at
	// once without filling it.
	ampleMemoryShare = 0.5
	// maxBacklogPrompts and maxUrgentBacklogPrompts are how many usual prompts may wait at
	// an engine before a new one: one keeps the engine busy. A stream that waits at the
	// instance can still go to another engine, or make way for a more urgent one.
	maxBacklogPrompts       = 1.0
	maxUrgentBacklogPrompts = 2.0
)

// Room levels.
const (
	// NoRoom: a new stream would be late, or make the engine preempt another.
	NoRoom Room = iota
	// SomeRoom: the engine can take one new stream.
	SomeRoom
	// AmpleRoom: the engine can take several new streams.
	AmpleRoom
)

type (
	// Room says what an engine can take.
	Room uint8

	// EngineLoad is what is known of an engine's load.
	EngineLoad struct {
		Memory  int           // tokens that it can hold; 0: unknown
		Used    int           // tokens of its streams and replicas, at their ends
		Backlog int           // prompt tokens that it has to prefill
		Usual   float64       // tokens of a usual prompt
		Event   time.Duration // event interval
	}

	// Demand is what a stream needs of an engine.
	Demand struct {
		Prompt, Tokens int           // to prefill; to hold at its end
		Urgent         bool          // more urgent than other streams of the service
		Within         time.Duration // time in which the first event has to come; 0: any
	}
)

// RoomFor returns the room of an engine for a stream.
func RoomFor(d Demand, l EngineLoad, p pace.Pace) Room {
	memory, prompts := memoryShare, maxBacklogPrompts
	if d.Urgent {
		memory, prompts = urgentMemoryShare, maxUrgentBacklogPrompts
	}
	used := float64(l.Used + d.Tokens)
	switch {
	case l.Memory > 0 && l.Used > 0 && used > memory*float64(l.Memory):
		return NoRoom
	case float64(l.Backlog) > prompts*max(l.Usual, 1):
		return NoRoom
	case l.Backlog > 0 && d.Within > 0 && p.TimeToFirstEvent(l.Backlog+d.Prompt, l.Event) > d.Within:
		return NoRoom
	case l.Backlog == 0 && (l.Memory == 0 || used <= ampleMemoryShare*float64(l.Memory)):
		return AmpleRoom
	}
	return SomeRoom
}
