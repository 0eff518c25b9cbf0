package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"
)

// stateLookBack is how long before a request's first line RequestHistory includes changes of
// process state.
const stateLookBack = 10 * time.Second

// statePrefixes are the message prefixes of lines that report a change of process
// state. RequestHistory includes those of the request's processes and targets.
var statePrefixes = []string{"health:", "discovery:", "desired:", "instance:"}

// crashPrefix is the message prefix of lines on poison requests. RequestHistory includes all
// lines with the request's fingerprint, at any time and of any process.
const crashPrefix = "poison:"

// record is a log line with all its fields.
type record struct {
	line
	request, target string
	fingerprint     string // the same for all attempts of the request
	fields          string // other fields as NAME=VALUE, sorted
}

// RequestHistory writes the log lines that concern a request, ordered by time, and returns
// the number of the request's own lines:
//   - the request's own lines, marked with "*"
//   - changes of process state (see statePrefixes) while the request ran, as logged
//     by the processes that served it
//   - all lines on crashes of targets that ran the request
//
// Text before the JSON of a line is skipped.
func RequestHistory(w io.Writer, request string, paths []string) (int, error) {
	all, err := readRecords(paths)
	if err != nil {
		return 0, err
	}
	var own []record
	targets, processes, fingerprints := map[string]bool{"": true}, map[string]bool{}, map[string]bool{}
	for _, r := range all {
		if r.request == request {
			own = append(own, r)
			targets[r.target] = true
			processes[r.process] = true
			fingerprints[r.fingerprint] = r.fingerprint != ""
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := earlier(own[0].time, stateLookBack), own[len(own)-1].time
	bw := bufio.NewWriter(w)
	for _, r := range all {
		isOwn := r.request == request
		isState := r.time >= first && r.time <= last && processes[r.process] && targets[r.target] && isStateChange(r.message)
		isCrash := fingerprints[r.fingerprint] && strings.HasPrefix(r.message, crashPrefix)
		if !isOwn && !isState && !isCrash {
			continue
		}
		marker := " "
		if isOwn {
			marker = "*"
		}
		r.write(bw, marker)
	}
	return len(own), bw.Flush()
}

func (r record) write(w io.Writer, marker string) {
	fmt.Fprintf(w, "%s %s %s %s | %s\n", r.time, marker, r.process, r.message, r.fields)
}

// TargetHistory writes the lines of all processes on a target, ordered by time, and
// returns their number.
func TargetHistory(w io.Writer, target string, paths []string) (int, error) {
	all, err := readRecords(paths)
	if err != nil {
		return 0, err
	}
	bw, n := bufio.NewWriter(w), 0
	for _, r := range all {
		if r.target != target {
			continue
		}
		n++
		r.write(bw, "request="+r.request)
	}
	return n, bw.Flush()
}

// earlier returns the timestamp that is d before at, or at itself if it is malformed.
func earlier(at string, d time.Duration) string {
	t, err := time.Parse(TimeFormat, at)
	if err != nil {
		return at
	}
	return t.Add(-d).Format(TimeFormat)
}

func isStateChange(message string) bool {
	return slices.ContainsFunc(statePrefixes, func(p string) bool { return strings.HasPrefix(message, p) })
}

// readRecords reads the JSON lines of all files, ordered by time.
func readRecords(paths []string) ([]record, error) {
	var all []record
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		sc := bufio.NewScanner(f)
		sc.Buffer(make([]byte, 64<<10), 1<<20)
		for sc.Scan() {
			if r, ok := parseRecord(sc.Text()); ok {
				all = append(all, r)
			}
		}
		err = sc.Err()
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("logs: %s: %w", p, err)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].time < all[j].time })
	return all, nil
}

// parseRecord parses a line, and reports whether it is a JSON log line.
func parseRecord(text string) (record, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return record{}, false
	}
	var m map[string]any
	if json.Unmarshal([]byte(text[i:]), &m) != nil {
		return record{}, false
	}
	remove := func(k string) string {
		s, _ := m[k].(string)
		delete(m, k)
		return s
	}
	target, _ := m["target"].(string)
	print, _ := m["fingerprint"].(string)
	r := record{line: line{time: remove("time"), process: remove("process"), zone: remove("zone"), level: remove("level"), message: remove("message")},
		request: remove("request"), target: target, fingerprint: print}
	if r.time == "" {
		return record{}, false
	}
	fields := make([]string, 0, len(m))
	for k, v := range m {
		fields = append(fields, fmt.Sprintf("%s=%v", k, v))
	}
	sort.Strings(fields)
	r.fields = strings.Join(fields, " ")
	return r, true
}
