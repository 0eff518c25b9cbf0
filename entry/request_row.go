package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	// storeRetryInterval is the time between retries of failed store writes.
	storeRetryInterval = 200 * time.Millisecond
	// rowWriteTimeout bounds a write of a request row. Each attempt waits for
	// the write, so the timeout is well below the stall timeout.
	rowWriteTimeout = 300 * time.Millisecond
)

// writeRow writes the request row if its version is the one that this stream
// last wrote. A conflict means that a peer has taken the stream over. If the
// store is unavailable, retryStoreWrites writes the row later. writeRow logs its
// errors.
func (s *Stream) writeRow(ctx context.Context, state string) error {
	s.mu.Lock()
	row := requestRow{Entry: s.e.self.Name, Attempt: s.attempt, Target: s.target, Delivered: len(s.tokens), State: state}
	version := s.rowVersion
	s.mu.Unlock()
	s.e.stats.TableWrites.Add(1)
	wctx, cancel := context.WithTimeout(ctx, rowWriteTimeout)
	defer cancel()
	r, err := s.e.store.Put(wctx, requestPrefix+s.req.ID(), version, row, 0)
	if errors.Is(err, platform.ErrConflict) && isOwnRow(r.Value, s.e.self.Name) {
		// An earlier write of this instance succeeded without an answer.
		r, err = s.e.store.Put(wctx, requestPrefix+s.req.ID(), r.Version, row, 0)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		// The write may have succeeded.
		got, gerr := s.e.store.Get(wctx, requestPrefix+s.req.ID())
		if gerr == nil && got.Version > version && isSameRow(got.Value, row) {
			r, err = got, nil
		}
	}
	if err != nil {
		s.e.stats.TableErrors.Add(1)
		s.log.Info().Err(err).Str("state", state).Int("attempt", row.Attempt).Int64("version", version).Msg("resume: cannot write request row")
		if errors.Is(err, platform.ErrUnavailable) {
			s.mu.Lock()
			s.isRowPending, s.pendingState = true, state
			s.mu.Unlock()
		}
		return err
	}
	s.mu.Lock()
	s.rowVersion = r.Version
	if s.pendingState == state {
		s.isRowPending = false
	}
	s.mu.Unlock()
	return nil
}

// retryStoreWrites retries failed writes of the prompt checkpoint and the
// request row until the stream has ended and both are written. Without them no
// peer can continue a stream that began during a store outage.
func (s *Stream) retryStoreWrites(ctx context.Context) {
	t := time.NewTicker(storeRetryInterval)
	defer t.Stop()
	for {
		s.mu.Lock()
		promptPending, rowPending, state, done := !s.isPromptSaved, s.isRowPending, s.pendingState, s.isDone
		s.mu.Unlock()
		if !promptPending && !rowPending && done {
			return
		}
		if promptPending {
			s.savePrompt(ctx)
		}
		if rowPending {
			s.writeRow(ctx, state)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func isSameRow(raw []byte, want requestRow) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got == want
}

func isOwnRow(raw []byte, entry string) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got.Entry == entry
}
