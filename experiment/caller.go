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

// maxTries is how often a caller sends its call: once more after a refusal or
// a broken answer.
const maxTries = 2

type (
	// caller is one caller with its call.
	caller struct {
		play   *play
		id     string
		at     time.Duration // when it comes, from the play's start
		prompt int
		events int

		mu     sync.Mutex
		first  time.Duration // to the first event; 0: none yet
		last   time.Time     // of the last event
		pause  time.Duration // the longest between two events
		delay  time.Duration // the longest from an event's making to the caller
		got    int
		whole  bool
		reset  context.CancelFunc // breaks its connection
		asked  time.Time
		resets int
	}

	// answer takes the answer to one try of a caller.
	answer struct {
		c      *caller
		header http.Header
		status int
	}
)

// Header is the answer's header.
func (a *answer) Header() http.Header {
	if a.header == nil {
		a.header = http.Header{}
	}
	return a.header
}

// WriteHeader takes the answer's status.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write takes one event.
func (a *answer) Write(b []byte) (int, error) {
	c := a.c
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.got == 0 {
		c.first = now.Sub(c.asked)
	} else {
		c.pause = max(c.pause, now.Sub(c.last))
	}
	c.got++
	c.last = now
	made, err := time.Parse(time.RFC3339Nano, string(b))
	if err != nil {
		return 0, err
	}
	c.delay = max(c.delay, now.Sub(made))
	return len(b), nil
}

// FlushError does nothing.
func (a *answer) FlushError() error { return nil }

// run sends the call, and once more where that may help.
func (c *caller) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c.asked = time.Now()
	for try := range maxTries {
		status, retry := c.try(ctx, try)
		if c.complete() || ctx.Err() != nil {
			return
		}
		if status == http.StatusServiceUnavailable {
			deadline, _ := ctx.Deadline()
			clock.Sleep(ctx, min(retry, time.Until(deadline)/3))
		}
	}
}

// try sends the call once to some entry.
func (c *caller) try(ctx context.Context, n int) (status int, retry time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := c.play.anyEntry()
	a := &answer{c: c}
	call := &ingress.Call{ID: fmt.Sprintf("%s-%d", c.id, n), Method: http.MethodPost, Host: host, Path: path, Header: http.Header{},
		Patience: patience, Prompt: c.prompt, Output: c.events * c.play.load.kind().TokensPerEvent * 4 / 3,
		Body: emulator.Body(c.events, c.id), Subject: c.id, Received: clock.Now()}
	c.mu.Lock()
	c.reset = cancel
	if c.got > 0 {
		call.After = strconv.Itoa(c.got)
	}
	c.mu.Unlock()
	whole := in.handler.ServeWhole(ctx, a, call)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = nil
	c.whole = whole && a.status == http.StatusOK
	seconds, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
	if err != nil {
		seconds = 0 // none was sent
	}
	return a.status, time.Duration(seconds * float64(time.Second))
}

func (c *caller) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole
}

// breakOff resets the caller's connection, if it has one.
func (c *caller) breakOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reset != nil {
		c.resets++
		c.reset()
	}
}

// onTime reports whether the answer was whole, began in time, did not pause
// for too long, and had its events passed on at once.
func (c *caller) onTime() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole && c.first <= firstAim && c.pause <= pauseAim && c.delay <= passAim
}
