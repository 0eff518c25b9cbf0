package ingress

import (
	"context"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// renewCopies is how often a copy made on request is made again: it
	// grows with the stream only then, and the engine that holds it keeps it
	// for some 4 s after the last time. What is missing is read again by the
	// engine that goes on from it, 40 events a second of 10 tokens: 75 ms.
	renewCopies = 1500 * time.Millisecond
	// copyTime bounds one request for a copy: 147 MB of a mean prompt take
	// 7 ms between zones, and some wait their turn.
	copyTime = time.Second
)

type (
	// Copy is a copy of a run's memory at another engine.
	Copy struct {
		Holder ragworthitch.Target // the engine that holds it
		// Of and Handle name a copy made on request: the address of the
		// engine that ran the call, and its name for the copy. They are
		// empty for the copy that a run keeps as it grows.
		Of, Handle string
	}

	// backup is the copy of a stream's present run. The zero value is none.
	backup struct {
		Copy
		member *registry.Member // the holder; nil: there is no copy
		made   bool             // there is something to go on from
		lost   bool             // its holder has ended
		drop   func()           // ends the count of its memory; may be nil
	}

	// copying is how a request for a copy ended.
	copying struct {
		to   *registry.Member
		made Copy
		err  error
	}
)

// release forgets a copy.
func (b *backup) release() {
	if b.drop != nil {
		b.drop()
	}
	*b = backup{}
}

// grown notes that the run has made an event: a copy that grows with it has
// begun.
func (b *backup) grown() {
	if b.member != nil && b.Handle == "" && !b.lost {
		b.made = true
	}
}

// placeCopy chooses where a run's memory is copied to as it grows: an engine
// in another zone, since engines of one zone fail together.
func (s *stream) placeCopy(m *registry.Member, o *Order) {
	s.backup.release()
	if e := s.g.Service.Engine(); e == nil || !e.Backups || !s.g.Route.Resumable() {
		return
	}
	if c := s.pickHolder(m); c != nil {
		s.backup = backup{Copy: Copy{Holder: c.Target()}, member: c, drop: c.Work().KeepCopy(s.size())}
		o.BackupAt = c.Target().Address()
	}
}

// pickHolder chooses an engine for a copy of a run at m.
func (s *stream) pickHolder(m *registry.Member) *registry.Member {
	return s.pickEngine(clock.Now(), m.Target().Zone(), append(s.tried, m)...)
}

// copyLost reports whether the engine that holds the copy has ended: it has
// failed, or another one has its address.
func (s *stream) copyLost(now clock.Time) bool {
	b := &s.backup
	return b.member != nil && (s.h.targets.ByID(b.Holder.ID()) != b.member || b.member.Health().FailedLately(now))
}

// keepCopy sees to it that there is a copy of the run while it lasts: when
// the engine that holds it is lost, another one is asked for, and renewed. It
// returns when the next look is due.
//
// Zones fail one after the other, so a stream that has lost its copy may
// lose its engine next; without a copy it pauses for 1.5 s and more.
func (r *run) keepCopy(ctx context.Context, now clock.Time) {
	s := r.s
	if e := s.g.Service.Engine(); e == nil || !e.Moves || r.copying || r.events == 0 || s.backup.member == nil {
		return
	}
	to := s.backup.member
	switch {
	case s.copyLost(now):
		s.backup.made, s.backup.lost = false, true
		if now.Sub(r.copiedAt) < renewCopies {
			return
		}
		if to = s.pickHolder(r.m); to == nil {
			return
		}
	case s.backup.Handle == "" || now.Sub(r.copiedAt) < renewCopies:
		return
	}
	r.copying, r.copiedAt = true, now
	go r.askCopy(ctx, to)
}

// askCopy has the run's engine copy its memory to another one.
func (r *run) askCopy(ctx context.Context, to *registry.Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTime)
	defer cancel()
	c, err := r.s.h.send.Copy(ctx, r.order, to.Target())
	select {
	case r.copies <- copying{to: to, made: c, err: err}:
	case <-ctx.Done():
	}
}

// copied takes the outcome of a request for a copy.
func (r *run) copied(c copying) {
	s := r.s
	r.copying = false
	s.h.log.Info().Str("request", s.c.ID).Str("target", r.m.Target().ID()).Str("copyTo", c.to.Target().ID()).
		Str("lost", s.backup.Holder.ID()).Int64("lastEvent", s.last).AnErr("error", c.err).Msg("resume: copy made anew")
	if c.err != nil {
		return
	}
	if s.backup.member != c.to {
		s.backup.release()
		s.backup = backup{member: c.to, drop: c.to.Work().KeepCopy(s.size())}
	}
	s.backup.Copy, s.backup.made = c.made, true
	s.h.stats.copiesAnew.Inc(1)
}
