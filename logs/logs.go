// Package logs sets up the structured JSON logs of every process.
//
// Each line carries the process name, its zone and a UTC timestamp with
// microseconds, so that the lines of all processes sort into one timeline
// (see the timeline subcommand). Messages start with a prefix for the component
// that wrote them ("entry: ...").
package logs

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// TimeFormat is the timestamp layout of every log line; timestamps sort as text.
const TimeFormat = "2006-01-02T15:04:05.000000Z07:00"

func init() {
	zerolog.TimeFieldFormat = TimeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
}

// New returns the logger of a process, which writes JSON lines to w, or to
// stderr if w is nil. The level defaults to info.
func New(w io.Writer, process, zone, level string) zerolog.Logger {
	if w == nil {
		w = os.Stderr
	}
	lvl, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		lvl = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(lvl).With().Timestamp().Str("process", process).Str("zone", zone).Logger()
}
