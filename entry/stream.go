package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/queue"
	"github.com/ragworthitch/ragworthitch/route"
	"github.com/ragworthitch/ragworthitch/settings"
	"github.com/ragworthitch/ragworthitch/wire"
)

// Sizes of a stream.
const (
	linger       = time.Minute // a finished stream is kept this long for reconnects
	requestTable = "req/"
)

type (
	// Stream is one generation as the entry drives it: the tokens delivered
	// so far, in order, each from the attempt current when it arrived.
	Stream struct {
		e      *Entry
		req    ragworthitch.Request
		prompt string
		key    uint64
		events queue.Queue[wire.Message]

		mu       sync.Mutex
		tokens   []ragworthitch.Token
		attempt  int
		target   string
		err      error
		done     bool
		changed  chan struct{}
		version  int64
		resumeAt time.Time
		saving   bool
		saved    int
		savedAt  time.Time

		promptSaved bool   // the prompt checkpoint is in the store
		rowDirty    bool   // the request row's last write did not land
		rowState    string // the state that write carried
	}

	// requestRow is the value of a request's row in the table.
	requestRow struct {
		Entry     string `json:"entry"`
		Attempt   int    `json:"attempt"`
		Target    string `json:"target"`
		Delivered int    `json:"delivered"`
		State     string `json:"state"`
	}

	outcome int
)

const (
	outcomeDone outcome = iota
	outcomeFailed
	outcomeStopped
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
	name, conn, epoch, err := e.pick(settings.KindEngine, req.Model(), routeKey(req, prompt), nil)
	if err != nil {
		return nil, err
	}
	s := newStream(e, req, prompt)
	if !e.register(s) {
		return nil, fmt.Errorf("%w: %s", ErrDuplicate, req.ID())
	}
	e.stats.Streams.Add(1)
	s.savePrompt(ctx)
	go s.keepDurable(e.base())
	go s.drive(e.base(), 1, name, conn, epoch)
	return s, nil
}

func newStream(e *Entry, req ragworthitch.Request, prompt string) *Stream {
	return &Stream{e: e, req: req, prompt: prompt, key: routeKey(req, prompt), changed: make(chan struct{})}
}

// routeKey is the prefix-cache key of a request: organisation, model and
// the prompt's first words.
func routeKey(req ragworthitch.Request, prompt string) uint64 {
	words := strings.Fields(prompt)
	return route.Key(req.Org(), req.Model(), strings.Join(words[:min(len(words), 64)], " "))
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

// deliver queues a message for the driver; it never blocks, so a slow
// stream cannot hold up the other streams of the same agent.
func (s *Stream) deliver(m wire.Message) { s.events.Push(m) }

func (s *Stream) onTarget(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.done && s.target == name
}

func (s *Stream) targetLost(name string) {
	s.mu.Lock()
	a := s.attempt
	s.mu.Unlock()
	s.deliver(wire.Message{Type: wire.TypeFail, RequestID: s.req.ID(), Attempt: a, Reason: "connection to agent of " + name + " lost"})
}

// drive runs attempts until the answer is whole or every attempt failed.
// The first attempt is numbered first; with no name a target is picked.
func (s *Stream) drive(ctx context.Context, first int, name string, conn *wire.Conn, epoch uint64) {
	e := s.e
	exclude := map[string]bool{}
	log := e.log.With().Str("request", s.req.ID()).Logger()
	for attempt := first; attempt < first+maxAttempts; attempt++ {
		if attempt > first || name == "" {
			var err error
			name, conn, epoch, err = s.pickAgain(ctx, exclude)
			if err != nil {
				break
			}
		}
		prefix := s.begin(attempt, name)
		if err := s.record(ctx, "running"); errors.Is(err, platform.ErrConflict) {
			log.Warn().Int("attempt", attempt).Msg("resume: request row taken by another entry, stopping")
			s.finish(ErrGaveUp)
			return
		}
		if len(prefix) > 0 || attempt > first {
			e.stats.Resumes.Add(1)
			e.stats.Recomputed.Add(int64(len(prefix)))
			e.scope.Counter("resumes").Inc(1)
			e.scope.Counter("tokensRecomputed").Inc(int64(len(prefix)))
			log.Info().Int("attempt", attempt).Str("target", name).Int("offset", len(prefix)).Msgf("resume: attempt %d on %s from offset %d", attempt, name, len(prefix))
		}
		start := wire.Message{Type: wire.TypeStart, RequestID: s.req.ID(), Attempt: attempt, Fencing: epoch,
			Model: s.req.Model(), Prompt: s.prompt, MaxTokens: s.req.MaxTokens(), Priority: s.req.Priority(),
			Seed: s.req.Seed(), Prefix: prefix}
		var out outcome
		var reason string
		if err := conn.Send(ctx, start); err != nil {
			out, reason = outcomeFailed, err.Error()
		} else {
			out, reason = s.follow(ctx, attempt)
		}
		switch out {
		case outcomeDone:
			s.finish(nil)
			s.record(ctx, "done")
			return
		case outcomeStopped:
			s.finish(ctx.Err())
			return
		}
		log.Warn().Int("attempt", attempt).Str("target", name).Str("reason", reason).Msgf("resume: attempt %d on %s given up: %s", attempt, name, reason)
		conn.Send(ctx, wire.Message{Type: wire.TypeCancel, RequestID: s.req.ID(), Attempt: attempt})
		exclude[name] = true
		s.mu.Lock()
		if s.resumeAt.IsZero() {
			s.resumeAt = time.Now()
		}
		s.mu.Unlock()
	}
	e.stats.GaveUp.Add(1)
	log.Error().Msg("resume: gave up, every attempt failed")
	s.finish(ErrGaveUp)
	s.record(ctx, "failed")
}

// pickAgain finds a target for the next attempt, waiting up to one stall
// timeout for one to appear; targets that failed this request go last.
func (s *Stream) pickAgain(ctx context.Context, exclude map[string]bool) (string, *wire.Conn, uint64, error) {
	deadline := time.Now().Add(settings.Ms(s.e.cfg.Timeouts.StallMs))
	for {
		name, conn, epoch, err := s.e.pick(settings.KindEngine, s.req.Model(), s.key, exclude)
		if err == nil {
			return name, conn, epoch, nil
		}
		if name, conn, epoch, err = s.e.pick(settings.KindEngine, s.req.Model(), s.key, nil); err == nil {
			return name, conn, epoch, nil
		}
		if time.Now().After(deadline) {
			return "", nil, 0, err
		}
		select {
		case <-ctx.Done():
			return "", nil, 0, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// begin makes attempt current and returns the delivered prefix.
func (s *Stream) begin(attempt int, name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempt, s.target = attempt, name
	prefix := make([]string, len(s.tokens))
	for i, t := range s.tokens {
		prefix[i] = t.Text()
	}
	return prefix
}

// follow takes the tokens of one attempt until it ends.
func (s *Stream) follow(ctx context.Context, attempt int) (outcome, string) {
	stall := settings.Ms(s.e.cfg.Timeouts.StallMs)
	t := time.NewTimer(stall)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return outcomeStopped, "stopped"
		case <-t.C:
			return outcomeFailed, fmt.Sprintf("no token for %v", stall)
		case <-s.events.Ready():
			for _, m := range s.events.Take() {
				if m.Attempt != attempt {
					if m.Type == wire.TypeToken {
						s.e.stats.Discarded.Add(1)
					}
					continue
				}
				switch m.Type {
				case wire.TypeToken:
					if ok, reason := s.take(m); !ok {
						return outcomeFailed, reason
					}
					t.Reset(stall)
				case wire.TypeDone:
					if n := s.delivered(); n < s.req.MaxTokens() {
						return outcomeFailed, fmt.Sprintf("stream ended at %d of %d tokens", n, s.req.MaxTokens())
					}
					return outcomeDone, ""
				case wire.TypeFail:
					return outcomeFailed, m.Reason
				}
			}
		}
	}
}

// take appends a token if it is the next one.
func (s *Stream) take(m wire.Message) (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch n := len(s.tokens); {
	case m.Offset < n:
		s.e.stats.Discarded.Add(1)
		return true, ""
	case m.Offset > n:
		return false, fmt.Sprintf("gap: offset %d after %d", m.Offset, n)
	}
	s.tokens = append(s.tokens, ragworthitch.NewToken(m.Offset, m.Attempt, m.Text))
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
	return true, ""
}

func (s *Stream) finish(err error) {
	s.mu.Lock()
	s.done, s.err = true, err
	s.notify()
	s.maybeCheckpoint(true)
	s.mu.Unlock()
	s.e.scope.Counter("tokensDelivered").Inc(int64(s.delivered()))
	time.AfterFunc(linger, func() {
		sh := &s.e.streams[shardOf(s.req.ID())]
		sh.mu.Lock()
		if sh.m[s.req.ID()] == s {
			delete(sh.m, s.req.ID())
		}
		sh.mu.Unlock()
	})
}
