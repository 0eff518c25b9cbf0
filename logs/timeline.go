package logs

import (
	"bufio"
	"fmt"
	"io"
)

// line is one parsed log line.
type line struct {
	time, process, zone, level, message string
}

// Timeline reads the JSON log files and writes their lines to w ordered by
// timestamp, one line each: TIME PROCESS ZONE LEVEL MESSAGE. Lines that are
// not JSON logs are skipped.
func Timeline(w io.Writer, paths []string) error {
	all, err := readRecords(paths)
	if err != nil {
		return err
	}
	bw := bufio.NewWriter(w)
	for _, l := range all {
		fmt.Fprintf(bw, "%s %-22s %-12s %-5s %s\n", l.time, l.process, l.zone, l.level, l.message)
	}
	return bw.Flush()
}
