package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/agent"
	"github.com/ragworthitch/ragworthitch/engine"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Limits of a replay.
const (
	maxConnects    = 30 // of a stream: the first connection and reconnections
	reconnectDelay = 200 * time.Millisecond
	readyTimeout   = 20 * time.Second
	orgPrefixWords = 64 // words every prompt of an organisation starts with
)

type (
	// Options are the options of a replay.
	Options struct {
		Entries []string      // entry addresses; default: all in the settings
		Timeout time.Duration // of the whole replay; default: 2 minutes
	}

	// Summary is the result of a replay. The command load -json prints it as its
	// last line.
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

	// Result is the result of one request.
	Result struct {
		ID             string  `json:"id"`
		Kind           string  `json:"kind"`
		Verdict        string  `json:"verdict"` // complete, notRun, failed, unknown
		Detail         string  `json:"detail,omitempty"`
		Ms             float64 `json:"ms"`
		check          tokenCheck
		idempotencyKey string
		replayed       bool // answered with the recorded answer of an earlier call
	}

	// runner runs one replay.
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
// result of every request.
func Run(ctx context.Context, cfg *settings.File, events []Event, options Options) (Summary, []Result, error) {
	if options.Timeout == 0 {
		options.Timeout = 2 * time.Minute
	}
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	r := &runner{cfg: cfg, entries: options.Entries, http: &http.Client{}}
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
				r.injectFault(ctx, *ev.Fault)
				return
			}
			r.addResult(r.runRequest(ctx, *ev.Request, i))
		}()
	}
	wg.Wait()
	s := r.summarise(ctx)
	return s, r.results, nil
}

func (r *runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// waitReady waits until every entry instance is ready.
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
				return fmt.Errorf("load: entry instance %s is not ready after %v", addr, readyTimeout)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	// The entry instances may know all agents only after another refresh.
	time.Sleep(2 * settings.Ms(r.cfg.Timeouts.RefreshMs))
	return nil
}

func (r *runner) injectFault(ctx context.Context, f TraceFault) {
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
	case FaultPartition, FaultPauseAgent:
		t, err := r.cfg.Target(f.Target)
		if err != nil {
			return
		}
		kind := agent.FaultPartition
		if f.Kind == FaultPauseAgent {
			kind = agent.FaultPause
		}
		r.postFault(ctx, t.Agent, agent.Fault{Kind: kind, ForMs: f.ForMs})
	case FaultKillEntry:
		e, err := r.cfg.Entry(f.Target)
		if err != nil {
			return
		}
		r.postFault(ctx, e.Listen, map[string]string{"kind": "die"})
	case FaultLostAck:
		platform.NewClient(r.cfg.Platform.Listen, time.Second).SetFault(ctx, platform.Fault{LostAcks: max(1, int(f.ForMs)), LostAckPrefix: f.Target})
	}
}

func (r *runner) postFault(ctx context.Context, addr string, body any) {
	b, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/debug/fault", bytes.NewReader(b))
	if resp, err := r.http.Do(req); err == nil {
		resp.Body.Close()
	}
}

func (r *runner) runRequest(ctx context.Context, request TraceRequest, index int) Result {
	if request.Kind == "long" {
		return r.runStream(ctx, request, index)
	}
	op := request.Op
	if op == "" {
		op = map[string]string{"short": "status", "quote": "quote", "charge": "charge"}[request.Kind]
	}
	body, _ := json.Marshal(map[string]string{"org": request.Org})
	result := Result{ID: request.ID, Kind: request.Kind, idempotencyKey: request.IdempotencyKey}
	start := time.Now()
	// Like a load balancer, runRequest tries the next entry instance if one is
	// unreachable. The idempotency key makes the retry safe.
	var resp *http.Response
	var err error
	for try := range len(r.entries) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.entries[(index+try)%len(r.entries)]+"/v1/call/"+op, bytes.NewReader(body))
		req.Header.Set("X-Request-Id", request.ID)
		if request.IdempotencyKey != "" {
			req.Header.Set("Idempotency-Key", request.IdempotencyKey)
		}
		if resp, err = r.http.Do(req); err == nil {
			break
		}
	}
	result.Ms = float64(time.Since(start).Microseconds()) / 1000
	if err != nil {
		result.Verdict, result.Detail = "failed", err.Error()
		return result
	}
	defer resp.Body.Close()
	var answer struct {
		Error    string `json:"error"`
		NotRun   bool   `json:"notRun"`
		Replayed bool   `json:"replayed"`
	}
	b, _ := io.ReadAll(resp.Body)
	json.Unmarshal(b, &answer)
	switch {
	case resp.StatusCode == http.StatusOK:
		result.Verdict, result.replayed = "complete", answer.Replayed
	case answer.NotRun:
		result.Verdict, result.Detail = "notRun", answer.Error
	case resp.StatusCode == http.StatusConflict:
		result.Verdict, result.Detail = "unknown", answer.Error
	default:
		result.Verdict, result.Detail = "failed", answer.Error
	}
	return result
}
