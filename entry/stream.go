package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	linger       = time.Minute // a finished stream is kept this long for reconnects
	requestTable = "req/"
	prefixWords  = 64 // of a prompt, that its organisation's others share

	// States of a request's row.
	stateRunning = "running"
	stateFailed  = "failed"
)

type (
	// Stream is one generation as the entry drives it: the tokens delivered
	// so far, in order, each from the attempt current when it arrived. The
	// life of a call (package ingress) writes its answer to it, as to any
	// http.ResponseWriter; callers read it with Next and may come and go.
	Stream struct {
		e      *Entry
		req    ragworthitch.Request
		prompt string
		log    zerolog.Logger
		stop   context.CancelFunc // ends its run
		begun  chan struct{}      // closed when a target was chosen, or none was found
		once   sync.Once          // closes begun

		mu       sync.Mutex
		header   http.Header
		status   int
		tokens   []ragworthitch.Token
		first    int // number of the first attempt here
		attempt  int
		err      error
		done     bool
		changed  chan struct{}
		version  int64
		resumeAt time.Time // when the attempt before ended; zero while one runs
		saving   bool
		saved    int
		savedAt  time.Time

		promptSaved bool   // the prompt checkpoint is in the store
		rowDirty    bool   // the request row's last write did not land
		rowState    string // the state that write carried
		target      string
	}

	// requestRow is the value of a request's row in the table.
	requestRow struct {
		Entry     string `json:"entry"`
		Attempt   int    `json:"attempt"`
		Target    string `json:"target"`
		Delivered int    `json:"delivered"`
		State     string `json:"state"`
	}
)

// Generate starts a streamed generation. The first target is picked before
// it returns, so a refusal (ErrNoTarget, ErrDuplicate or a validation error)
// means nothing was started.
func (e *Entry) Generate(ctx context.Context, req ragworthitch.Request, prompt string) (*Stream, error) {
	if err := req.Validate(func(o string) bool { return e.cfg.OrgAllows(o, "") }, e.cfg.HasModel); err != nil {
		return nil, err
	}
	if !e.cfg.OrgAllows(req.Org(), req.Model()) {
		return nil, fmt.Errorf("%w: %q may not use %q", ragworthitch.ErrUnknownModel, req.Org(), req.Model())
	}
	s := newStream(e, req, prompt)
	if !e.register(s) {
		return nil, fmt.Errorf("%w: %s", ErrDuplicate, req.ID())
	}
	s.start(1)
	<-s.begun
	if s.Attempts() == 0 {
		e.unregister(s)
		return nil, ErrNoTarget
	}
	e.stats.Streams.Add(1)
	s.savePrompt(ctx)
	go s.keepDurable(e.base())
	return s, nil
}

func newStream(e *Entry, req ragworthitch.Request, prompt string) *Stream {
	return &Stream{e: e, req: req, prompt: prompt, log: e.log.With().Str("request", req.ID()).Logger(),
		begun: make(chan struct{}), changed: make(chan struct{})}
}

// subject is what a request's prompt begins with: engines keep what
// requests of an organisation share.
func (s *Stream) subject() string {
	words := strings.Fields(s.prompt)
	key := route.Key(s.req.Org(), s.req.Model(), strings.Join(words[:min(len(words), prefixWords)], " "))
	return strconv.FormatUint(key, 16)
}

// register makes s the stream of its request id; false if there is one.
func (e *Entry) register(s *Stream) bool {
	sh := &e.streams[shardOf(s.req.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.m == nil {
		sh.m = map[string]*Stream{}
	}
	if _, ok := sh.m[s.req.ID()]; ok {
		return false
	}
	sh.m[s.req.ID()] = s
	return true
}

// unregister forgets a stream.
func (e *Entry) unregister(s *Stream) {
	sh := &e.streams[shardOf(s.req.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.m[s.req.ID()] == s {
		delete(sh.m, s.req.ID())
	}
}

// Attach returns a stream this entry is driving or has just finished, or
// takes over one whose entry died (see adopt).
func (e *Entry) Attach(ctx context.Context, id string) (*Stream, error) {
	if s := e.stream(id); s != nil {
		return s, nil
	}
	return e.adopt(ctx, id)
}

// Request is the stream's request.
func (s *Stream) Request() ragworthitch.Request { return s.req }

// Next waits until there are tokens from offset on, or the stream ended,
// and returns them. err is the stream's final error once done.
func (s *Stream) Next(ctx context.Context, from int) (toks []ragworthitch.Token, done bool, err error) {
	for {
		s.mu.Lock()
		if from < len(s.tokens) {
			toks = append(toks, s.tokens[from:]...)
		}
		done, err, ch := s.done, s.err, s.changed
		s.mu.Unlock()
		if len(toks) > 0 || done {
			return toks, done && from+len(toks) >= s.delivered(), err
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-ch:
		}
	}
}

func (s *Stream) delivered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// Attempts is the number of attempts so far.
func (s *Stream) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempt
}

func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// start lets the stream run from the tokens it has; first is the number of
// its next attempt.
func (s *Stream) start(first int) {
	ctx, cancel := context.WithCancel(s.e.base())
	s.stop, s.first = cancel, first
	c := &ingress.Call{ID: s.req.ID(), Method: http.MethodPost, Path: generatePath + s.req.Model() + "/", Key: s.req.Org(), Body: []byte(s.prompt),
		Prompt: s.req.PromptTokens(), Output: s.req.MaxTokens(), Subject: s.subject(), Received: clock.Now()}
	if n := len(s.tokens); n > 0 {
		c.After = strconv.Itoa(n)
	}
	go func() {
		defer cancel()
		whole := s.e.life.ServeWhole(ctx, s, c)
		s.ended(ctx, whole)
	}()
}

// ended settles a stream whose run is over.
func (s *Stream) ended(ctx context.Context, whole bool) {
	defer s.once.Do(func() { close(s.begun) })
	s.mu.Lock()
	status := s.status
	s.mu.Unlock()
	switch {
	case whole && status == http.StatusOK:
		s.finish(nil)
		s.record(s.e.base(), stateDone)
	case s.e.base().Err() != nil:
		s.finish(ctx.Err())
	case s.Attempts() == 0:
		s.finish(ErrNoTarget)
	default:
		s.e.stats.GaveUp.Add(1)
		s.log.Error().Int("attempts", s.Attempts()).Int("delivered", s.delivered()).Msg("resume: gave up, no attempt left")
		s.finish(ErrGaveUp)
		if ctx.Err() == nil {
			s.record(s.e.base(), stateFailed)
		}
	}
}

// begin numbers a new attempt and returns the tokens it goes on from.
func (s *Stream) begin(target string) (attempt int, prefix []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = max(s.attempt+1, s.first)
	s.target = target
	prefix = make([]string, len(s.tokens))
	for i, t := range s.tokens {
		prefix[i] = t.Text()
	}
	s.once.Do(func() { close(s.begun) })
	if s.attempt > 1 {
		s.e.stats.Resumes.Add(1)
		s.e.stats.Recomputed.Add(int64(len(prefix)))
		s.e.scope.Counter("resumes").Inc(1)
		s.e.scope.Counter("tokensRecomputed").Inc(int64(len(prefix)))
		s.log.Info().Int("attempt", s.attempt).Str("target", target).Int("offset", len(prefix)).Msg("resume: next attempt")
	}
	return s.attempt, prefix
}

// interrupted notes that an attempt ended before the answer did.
func (s *Stream) interrupted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumeAt.IsZero() && !s.done {
		s.resumeAt = time.Now()
	}
}

// Header is the header of the answer; callers of the stream get their own.
func (s *Stream) Header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.header == nil {
		s.header = http.Header{}
	}
	return s.header
}

// WriteHeader takes the status of the answer.
func (s *Stream) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Write takes the next token of the answer.
func (s *Stream) Write(token []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, ragworthitch.NewToken(len(s.tokens), s.attempt, string(token)))
	s.e.stats.Delivered.Add(1)
	s.maybeCheckpoint(false)
	if !s.resumeAt.IsZero() {
		d := time.Since(s.resumeAt)
		s.e.stats.ResumeNanos.Add(int64(d))
		s.e.stats.ResumeCount.Add(1)
		s.e.scope.Timer("resumeLatency").Record(d)
		s.resumeAt = time.Time{}
	}
	s.notify()
	return len(token), nil
}

// FlushError does nothing: Next waits for every token.
func (s *Stream) FlushError() error { return nil }

func (s *Stream) finish(err error) {
	s.mu.Lock()
	s.done, s.err = true, err
	s.notify()
	s.maybeCheckpoint(true)
	s.mu.Unlock()
	s.e.scope.Counter("tokensDelivered").Inc(int64(s.delivered()))
	time.AfterFunc(linger, func() { s.e.unregister(s) })
}
