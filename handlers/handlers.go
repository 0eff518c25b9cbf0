// Package handlers implements the HTTP APIs of an entry instance: the caller API
// (caller.go) and the debug endpoints for operators and tools (debug.go).
package handlers

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/metrics"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Headers of the caller API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Limits on callers' requests.
const (
	// maxBodyBytes bounds a request body, with room for a prompt of MaxPromptTokens
	// words.
	maxBodyBytes = 1 << 20
	maxHeadBytes = 32 << 10
	headTime     = 5 * time.Second
	bodyTime     = 10 * time.Second
	idleTime     = 60 * time.Second
	// writeTimeout bounds each write of an answer.
	writeTimeout = 5 * time.Second
)

// errorBody is the JSON body of an error.
type errorBody struct {
	Error       string `json:"error"`
	NotRun      bool   `json:"notRun"`
	RetryAfterS int    `json:"retryAfterS,omitempty"`
}

// ListenerConfig returns the configuration of the listener for callers.
func ListenerConfig(cfg *settings.File) downstream.ListenerConfig {
	limits := ragworthitch.Limits{HeaderBytes: maxHeadBytes, BodyBytes: maxBodyBytes, HeaderTime: headTime, IdleTime: idleTime}
	return downstream.ListenerConfig{Name: "callers", MaxConns: cfg.Limits.ClientConns(), WriteTimeout: writeTimeout,
		Limits: func() ragworthitch.Limits { return limits }}
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
	if e.Settings().FaultInjection {
		r.POST("/debug/fault", d.fault)
	}
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
