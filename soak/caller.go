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
	// callGap is the mean pause of a caller between two calls.
	callGap = 150 * time.Millisecond
	// connectTime is how long callers wait for a connection.
	connectTime = time.Second
	// patienceMore is how long after the time that they named callers hang
	// up, to see late answers.
	patienceMore = 1500 * time.Millisecond
	// kept texts of answers are cut to this many bytes.
	maxBody = 4 << 10
)

// caller calls one instance over one connection as long as it is served there,
// and goes to another one in rotation when it is not.
type caller struct {
	play  *play
	rng   *rand.Rand
	n     int
	calls int
	entry int // it is connected to; -1: none
	http  *http.Client
}

// errCut means that a stream's bytes ended within an event.
var errCut = errors.New("soak: bytes end within an event")

func newCaller(p *play, n int) *caller {
	c := &caller{play: p, n: n, entry: -1, rng: rand.New(rand.NewPCG(p.plan.Seed, uint64(100+n)))}
	c.hangUp()
	return c
}

// hangUp has the next call use a new connection.
func (c *caller) hangUp() {
	if c.http != nil {
		c.http.CloseIdleConnections()
	}
	c.entry = -1
	c.http = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: connectTime}).DialContext}}
}

// run calls until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(callGap))) {
		if c.entry < 0 {
			c.entry = c.play.rotation.pick(c.rng)
		}
		kind := c.kind()
		call := c.prepare(kind, 0, "")
		c.make(&call)
		if kind == CallStream && len(call.IDs) > 0 && !call.Whole && ctx.Err() == nil {
			c.resume(ctx, call)
		}
	}
}

// resume goes on with a stream that was cut, once, elsewhere.
func (c *caller) resume(ctx context.Context, before Call) {
	if !clock.Sleep(ctx, callGap) {
		return
	}
	c.entry = c.play.rotation.pick(c.rng)
	call := c.prepare(CallStream, before.After+len(before.IDs), before.Subject)
	c.make(&call)
}

func (c *caller) kind() string {
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

// prepare makes up the next call.
func (c *caller) prepare(kind string, after int, subject string) Call {
	c.calls++
	if subject == "" {
		subject = fmt.Sprintf("%x%04x", c.n, c.calls)
	}
	call := Call{ID: fmt.Sprintf("%x-%d-%d.%s", c.play.plan.Seed, c.n, c.calls, subject), Kind: kind, Entry: fmt.Sprint(partEntry, c.entry),
		Boot: c.play.entries[c.entry].bootNumber(), Key: keyFixed, Org: orgFixed,
		Limit: plainLimit, After: after, Subject: subject}
	switch kind {
	case CallStream:
		call.Path, call.Limit, call.Events = pathStream+"x", streamLimit, streamEvents
	case CallSafe:
		call.Path = pathSafe + "x"
	case CallUnsafe:
		call.Path = pathUnsafe + "x"
	case CallRoute:
		call.Path = routePath(c.play.operator.newest()) + "x"
	case CallKey:
		v := c.play.operator.newest()
		call.Path, call.Org = pathSafe+"x", orgChanging
		call.Key = keyOf(max(1, v-c.rng.IntN(keysKept+2)))
	}
	return call
}

// make makes the call and records it.
func (c *caller) make(call *Call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Limit+patienceMore)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { call.Connected = true }})
	body := "{}"
	if call.Deadly {
		body = deadlyBody
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.play.frontOf(c.entry)+call.Path, strings.NewReader(body))
	if err != nil {
		panic(err) // every part of it is made up above
	}
	req.Host = host
	head := platform.CallerHead{ID: call.ID, Key: call.Key, Patience: call.Limit, After: call.After}
	if call.Kind == CallStream {
		head.Stream = &platform.CallerStream{Model: model, Subject: call.Subject, Prompt: streamPrompt, Output: call.Events}
	}
	head.Set(req.Header)
	call.Sent = time.Now().UnixNano()
	resp, err := c.http.Do(req)
	if err == nil {
		c.read(call, resp)
	} else {
		call.Error = err.Error()
	}
	call.Ended = time.Now().UnixNano()
	call.GaveUp = errors.Is(ctx.Err(), context.DeadlineExceeded)
	c.play.record(*call)
	if err != nil || !call.Whole || resp.Close || call.Status/100 != 2 {
		c.hangUp()
	}
}

// read takes the answer.
func (c *caller) read(call *Call, resp *http.Response) {
	defer resp.Body.Close()
	head := platform.ReadAnswerHead(resp.Header)
	call.Status, call.Stamp, call.AnswerTo = resp.StatusCode, head.Stamp, head.Call
	var err error
	if call.Kind == CallStream && call.Status == http.StatusOK {
		err = call.readEvents(resp.Body)
	} else {
		var b []byte
		b, err = io.ReadAll(io.LimitReader(resp.Body, maxBody))
		call.Body = string(b)
	}
	call.Whole = err == nil
	if err != nil {
		call.Error = err.Error()
	}
}

// readEvents reads a stream's events. Bytes that end within an event are no
// event, and an answer that ends so is not complete.
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
				return errCut
			}
			return err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			call.IDs, call.Texts = append(call.IDs, id), append(call.Texts, text)
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
