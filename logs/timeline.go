package logs

import (
	"bufio"
	"fmt"
	"io"
)

// line holds the fields that every log line has.
type line struct {
	time, process, zone, level, message string
}

// Timeline writes the lines of JSON log files to w, ordered by timestamp, as
// TIME PROCESS ZONE LEVEL MESSAGE. It skips lines that are not JSON logs.
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
