// Package wire implements the protocol between the processes of a deployment:
// WebSocket connections with one CBOR message per frame. Entry instances and agents
// exchange Messages. Entry instances send each other Views of their load at the
// targets, Questions for tables of the store, and Loans of retries.
//
// An entry instance dials an agent at ws://AGENT/v1/wire and keeps the connection.
// The instance sends Start (a generation, or its continuation after a prefix), Call (a
// plain service call) and Cancel. The agent answers with Token, Done, Fail and Result,
// and sends Load reports on its own. Every message about a request carries the request
// ID and the number of the attempt. Start and Call carry the fencing number, the epoch
// of the agent's lease that the instance has seen.
//
// Messages are plain Go structs. They are mapped to CBOR frames by hand, so that the
// wire format does not depend on Go names.
package wire

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/ragworthitch/ragworthitch/admit"
	"github.com/ragworthitch/ragworthitch/downstream"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// Message types.
const (
	TypeStart Type = iota + 1
	TypeToken
	TypeDone
	TypeFail
	TypeCancel
	TypeCall
	TypeResult
	TypeLoad
)

// Path is where an agent accepts connections of entry instances.
const Path = "/v1/wire"

const (
	// maxMessageFrame bounds a message in bytes; a prefix of MaxTokens fits.
	maxMessageFrame = 4 << 20
	// messageTimeout bounds the time from the first frame of a message to its end. A message
	// may have any number of empty frames.
	messageTimeout = 5 * time.Second
)

var (
	// dialClient makes the handshakes. The context of a dial bounds its time.
	dialClient = &http.Client{Transport: upstream.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: upstream.MaxHeadBytes})}

	// ErrClosed is returned when a connection cannot be opened or has failed.
	ErrClosed = errors.New("wire: connection closed")
	// ErrBadFrame is returned for a frame that cannot be decoded.
	ErrBadFrame = errors.New("wire: bad frame")

	errMessageTime = &upstream.TooLongError{Part: upstream.PartMessage, Bound: messageTimeout.String()}
)

type (
	// Type is the type of a Message.
	Type uint8

	// Message is a message between an entry instance and an agent. Type determines
	// which fields are used.
	Message struct {
		Type      Type
		RequestID string
		Attempt   int    // number of the attempt
		Fencing   uint64 // epoch of the agent's lease, as the sender last saw it

		// Start
		Model     string
		Prompt    string
		MaxTokens int
		Priority  int
		Seed      uint64
		Prefix    []string

		// Token
		Offset int
		Text   string

		// Call and Result
		Op             string
		Org            string
		IdempotencyKey string
		Answer         string

		// Fail
		Reason string
		NotRun bool // the attempt was rejected before it reached the target
		// Draining means that the target is draining, whatever its lease row says.
		Draining bool

		// Load
		Running int   // calls in progress
		Waiting int   // calls in the queue
		AtMs    int64 // Unix time at which the load was measured
		Healthy bool
	}

	// frame is the CBOR form of a Message, with small integer keys.
	frame struct {
		T   uint8    `cbor:"1,keyasint"`
		ID  string   `cbor:"2,keyasint,omitempty"`
		A   int      `cbor:"3,keyasint,omitempty"`
		F   uint64   `cbor:"4,keyasint,omitempty"`
		M   string   `cbor:"5,keyasint,omitempty"`
		P   string   `cbor:"6,keyasint,omitempty"`
		Max int      `cbor:"7,keyasint,omitempty"`
		Pri int      `cbor:"8,keyasint,omitempty"`
		S   uint64   `cbor:"9,keyasint,omitempty"`
		Pre []string `cbor:"10,keyasint,omitempty"`
		O   int      `cbor:"11,keyasint,omitempty"`
		X   string   `cbor:"12,keyasint,omitempty"`
		Op  string   `cbor:"13,keyasint,omitempty"`
		Org string   `cbor:"14,keyasint,omitempty"`
		K   string   `cbor:"15,keyasint,omitempty"`
		Ans string   `cbor:"16,keyasint,omitempty"`
		R   string   `cbor:"17,keyasint,omitempty"`
		Fd  bool     `cbor:"18,keyasint,omitempty"`
		Run int      `cbor:"19,keyasint,omitempty"`
		W   int      `cbor:"20,keyasint,omitempty"`
		At  int64    `cbor:"21,keyasint,omitempty"`
		H   bool     `cbor:"22,keyasint,omitempty"`
		D   bool     `cbor:"23,keyasint,omitempty"`
	}

	// Conn is a connection. Its methods that send are safe for concurrent use, those
	// that receive are not.
	Conn struct {
		ws     *websocket.Conn
		limit  int64         // of a received message, in bytes
		memory *admit.Memory // that the peer may take
		mu     sync.Mutex
	}
)

func (t Type) String() string {
	switch t {
	case TypeStart:
		return "start"
	case TypeToken:
		return "token"
	case TypeDone:
		return "done"
	case TypeFail:
		return "fail"
	case TypeCancel:
		return "cancel"
	case TypeCall:
		return "call"
	case TypeResult:
		return "result"
	case TypeLoad:
		return "load"
	}
	return fmt.Sprintf("type(%d)", uint8(t))
}

// Encode maps m to its CBOR frame.
func Encode(m Message) ([]byte, error) {
	return cbor.Marshal(frame{
		T: uint8(m.Type), ID: m.RequestID, A: m.Attempt, F: m.Fencing,
		M: m.Model, P: m.Prompt, Max: m.MaxTokens, Pri: m.Priority, S: m.Seed, Pre: m.Prefix,
		O: m.Offset, X: m.Text,
		Op: m.Op, Org: m.Org, K: m.IdempotencyKey, Ans: m.Answer,
		R: m.Reason, Fd: m.NotRun, D: m.Draining,
		Run: m.Running, W: m.Waiting, At: m.AtMs, H: m.Healthy,
	})
}

// Decode maps a CBOR frame to a Message; errors wrap ErrBadFrame.
func Decode(b []byte) (Message, error) {
	var f frame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return Message{}, fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	if f.T < uint8(TypeStart) || f.T > uint8(TypeLoad) {
		return Message{}, fmt.Errorf("%w: unknown type %d", ErrBadFrame, f.T)
	}
	if len(f.Pre) == 0 {
		f.Pre = nil // an empty prefix equals none
	}
	return Message{
		Type: Type(f.T), RequestID: f.ID, Attempt: f.A, Fencing: f.F,
		Model: f.M, Prompt: f.P, MaxTokens: f.Max, Priority: f.Pri, Seed: f.S, Prefix: f.Pre,
		Offset: f.O, Text: f.X,
		Op: f.Op, Org: f.Org, IdempotencyKey: f.K, Answer: f.Ans,
		Reason: f.R, NotRun: f.Fd, Draining: f.D,
		Running: f.Run, Waiting: f.W, AtMs: f.At, Healthy: f.H,
	}, nil
}

// Dial connects to the agent at addr (host:port).
func Dial(ctx context.Context, addr string) (*Conn, error) {
	return dial(ctx, addr, Path, maxMessageFrame)
}

// Accept upgrades an HTTP request to a protocol connection.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	return accept(w, r, maxMessageFrame)
}

func dial(ctx context.Context, addr, path string, limit int64) (*Conn, error) {
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+path, &websocket.DialOptions{HTTPClient: dialClient})
	if err != nil {
		return nil, fmt.Errorf("%w: dial %s: %w", ErrClosed, addr, upstream.HeadError(err))
	}
	ws.SetReadLimit(limit)
	return &Conn{ws: ws, limit: limit, memory: &admit.Memory{}}, nil
}

func accept(w http.ResponseWriter, r *http.Request, limit int64) (*Conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: accept: %v", ErrClosed, err)
	}
	ws.SetReadLimit(limit)
	return &Conn{ws: ws, limit: limit, memory: downstream.MemoryOf(r)}, nil
}

// Send writes a message.
func (c *Conn) Send(ctx context.Context, m Message) error {
	b, err := Encode(m)
	if err != nil {
		return err
	}
	return c.write(ctx, b)
}

// Recv reads a message.
func (c *Conn) Recv(ctx context.Context) (Message, error) {
	b, err := c.read(ctx)
	if err != nil {
		return Message{}, err
	}
	return Decode(b)
}

// Close closes the connection with a closing handshake.
func (c *Conn) Close() error {
	return c.ws.Close(websocket.StatusNormalClosure, "")
}

// CloseNow closes the connection without a closing handshake.
func (c *Conn) CloseNow() error { return c.ws.CloseNow() }

func (c *Conn) read(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	_, r, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrClosed, err)
	}
	defer time.AfterFunc(messageTimeout, func() { cancel(errMessageTime) }).Stop()
	b, err := c.memory.Read(r)
	defer c.memory.Free(len(b))
	if err != nil && errors.Is(context.Cause(ctx), errMessageTime) {
		return nil, fmt.Errorf("%w: %w", ErrClosed, errMessageTime)
	}
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return nil, fmt.Errorf("%w: %w", ErrClosed, upstream.BytesExceeded(upstream.PartMessage, c.limit))
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrClosed, err)
	}
	return b, nil
}

func (c *Conn) write(ctx context.Context, b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.ws.Write(ctx, websocket.MessageBinary, b); err != nil {
		return fmt.Errorf("%w: %v", ErrClosed, err)
	}
	return nil
}
