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

// lookBack is how long before a request's first line a belief may have
// changed that decided it; what is older was in force for all.
const lookBack = 10 * time.Second

// beliefs are the prefixes of lines that change what a process believes; a
// request's story holds those of the processes and targets it touched.
var beliefs = []string{"health:", "discovery:", "desired:", "instance:"}

// crashes is the prefix of lines on requests that crash targets; a request's story
// holds those on all its tries, whenever and wherever they were written.
const crashes = "poison:"

// record is one log line with all its fields.
type record struct {
	line
	request, target string
	fingerprint     string // of the request, the same for all its tries
	rest            string // the other fields, NAME=VALUE, sorted
}

// Story writes what the log files tell of one request, ordered by time: its
// own lines with all their fields, and what the processes that served it came
// to believe meanwhile of the targets it was sent to, of the desired state and
// of the store, and what any of them knew of targets that crashed under its tries.
// It returns the number of the request's own lines. Text before
// a line's JSON is skipped.
func Story(w io.Writer, request string, paths []string) (int, error) {
	all, err := readRecords(paths)
	if err != nil {
		return 0, err
	}
	var own []record
	targets, processes, prints := map[string]bool{"": true}, map[string]bool{}, map[string]bool{}
	for _, r := range all {
		if r.request == request {
			own = append(own, r)
			targets[r.target] = true
			processes[r.process] = true
			prints[r.fingerprint] = r.fingerprint != ""
		}
	}
	if len(own) == 0 {
		return 0, nil
	}
	first, last := before(own[0].time, lookBack), own[len(own)-1].time
	bw := bufio.NewWriter(w)
	for _, r := range all {
		mine := r.request == request
		belief := r.time >= first && r.time <= last && processes[r.process] && targets[r.target] && isBelief(r.message)
		crash := prints[r.fingerprint] && strings.HasPrefix(r.message, crashes)
		if !mine && !belief && !crash {
			continue
		}
		mark := " "
		if mine {
			mark = "*"
		}
		r.write(bw, mark)
	}
	return len(own), bw.Flush()
}

// write writes the record with all its fields.
func (r record) write(w io.Writer, mark string) {
	fmt.Fprintf(w, "%s %s %s %s | %s\n", r.time, mark, r.process, r.message, r.rest)
}

// OfTarget writes the lines of all processes on one target, ordered by time: the calls
// that it was sent, how they ended, and what was believed of it. It returns their
// number.
func OfTarget(w io.Writer, target string, paths []string) (int, error) {
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

// before is the timestamp d earlier than at, or at if it cannot be read.
func before(at string, d time.Duration) string {
	t, err := time.Parse(TimeFormat, at)
	if err != nil {
		return at
	}
	return t.Add(-d).Format(TimeFormat)
}

func isBelief(message string) bool {
	return slices.ContainsFunc(beliefs, func(p string) bool { return strings.HasPrefix(message, p) })
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

// parseRecord parses a line; it reports false for one that is no log line.
func parseRecord(text string) (record, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return record{}, false
	}
	var m map[string]any
	if json.Unmarshal([]byte(text[i:]), &m) != nil {
		return record{}, false
	}
	take := func(k string) string {
		s, _ := m[k].(string)
		delete(m, k)
		return s
	}
	target, _ := m["target"].(string)
	print, _ := m["fingerprint"].(string)
	r := record{line: line{time: take("time"), process: take("process"), zone: take("zone"), level: take("level"), message: take("message")},
		request: take("request"), target: target, fingerprint: print}
	if r.time == "" {
		return record{}, false
	}
	fields := make([]string, 0, len(m))
	for k, v := range m {
		fields = append(fields, fmt.Sprintf("%s=%v", k, v))
	}
	sort.Strings(fields)
	r.rest = strings.Join(fields, " ")
	return r, true
}
