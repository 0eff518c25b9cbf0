package experiment

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
)

// maxSends is the most times a caller sends its call: once more after a
// rejection or an incomplete answer.
const maxSends = 2

type (
	// caller is a caller of one stream, with its measures.
	caller struct {
		sim          *simulation
		id           string
		arrival      time.Duration // since the start of the simulation
		promptTokens int
		events       int

		mu                sync.Mutex
		timeToFirst       time.Duration
		lastEventAt       time.Time
		longestInterval   time.Duration // longest event interval
		longestForwarding time.Duration // longest time from the generation of an event by the engine to its receipt
		received          int           // events
		complete          bool
		cancelRequest     context.CancelFunc // nil: no connection is open
		sentAt            time.Time
		resets            int
	}

	// responseWriter records the answer to one send of a call.
	responseWriter struct {
		c      *caller
		header http.Header
		status int
	}
)

// Header returns the answer's header.
func (w *responseWriter) Header() http.Header {
	if w.header == nil {
		w.header = http.Header{}
	}
	return w.header
}

// WriteHeader records the answer's status.
func (w *responseWriter) WriteHeader(status int) { w.status = status }

// Write records the receipt of an event. Its text is the time when the engine
// generated it.
func (w *responseWriter) Write(body []byte) (int, error) {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.received == 0 {
		c.timeToFirst = now.Sub(c.sentAt)
	} else {
		c.longestInterval = max(c.longestInterval, now.Sub(c.lastEventAt))
	}
	c.received++
	c.lastEventAt = now
	generatedAt, err := time.Parse(time.RFC3339Nano, string(body))
	if err != nil {
		return 0, err
	}
	c.longestForwarding = max(c.longestForwarding, now.Sub(generatedAt))
	return len(body), nil
}

// FlushError does nothing: Write doesn't buffer.
func (w *responseWriter) FlushError() error { return nil }

// call sends the caller's call, at most maxSends times.
func (c *caller) call(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.sentAt = time.Now()
	for index := range maxSends {
		status, retryAfter := c.send(ctx, index)
		if c.isComplete() || ctx.Err() != nil {
			return
		}
		if status == http.StatusServiceUnavailable {
			deadline, _ := ctx.Deadline()
			clock.Sleep(ctx, min(retryAfter, time.Until(deadline)/3))
		}
	}
}

// send sends the call to an entry instance, resuming after the last received
// event.
func (c *caller) send(ctx context.Context, index int) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	entry := c.sim.randomEntry()
	w := &responseWriter{c: c}
	call := &ingress.Call{ID: fmt.Sprintf("%s-%d", c.id, index), Method: http.MethodPost, Host: host, Path: path, Header: http.Header{},
		Timeout: callTimeout, Prompt: c.promptTokens, MaxTokens: c.events * c.sim.workload.profile().TokensPerEvent * 4 / 3,
		Body: emulator.Body(c.events, c.id), Subject: c.id, Received: clock.Now()}
	c.mu.Lock()
	c.cancelRequest = cancel
	if c.received > 0 {
		call.ResumeOffset = strconv.Itoa(c.received)
	}
	c.mu.Unlock()
	complete := entry.handler.ServeComplete(ctx, w, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelRequest = nil
	c.complete = complete && w.status == http.StatusOK
	seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
	if err != nil {
		seconds = 0 // the header is missing
	}
	return w.status, time.Duration(seconds * float64(time.Second))
}

func (c *caller) isComplete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// resetConnection resets the caller's connection if one is open.
func (c *caller) resetConnection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRequest != nil {
		c.resets++
		c.cancelRequest()
	}
}

// meetsObjectives reports whether the answer is complete and its time to first
// event, event intervals and forwarding times met their objectives.
func (c *caller) meetsObjectives() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete && c.timeToFirst <= firstEventObjective && c.longestInterval <= eventIntervalObjective && c.longestForwarding <= forwardingObjective
}
