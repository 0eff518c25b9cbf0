package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
)

// Kinds of record.
const (
	RecordStarted  = "begun"
	RecordEnded    = "ended"
	RecordStopped  = "stopped" // the target has seen the end of the connection of a call that it runs
	RecordDraining = "leaving" // the store has acknowledged the row that says so
	RecordCrashed  = "crashed" // a poison request crashes the target
	RecordLimited  = "limited" // the target names a rate limit from now on
	RecordEndless  = "endless" // an answer without an end, when its connection is closed
	RecordBackoff  = "backoff" // the target rejects a call and asks for a backoff
	RecordArrived  = "arrived" // the target receives a call, which it may reject
	RecordStalled  = "stalled" // the target's process got no processor time
	RecordBooted   = "booted"  // a process of the target starts; it may have the id of an earlier one
)

// Kinds of call.
const (
	CallStream = "stream" // may be resumed
	CallSafe   = "safe"
	CallUnsafe = "unsafe" // may run only once
	CallRoute  = "route"  // on the newest route
	CallKey    = "key"    // with a recent or removed key
)

type (
	// Call is a call as its caller saw it. Times are Unix ns.
	Call struct {
		ID           string        `json:"id"`
		Kind         string        `json:"kind"`
		Entry        string        `json:"entry"`
		Boot         int           `json:"boot"` // number of the instance's process
		Path         string        `json:"path"`
		Key          string        `json:"key"`
		Org          string        `json:"org"`
		Subject      string        `json:"subject"` // determines the texts of a stream's events
		ResumeOffset int           `json:"after"`   // id of the last event that the caller had
		TotalEvents  int           `json:"events"`  // of the complete stream
		SentAt       int64         `json:"sent"`
		EndedAt      int64         `json:"ended"`
		Timeout      time.Duration `json:"limit"` // until the deadline
		TimedOut     bool          `json:"gaveUp"`
		Poison       bool          `json:"deadly"`     // a poison request
		PoisonPart   bool          `json:"deadlyPart"` // a poison request because of a part of its prompt
		// Moment is when a poison request crashes its target.
		Moment platform.CrashMoment `json:"moment,omitempty"`
		Place  platform.PartPlace   `json:"place,omitempty"` // of the poison part in the prompt

		Connected    bool     `json:"connected"`
		Status       int      `json:"status"` // 0: no answer
		AnsweredCall string   `json:"answerTo"`
		Stamp        string   `json:"stamp"`
		SaysDraining bool     `json:"saysDraining"` // the answer says that its target is draining
		Complete     bool     `json:"whole"`        // the body ended without an error
		Body         string   `json:"body"`         // of a plain answer
		EventIDs     []int    `json:"ids"`          // of a stream
		EventTexts   []string `json:"texts"`
		Error        string   `json:"error"`
	}

	// Record is what a target recorded: the start or end of an attempt, that the attempt is
	// told to stop, that the target is draining, a crash, a rate limit, a backoff, or the start of its process.
	Record struct {
		Kind         string `json:"kind"`
		Call         string `json:"call"`
		Target       string `json:"target"`
		Node         string `json:"slot"`
		Service      string `json:"service"`
		Path         string `json:"path"`
		Org          string `json:"org"`
		KeyPassed    bool   `json:"keyPassed"`
		ResumeOffset int    `json:"after"`
		At           int64  `json:"at"`

		PoisonPart bool `json:"deadlyPart,omitempty"` // of RecordCrashed: a part of the prompt caused it

		RemainingMs int64 `json:"remainingMs,omitempty"` // of RecordArrived: the time that the target is given; 0: none is named

		Answer  string `json:"answer,omitempty"`  // of RecordEndless: what has no end
		LastsMs int64  `json:"lastsMs,omitempty"` // of RecordEndless: time until the connection was closed; of RecordStalled: the time up to At

		Rate  float64 `json:"rate,omitempty"`  // of RecordLimited, requests a second
		Until int64   `json:"until,omitempty"` // when the target stops to name the limit, unless it ends before; of RecordBackoff: the end of the backoff
	}

	// Change is a version that the operator wrote.
	Change struct {
		Version      int    `json:"version"`
		SentAt       int64  `json:"sent"`
		AckedAt      int64  `json:"acked"`   // 0: never
		AddedRoute   string `json:"added"`   // path of the added route
		RemovedRoute string `json:"removed"` // path of the removed route
		RevokedKey   string `json:"revoked"`
		AddedKey     string `json:"newKey"`
		NoKeys       bool   `json:"noKeys,omitempty"` // it has no organisations
	}

	// InjectedFault is a fault with its actual times.
	InjectedFault struct {
		Fault

		StartedAt int64 `json:"begun"`
		EndedAt   int64 `json:"over"`
	}

	// Stall is a time without processor time for a process.
	Stall struct {
		StartedAt int64 `json:"begun"`
		EndedAt   int64 `json:"over"`
	}

	// UnexpectedExit is a process that exited without being stopped, or did not exit in
	// time.
	UnexpectedExit struct {
		Node  string `json:"part"`
		At    int64  `json:"at"`
		Error string `json:"error"`
	}

	// Usage holds the resources that an instance's process used at a time.
	Usage struct {
		Node      string `json:"part"`
		At        int64  `json:"at"`
		MemoryMB  int    `json:"mb"`
		OpenFiles int    `json:"files"`
	}

	// History holds all records of an execution.
	History struct {
		Deployment Deployment
		Size       Size
		StartedAt  int64
		Calls      []Call
		Records    []Record
		Changes    []Change
		Faults     []InjectedFault
		Stalls     []Stall // of the soak test's own process, which holds the links
		Exits      []UnexpectedExit
		Usage      []Usage
	}
)

// mustBeServed reports whether the call counts for the share of served calls. Calls on
// routes and with keys that change do not, nor do poison requests.
func (c *Call) mustBeServed() bool { return c.Kind != CallKey && c.Kind != CallRoute && !c.Poison }

func (c *Call) served() bool { return c.Status == http.StatusOK && c.Complete }

const recordsSuffix = ".runs.jsonl"

// readRecords reads the records of all targets in a folder.
func readRecords(dir string) ([]Record, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+recordsSuffix))
	if err != nil {
		return nil, err
	}
	var out []Record
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(b) {
			var r Record
			if err := json.Unmarshal(line, &r); err != nil {
				return nil, fmt.Errorf("soak: %s: %w", file, err)
			}
			out = append(out, r)
		}
	}
	return out, nil
}
