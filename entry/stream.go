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
	finishedStreamTTL = time.Minute // for reconnects
	requestPrefix     = "req/"
	sharedPrefixWords = 64 // leading words of a prompt that identify its cached prefix

	// States of a request row, besides stateDone.
	stateRunning = "running"
	stateFailed  = "failed"
)

type (
	// Stream is one generation and the tokens delivered so far. Package
	// ingress writes the answer to it as to an http.ResponseWriter, over all
	// attempts. Callers read the tokens with Next and may reconnect.
	Stream struct {
		e         *Entry
		req       ragworthitch.Request
		prompt    string
		memory    int // bytes taken for the stream
		log       zerolog.Logger
		stop      context.CancelFunc // cancels the generation
		started   chan struct{}      // closed when the first attempt starts, or when there is no target
		startOnce sync.Once          // closes started

		mu                 sync.Mutex
		header             http.Header
		status             int
		tokens             []ragworthitch.Token
		firstAttempt       int // number of the first attempt by this instance
		attempt            int // number of the latest attempt
		err                error
		isDone             bool
		changed            chan struct{} // closed and replaced when a token arrives or the stream ends
		rowVersion         int64         // of the request row at the last write or takeover
		interruptedAt      time.Time     // when the last attempt was interrupted; zero while tokens arrive
		isCheckpointing    bool          // a write of the token checkpoint is in progress
		checkpointedTokens int
		checkpointedAt     time.Time

		isPromptSaved bool
		isRowPending  bool   // the last write of the request row failed
		pendingState  string // the state in that write
		target        string // of the latest attempt
	}

	// requestRow is the value of a request row.
	requestRow struct {
		Entry     string `json:"entry"`
		Attempt   int    `json:"attempt"`
		Target    string `json:"target"`
		Delivered int    `json:"delivered"`
		State     string `json:"state"`
	}
)

// Generate starts a streamed generation and returns when the first target is
// chosen. After an error (ErrNoTarget, ErrDuplicate or a validation error)
// nothing runs.
func (e *Entry) Generate(ctx context.Context, req ragworthitch.Request, prompt string) (*Stream, error) {
	if err := req.Validate(func(o string) bool { return e.cfg.OrgAllows(o, "") }, e.cfg.HasModel); err != nil {
		return nil, err
	}
	if !e.cfg.OrgAllows(req.Org(), req.Model()) {
		return nil, fmt.Errorf("%w: %q may not use %q", ragworthitch.ErrUnknownModel, req.Org(), req.Model())
	}
	s := newStream(e, req, prompt)
	if !s.reserve() {
		return nil, fmt.Errorf("%w: %s", ErrNoMemory, req.ID())
	}
	if !e.register(s) {
		s.free()
		return nil, fmt.Errorf("%w: %s", ErrDuplicate, req.ID())
	}
	s.run(1)
	<-s.started
	if s.Attempts() == 0 {
		e.unregister(s)
		return nil, ErrNoTarget
	}
	e.stats.Streams.Add(1)
	s.savePrompt(ctx)
	go s.retryStoreWrites(e.streamContext())
	return s, nil
}

func newStream(e *Entry, req ragworthitch.Request, prompt string) *Stream {
	return &Stream{e: e, req: req, prompt: prompt, log: e.log.With().Str("request", req.ID()).Logger(),
		started: make(chan struct{}), changed: make(chan struct{})}
}

// cacheSubject returns the key by which ingress routes a request to an engine
// that has its prefix cached: a hash of organisation, model and the first words
// of the prompt.
func (s *Stream) cacheSubject() string {
	words := strings.Fields(s.prompt)
	key := route.Key(s.req.Org(), s.req.Model(), strings.Join(words[:min(len(words), sharedPrefixWords)], " "))
	return strconv.FormatUint(key, 16)
}

// register stores s under its request id. It returns false if the id is in use.
func (e *Entry) register(s *Stream) bool {
	sh := &e.streams[shardIndex(s.req.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID == nil {
		sh.byID = map[string]*Stream{}
	}
	if _, ok := sh.byID[s.req.ID()]; ok {
		return false
	}
	sh.byID[s.req.ID()] = s
	return true
}

// unregister removes a stream.
func (e *Entry) unregister(s *Stream) {
	sh := &e.streams[shardIndex(s.req.ID())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.byID[s.req.ID()] == s {
		delete(sh.byID, s.req.ID())
		s.free()
	}
	e.finished.remove(s)
}

// Attach returns the stream with a request id. If this instance doesn't have the
// stream, Attach takes it over from an instance that has crashed.
func (e *Entry) Attach(ctx context.Context, id string) (*Stream, error) {
	if s := e.stream(id); s != nil {
		return s, nil
	}
	return e.takeOver(ctx, id)
}

// Request returns the stream's request.
func (s *Stream) Request() ragworthitch.Request { return s.req }

// Next waits for tokens from an offset on, or for the end of the stream. done
// reports that the stream has ended and no token follows; err is then its error.
func (s *Stream) Next(ctx context.Context, from int) (toks []ragworthitch.Token, done bool, err error) {
	for {
		s.mu.Lock()
		if from < len(s.tokens) {
			toks = append(toks, s.tokens[from:]...)
		}
		done, err, ch := s.isDone, s.err, s.changed
		s.mu.Unlock()
		if len(toks) > 0 || done {
			return toks, done && from+len(toks) >= s.deliveredTokens(), err
		}
		select {
		case <-ctx.Done():
			return nil, false, ctx.Err()
		case <-ch:
		}
	}
}

func (s *Stream) deliveredTokens() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// Attempts returns the number of attempts so far.
func (s *Stream) Attempts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempt
}

func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// run starts the generation, after the tokens that the stream has; first is the
// number of its next attempt.
func (s *Stream) run(first int) {
	ctx, cancel := context.WithCancel(s.e.streamContext())
	s.stop, s.firstAttempt = cancel, first
	c := &ingress.Call{ID: s.req.ID(), Method: http.MethodPost, Path: generatePath + s.req.Model() + "/", Key: s.req.Org(), Body: []byte(s.prompt),
		Prompt: s.req.PromptTokens(), MaxTokens: s.req.MaxTokens(), Subject: s.cacheSubject(), Received: clock.Now()}
	if n := len(s.tokens); n > 0 {
		c.ResumeOffset = strconv.Itoa(n)
	}
	go func() {
		defer cancel()
		complete := s.e.callHandler.ServeComplete(ctx, s, c)
		s.handleRunEnd(ctx, complete)
	}()
}

// handleRunEnd finishes a stream after its last attempt.
func (s *Stream) handleRunEnd(ctx context.Context, complete bool) {
	defer s.startOnce.Do(func() { close(s.started) })
	s.mu.Lock()
	status := s.status
	s.mu.Unlock()
	switch {
	case complete && status == http.StatusOK:
		s.finish(nil)
		s.writeRow(s.e.streamContext(), stateDone)
	case s.e.streamContext().Err() != nil:
		s.finish(ctx.Err())
	case s.Attempts() == 0:
		s.finish(ErrNoTarget)
	default:
		s.e.stats.GaveUp.Add(1)
		s.log.Error().Int("attempts", s.Attempts()).Int("delivered", s.deliveredTokens()).Msg("resume: stream failed; no attempts left")
		s.finish(ErrGaveUp)
		if ctx.Err() == nil {
			s.writeRow(s.e.streamContext(), stateFailed)
		}
	}
}

// beginAttempt returns the number of a new attempt and the tokens that it
// continues after.
func (s *Stream) beginAttempt(target string) (attempt int, prefix []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt = max(s.attempt+1, s.firstAttempt)
	s.target = target
	prefix = make([]string, len(s.tokens))
	for i, t := range s.tokens {
		prefix[i] = t.Text()
	}
	s.startOnce.Do(func() { close(s.started) })
	if s.attempt > 1 {
		s.e.stats.Resumes.Add(1)
		s.e.stats.Recomputed.Add(int64(len(prefix)))
		s.e.scope.Counter("resumes").Inc(1)
		s.e.scope.Counter("tokensRecomputed").Inc(int64(len(prefix)))
		s.log.Info().Int("attempt", s.attempt).Str("target", target).Int("offset", len(prefix)).Msg("resume: next attempt")
	}
	return s.attempt, prefix
}

// markInterrupted starts the measurement of the resume latency.
func (s *Stream) markInterrupted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptedAt.IsZero() && !s.isDone {
		s.interruptedAt = time.Now()
	}
}

// Header returns the header of the answer, which callers don't see.
func (s *Stream) Header() http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.header == nil {
		s.header = http.Header{}
	}
	return s.header
}

// WriteHeader records the status of the answer.
func (s *Stream) WriteHeader(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Write appends the next token of the answer.
func (s *Stream) Write(token []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, ragworthitch.NewToken(len(s.tokens), s.attempt, string(token)))
	s.e.stats.Delivered.Add(1)
	s.checkpointIfDue(false)
	if !s.interruptedAt.IsZero() {
		d := time.Since(s.interruptedAt)
		s.e.stats.ResumeNanos.Add(int64(d))
		s.e.stats.ResumeCount.Add(1)
		s.e.scope.Timer("resumeLatency").Record(d)
		s.interruptedAt = time.Time{}
	}
	s.notify()
	return len(token), nil
}

// FlushError does nothing; Write wakes up Next.
func (s *Stream) FlushError() error { return nil }

func (s *Stream) finish(err error) {
	s.mu.Lock()
	s.isDone, s.err = true, err
	s.notify()
	s.checkpointIfDue(true)
	s.mu.Unlock()
	s.e.scope.Counter("tokensDelivered").Inc(int64(s.deliveredTokens()))
	e, number := s.e, s.e.finished.add(s)
	time.AfterFunc(finishedStreamTTL, func() {
		for e.dropOldest(number) {
		}
	})
}
