// Package load replays a recorded trace of requests and faults against a
// running deployment's entries, checks every answer against the token chain
// the engines generate, and sums up the brief's measures: answers whole,
// missing, repeated or mixed tokens, resume latency, short-call latency,
// extra tokens and calls run twice.
//
// A trace is JSON Lines, one event a line, each with atMs and either a
// request or a fault:
//
//	{"atMs":120,"request":{"id":"r1","org":"taller-ate","model":"regrind-planner","kind":"long","promptTokens":900,"maxTokens":800}}
//	{"atMs":300,"request":{"id":"q1","org":"taller-ate","kind":"quote","idempotencyKey":"k1"}}
//	{"atMs":2500,"fault":{"kind":"pauseEngine","target":"ate-03","forMs":1500}}
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
)

// Fault kinds a trace may hold.
const (
	FaultPauseEngine = "pauseEngine"
	FaultKillEngine  = "killEngine"
	FaultStoreDown   = "storeDown"
	FaultStoreSlow   = "storeSlow"
	FaultLostAck     = "lostAck"
	FaultPartition   = "partition"  // an agent cut off from the entries
	FaultPauseAgent  = "pauseAgent" // an agent frozen, its tokens sent late
	FaultKillEntry   = "killEntry"  // an entry exits at once
)

var (
	// ErrTrace is wrapped by every error about a trace's content.
	ErrTrace = errors.New("load: bad trace")

	knownFaults = map[string]bool{
		FaultPauseEngine: true, FaultKillEngine: true, FaultStoreDown: true, FaultStoreSlow: true,
		FaultLostAck: true, FaultPartition: true, FaultPauseAgent: true, FaultKillEntry: true,
	}
)

// Only keeps the requests and the faults of the named kinds ("none" keeps
// no fault), so one trace serves runs with and without each fault class.
func Only(events []Event, kinds []string) []Event {
	keep := map[string]bool{}
	for _, k := range kinds {
		keep[k] = true
	}
	var out []Event
	for _, e := range events {
		if e.Fault == nil || keep[e.Fault.Kind] {
			out = append(out, e)
		}
	}
	return out
}

type (
	// Event is one line of a trace.
	Event struct {
		AtMs    int64         `json:"atMs"`
		Request *TraceRequest `json:"request,omitempty"`
		Fault   *TraceFault   `json:"fault,omitempty"`
	}

	// TraceRequest is a caller's request in a trace.
	TraceRequest struct {
		ID             string `json:"id"`
		Org            string `json:"org"`
		Model          string `json:"model,omitempty"`
		Kind           string `json:"kind"`
		Op             string `json:"op,omitempty"`
		PromptTokens   int    `json:"promptTokens,omitempty"`
		MaxTokens      int    `json:"maxTokens,omitempty"`
		IdempotencyKey string `json:"idempotencyKey,omitempty"`
		Priority       int    `json:"priority,omitempty"`
	}

	// TraceFault is a fault in a trace. Target names the engine for
	// engine faults and the key prefix for lostAck (ForMs is then the
	// number of answers lost).
	TraceFault struct {
		Kind   string `json:"kind"`
		Target string `json:"target,omitempty"`
		ForMs  int64  `json:"forMs,omitempty"`
	}
)

// ReadTrace reads a trace file; events come back sorted by time.
func ReadTrace(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ev, err := ParseTrace(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return ev, nil
}

// ParseTrace reads a trace; a bad line is an error naming the line.
func ParseTrace(r io.Reader) ([]Event, error) {
	var out []Event
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	for n := 1; sc.Scan(); n++ {
		if len(sc.Bytes()) == 0 {
			continue
		}
		var e Event
		dec := json.NewDecoder(bytes.NewReader(sc.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&e); err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrTrace, n, err)
		}
		if err := e.check(); err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrTrace, n, err)
		}
		out = append(out, e)
	}
	if err := sc.Err(); err != nil {
		return nil, err
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out, nil
}

func (e Event) check() error {
	switch {
	case e.AtMs < 0:
		return errors.New("atMs must not be negative")
	case (e.Request == nil) == (e.Fault == nil):
		return errors.New("an event holds one request or one fault")
	case e.Request != nil && e.Request.ID == "":
		return errors.New("a request needs an id")
	case e.Request != nil && e.Request.Kind == "long" && e.Request.MaxTokens <= 0:
		return errors.New("a long request needs maxTokens")
	case e.Fault != nil && !knownFaults[e.Fault.Kind]:
		return fmt.Errorf("unknown fault kind %q", e.Fault.Kind)
	}
	return nil
}
