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
	// readTime is how long an asker waits for an instance that begins to read a
	// table for it: the store answers in 4 to 8 ms.
	readTime = 300 * time.Millisecond
	// idleTime is how long a connection is kept on which nothing is asked.
	idleTime = 60 * time.Second
	// sendTime bounds the sending of an answer.
	sendTime = 2 * time.Second
	// maxTold bounds the rows of one answer. The smallest machines have 20
	// Mbit/s, on which this takes 26 ms for each asker, while what is larger, a
	// state with a thousand routes, would hold up the answers of the zone for
	// seconds; the store has 200 times as much.
	maxTold = 64 << 10
)

// Server answers other instances that ask for tables.
type Server struct {
	Tables map[string]*Cache // by name
	// Leaving reports whether this instance stops soon: it answers nobody then.
	Leaving func() bool
	// Keep takes what askers have noted, to be kept in the store; nil: it is
	// dropped.
	Keep func(places []wire.Place)
	Log  zerolog.Logger
}

// ServeHTTP answers one instance's questions until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := wire.AcceptTable(w, r)
	if err != nil {
		s.Log.Warn().Err(err).Msg("relay: connection refused")
		return
	}
	defer c.CloseNow()
	s.Log.Info().Str("asker", r.RemoteAddr).Msg("relay: asked for a table")
	for {
		ctx, cancel := context.WithTimeout(r.Context(), idleTime)
		q, err := c.RecvQuestion(ctx)
		cancel()
		if err != nil {
			s.Log.Info().Str("asker", r.RemoteAddr).Err(err).Msg("relay: asker gone")
			return
		}
		a := s.Answer(r.Context(), q, clock.Now())
		ctx, cancel = context.WithTimeout(r.Context(), sendTime)
		err = c.SendAnswer(ctx, a)
		cancel()
		if err != nil {
			s.Log.Info().Str("asker", r.RemoteAddr).Err(err).Msg("relay: answer not sent")
			return
		}
	}
}

// Answer answers a question that was received at a moment: as soon as there is
// something that the asker does not know, or when its wait is over.
func (s *Server) Answer(ctx context.Context, q wire.Question, received clock.Time) wire.Answer {
	c := s.Tables[q.Table]
	if c == nil || s.Leaving() {
		return wire.Answer{State: wire.AnswerBehind}
	}
	c.ask(received)
	if s.Keep != nil {
		s.Keep(q.Places)
	}
	wait := q.Wait
	if !c.Holds() {
		wait = max(wait, readTime)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	before := c.provedAt()
	for {
		a, news, more := c.answer(q, received, before)
		if size(a) > maxTold {
			return wire.Answer{State: wire.AnswerLarge}
		}
		if news || s.Leaving() {
			return a
		}
		select {
		case <-more:
		case <-t.C:
			return a
		case <-ctx.Done():
			return wire.Answer{State: wire.AnswerBehind}
		}
	}
}

// size is how many bytes the rows of an answer have.
func size(a wire.Answer) int {
	n := 0
	for _, r := range a.Rows {
		n += len(r.Key) + len(r.Value)
	}
	return n
}
