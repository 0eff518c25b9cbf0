package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
)

// line is one parsed log line.
type line struct {
	time, process, zone, level, message string
}

// Timeline reads the JSON log files and writes their lines to w ordered by
// timestamp, one line each: TIME PROCESS ZONE LEVEL MESSAGE. Lines that are
// not JSON logs are skipped.
func Timeline(w io.Writer, paths []string) error {
	var all []line
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return err
		}
		sc := bufio.NewScanner(f)
		sc.Buffer(make([]byte, 64<<10), 1<<20)
		for sc.Scan() {
			var m map[string]any
			if json.Unmarshal(sc.Bytes(), &m) != nil {
				continue
			}
			str := func(k string) string { s, _ := m[k].(string); return s }
			if str("time") == "" {
				continue
			}
			all = append(all, line{str("time"), str("process"), str("zone"), str("level"), str("message")})
		}
		f.Close()
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].time < all[j].time })
	bw := bufio.NewWriter(w)
	for _, l := range all {
		fmt.Fprintf(bw, "%s %-22s %-12s %-5s %s\n", l.time, l.process, l.zone, l.level, l.message)
	}
	return bw.Flush()
}
