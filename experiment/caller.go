package experiment

import (
	"context"
	"fmt"
	"net/http"
	"os"
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
		route        *Route
		org          string        // empty: none
		zone         string        // of the entry instances that the caller reaches; empty: all
		readDelay    time.Duration // to read an event

		mu                sync.Mutex
		timeToFirst       time.Duration
		lastEventAt       time.Time
		longestInterval   time.Duration // longest event interval
		longestForwarding time.Duration // longest time from the generation of an event by the engine to its receipt
		received          int           // events
		complete          bool
		status            int                     // of the last answer
		vain              emulator.VainTokens     // of all attempts, before reuse
		replicaReuse      int                     // tokens
		cacheReuse        int                     // tokens
		cancelRequest     context.CancelCauseFunc // nil: no connection is open
		sentAt            time.Time
		resets            int
	}

	// responseWriter records the answer to one send of a call.
	responseWriter struct {
		c        *caller
		header   http.Header
		status   int
		deadline time.Time // of the next write
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
	if err := c.read(w.deadline); err != nil {
		return 0, err
	}
	return len(body), nil
}

// SetWriteDeadline sets the time until which the caller has to read the next event.
func (w *responseWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// read takes the time that the caller needs to read an event; c.mu is held.
func (c *caller) read(deadline time.Time) error {
	if c.readDelay == 0 {
		return nil
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	left := time.Until(deadline)
	time.Sleep(min(c.readDelay, left))
	if c.readDelay > left {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// FlushError does nothing: Write doesn't buffer.
func (w *responseWriter) FlushError() error { return nil }

// call sends the caller's call, at most maxSends times.
func (c *caller) call(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.sentAt = time.Now()
	var entry *instance
	for index := range maxSends {
		if c.sim.workload.ComeBack {
			entry = c.sim.randomEntry(c.zone, entry)
		} else {
			entry = c.sim.randomEntry(c.zone, nil)
		}
		status, retryAfter := c.send(ctx, entry, index)
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
func (c *caller) send(ctx context.Context, entry *instance, index int) (status int, retryAfter time.Duration) {
	timeout := callTimeout
	if deadline, ok := ctx.Deadline(); ok && index > 0 && c.sim.workload.ComeBack {
		timeout = time.Until(deadline)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &responseWriter{c: c}
	call := &ingress.Call{ID: fmt.Sprintf("%s-%d", c.id, index), Method: http.MethodPost, Host: host, Path: c.route.path(), Key: c.org, Header: http.Header{},
		Timeout: timeout, Prompt: c.promptTokens, MaxTokens: c.events * c.sim.workload.profile().TokensPerEvent * 4 / 3,
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
	c.status, c.complete = w.status, complete && w.status == http.StatusOK
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
		c.cancelRequest(emulator.ErrCallerLeft)
	}
}

// meetsObjectives reports whether the answer is complete and its time to first
// event, event intervals and forwarding times met their objectives. A caller that
// reads slowly delays events by itself.
func (c *caller) meetsObjectives() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	promptEvents := c.readDelay > 0 || c.longestInterval <= eventIntervalObjective && c.longestForwarding <= forwardingObjective
	return c.complete && c.timeToFirst <= c.route.objective() && promptEvents
}

// outcome returns how the stream ended.
func (c *caller) outcome() Outcome {
	switch {
	case c.meetsObjectives():
		return InTime
	case c.isComplete():
		return Late
	case c.received == 0 && c.status == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// recordUsage records the prefill of an attempt that has ended.
func (sim *simulation) recordUsage(call *ingress.Call, usage emulator.Usage) {
	c := sim.callersByID[call.Subject]
	if c == nil {
		return // a poison request
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vain.Add(usage.Vain)
	c.replicaReuse += usage.ReplicaReuse
	c.cacheReuse += usage.CacheReuse
}

// vainTokens returns the tokens that were prefilled in vain for the stream: those of
// attempts that ended early, unless a further attempt took them over.
func (c *caller) vainTokens() emulator.VainTokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.vain
	out.Deduct(c.replicaReuse, emulator.AfterFirstEvent, emulator.EngineLost, emulator.CancelledSilent, emulator.CallerGone)
	out.Deduct(c.cacheReuse, emulator.CallerGone, emulator.AfterFirstEvent, emulator.CancelledSilent)
	return out
}
