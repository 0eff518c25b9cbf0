package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Client speaks to one model engine.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the engine at addr (host:port).
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{}}
}

// Stream reads a completion stream, one token a call.
type Stream struct {
	body io.ReadCloser
	sc   *bufio.Scanner
}

// Complete starts a streaming completion. It returns ErrFenced when the
// engine refused the fencing number and ErrEngine when it cannot be reached.
func (c *Client) Complete(ctx context.Context, req Completion) (*Stream, error) {
	req.Stream = true
	b, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	hr.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(hr)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrEngine, err)
	}
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resp.Body.Close()
		if resp.StatusCode == http.StatusConflict {
			return nil, fmt.Errorf("%w: %s", ErrFenced, bytes.TrimSpace(msg))
		}
		return nil, fmt.Errorf("%w: %s: %s", ErrEngine, resp.Status, bytes.TrimSpace(msg))
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	return &Stream{body: resp.Body, sc: sc}, nil
}

// Next returns the next token; io.EOF at the end of a whole stream, and an
// error wrapping ErrEngine when the stream broke off.
func (s *Stream) Next() (string, error) {
	for s.sc.Scan() {
		line := s.sc.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return "", io.EOF
		}
		var ch Chunk
		if err := json.Unmarshal([]byte(data), &ch); err != nil || len(ch.Choices) == 0 {
			return "", fmt.Errorf("%w: bad chunk %q", ErrEngine, data)
		}
		return ch.Choices[0].Text, nil
	}
	err := s.sc.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return "", fmt.Errorf("%w: %v", ErrEngine, err)
}

// Close ends the stream; the engine cancels the generation.
func (s *Stream) Close() error { return s.body.Close() }

// Load reads the engine's (lagging) load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var l Load
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		return l, fmt.Errorf("%w: %v", ErrEngine, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
		return l, fmt.Errorf("%w: %v", ErrEngine, err)
	}
	return l, nil
}

// Fault sends a fault order to a stand-in engine.
func (c *Client) Fault(ctx context.Context, f Fault) error {
	b, _ := json.Marshal(f)
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/fault", bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(hr)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrEngine, err)
	}
	resp.Body.Close()
	return nil
}
