package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	meanCallPause  = 150 * time.Millisecond
	neverValidOdds = 4 // one call of CallKey in so many has a key that no version had
	connectTimeout = time.Second
	// lateAnswerWait is how long callers wait after a call's deadline, so that late
	// answers are recorded.
	lateAnswerWait = 1500 * time.Millisecond
	maxBodyBytes   = 4 << 10
)

// caller sends its calls to one instance over one connection, and selects another instance
// after a failed call or a closed connection.
type caller struct {
	exec       *execution
	rng        *rand.Rand
	index      int
	callCount  int
	entryIndex int // of the connected instance; -1: none
	http       *http.Client
}

// errPartialEvent means that a stream ended within an event.
var errPartialEvent = errors.New("soak: stream ends within an event")

func newCaller(x *execution, index int) *caller {
	c := &caller{exec: x, index: index, entryIndex: -1, rng: rand.New(rand.NewPCG(x.plan.Seed, uint64(100+index)))}
	c.disconnect()
	return c
}

// disconnect makes the next call open a new connection.
func (c *caller) disconnect() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.entryIndex = -1
	c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}}
}

// run sends calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(meanCallPause))) {
		if c.entryIndex < 0 {
			c.entryIndex = c.exec.balancer.pick(c.rng)
		}
		kind := c.drawKind()
		call := c.newCall(kind, 0, "")
		c.make(&call)
		if kind == CallStream && len(call.EventIDs) > 0 && !call.Complete && ctx.Err() == nil {
			c.resume(ctx, call)
		}
	}
}

// resume continues an interrupted stream once, at an instance that the balancer selects.
func (c *caller) resume(ctx context.Context, interrupted Call) {
	if !clock.Sleep(ctx, meanCallPause) {
		return
	}
	c.entryIndex = c.exec.balancer.pick(c.rng)
	call := c.newCall(CallStream, interrupted.ResumeOffset+len(interrupted.EventIDs), interrupted.Subject)
	c.make(&call)
}

func (c *caller) drawKind() string {
	switch n := c.rng.IntN(20); {
	case n < 6:
		return CallStream
	case n < 9:
		return CallSafe
	case n < 15:
		return CallUnsafe
	case n < 18:
		return CallRoute
	default:
		return CallKey
	}
}

// newCall returns a call to the connected instance. An empty subject is replaced by a new
// one; a resumed stream keeps the subject of the interrupted call.
func (c *caller) newCall(kind string, resumeOffset int, subject string) Call {
	c.callCount++
	if subject == "" {
		subject = fmt.Sprintf("%x%04x", c.index, c.callCount)
	}
	call := Call{ID: fmt.Sprintf("%x-%d-%d.%s", c.exec.plan.Seed, c.index, c.callCount, subject), Kind: kind, Entry: fmt.Sprint(nodeEntry, c.entryIndex),
		Boot: c.exec.entries[c.entryIndex].bootNumber(), Key: keyFixed, Org: orgFixed,
		Timeout: plainTimeout, ResumeOffset: resumeOffset, Subject: subject}
	switch kind {
	case CallStream:
		call.Path, call.Timeout, call.TotalEvents = pathStream+"x", streamTimeout, streamEvents
	case CallSafe:
		call.Path = pathSafe + "x"
	case CallUnsafe:
		call.Path = pathUnsafe + "x"
	case CallRoute:
		call.Path = routePath(c.exec.operator.latestVersion()) + "x"
	case CallKey:
		v := c.exec.operator.latestVersion()
		call.Path, call.Org = pathSafe+"x", orgRotating
		call.Key = keyOf(max(1, v-c.rng.IntN(activeKeys+2)))
		if c.rng.IntN(neverValidOdds) == 0 {
			call.Key = keyNever
		}
	}
	return call
}

// make sends the call and records its outcome.
func (c *caller) make(call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout+lateAnswerWait)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { call.Connected = true }})
	body := "{}"
	switch {
	case call.PoisonPart:
		body = call.ID
	case call.Poison:
		body = poisonBody
	}
	if call.Moment != platform.CrashAfterHead {
		body += momentSeparator + string(call.Moment)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.exec.callerAddrOf(c.entryIndex)+call.Path, strings.NewReader(body))
	if err != nil {
		panic(err) // all parts of the request are constants or generated
	}
	req.Host = host
	headers := platform.CallHeaders{ID: call.ID, Key: call.Key, RemainingTime: call.Timeout, ResumeOffset: call.ResumeOffset}
	if call.Kind == CallStream {
		headers.Stream = &platform.CallerStream{Model: model, Subject: call.Subject, Prompt: promptTokens, MaxTokens: call.TotalEvents}
		if call.PoisonPart {
			headers.Stream.SharedPart, headers.Stream.Place = poisonPart, call.Place
		}
	}
	headers.Set(req.Header)
	call.SentAt = time.Now().UnixNano()
	resp, err := c.http.Do(req)
	if err == nil {
		c.readAnswer(call, resp)
	} else {
		call.Error = err.Error()
	}
	call.EndedAt = time.Now().UnixNano()
	call.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded)
	c.exec.recordCall(*call)
	if err != nil || !call.Complete || resp.Close || call.Status/100 != 2 {
		c.disconnect()
	}
}

// readAnswer reads the answer into the call.
func (c *caller) readAnswer(call *Call, resp *http.Response) {
	defer resp.Body.Close()
	headers := platform.ReadResponseHeaders(resp.Header)
	call.Status, call.Stamp, call.AnsweredCall, call.SaysDraining = resp.StatusCode, headers.Stamp, headers.Call, headers.Draining
	var err error
	if call.Kind == CallStream && call.Status == http.StatusOK {
		err = call.readEvents(resp.Body)
	} else {
		var b []byte
		b, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		call.Body = string(b)
	}
	call.Complete = err == nil
	if err != nil {
		call.Error = err.Error()
	}
}

// readEvents reads a stream's events. It discards a partial event at the end and returns
// errPartialEvent.
func (call *Call) readEvents(r io.Reader) error {
	lines := bufio.NewReader(r)
	id, text := 0, ""
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && len(line) == 0 && id == 0 {
				return nil
			}
			if errors.Is(err, io.EOF) {
				return errPartialEvent
			}
			return err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			call.EventIDs, call.EventTexts = append(call.EventIDs, id), append(call.EventTexts, text)
			id, text = 0, ""
			continue
		}
		if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			id, err = strconv.Atoi(string(v))
			if err != nil {
				return err
			}
		}
		if v, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			text = string(v)
		}
	}
}
