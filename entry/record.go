package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
)

// record writes the request's row with a conditional write on the version
// this stream last wrote. A conflict means another entry holds the request.
// When the table is down the stream goes on and the row is written later.
func (s *Stream) record(ctx context.Context, state string) error {
	s.mu.Lock()
	row := requestRow{Entry: s.e.self.Name, Attempt: s.attempt, Target: s.target, Delivered: len(s.tokens), State: state}
	version := s.version
	s.mu.Unlock()
	s.e.stats.TableWrites.Add(1)
	wctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	r, err := s.e.pf.Put(wctx, requestTable+s.req.ID(), version, row, 0)
	if errors.Is(err, platform.ErrConflict) && ownRow(r.Value, s.e.self.Name) {
		// An earlier write of ours landed though its answer was lost.
		r, err = s.e.pf.Put(wctx, requestTable+s.req.ID(), r.Version, row, 0)
	}
	if errors.Is(err, platform.ErrUnavailable) {
		// The write may have landed: read it back before going on.
		got, gerr := s.e.pf.Get(wctx, requestTable+s.req.ID())
		if gerr == nil && got.Version == version+1 && sameRow(got.Value, row) {
			r, err = got, nil
		}
	}
	if err != nil {
		s.e.stats.TableErrors.Add(1)
		return err
	}
	s.mu.Lock()
	s.version = r.Version
	s.mu.Unlock()
	return nil
}

func sameRow(raw []byte, want requestRow) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got == want
}

func ownRow(raw []byte, entry string) bool {
	var got requestRow
	return json.Unmarshal(raw, &got) == nil && got.Entry == entry
}
