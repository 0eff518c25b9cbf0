package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Checkpoints of a stream: the request once, its tokens in batches, so that
// any entry can continue a stream whose entry died.
const (
	promptObject     = "prompt/"
	tokensObject     = "tokens/"
	entryLeases      = "entry/"
	checkpointTokens = 32                     // tokens between checkpoints
	checkpointEvery  = 250 * time.Millisecond // or this long
)

type (
	// promptValue is the object that lets another entry restart a stream.
	promptValue struct {
		Org       string `json:"org"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Seed      uint64 `json:"seed"`
		Priority  int    `json:"priority"`
	}

	// tokensValue is a checkpoint of the tokens delivered.
	tokensValue struct {
		Tokens   []string `json:"tokens"`
		Attempts []int    `json:"attempts"`
	}
)

// heartbeat keeps this entry's lease row, which tells other entries that
// its streams are still driven.
func (e *Entry) heartbeat(ctx context.Context) error {
	key := entryLeases + e.self.Name
	ttl := settings.Ms(e.cfg.Timeouts.LeaseMs)
	var version int64
	held := true // assumed, so that the first failure is logged
	t := time.NewTicker(settings.Ms(e.cfg.Timeouts.HeartbeatMs))
	defer t.Stop()
	for {
		r, err := e.pf.Put(ctx, key, version, map[string]string{"entry": e.self.Name}, ttl)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			version = r.Version // after a conflict: a restart of this entry, the row is taken over
		}
		if ok := err == nil; ok != held && ctx.Err() == nil {
			held = ok
			e.log.Warn().Bool("renewed", ok).Int64("version", version).AnErr("cause", err).Msg("entry: lease renewal changed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// savePrompt writes what another entry needs to restart the stream.
func (s *Stream) savePrompt(ctx context.Context) {
	v := promptValue{Org: s.req.Org(), Model: s.req.Model(), Prompt: s.prompt, MaxTokens: s.req.MaxTokens(),
		Seed: s.req.Seed(), Priority: s.req.Priority()}
	if err := s.putObject(ctx, promptObject, v); err != nil {
		return
	}
	s.mu.Lock()
	s.promptSaved = true
	s.mu.Unlock()
}

// maybeCheckpoint starts a checkpoint write when enough has arrived since
// the last one; s.mu is held. One write is in flight at a time; a stream
// goes on while the store is down and checkpoints when it returns.
func (s *Stream) maybeCheckpoint(final bool) {
	n := len(s.tokens)
	if s.saving || n == s.saved || (!final && n-s.saved < checkpointTokens && time.Since(s.savedAt) < checkpointEvery) {
		return
	}
	v := tokensValue{Tokens: make([]string, n), Attempts: make([]int, n)}
	for i, t := range s.tokens {
		v.Tokens[i], v.Attempts[i] = t.Text(), t.Attempt()
	}
	s.saving = true
	go func() {
		ctx, cancel := context.WithTimeout(s.e.base(), storeTime)
		err := s.putObject(ctx, tokensObject, v)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.saving = false
		if err != nil {
			return
		}
		s.saved, s.savedAt = n, time.Now()
		if s.done {
			s.maybeCheckpoint(true)
		}
	}()
}

// putObject writes one of the stream's checkpoints.
func (s *Stream) putObject(ctx context.Context, prefix string, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		err = s.e.pf.PutObject(ctx, prefix+s.req.ID(), b)
	}
	if err != nil {
		s.e.stats.TableErrors.Add(1)
		s.log.Debug().Err(err).Str("object", prefix).Msg("resume: checkpoint not written; written with the next one")
	}
	return err
}

// tokensOf reads a stream's checkpointed tokens; without them the answer is
// generated again from its start.
func (e *Entry) tokensOf(ctx context.Context, id string) (v tokensValue) {
	b, err := e.pf.GetObject(ctx, tokensObject+id)
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		e.log.Info().Str("request", id).Err(err).Msg("resume: no checkpoint of tokens; the answer is generated again")
		return tokensValue{}
	}
	return v
}

// adopt continues a stream whose entry is gone: it takes the request row
// over with a conditional write, reads the checkpoints, and drives the
// stream from the checkpointed prefix with the next attempt number. A
// stream whose entry is alive is not taken.
func (e *Entry) adopt(ctx context.Context, id string) (*Stream, error) {
	row, err := e.pf.Get(ctx, requestTable+id)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrUnknownStream, id, err)
	}
	var rr requestRow
	if err := json.Unmarshal(row.Value, &rr); err != nil {
		return nil, fmt.Errorf("%w: %s: bad row", ErrUnknownStream, id)
	}
	if rr.State == "running" {
		lease, err := e.pf.Get(ctx, entryLeases+rr.Entry)
		if err == nil && !lease.Expired && rr.Entry != e.self.Name {
			return nil, fmt.Errorf("%w: %s is driven by %s", ErrOwnedElsewhere, id, rr.Entry)
		}
	}
	pb, err := e.pf.GetObject(ctx, promptObject+id)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: no prompt checkpoint: %v", ErrUnknownStream, id, err)
	}
	var pv promptValue
	if err := json.Unmarshal(pb, &pv); err != nil {
		return nil, fmt.Errorf("%w: %s: bad prompt checkpoint", ErrUnknownStream, id)
	}
	tv := e.tokensOf(ctx, id)
	req := ragworthitch.NewRequest(ragworthitch.RequestParams{ID: id, Org: pv.Org, Model: pv.Model,
		Kind: ragworthitch.KindLong, MaxTokens: pv.MaxTokens, Seed: pv.Seed, Priority: pv.Priority})
	s := newStream(e, req, pv.Prompt)
	for i, t := range tv.Tokens {
		a := 1
		if i < len(tv.Attempts) {
			a = tv.Attempts[i]
		}
		s.tokens = append(s.tokens, ragworthitch.NewToken(i, a, t))
	}
	s.saved = len(s.tokens)
	s.promptSaved = true
	s.version, s.attempt = row.Version, rr.Attempt
	s.done = len(s.tokens) >= pv.MaxTokens
	if !e.register(s) {
		// Another reconnect got here first.
		if got := e.stream(id); got != nil {
			return got, nil
		}
		return nil, fmt.Errorf("%w: %s", ErrUnknownStream, id)
	}
	if s.done {
		s.finish(nil)
		return s, nil
	}
	e.stats.Streams.Add(1)
	e.stats.Adopted.Add(1)
	e.log.Info().Str("request", id).Str("from", rr.Entry).Int("offset", len(s.tokens)).
		Msgf("resume: stream %s taken over from %s at offset %d", id, rr.Entry, len(s.tokens))
	s.resumeAt = time.Now()
	go s.keepDurable(e.base())
	s.start(rr.Attempt + 1)
	return s, nil
}
