// Package handlers implements the HTTP APIs of an entry instance: the caller API
// (caller.go) and the debug endpoints for operators and tools (debug.go).
package handlers

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/metrics"
)

// Headers of the caller API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// maxBodyBytes bounds a request body, with room for a prompt of MaxPromptTokens
// words.
const maxBodyBytes = 1 << 20

// errorBody is the JSON body of an error.
type errorBody struct {
	Error       string `json:"error"`
	NotRun      bool   `json:"notRun"`
	RetryAfterS int    `json:"retryAfterS,omitempty"`
}

// New returns the handler of the APIs of an entry instance; m may be nil.
func New(e *entry.Entry, m *metrics.Reporter) http.Handler {
	r := httprouter.New()
	c := callerAPI{e: e}
	r.POST("/v1/generate", c.generate)
	r.GET("/v1/generate/:id", c.reconnect)
	r.POST("/v1/call/:op", c.call)
	d := debugAPI{e: e, m: m}
	r.GET("/healthz", d.health)
	r.GET("/debug/stats", d.stats)
	r.POST("/debug/fault", d.fault)
	if m != nil {
		r.Handler(http.MethodGet, "/debug/metrics", m)
	}
	return r
}

func writeError(w http.ResponseWriter, code int, msg string, notRun bool, retryAfter int) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(errorBody{Error: msg, NotRun: notRun, RetryAfterS: retryAfter})
}
