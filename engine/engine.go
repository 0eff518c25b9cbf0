// Package engine speaks to model engines: an OpenAI-style streaming
// completions API over HTTP with server-sent events. It holds the client the
// agent uses and the stand-in engine that takes a real engine's place on one
// machine.
//
// Protocol:
//
//	POST /v1/completions   body Completion; SSE of Chunk, then "data: [DONE]"
//	GET  /v1/load          200 Load (as it was LoadLag ago: reports lag)
//	POST /v1/fault         body Fault; 204 (die: the process exits)
//	GET  /debug/stats      200 Stats
//
// Completion.Prefix resumes a generation: the engine prefills the prompt
// and the tokens already delivered and continues after them.
package engine

import "errors"

var (
	// ErrFenced is returned when the engine refused an order with an old
	// fencing number.
	ErrFenced = errors.New("engine: fencing number too old")
	// ErrEngine is returned when the engine could not be reached or broke
	// off the stream.
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

	// Chunk is one server-sent event of a completion stream.
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

	// Load is an engine's load report.
	Load struct {
		Running int   `json:"running"`
		Waiting int   `json:"waiting"`
		AtMs    int64 `json:"atMs"`
	}

	// Fault makes the stand-in misbehave: Kind "die" exits the process,
	// "pause" stops all output for ForMs.
	Fault struct {
		Kind  string `json:"kind"`
		ForMs int64  `json:"forMs,omitempty"`
	}

	// Stats counts what the stand-in has done.
	Stats struct {
		Generated   int64 `json:"generated"`
		Prefilled   int64 `json:"prefilled"`
		CacheHits   int64 `json:"cacheHits"`
		Completions int64 `json:"completions"`
		Fenced      int64 `json:"fenced"`
	}
)
