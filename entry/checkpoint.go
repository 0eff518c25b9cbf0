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

// A stream's request is stored once and its tokens in batches, so that any entry
// instance can continue the stream after the instance that ran it has crashed.
const (
	promptPrefix     = "prompt/"
	tokensPrefix     = "tokens/"
	entryLeasePrefix = "entry/"
	// A checkpoint is due after checkpointTokens or checkpointInterval,
	// whichever comes first.
	checkpointTokens   = 32
	checkpointInterval = 250 * time.Millisecond
)

type (
	// promptCheckpoint is a stream's request, as stored.
	promptCheckpoint struct {
		Org       string `json:"org"`
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"maxTokens"`
		Seed      uint64 `json:"seed"`
		Priority  int    `json:"priority"`
	}

	// tokensCheckpoint holds the tokens delivered and the attempt of each.
	tokensCheckpoint struct {
		Tokens   []string `json:"tokens"`
		Attempts []int    `json:"attempts"`
	}
)

// keepLease renews this entry instance's lease row until ctx ends. Peers take
// over streams of an instance whose lease has expired.
func (e *Entry) keepLease(ctx context.Context) error {
	key := entryLeasePrefix + e.self.Name
	ttl := settings.Ms(e.cfg.Timeouts.LeaseMs)
	var version int64
	held := true // so that a failure of the first renewal is logged
	t := time.NewTicker(settings.Ms(e.cfg.Timeouts.HeartbeatMs))
	defer t.Stop()
	for {
		r, err := e.store.Put(ctx, key, version, map[string]string{"entry": e.self.Name}, ttl)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			version = r.Version // after a conflict, the version that an earlier process wrote
		}
		if ok := err == nil; ok != held && ctx.Err() == nil {
			held = ok
			e.log.Warn().Bool("renewed", ok).Int64("version", version).AnErr("cause", err).Msg("entry: lease renewal failed or succeeded again")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// savePrompt writes the prompt checkpoint, which holds the stream's request.
func (s *Stream) savePrompt(ctx context.Context) {
	v := promptCheckpoint{Org: s.req.Org(), Model: s.req.Model(), Prompt: s.prompt, MaxTokens: s.req.MaxTokens(),
		Seed: s.req.Seed(), Priority: s.req.Priority()}
	if err := s.putObject(ctx, promptPrefix, v); err != nil {
		return
	}
	s.mu.Lock()
	s.isPromptSaved = true
	s.mu.Unlock()
}

// checkpointIfDue starts writing a checkpoint of the tokens if one is due and
// no write is in progress. The stream doesn't wait for the write. The caller
// holds s.mu.
func (s *Stream) checkpointIfDue(final bool) {
	n := len(s.tokens)
	if s.isCheckpointing || n == s.checkpointedTokens || (!final && n-s.checkpointedTokens < checkpointTokens && time.Since(s.checkpointedAt) < checkpointInterval) {
		return
	}
	v := tokensCheckpoint{Tokens: make([]string, n), Attempts: make([]int, n)}
	for i, t := range s.tokens {
		v.Tokens[i], v.Attempts[i] = t.Text(), t.Attempt()
	}
	s.isCheckpointing = true
	go func() {
		ctx, cancel := context.WithTimeout(s.e.streamContext(), storeTimeout)
		err := s.putObject(ctx, tokensPrefix, v)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.isCheckpointing = false
		if err != nil {
			return
		}
		s.checkpointedTokens, s.checkpointedAt = n, time.Now()
		if s.isDone {
			s.checkpointIfDue(true)
		}
	}()
}

// putObject writes a checkpoint of the stream under a prefix.
func (s *Stream) putObject(ctx context.Context, prefix string, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		err = s.e.store.PutObject(ctx, prefix+s.req.ID(), b)
	}
	if err != nil {
		s.e.stats.TableErrors.Add(1)
		s.log.Debug().Err(err).Str("object", prefix).Msg("resume: cannot write checkpoint; retrying with the next one")
	}
	return err
}

// loadTokens reads the tokens of a stream's checkpoint. It returns none if there
// is no valid checkpoint.
func (e *Entry) loadTokens(ctx context.Context, id string) (v tokensCheckpoint) {
	b, err := e.store.GetObject(ctx, tokensPrefix+id)
	if err == nil {
		err = json.Unmarshal(b, &v)
	}
	if err != nil {
		e.log.Info().Str("request", id).Err(err).Msg("resume: no token checkpoint; generating the answer from the start")
		return tokensCheckpoint{}
	}
	return v
}

// takeOver continues a stream of another entry instance from its checkpoints,
// with the next attempt number. It fails if the lease of that instance is valid.
// The first attempt claims the request row with a conditional write.
func (e *Entry) takeOver(ctx context.Context, id string) (*Stream, error) {
	row, err := e.store.Get(ctx, requestPrefix+id)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %v", ErrUnknownStream, id, err)
	}
	var request requestRow
	if err := json.Unmarshal(row.Value, &request); err != nil {
		return nil, fmt.Errorf("%w: %s: bad row", ErrUnknownStream, id)
	}
	if request.State == "running" {
		lease, err := e.store.Get(ctx, entryLeasePrefix+request.Entry)
		if err == nil && !lease.Expired && request.Entry != e.self.Name {
			return nil, fmt.Errorf("%w: %s is driven by %s", ErrOwnedElsewhere, id, request.Entry)
		}
	}
	promptBytes, err := e.store.GetObject(ctx, promptPrefix+id)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: no prompt checkpoint: %v", ErrUnknownStream, id, err)
	}
	var prompt promptCheckpoint
	if err := json.Unmarshal(promptBytes, &prompt); err != nil {
		return nil, fmt.Errorf("%w: %s: bad prompt checkpoint", ErrUnknownStream, id)
	}
	checkpoint := e.loadTokens(ctx, id)
	req := ragworthitch.NewRequest(ragworthitch.RequestParams{ID: id, Org: prompt.Org, Model: prompt.Model,
		Kind: ragworthitch.KindLong, MaxTokens: prompt.MaxTokens, Seed: prompt.Seed, Priority: prompt.Priority})
	s := newStream(e, req, prompt.Prompt)
	for i, t := range checkpoint.Tokens {
		a := 1
		if i < len(checkpoint.Attempts) {
			a = checkpoint.Attempts[i]
		}
		s.tokens = append(s.tokens, ragworthitch.NewToken(i, a, t))
	}
	s.checkpointedTokens = len(s.tokens)
	s.isPromptSaved = true
	s.rowVersion, s.attempt = row.Version, request.Attempt
	s.isDone = len(s.tokens) >= prompt.MaxTokens
	if !s.reserve() {
		return nil, fmt.Errorf("%w: %s", ErrNoMemory, id)
	}
	if !e.register(s) {
		s.free()
		// A concurrent reconnect has taken the stream over.
		if got := e.stream(id); got != nil {
			return got, nil
		}
		return nil, fmt.Errorf("%w: %s", ErrUnknownStream, id)
	}
	if s.isDone {
		s.finish(nil)
		return s, nil
	}
	e.stats.Streams.Add(1)
	e.stats.TakenOver.Add(1)
	e.log.Info().Str("request", id).Str("from", request.Entry).Int("offset", len(s.tokens)).
		Msgf("resume: stream %s taken over from %s at offset %d", id, request.Entry, len(s.tokens))
	s.interruptedAt = time.Now()
	go s.retryStoreWrites(e.streamContext())
	s.run(request.Attempt + 1)
	return s, nil
}
