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

// buildPrompt returns a prompt of n words, of which the first orgPrefixWords are
// the same for all prompts of an organisation.
func buildPrompt(org, id string, n int) string {
	var b strings.Builder
	for i := range n {
		if i > 0 {
			b.WriteByte(' ')
		}
		if i < orgPrefixWords {
			fmt.Fprintf(&b, "%s%d", org, i)
		} else {
			fmt.Fprintf(&b, "%s-%d", id, i)
		}
	}
	return b.String()
}

// runStream requests a streamed answer, reconnects with Last-Event-ID when the
// connection breaks, and checks the answer.
func (r *runner) runStream(ctx context.Context, request TraceRequest, index int) Result {
	result := Result{ID: request.ID, Kind: request.Kind}
	body, _ := json.Marshal(map[string]any{"org": request.Org, "model": request.Model, "prompt": buildPrompt(request.Org, request.ID, request.PromptTokens),
		"maxTokens": request.MaxTokens, "priority": request.Priority, "seed": uint64(index + 1)})
	var tokens []receivedToken
	start := time.Now()
	resumeOffset := -1
	for try := 0; try < maxConnects; try++ {
		entry := r.entries[(index+try)%len(r.entries)]
		var req *http.Request
		if try == 0 {
			req, _ = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/generate", bytes.NewReader(body))
		} else {
			req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/generate/"+request.ID, nil)
			req.Header.Set("Last-Event-ID", strconv.Itoa(resumeOffset))
		}
		req.Header.Set("X-Request-Id", request.ID)
		resp, err := r.http.Do(req)
		if err != nil {
			result.Detail = err.Error()
			time.Sleep(reconnectDelay)
			continue
		}
		if resp.StatusCode != http.StatusOK {
			var rejection struct {
				Error  string `json:"error"`
				NotRun bool   `json:"notRun"`
			}
			json.NewDecoder(resp.Body).Decode(&rejection)
			resp.Body.Close()
			if try == 0 && rejection.NotRun {
				result.Verdict, result.Detail = "notRun", rejection.Error
				return result
			}
			result.Detail = rejection.Error
			time.Sleep(reconnectDelay)
			continue
		}
		verdict, detail := readSSE(resp.Body, func(t receivedToken) {
			tokens = append(tokens, t)
			resumeOffset = t.offset
		})
		resp.Body.Close()
		if verdict != "" {
			result.Verdict, result.Detail = verdict, detail
			break
		}
	}
	result.Ms = float64(time.Since(start).Microseconds()) / 1000
	result.check = checkTokens(tokens, request.MaxTokens)
	if result.Verdict == "" {
		result.Verdict = "failed"
	}
	if result.Verdict == "complete" && (result.check.missing > 0 || result.check.repeated > 0 || result.check.mixed) {
		result.Verdict = "failed"
		result.Detail = fmt.Sprintf("missing %d, repeated %d, mixed %v", result.check.missing, result.check.repeated, result.check.mixed)
	}
	return result
}

// readSSE reads an event stream. The verdict is "complete" after a done event,
// "failed" after an error event, and empty if the connection broke.
func readSSE(body io.Reader, emit func(receivedToken)) (verdict, detail string) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 64<<10), 1<<20)
	var id, event string
	for scanner.Scan() {
		line := scanner.Text()
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
				var token struct {
					Text    string `json:"text"`
					Attempt int    `json:"attempt"`
				}
				json.Unmarshal([]byte(data), &token)
				offset, _ := strconv.Atoi(id)
				emit(receivedToken{offset: offset, attempt: token.Attempt, text: token.Text, receivedAtNs: time.Now().UnixNano()})
			case "done":
				return "complete", ""
			case "error":
				return "failed", data
			}
		}
	}
	return "", ""
}
