package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/wire"
)

const (
	// firstReadTimeout is the least time for which a question waits while this
	// instance reads the table from the store, which answers in 4 to 8 ms, for the first
	// time.
	firstReadTimeout = 300 * time.Millisecond
	// idleTimeout closes a connection without questions.
	idleTimeout     = 60 * time.Second
	bytesPerMegabit = 1_000_000 / 8
	// sendTimeout bounds the sending of an answer.
	sendTimeout = 2 * time.Second
	// An answer may be as large as this machine's link can send to the whole zone within
	// maxFanOutTime; a larger one would delay the answers to the rest of the zone.
	// defaultAnswerSize applies if the link's rate is unknown, and maxAnswerSize at most,
	// both in bytes of rows.
	maxFanOutTime     = time.Second
	defaultAnswerSize = 64 << 10
	maxAnswerSize     = 512 << 10
)

// Server answers peers that ask for tables.
type Server struct {
	Tables map[string]*Cache // by name
	// Draining reports whether this instance is draining. It then answers questions
	// with AnswerStale, so that peers ask another instance.
	Draining func() bool
	// SaveLocations receives the cache locations that peers send along with questions,
	// to write them to the store; nil: they are dropped.
	SaveLocations func(locations []wire.CacheLocation)
	LinkRate      int        // data rate of this machine's link in Mbit/s; 0: unknown
	ZoneSize      func() int // number of instances in the zone; nil: one
	Log           zerolog.Logger
}

// answerLimit returns the bound on the rows of an answer in bytes.
func (s *Server) answerLimit() int {
	if s.LinkRate == 0 || s.ZoneSize == nil {
		return defaultAnswerSize
	}
	bytesInTime := s.LinkRate * bytesPerMegabit * int(maxFanOutTime/time.Second)
	return min(bytesInTime/s.ZoneSize(), maxAnswerSize)
}

// ServeHTTP answers the questions of a peer until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptTable(w, r)
	if err != nil {
		s.Log.Warn().Err(err).Msg("relay: WebSocket handshake failed")
		return
	}
	defer c.CloseNow()
	s.Log.Info().Str("asker", r.RemoteAddr).Msg("relay: peer connected")
	for {
		ctx, cancel := context.WithTimeout(r.Context(), idleTimeout)
		q, err := c.RecvQuestion(ctx)
		cancel()
		if err != nil {
			s.Log.Info().Str("asker", r.RemoteAddr).Err(err).Msg("relay: peer disconnected")
			return
		}
		a := s.Answer(r.Context(), q, clock.Now())
		ctx, cancel = context.WithTimeout(r.Context(), sendTimeout)
		err = c.SendAnswer(ctx, a)
		cancel()
		if err != nil {
			s.Log.Info().Str("asker", r.RemoteAddr).Err(err).Msg("relay: sending an answer failed")
			return
		}
	}
}

// Answer answers a question that was received at the given time, as soon as there is
// anything new to the peer or when the question's wait has passed.
func (s *Server) Answer(ctx context.Context, q wire.Question, received clock.Time) wire.Answer {
	c := s.Tables[q.Table]
	if c == nil || s.Draining() {
		return wire.Answer{State: wire.AnswerStale}
	}
	c.recordQuestion(received)
	if s.SaveLocations != nil {
		s.SaveLocations(q.CacheLocations)
	}
	wait := q.Wait
	if !c.IsLoaded() {
		wait = max(wait, firstReadTimeout)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	knownAsOf := c.completeAsOf()
	for {
		a, isNew, updated := c.answer(q, received, knownAsOf)
		if a.State == wire.AnswerMissed {
			if err := c.extendHistory(ctx, q.After); err != nil {
				s.Log.Warn().Str("table", q.Table).Int64("version", q.After).Err(err).Msg("relay: earlier changes not read for a peer")
				return a
			}
			a, isNew, updated = c.answer(q, received, knownAsOf)
		}
		if rowsSize(a) > s.answerLimit() {
			return wire.Answer{State: wire.AnswerTooLarge}
		}
		if isNew || s.Draining() {
			return a
		}
		select {
		case <-updated:
		case <-t.C:
			return a
		case <-ctx.Done():
			return wire.Answer{State: wire.AnswerStale}
		}
	}
}

// rowsSize returns the size of an answer's rows in bytes.
func rowsSize(a wire.Answer) int {
	n := 0
	for _, r := range a.Rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
