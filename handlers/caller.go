package handlers

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/entry"
)

type (
	callerAPI struct{ e *entry.Entry }

	// generateBody is the JSON body of POST /v1/generate.
	generateBody struct {
		Org       string `json:"org"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Priority  int    `json:"priority"`
		Seed      uint64 `json:"seed"`
	}

	// callBody is the JSON body of POST /v1/call/:op.
	callBody struct {
		Org string `json:"org"`
	}

	tokenEvent struct {
		Text    string `json:"text"`
		Attempt int    `json:"attempt"`
	}

	doneEvent struct {
		Tokens   int `json:"tokens"`
		Attempts int `json:"attempts"`
	}
)

var kindsByOp = map[string]ragworthitch.Kind{
	"status": ragworthitch.KindShort, "balance": ragworthitch.KindShort,
	"quote": ragworthitch.KindQuote, "charge": ragworthitch.KindCharge,
}

func (c callerAPI) retryAfter() int { return c.e.Settings().Timeouts.RetryAfterS }

// generate starts a generation and streams it as server-sent events; the id of
// an event is the offset of its token.
func (c callerAPI) generate(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var b generateBody
	if !c.decodeBody(w, r, &b) {
		return
	}
	req := ragworthitch.NewRequest(ragworthitch.RequestParams{
		ID: r.Header.Get(HeaderRequestID), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Org: b.Org, Model: b.Model, Kind: ragworthitch.KindLong, PromptTokens: countWords(b.Prompt),
		MaxTokens: b.MaxTokens, Priority: b.Priority, Seed: b.Seed,
	})
	s, err := c.e.Generate(r.Context(), req, b.Prompt)
	if err != nil {
		c.writeCallError(w, err)
		return
	}
	c.stream(w, r, s, 0)
}

// reconnect continues a stream after the offset in Last-Event-ID.
func (c callerAPI) reconnect(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s, err := c.e.Attach(r.Context(), p.ByName("id"))
	switch {
	case errors.Is(err, entry.ErrOwnedElsewhere), errors.Is(err, entry.ErrNoMemory):
		writeError(w, http.StatusServiceUnavailable, err.Error(), false, 1)
		return
	case err != nil:
		writeError(w, http.StatusNotFound, err.Error(), false, c.retryAfter())
		return
	}
	from := 0
	if v := r.Header.Get(HeaderLastEventID); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < -1 {
			writeError(w, http.StatusBadRequest, "Last-Event-ID must be a token offset", false, 0)
			return
		}
		from = n + 1
	}
	c.stream(w, r, s, from)
}

// stream sends the tokens of a stream from an offset on.
func (c callerAPI) stream(w http.ResponseWriter, r *http.Request, s *entry.Stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set(HeaderRequestID, s.Request().ID())
	w.WriteHeader(http.StatusOK)
	out := eventWriter{w: w, flush: http.NewResponseController(w).Flush}
	out.flushEvents()
	for out.err == nil {
		toks, done, err := s.Next(r.Context(), from)
		if r.Context().Err() != nil {
			return
		}
		for _, t := range toks {
			out.add("token", t.Offset(), tokenEvent{Text: t.Text(), Attempt: t.Attempt()})
		}
		from += len(toks)
		switch {
		case done && err != nil:
			// The stream has failed.
			out.add("error", noEventID, errorBody{Error: err.Error(), RetryAfterS: c.retryAfter()})
		case done:
			out.add("done", noEventID, doneEvent{Tokens: from, Attempts: s.Attempts()})
		}
		out.flushEvents()
		if done {
			break
		}
	}
	if out.err != nil {
		c.e.Log().Info().Str("request", s.Request().ID()).Int("tokens", from).Err(out.err).Msg("entry: caller disconnected; the stream continues")
	}
}

// call runs a plain service call.
func (c callerAPI) call(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	kind, ok := kindsByOp[p.ByName("op")]
	if !ok {
		writeError(w, http.StatusNotFound, fmt.Sprintf("unknown operation %q", p.ByName("op")), true, 0)
		return
	}
	var b callBody
	if !c.decodeBody(w, r, &b) {
		return
	}
	req := ragworthitch.NewRequest(ragworthitch.RequestParams{
		ID: r.Header.Get(HeaderRequestID), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Org: b.Org, Kind: kind, Op: p.ByName("op"),
	})
	a, err := c.e.Call(r.Context(), req)
	if err != nil {
		c.writeCallError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(map[string]any{"answer": a.Text, "replayed": a.Replayed})
}

// writeCallError answers with an error and whether the request certainly did not
// run.
func (c callerAPI) writeCallError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ragworthitch.ErrBadRequest), errors.Is(err, ragworthitch.ErrUnknownModel),
		errors.Is(err, ragworthitch.ErrUnknownOrg):
		writeError(w, http.StatusBadRequest, err.Error(), true, 0)
	case errors.Is(err, ragworthitch.ErrPromptTooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, err.Error(), true, 0)
	case errors.Is(err, entry.ErrDuplicate):
		writeError(w, http.StatusConflict, err.Error(), true, 0)
	case errors.Is(err, entry.ErrUnknownOutcome):
		writeError(w, http.StatusConflict, err.Error(), false, c.retryAfter())
	case errors.Is(err, entry.ErrNoTarget), errors.Is(err, entry.ErrNoMemory), errors.Is(err, entry.ErrNotRun):
		writeError(w, http.StatusServiceUnavailable, err.Error(), true, c.retryAfter())
	default:
		// An idempotent call has failed and may have run.
		writeError(w, http.StatusBadGateway, err.Error(), false, c.retryAfter())
	}
}

// decodeBody decodes a JSON body without unknown fields. If it cannot, the call is answered
// as not run, and decodeBody returns false.
func (c callerAPI) decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	memory := c.e.Clients().Memory()
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		c.e.Log().Debug().Err(err).Msg("entry: could not set the read deadline")
	}
	b, err := memory.Read(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	defer memory.Free(len(b))
	if err == nil && !memory.TryReserve(len(b)) { // for the decoded values
		err = admit.ErrNoMemory
	} else if err == nil {
		defer memory.Free(len(b))
		dec := json.NewDecoder(bytes.NewReader(b))
		dec.DisallowUnknownFields()
		err = dec.Decode(v)
	}
	if err == nil {
		return true
	}
	status, retryAfter := c.bodyStatus(err)
	w.Header().Set("Connection", "close")
	writeError(w, status, "bad request body: "+err.Error(), true, retryAfter)
	return false
}

// bodyStatus returns the status and the Retry-After for a body that was not accepted.
func (c callerAPI) bodyStatus(err error) (status, retryAfter int) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, 0
	case errors.Is(err, admit.ErrNoMemory):
		return http.StatusServiceUnavailable, c.retryAfter()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, 0
	}
	return http.StatusBadRequest, 0
}

func countWords(s string) int {
	n, inWord := 0, false
	for i := 0; i < len(s); i++ {
		isSpace := s[i] == ' ' || s[i] == '\n' || s[i] == '\t' || s[i] == '\r'
		if !isSpace && !inWord {
			n++
		}
		inWord = !isSpace
	}
	return n
}
