package ingress

import (
	"bufio"
	"errors"
	"fmt"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	// maxBytesWithoutProgress bounds the events of an attempt that bring the caller nothing
	// new, between two that do: events that the caller has, and events without an id. An
	// engine that resumes a stream may send the whole answer again, which takes some 100 KB.
	maxBytesWithoutProgress = 4 << 20
	// An event holds at least one token, so that a whole answer has at most Call.MaxTokens
	// numbered events. The factor and the margin are for engines that count otherwise.
	maxEventsPerToken = 2
	extraEvents       = 64
)

// errNoProgress means that an attempt has sent too many events that bring nothing new.
var errNoProgress = upstream.BytesExceeded(upstream.PartEvents, maxBytesWithoutProgress)

// countProgress returns an error if an attempt has sent more events than the call asks for,
// or too many in a row that bring the caller nothing new.
func (a *attempt) countProgress(event Event) error {
	if event.ID > a.s.lastID {
		a.idleBytes = 0
		maxEvents := maxEventsPerToken*a.s.call.MaxTokens + extraEvents
		if a.s.call.MaxTokens > 0 && a.newEvents >= maxEvents {
			return &upstream.TooLongError{Part: upstream.PartEvents, Bound: fmt.Sprint(maxEvents)}
		}
		return nil
	}
	if a.idleBytes += len(event.Raw); a.idleBytes > maxBytesWithoutProgress {
		return errNoProgress
	}
	return nil
}

// eventError returns err as an *upstream.TooLongError if it says that an event is too long.
func eventError(err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return upstream.BytesExceeded(upstream.PartEvent, maxEventBytes)
	}
	return err
}

// judgeTooLong judges, counts and logs a target whose answer to an attempt that started at
// startedAt exceeded a bound. It reports whether err says so. The target's process runs on:
// the request has not crashed it.
func (c *activeCall) judgeTooLong(m *registry.Member, startedAt clock.Time, err error) bool {
	part, ok := upstream.TooLongPart(err)
	if !ok {
		return false
	}
	now := clock.Now()
	took := now.Sub(startedAt)
	c.h.stats.tooLong(part).Inc(1)
	ejectedFor := m.Health().AnsweredBadly(now, took)
	if ejectedFor > 0 {
		c.h.stats.ejections.Inc(1)
	}
	c.h.log.Warn().Str("request", c.call.ID).Stringer("fingerprint", c.request.Fingerprint).Str("service", c.service()).Str("target", m.Target().ID()).
		Str("part", string(part)).Dur("after", took).Dur("outFor", ejectedFor).Err(err).Msg("health: answer too long; connection closed")
	return true
}
