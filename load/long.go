package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// prompt builds a prompt of n words that starts with its organisation's
// shared prefix.
func prompt(org, id string, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		if i < orgPrefix {
			fmt.Fprintf(&b, "%s%d", org, i)
		} else {
			fmt.Fprintf(&b, "%s-%d", id, i)
		}
	}
	return b.String()
}

// long runs one streamed generation, reconnecting with Last-Event-ID when
// the connection breaks, and checks the answer.
func (r *runner) long(ctx context.Context, q TraceRequest, i int) Result {
	res := Result{ID: q.ID, Kind: q.Kind}
	body, _ := json.Marshal(map[string]any{"org": q.Org, "model": q.Model, "prompt": prompt(q.Org, q.ID, q.PromptTokens),
		"maxTokens": q.MaxTokens, "priority": q.Priority, "seed": uint64(i + 1)})
	var toks []received
	t0 := time.Now()
	last := -1
	for try := 0; try < reconnects; try++ {
		entry := r.entries[(i+try)%len(r.entries)]
		var req *http.Request
		if try == 0 {
			req, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/generate", bytes.NewReader(body))
		} else {
			req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/generate/"+q.ID, nil)
			req.Header.Set("Last-Event-ID", strconv.Itoa(last))
		}
		req.Header.Set("X-Request-Id", q.ID)
		resp, err := r.http.Do(req)
		if err != nil {
			res.Detail = err.Error()
			time.Sleep(retryPause)
			continue
		}
		if resp.StatusCode != http.StatusOK {
			var eb struct {
				Error  string `json:"error"`
				NotRun bool   `json:"notRun"`
			}
			json.NewDecoder(resp.Body).Decode(&eb)
			resp.Body.Close()
			if try == 0 && eb.NotRun {
				res.Verdict, res.Detail = "notRun", eb.Error
				return res
			}
			res.Detail = eb.Error
			time.Sleep(retryPause)
			continue
		}
		end, detail := readSSE(resp.Body, func(t received) {
			toks = append(toks, t)
			last = t.offset
		})
		resp.Body.Close()
		if end != "" {
			res.Verdict, res.Detail = end, detail
			break
		}
	}
	res.Ms = float64(time.Since(t0).Microseconds()) / 1000
	res.v = check(toks, q.MaxTokens)
	if res.Verdict == "" {
		res.Verdict = "failed"
	}
	if res.Verdict == "complete" && (res.v.missing > 0 || res.v.repeated > 0 || res.v.mixed) {
		res.Verdict = "failed"
		res.Detail = fmt.Sprintf("missing %d, repeated %d, mixed %v", res.v.missing, res.v.repeated, res.v.mixed)
	}
	return res
}

// readSSE reads one event stream; end is "complete" or "failed" when the
// stream ended with a done or error event, "" when it broke off.
func readSSE(body io.Reader, tok func(received)) (end, detail string) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	var id, event string
	for sc.Scan() {
		line := sc.Text()
		switch {
		case line == "":
			id, event = "", ""
		case strings.HasPrefix(line, "id: "):
			id = line[4:]
		case strings.HasPrefix(line, "event: "):
			event = line[7:]
		case strings.HasPrefix(line, "data: "):
			data := line[6:]
			switch event {
			case "token":
				var t struct {
					Text    string `json:"text"`
					Attempt int    `json:"attempt"`
				}
				json.Unmarshal([]byte(data), &t)
				off, _ := strconv.Atoi(id)
				tok(received{offset: off, attempt: t.Attempt, text: t.Text, atNs: time.Now().UnixNano()})
			case "done":
				return "complete", ""
			case "error":
				return "failed", data
			}
		}
	}
	return "", ""
}
