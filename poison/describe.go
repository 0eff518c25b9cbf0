package poison

import (
	"github.com/rs/zerolog"
)

// messages are the log messages about a suspect.
type messages struct{ crashed, ranWell, quarantined, released, untracked, probed string }

var (
	requestMessages = messages{
		crashed:     "poison: target crashed under a request",
		ranWell:     "poison: request ran well",
		quarantined: "poison: request quarantined",
		released:    "poison: quarantined request released",
		untracked:   "poison: request is no longer tracked",
		probed:      "poison: quarantined request is probed once",
	}
	partMessages = messages{
		crashed:     "poison: target crashed under a prompt with a part",
		ranWell:     "poison: part of prompts ran well",
		quarantined: "poison: part of prompts quarantined",
		released:    "poison: quarantined part of prompts released",
		untracked:   "poison: part of prompts is no longer tracked",
		probed:      "poison: quarantined part of prompts is probed once",
	}
)

func (s *suspect) messages() messages {
	if s.part != "" {
		return partMessages
	}
	return requestMessages
}

// describe adds the fields that identify a suspect to a log line.
func (s *suspect) describe(line *zerolog.Event) *zerolog.Event {
	if s.part != "" {
		line = line.Str("part", s.part)
	}
	return line.Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service)
}

// incCounter counts a change of a suspect's state.
func (t *Tracker) incCounter(s *suspect, change string) {
	if t.Scope == nil {
		return
	}
	prefix := "poison_"
	if s.part != "" {
		prefix = "poison_part_"
	}
	t.Scope.Counter(prefix + change).Inc(1)
}
