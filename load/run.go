package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/service"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Limits of a replay.
const (
	reconnects   = 30
	retryPause   = 200 * time.Millisecond
	readyTimeout = 20 * time.Second
	orgPrefix    = 64 // words every prompt of an organisation starts with
)

type (
	// Options set a replay.
	Options struct {
		Entries []string      // entry addresses; default: all in the settings
		Timeout time.Duration // the whole replay ends by then
	}

	// Summary is the result of a replay; the JSON is the last line of
	// load -json.
	Summary struct {
		Answers        int      `json:"answers"`
		Complete       int      `json:"complete"`
		NotRun         int      `json:"notRun"`
		Failed         int      `json:"failed"`
		UnknownOutcome int      `json:"unknownOutcome"`
		Missing        int      `json:"missing"`
		Repeated       int      `json:"repeated"`
		Mixed          int      `json:"mixed"`
		Resumes        int      `json:"resumes"`
		ResumeP50Ms    float64  `json:"resumeP50Ms"`
		ResumeP99Ms    float64  `json:"resumeP99Ms"`
		ShortP50Ms     float64  `json:"shortP50Ms"`
		ShortP99Ms     float64  `json:"shortP99Ms"`
		ExtraTokens    int64    `json:"extraTokens"`
		Recomputed     int64    `json:"recomputedTokens"`
		Delivered      int64    `json:"deliveredTokens"`
		DoubleCharges  int      `json:"doubleCharges"`
		NotRunButRan   int      `json:"notRunButRan"`
		TableWrites    int64    `json:"tableWrites"`
		ElapsedMs      int64    `json:"elapsedMs"`
		OK             bool     `json:"ok"`
		Broken         []string `json:"broken,omitempty"`
	}

	// Result is the verdict on one request.
	Result struct {
		ID      string  `json:"id"`
		Kind    string  `json:"kind"`
		Verdict string  `json:"verdict"` // complete, notRun, failed, unknown
		Detail  string  `json:"detail,omitempty"`
		Ms      float64 `json:"ms"`
		v       verdict
		key     string
	}

	runner struct {
		cfg     *settings.File
		entries []string
		http    *http.Client
		start   time.Time

		mu      sync.Mutex
		results []Result
	}
)

// Run replays events against the deployment and returns the summary and the
// verdict on every request.
func Run(ctx context.Context, cfg *settings.File, events []Event, opt Options) (Summary, []Result, error) {
	if opt.Timeout == 0 {
		opt.Timeout = 2 * time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, opt.Timeout)
	defer cancel()
	r := &runner{cfg: cfg, entries: opt.Entries, http: &http.Client{}}
	if len(r.entries) == 0 {
		for _, e := range cfg.Entries {
			r.entries = append(r.entries, e.Listen)
		}
	}
	if err := r.waitReady(ctx); err != nil {
		return Summary{}, nil, err
	}
	r.start = time.Now()
	var wg sync.WaitGroup
	for i, ev := range events {
		at := r.start.Add(time.Duration(ev.AtMs) * time.Millisecond)
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(at)):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if ev.Fault != nil {
				r.fault(ctx, *ev.Fault)
				return
			}
			r.add(r.request(ctx, *ev.Request, i))
		}()
	}
	wg.Wait()
	s := r.summarise(ctx)
	return s, r.results, nil
}

func (r *runner) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, res)
}

// waitReady waits until every entry knows its targets.
func (r *runner) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, addr := range r.entries {
		for {
			resp, err := r.http.Get("http://" + addr + "/healthz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("load: entry %s not ready after %v", addr, readyTimeout)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	// Give entries one more refresh to see every agent.
	time.Sleep(2 * settings.Ms(r.cfg.Timeouts.RefreshMs))
	return nil
}

func (r *runner) fault(ctx context.Context, f TraceFault) {
	switch f.Kind {
	case FaultPauseEngine, FaultKillEngine:
		t, err := r.cfg.Target(f.Target)
		if err != nil {
			return
		}
		kind := "pause"
		if f.Kind == FaultKillEngine {
			kind = "die"
		}
		engine.NewClient(t.Listen).Fault(ctx, engine.Fault{Kind: kind, ForMs: f.ForMs})
	case FaultStoreDown:
		platform.NewClient(r.cfg.Platform.Listen, time.Second).SetFault(ctx, platform.Fault{DownMs: f.ForMs})
	case FaultStoreSlow:
		platform.NewClient(r.cfg.Platform.Listen, time.Second).SetFault(ctx, platform.Fault{SlowMs: 400, SlowForMs: f.ForMs})
	case FaultLostAck:
		platform.NewClient(r.cfg.Platform.Listen, time.Second).SetFault(ctx, platform.Fault{LostAcks: max(1, int(f.ForMs)), LostAckPrefix: f.Target})
	}
}

func (r *runner) request(ctx context.Context, q TraceRequest, i int) Result {
	if q.Kind == "long" {
		return r.long(ctx, q, i)
	}
	op := q.Op
	if op == "" {
		op = map[string]string{"short": "status", "quote": "quote", "charge": "charge"}[q.Kind]
	}
	body, _ := json.Marshal(map[string]string{"org": q.Org})
	res := Result{ID: q.ID, Kind: q.Kind, key: q.IdempotencyKey}
	t0 := time.Now()
	// Like the platform's balancer, an entry that cannot be reached is
	// skipped for the next; the same idempotency key makes that safe.
	var resp *http.Response
	var err error
	for try := range len(r.entries) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entries[(i+try)%len(r.entries)]+"/v1/call/"+op, bytes.NewReader(body))
		req.Header.Set("X-Request-Id", q.ID)
		if q.IdempotencyKey != "" {
			req.Header.Set("Idempotency-Key", q.IdempotencyKey)
		}
		if resp, err = r.http.Do(req); err == nil {
			break
		}
	}
	res.Ms = float64(time.Since(t0).Microseconds()) / 1000
	if err != nil {
		res.Verdict, res.Detail = "failed", err.Error()
		return res
	}
	defer resp.Body.Close()
	var eb struct {
		Error  string `json:"error"`
		NotRun bool   `json:"notRun"`
	}
	b, _ := io.ReadAll(resp.Body)
	json.Unmarshal(b, &eb)
	switch {
	case resp.StatusCode == http.StatusOK:
		res.Verdict = "complete"
	case eb.NotRun:
		res.Verdict, res.Detail = "notRun", eb.Error
	case resp.StatusCode == http.StatusConflict:
		res.Verdict, res.Detail = "unknown", eb.Error
	default:
		res.Verdict, res.Detail = "failed", eb.Error
	}
	return res
}

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

func (r *runner) summarise(ctx context.Context) Summary {
	var s Summary
	s.ElapsedMs = time.Since(r.start).Milliseconds()
	var gaps, shorts []float64
	notRunKeys := map[string]bool{}
	for _, res := range r.results {
		s.Answers++
		switch res.Verdict {
		case "complete":
			s.Complete++
		case "notRun":
			s.NotRun++
			if res.key != "" {
				notRunKeys[res.key] = true
			}
		case "unknown":
			s.UnknownOutcome++
		default:
			s.Failed++
		}
		if res.Kind == "long" {
			if res.Verdict != "notRun" {
				s.Missing += res.v.missing
			}
			s.Repeated += res.v.repeated
			if res.v.mixed {
				s.Mixed++
			}
			for _, g := range res.v.gaps {
				gaps = append(gaps, float64(g)/1e6)
			}
		} else if res.Verdict == "complete" {
			shorts = append(shorts, res.Ms)
		}
	}
	s.Resumes = len(gaps)
	s.ResumeP50Ms, s.ResumeP99Ms = quantile(gaps, 0.5), quantile(gaps, 0.99)
	s.ShortP50Ms, s.ShortP99Ms = quantile(shorts, 0.5), quantile(shorts, 0.99)
	for _, e := range r.cfg.Entries {
		var st struct {
			Discarded   int64 `json:"discarded"`
			Recomputed  int64 `json:"recomputed"`
			Delivered   int64 `json:"delivered"`
			TableWrites int64 `json:"tableWrites"`
		}
		if resp, err := r.http.Get("http://" + e.Listen + "/debug/stats"); err == nil {
			json.NewDecoder(resp.Body).Decode(&st)
			resp.Body.Close()
		}
		s.ExtraTokens += st.Discarded
		s.Recomputed += st.Recomputed
		s.Delivered += st.Delivered
		s.TableWrites += st.TableWrites
	}
	for _, t := range r.cfg.Targets {
		if t.Kind != settings.KindService {
			continue
		}
		counts, err := service.NewClient(t.Listen, time.Second).Counts(ctx)
		if err != nil {
			continue
		}
		for k, n := range counts {
			if n > 1 {
				s.DoubleCharges += n - 1
			}
			if notRunKeys[k] {
				s.NotRunButRan++
			}
		}
	}
	if s.Missing > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d tokens missing", s.Missing))
	}
	if s.Repeated > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d tokens repeated", s.Repeated))
	}
	if s.Mixed > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d answers mix two generations", s.Mixed))
	}
	if s.DoubleCharges > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d calls ran twice", s.DoubleCharges))
	}
	if s.NotRunButRan > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d calls said not run had run", s.NotRunButRan))
	}
	if s.Failed > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d requests failed", s.Failed))
	}
	s.OK = len(s.Broken) == 0
	sort.Slice(r.results, func(i, j int) bool { return r.results[i].ID < r.results[j].ID })
	return s
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	i := int(q * float64(len(v)-1))
	return float64(int(v[i]*10)) / 10
}
