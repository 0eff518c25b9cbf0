// Package engine implements a client of model engines with an OpenAI-style
// streaming completions API, and a stand-in engine for tests and demos on one
// machine.
//
// Protocol:
//
//	POST /v1/completions   body Completion; SSE of Chunk, then "data: [DONE]"
//	GET  /v1/load          200 Load (LoadLag ago)
//	POST /v1/fault         body Fault; 204 (die: the process exits)
//	GET  /debug/stats      200 Stats
//
// Completion.Prefix resumes a generation: the engine prefills the prompt and the
// tokens that the caller has, and continues after them.
package engine

import "errors"

var (
	// ErrFenced is returned when the engine rejects an old fencing number.
	ErrFenced = errors.New("engine: fencing number too old")
	// ErrEngine is returned when the engine is unreachable or its stream fails.
	ErrEngine = errors.New("engine: stream failed")
)

type (
	// Completion is a streaming completion request.
	Completion struct {
		Model     string   `json:"model"`
		Prompt    string   `json:"prompt"`
		MaxTokens int      `json:"max_tokens"`
		Stream    bool     `json:"stream"`
		Seed      uint64   `json:"seed"`
		Priority  int      `json:"priority,omitempty"`
		Prefix    []string `json:"prefix,omitempty"`
		Fencing   uint64   `json:"fencing,omitempty"`
		RequestID string   `json:"request_id,omitempty"`
	}

	// Chunk is the data of one server-sent event of a completion stream.
	Chunk struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Choices []Choice `json:"choices"`
	}

	// Choice carries one token.
	Choice struct {
		Index        int    `json:"index"`
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason,omitempty"`
	}

	// Load is the number of sequences in the batch and in the queue of an
	// engine.
	Load struct {
		Running int   `json:"running"`
		Waiting int   `json:"waiting"`
		AtMs    int64 `json:"atMs"`
	}

	// Fault injects a fault into the stand-in: Kind "die" exits the process,
	// "pause" stops all output for ForMs.
	Fault struct {
		Kind  string `json:"kind"`
		ForMs int64  `json:"forMs,omitempty"`
	}

	// Stats are the stand-in's counters: tokens generated and prefilled, cache
	// hits, completions, and completions rejected by their fencing number.
	Stats struct {
		Generated   int64 `json:"generated"`
		Prefilled   int64 `json:"prefilled"`
		CacheHits   int64 `json:"cacheHits"`
		Completions int64 `json:"completions"`
		Fenced      int64 `json:"fenced"`
	}
)
