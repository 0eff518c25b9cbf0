// Package service implements a client of plain back-end services (job status,
// card balance, quote, charge) with JSON over HTTP, and a stand-in service for
// tests and demos on one machine.
//
// Protocol:
//
//	POST /v1/{op}        body Call; 200 Result
//	GET  /debug/counts   200 map of idempotency key to times run (quote, charge)
//
// Quote and charge are non-idempotent. The stand-in counts the runs of each
// idempotency key, so that a test can check that a call ran at most once.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/ragworthitch/ragworthitch/upstream"
)

// Operations of the plain services.
const (
	OpStatus  = "status"
	OpBalance = "balance"
	OpQuote   = "quote"
	OpCharge  = "charge"
)

// Bounds of answers in bytes.
const (
	maxResultBytes = 1 << 20
	maxCountsBytes = 16 << 20
)

// ErrService is returned when the service is unreachable or fails.
var ErrService = errors.New("service: call failed")

type (
	// Call is the body of a call.
	Call struct {
		RequestID      string `json:"requestId"`
		IdempotencyKey string `json:"idempotencyKey,omitempty"`
		Org            string `json:"org"`
	}

	// Result is the answer to a call. Ran is how often its idempotency key has
	// run.
	Result struct {
		Op     string `json:"op"`
		Answer string `json:"answer"`
		Ran    int    `json:"ran"`
	}

	// StandIn imitates a plain service. The zero value is ready to use.
	StandIn struct {
		Name    string
		Latency time.Duration

		mu        sync.Mutex
		runsByKey map[string]int
	}

	// Client is a client of one plain service.
	Client struct {
		base    string
		timeout time.Duration
		conns   *upstream.Pool
	}
)

// Handler returns the handler of the service protocol.
func (s *StandIn) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/v1/:op", s.serveCall)
	r.GET("/debug/counts", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		s.mu.Lock()
		b, _ := json.Marshal(s.runsByKey)
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.Write(b)
	})
	return r
}

func (s *StandIn) serveCall(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	op := p.ByName("op")
	var c Call
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&c); err != nil {
		http.Error(w, "bad call: "+err.Error(), http.StatusBadRequest)
		return
	}
	res := Result{Op: op}
	switch op {
	case OpStatus, OpBalance:
	case OpQuote, OpCharge:
		if c.IdempotencyKey == "" {
			http.Error(w, op+" needs an idempotency key", http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		if s.runsByKey == nil {
			s.runsByKey = map[string]int{}
		}
		s.runsByKey[c.IdempotencyKey]++
		res.Ran = s.runsByKey[c.IdempotencyKey]
		s.mu.Unlock()
	default:
		http.Error(w, fmt.Sprintf("unknown operation %q", op), http.StatusNotFound)
		return
	}
	if s.Latency > 0 {
		time.Sleep(s.Latency)
	}
	h := fnv.New32a()
	h.Write([]byte(c.Org + c.RequestID + c.IdempotencyKey))
	res.Answer = fmt.Sprintf("%s %s for %s: %d", s.Name, op, c.Org, h.Sum32()%10000)
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(res)
}

// NewClient returns a client of the service at addr (host:port).
func NewClient(addr string, timeout time.Duration) *Client {
	return &Client{base: "http://" + addr, timeout: timeout, conns: upstream.NewPool(addr, 0)}
}

// Do calls an operation. Errors wrap ErrService.
func (c *Client) Do(ctx context.Context, op string, call Call) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	b, _ := json.Marshal(call)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/"+op, bytes.NewReader(b))
	if err != nil {
		return Result{}, err
	}
	resp, err := c.conns.Do(httpReq, upstream.Hooks{})
	if err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrService, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return Result{}, fmt.Errorf("%w: %s: %s", ErrService, resp.Status, bytes.TrimSpace(msg))
	}
	var res Result
	if err := decode(resp.Body, maxResultBytes, &res); err != nil {
		return Result{}, fmt.Errorf("%w: %w", ErrService, err)
	}
	return res, nil
}

// Counts returns how often each idempotency key has run at a stand-in.
func (c *Client) Counts(ctx context.Context) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/debug/counts", nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.conns.Do(httpReq, upstream.Hooks{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrService, err)
	}
	defer resp.Body.Close()
	m := map[string]int{}
	if err := decode(resp.Body, maxCountsBytes, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrService, err)
	}
	return m, nil
}

// decode reads a whole answer, of at most max bytes.
func decode(body io.Reader, max int64, out any) error {
	b, err := io.ReadAll(upstream.LimitBody(body, max))
	if err != nil {
		return err
	}
	return json.Unmarshal(b, out)
}
