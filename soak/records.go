package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Kinds of a target's records.
const (
	RunBegun   = "begun"
	RunEnded   = "ended"
	RunLeaving = "leaving" // the store has taken the entry that says so
	RunCrashed = "crashed" // the target ends of it
)

// Kinds of call.
const (
	CallStream = "stream" // may be resumed
	CallSafe   = "safe"
	CallUnsafe = "unsafe" // may run once
	CallRoute  = "route"  // on the newest route
	CallKey    = "key"    // with a key that was removed
)

type (
	// Call is what a caller saw of one call. Times are Unix ns.
	Call struct {
		ID      string        `json:"id"`
		Kind    string        `json:"kind"`
		Entry   string        `json:"entry"`
		Boot    int           `json:"boot"` // number of the instance's process
		Path    string        `json:"path"`
		Key     string        `json:"key"`
		Org     string        `json:"org"`
		Subject string        `json:"subject"`
		After   int           `json:"after"`  // events that the caller had
		Events  int           `json:"events"` // that a whole stream has
		Sent    int64         `json:"sent"`
		Ended   int64         `json:"ended"`
		Limit   time.Duration `json:"limit"` // within which an answer has to be final
		GaveUp  bool          `json:"gaveUp"`
		Deadly  bool          `json:"deadly"` // it crashes the target that runs it

		Connected bool     `json:"connected"`
		Status    int      `json:"status"` // 0: none came
		AnswerTo  string   `json:"answerTo"`
		Stamp     string   `json:"stamp"`
		Whole     bool     `json:"whole"` // the body ended as complete
		Body      string   `json:"body"`  // of a plain answer
		IDs       []int    `json:"ids"`   // of a stream's events
		Texts     []string `json:"texts"`
		Error     string   `json:"error"`
	}

	// Run is a target's record of a call.
	Run struct {
		Kind      string `json:"kind"`
		Call      string `json:"call"`
		Target    string `json:"target"`
		Slot      string `json:"slot"`
		Service   string `json:"service"`
		Path      string `json:"path"`
		Org       string `json:"org"`
		KeyPassed bool   `json:"keyPassed"`
		After     int    `json:"after"`
		At        int64  `json:"at"`
	}

	// Change is one version that the operator wrote.
	Change struct {
		Version int    `json:"version"`
		Sent    int64  `json:"sent"`
		Acked   int64  `json:"acked"`   // 0: never
		Added   string `json:"added"`   // path of the route that it adds
		Removed string `json:"removed"` // path of the route that it removes
		Revoked string `json:"revoked"` // key that it removes
		NewKey  string `json:"newKey"`  // key that it adds
	}

	// Trouble is a fault as it was carried out.
	Trouble struct {
		Fault

		Begun int64 `json:"begun"`
		Over  int64 `json:"over"`
	}

	// Death is a process that ended without being told to.
	Death struct {
		Part  string `json:"part"`
		At    int64  `json:"at"`
		Error string `json:"error"`
	}

	// Usage is what an entry instance's process used at a moment.
	Usage struct {
		Part  string `json:"part"`
		At    int64  `json:"at"`
		MB    int    `json:"mb"`
		Files int    `json:"files"` // open descriptors
	}

	// History is all that was seen of a play.
	History struct {
		Begun    int64
		Calls    []Call
		Runs     []Run
		Changes  []Change
		Troubles []Trouble
		Deaths   []Death
		Usage    []Usage
	}
)

// counts reports whether a call counts as one that has to be served: those on
// routes and with keys that come and go do not, nor those that crash targets.
func (c *Call) counts() bool { return c.Kind != CallKey && c.Kind != CallRoute && !c.Deadly }

func (c *Call) served() bool { return c.Status == http.StatusOK && c.Whole }

const recordsSuffix = ".runs.jsonl"

// readRuns reads all targets' records in a folder.
func readRuns(dir string) ([]Run, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"+recordsSuffix))
	if err != nil {
		return nil, err
	}
	var out []Run
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(b) {
			var r Run
			if err := json.Unmarshal(line, &r); err != nil {
				return nil, fmt.Errorf("soak: %s: %w", file, err)
			}
			out = append(out, r)
		}
	}
	return out, nil
}
