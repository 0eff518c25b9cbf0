// Package load replays a trace of requests and faults against the entry instances
// of a running deployment. It checks every answer against the tokens that the
// engines generate, and summarises complete answers, missing, repeated and mixed
// tokens, resume latency, latency of short calls, extra tokens and calls that ran
// twice.
//
// A trace is in JSON Lines. Each line is an event with atMs and either a request
// or a fault:
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

// Kinds of fault in a trace.
const (
	FaultPauseEngine = "pauseEngine"
	FaultKillEngine  = "killEngine"
	FaultStoreDown   = "storeDown"
	FaultStoreSlow   = "storeSlow"
	FaultLostAck     = "lostAck"
	FaultPartition   = "partition"  // an agent is disconnected from the entry instances
	FaultPauseAgent  = "pauseAgent" // an agent is paused and sends its tokens late
	FaultKillEntry   = "killEntry"  // an entry instance exits at once
)

var (
	// ErrTrace is wrapped by errors about a trace's content.
	ErrTrace = errors.New("load: invalid trace")

	knownFaults = map[string]bool{
		FaultPauseEngine: true, FaultKillEngine: true, FaultStoreDown: true, FaultStoreSlow: true,
		FaultLostAck: true, FaultPartition: true, FaultPauseAgent: true, FaultKillEntry: true,
	}
)

// FilterFaults returns all requests, and the faults of the given kinds. The kind
// "none" matches no fault.
func FilterFaults(events []Event, kinds []string) []Event {
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

	// TraceRequest is a caller's request.
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

	// TraceFault is a fault. Target is the engine or entry instance that it
	// affects. For lostAck it is a prefix of keys in the store, and ForMs is the
	// number of lost answers.
	TraceFault struct {
		Kind   string `json:"kind"`
		Target string `json:"target,omitempty"`
		ForMs  int64  `json:"forMs,omitempty"`
	}
)

// ReadTrace reads a trace file and returns its events sorted by time.
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

// ParseTrace parses a trace and returns its events sorted by time. An error names
// the invalid line.
func ParseTrace(r io.Reader) ([]Event, error) {
	var out []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 64<<10), 1<<20)
	for n := 1; scanner.Scan(); n++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&e); err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrTrace, n, err)
		}
		if err := e.validate(); err != nil {
			return nil, fmt.Errorf("%w: line %d: %v", ErrTrace, n, err)
		}
		out = append(out, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMs < out[j].AtMs })
	return out, nil
}

func (e Event) validate() error {
	switch {
	case e.AtMs < 0:
		return errors.New("atMs must not be negative")
	case (e.Request == nil) == (e.Fault == nil):
		return errors.New("an event needs either a request or a fault")
	case e.Request != nil && e.Request.ID == "":
		return errors.New("a request needs an id")
	case e.Request != nil && e.Request.Kind == "long" && e.Request.MaxTokens <= 0:
		return errors.New("a long request needs maxTokens")
	case e.Fault != nil && !knownFaults[e.Fault.Kind]:
		return fmt.Errorf("unknown fault kind %q", e.Fault.Kind)
	}
	return nil
}
