package discovery

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// maxDetailedLines is the number of changes up to which each target gets a log
	// line. Larger batches, as when a zone restarts, get a line for each kind of
	// change.
	maxDetailedLines = 8
	maxIDsPerLine    = 100

	// outcomeGone is logged for a target whose entry was removed.
	outcomeGone registry.Outcome = "gone"
)

type (
	// targetChange is a kind of change: its outcome and what the targets have in
	// common.
	targetChange struct {
		outcome  registry.Outcome
		service  string
		zone     string
		draining bool
		held     bool // the target stays registered for lapsedEntryGrace
	}

	// changeLog collects changes of targets until they are logged. The zero value is
	// ready to use.
	changeLog struct {
		changes []targetChange
		targets map[targetChange][]ragworthitch.Target
		count   int
	}
)

// add adds a change of a target to the targets with the same kind of change.
func (l *changeLog) add(change targetChange, target ragworthitch.Target) {
	if l.targets == nil {
		l.targets = map[targetChange][]ragworthitch.Target{}
	}
	if l.targets[change] == nil {
		l.changes = append(l.changes, change)
	}
	l.targets[change] = append(l.targets[change], target)
	l.count++
}

// flush logs the collected changes and clears them. age is the time since the applied
// rows were complete.
func (l *changeLog) flush(log zerolog.Logger, age time.Duration) {
	for _, change := range l.changes {
		targets := l.targets[change]
		if l.count <= maxDetailedLines {
			for _, target := range targets {
				change.event(log, age).Str("target", target.ID()).Int64("started", target.Boot().Started()).Str("address", target.Address()).Int64("sequence", target.Sequence()).
					Msg(change.message("target entry read", "target entry gone"))
			}
			continue
		}
		ids := make([]string, 0, len(targets))
		for _, target := range targets[:min(len(targets), maxIDsPerLine)] {
			ids = append(ids, target.ID())
		}
		change.event(log, age).Int("count", len(targets)).Strs("targets", ids).Msg(change.message("target entries read", "target entries gone"))
	}
	*l = changeLog{}
}

// message returns the text of the change's log line.
func (c targetChange) message(knownText, goneText string) string {
	if c.outcome == outcomeGone {
		return "discovery: " + goneText
	}
	return "discovery: " + knownText
}

// event starts a log line with the fields of the change.
func (c targetChange) event(log zerolog.Logger, age time.Duration) *zerolog.Event {
	return log.Info().Str("outcome", string(c.outcome)).Str("service", c.service).Str("targetZone", c.zone).Bool("draining", c.draining).
		Bool("held", c.held).Dur("age", age)
}
