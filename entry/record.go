package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	// durableRetry is how often writes that the store refused are tried
	// again.
	durableRetry = 200 * time.Millisecond
	// rowTime bounds a write of a request's row: an attempt waits for it
	// before its engine hears of it, half of the time after which a silent
	// attempt is given up.
	rowTime = 300 * time.Millisecond
)

// record writes the request's row with a conditional write on the version
// this stream last wrote. A conflict means another entry holds the request.
// When the table is down the stream goes on and the row is written later.
// What goes wrong is logged here.
func (s *Stream) record(ctx context.Context, state string) error {
	s.mu.Lock()
	row := requestRow{Entry: s.e.self.Name, Attempt: s.attempt, Target: s.target, Delivered: len(s.tokens), State: state}
	version := s.version
	s.mu.Unlock()
	s.e.stats.TableWrites.Add(1)
	wctx, cancel := context.WithTimeout(ctx, rowTime)
	defer cancel()
	r, err := s.e.pf.Put(wctx, requestTable+s.req.ID(), version, row, 0)
	if errors.Is(err, platform.ErrConflict) && ownRow(r.Value, s.e.self.Name) {
		// An earlier write of ours landed though its answer was lost.
		r, err = s.e.pf.Put(wctx, requestTable+s.req.ID(), r.Version, row, 0)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		// The write may have landed: read it back before going on.
		got, gerr := s.e.pf.Get(wctx, requestTable+s.req.ID())
		if gerr == nil && got.Version > version && sameRow(got.Value, row) {
			r, err = got, nil
		}
	}
	if err != nil {
		s.e.stats.TableErrors.Add(1)
		s.log.Info().Err(err).Str("state", state).Int("attempt", row.Attempt).Int64("version", version).Msg("resume: request row not written")
		if errors.Is(err, platform.ErrUnavailable) {
			s.mu.Lock()
			s.rowDirty, s.rowState = true, state
			s.mu.Unlock()
		}
		return err
	}
	s.mu.Lock()
	s.version = r.Version
	if s.rowState == state {
		s.rowDirty = false
	}
	s.mu.Unlock()
	return nil
}

// keepDurable writes again what the store refused while it was down - the
// prompt checkpoint and the request row - so that another entry can take
// the stream over once the store returns. Found by the demo with every
// fault at once: streams begun during a store outage had neither, and when
// their entry died no other entry could continue them.
func (s *Stream) keepDurable(ctx context.Context) {
	t := time.NewTicker(durableRetry)
	defer t.Stop()
	for {
		s.mu.Lock()
		prompt, dirty, state, done := !s.promptSaved, s.rowDirty, s.rowState, s.done
		s.mu.Unlock()
		if !prompt && !dirty && done {
			return
		}
		if prompt {
			s.savePrompt(ctx)
		}
		if dirty {
			s.record(ctx, state)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func sameRow(raw []byte, want requestRow) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got == want
}

func ownRow(raw []byte, entry string) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got.Entry == entry
}
