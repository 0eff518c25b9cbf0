package discovery

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// maxLines is how many changes of targets that come together have a line
	// each. A zone that restarts changes dozens, and a start hundreds, at every
	// instance; these are told together, by what happened and where.
	maxLines = 8
	// maxNamed bounds the targets that one line names.
	maxNamed = 100

	// gone is the outcome of an entry that is gone.
	gone registry.Outcome = "gone"
)

type (
	// newsOf is what happened to targets, and to which.
	newsOf struct {
		outcome  registry.Outcome
		service  string
		zone     string
		draining bool
		held     bool // it still counts for a while, since the store was away
	}

	// batch collects what is new of targets until it is logged. The zero value
	// is ready to use.
	batch struct {
		order []newsOf
		by    map[newsOf][]ragworthitch.Target
		n     int
	}
)

// add takes what happened to a target.
func (b *batch) add(what newsOf, t ragworthitch.Target) {
	if b.by == nil {
		b.by = map[newsOf][]ragworthitch.Target{}
	}
	if b.by[what] == nil {
		b.order = append(b.order, what)
	}
	b.by[what] = append(b.by[what], t)
	b.n++
}

// flush logs what was added, learnt so long after it was true at the latest.
func (b *batch) flush(log zerolog.Logger, age time.Duration) {
	for _, what := range b.order {
		targets := b.by[what]
		if b.n <= maxLines {
			for _, t := range targets {
				what.line(log, age).Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("address", t.Address()).
					Msg(what.said("target known", "target's entry gone"))
			}
			continue
		}
		ids := make([]string, 0, len(targets))
		for _, t := range targets[:min(len(targets), maxNamed)] {
			ids = append(ids, t.ID())
		}
		what.line(log, age).Int("count", len(targets)).Strs("targets", ids).Msg(what.said("targets known", "targets' entries gone"))
	}
	*b = batch{}
}

// said is the message of the line.
func (w newsOf) said(known, lost string) string {
	if w.outcome == gone {
		return "discovery: " + lost
	}
	return "discovery: " + known
}

// line begins a line that says what happened.
func (w newsOf) line(log zerolog.Logger, age time.Duration) *zerolog.Event {
	return log.Info().Str("outcome", string(w.outcome)).Str("service", w.service).Str("targetZone", w.zone).Bool("draining", w.draining).
		Bool("held", w.held).Dur("age", age)
}
