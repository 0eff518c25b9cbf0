package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/upstream"
)

const (
	maxLoadBytes = 64 << 10 // of the answer with the load
	// maxLineBytes bounds a line of a stream, and maxSkippedBytes the lines without a token
	// between two tokens. Engines may send comments while they prefill.
	maxLineBytes    = 1 << 20
	maxSkippedBytes = 1 << 20
)

// Client is a client of one model engine.
type Client struct {
	base  string
	conns *upstream.Pool
}

// NewClient returns a client of the engine at addr (host:port).
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, conns: upstream.NewPool(addr, 0)}
}

// Stream reads a completion stream, one token a call.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
}

// Complete starts a streaming completion. It returns ErrFenced if the engine
// rejects the fencing number, and ErrEngine if the engine is unreachable or
// rejects the completion for another reason.
func (c *Client) Complete(ctx context.Context, req Completion) (*Stream, error) {
	req.Stream = true
	b, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/completions", bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := c.conns.Do(httpReq, upstream.Hooks{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEngine, err)
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
	sc.Buffer(make([]byte, 64<<10), maxLineBytes)
	return &Stream{body: resp.Body, lines: sc}, nil
}

// Next returns the next token, io.EOF at the end of a complete stream, or an
// error that wraps ErrEngine.
func (s *Stream) Next() (string, error) {
	skipped := 0
	for s.lines.Scan() {
		line := s.lines.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			if skipped += len(line) + 1; skipped > maxSkippedBytes {
				return "", fmt.Errorf("%w: %w", ErrEngine, upstream.BytesExceeded(upstream.PartEvents, maxSkippedBytes))
			}
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
	err := s.lines.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		err = upstream.BytesExceeded(upstream.PartEvent, maxLineBytes)
	case err == nil:
		err = io.ErrUnexpectedEOF
	}
	return "", fmt.Errorf("%w: %w", ErrEngine, err)
}

// Close closes the stream, upon which the engine cancels the generation.
func (s *Stream) Close() error { return s.body.Close() }

// Load requests the engine's load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var l Load
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := c.conns.Do(httpReq, upstream.Hooks{})
	if err != nil {
		return l, fmt.Errorf("%w: %w", ErrEngine, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(upstream.LimitBody(resp.Body, maxLoadBytes))
	if err == nil {
		err = json.Unmarshal(b, &l)
	}
	if err != nil {
		return l, fmt.Errorf("%w: %w", ErrEngine, err)
	}
	return l, nil
}

// Fault injects a fault into a stand-in engine.
func (c *Client) Fault(ctx context.Context, f Fault) error {
	b, _ := json.Marshal(f)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/fault", bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := c.conns.Do(httpReq, upstream.Hooks{})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrEngine, err)
	}
	resp.Body.Close()
	return nil
}
