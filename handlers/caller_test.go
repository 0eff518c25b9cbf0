package handlers_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/entry"
	"github.com/ragworthitch/ragworthitch/handlers"
	"github.com/ragworthitch/ragworthitch/rwtest"
)

// startCallerAPI starts an entry instance and serves its caller API; if engine
// is true, there is one fake engine.
func startCallerAPI(t *testing.T, engine bool) (*rwtest.Platform, string) {
	t.Helper()
	p := rwtest.StartPlatform(t)
	if engine {
		rwtest.StartAgent(t, p, &rwtest.FakeAgent{Name: "a"}, "engine", []string{"m"})
	}
	e, err := entry.New(rwtest.Settings(t, p.Addr), "en1", zerolog.Nop(), nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.Run(ctx)
	if engine {
		require.Eventually(t, e.Ready, 2*time.Second, 10*time.Millisecond)
	}
	srv := httptest.NewServer(handlers.New(e, nil))
	t.Cleanup(srv.Close)
	return p, srv.URL
}

func post(t *testing.T, url, id, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	if id != "" {
		req.Header.Set(handlers.HeaderRequestID, id)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// Invalid input must be reported as not run and leave no request row or
// checkpoint.
func TestBadInputLeavesNothing(t *testing.T) {
	p, url := startCallerAPI(t, true)
	tests := []struct {
		name, id, body string
		code           int
		want           string
	}{
		{"malformed", "b1", `{"org": "o",`, http.StatusBadRequest, "bad request body"},
		{"unknown field", "b2", `{"org":"o","model":"m","maxTokens":5,"temperature":1}`, http.StatusBadRequest, "unknown field"},
		{"no request id", "", `{"org":"o","model":"m","maxTokens":5}`, http.StatusBadRequest, "request id"},
		{"unknown organisation", "b3", `{"org":"x","model":"m","maxTokens":5}`, http.StatusBadRequest, "unknown organisation"},
		{"unknown model", "b4", `{"org":"o","model":"x","maxTokens":5}`, http.StatusBadRequest, "unknown model"},
		{"oversize prompt", "b5", `{"org":"o","model":"m","maxTokens":5,"prompt":"` + strings.Repeat("w ", 40000) + `"}`, http.StatusRequestEntityTooLarge, "prompt too large"},
		{"oversize body", "b7", `{"org":"o","model":"m","maxTokens":5,"prompt":"` + strings.Repeat("w", 1<<20) + `"}`, http.StatusRequestEntityTooLarge, "too large"},
		{"no tokens asked", "b6", `{"org":"o","model":"m","maxTokens":0}`, http.StatusBadRequest, "maxTokens"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp := post(t, url+"/v1/generate", tt.id, tt.body)
			assert.Equal(t, tt.code, resp.StatusCode)
			var eb struct {
				Error  string `json:"error"`
				NotRun bool   `json:"notRun"`
			}
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&eb))
			assert.Contains(t, eb.Error, tt.want)
			assert.True(t, eb.NotRun)
			if tt.id != "" {
				_, ok := p.StandIn.Get("req/" + tt.id)
				assert.False(t, ok, "a request row was written")
				_, ok = p.StandIn.GetObject("prompt/" + tt.id)
				assert.False(t, ok, "a checkpoint was written")
			}
		})
	}
}

// Whoever reaches the caller API must not be able to end the process.
func TestNoFaultInjectionByDefault(t *testing.T) {
	_, url := startCallerAPI(t, false)
	assert.Equal(t, http.StatusNotFound, post(t, url+"/debug/fault", "", `{"kind":"die"}`).StatusCode)
}

// Without a target a request must be rejected at once, with a Retry-After header.
func TestNoTargetRejectedAtOnce(t *testing.T) {
	_, url := startCallerAPI(t, false)
	t0 := time.Now()
	resp := post(t, url+"/v1/generate", "n1", `{"org":"o","model":"m","maxTokens":5}`)
	assert.Less(t, time.Since(t0), 500*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Equal(t, "2", resp.Header.Get("Retry-After"))
}

// The id of an event is the offset of its token, and a reconnect with
// Last-Event-ID must continue after that offset.
func TestReconnectContinues(t *testing.T) {
	_, url := startCallerAPI(t, true)
	resp := post(t, url+"/v1/generate", "s1", `{"org":"o","model":"m","maxTokens":20,"prompt":"p"}`)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	ids, end := readEvents(t, resp)
	assert.Equal(t, "done", end)
	require.Len(t, ids, 20)
	assert.Equal(t, "0", ids[0])

	req, _ := http.NewRequest(http.MethodGet, url+"/v1/generate/s1", nil)
	req.Header.Set(handlers.HeaderLastEventID, "14")
	again, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer again.Body.Close()
	ids, end = readEvents(t, again)
	assert.Equal(t, "done", end)
	assert.Equal(t, []string{"15", "16", "17", "18", "19"}, ids)
}

func readEvents(t *testing.T, resp *http.Response) (ids []string, end string) {
	t.Helper()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		line := sc.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		if ev, ok := strings.CutPrefix(line, "event: "); ok && ev != "token" {
			return ids, ev
		}
	}
	return ids, ""
}
