package crowd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Kinds of clients.
const (
	// Silent clients open a connection and send nothing.
	Silent Kind = "silent"
	// HalfHeads stop in the middle of a request's head.
	HalfHeads Kind = "halfHeads"
	// SlowHeads send the head byte by byte.
	SlowHeads Kind = "slowHeads"
	// ShortFields send heads of the allowed size that consist of very short fields. Three of
	// four clients stop just short of the head's end.
	ShortFields Kind = "shortFields"
	// LargeHeads send such heads of overLimit times the allowed size.
	LargeHeads Kind = "largeHeads"
	// WholeBodies send bodies of the allowed size in one piece. Like those of the next two
	// kinds, three of four clients stop one byte short of the body's end.
	WholeBodies Kind = "wholeBodies"
	// PiecedBodies send such bodies in small pieces.
	PiecedBodies Kind = "piecedBodies"
	// ChunkedBodies send such bodies in chunks, without a length.
	ChunkedBodies Kind = "chunkedBodies"
	// SlowBodies send such bodies in small pieces with long pauses.
	SlowBodies Kind = "slowBodies"
	// LargeBodies send bodies of overLimit times the allowed size.
	LargeBodies Kind = "largeBodies"
	// LargeChunkedBodies send such bodies in chunks, without a length.
	LargeChunkedBodies Kind = "largeChunkedBodies"
	// SentAhead send many requests on one connection, and read no answer.
	SentAhead Kind = "sentAhead"
	// SlowReaders do the same and read the answers byte by byte.
	SlowReaders Kind = "slowReaders"
)

const (
	finishingShare = 4 // one client of so many finishes its request
	pieceBytes     = 1 << 10
	pieceBuffer    = 64 << 10
	overLimit      = 32 // times the limit
	// slowPause is the time between two pieces of a slow client, and slowPieces how many it
	// sends before it counts as settled.
	slowPause  = 50 * time.Millisecond
	slowPieces = 20
	// aheadRequests bounds the requests that one connection sends ahead.
	aheadRequests = 20_000
	// receiveBuffer of a client that reads slowly keeps few answers in its own system.
	receiveBuffer = 4 << 10
	// filler is the byte that a body consists of, between its start and its end.
	filler = 'x'
)

// errUnfinished ends a body that is not finished.
var errUnfinished = errors.New("crowd: body is not finished")

type (
	// Kind says how a client behaves.
	Kind string

	// behaviour is what a client does on a connection until the server closes it.
	behaviour func(ctx context.Context, c *client, conn net.Conn)

	// bodySource yields a body in pieces. It flushes what was sent before each piece.
	bodySource struct {
		text   Text
		size   int64
		sent   int64
		piece  int
		pause  time.Duration
		pieces int // yielded so far
		flush  func() error
		settle func()
		ctx    context.Context
		stop   bool            // the body ends one byte short and blocks until ctx ends or giveUp
		giveUp <-chan struct{} // nil: never
	}
)

var kinds = map[Kind]behaviour{
	Silent:             func(_ context.Context, c *client, conn net.Conn) { c.hold(conn) },
	HalfHeads:          func(_ context.Context, c *client, conn net.Conn) { c.sendHalfHead(conn) },
	SlowHeads:          func(ctx context.Context, c *client, conn net.Conn) { c.sendSlowHead(ctx, conn) },
	ShortFields:        func(_ context.Context, c *client, conn net.Conn) { c.sendShortFields(conn, 1) },
	LargeHeads:         func(_ context.Context, c *client, conn net.Conn) { c.sendShortFields(conn, overLimit) },
	WholeBodies:        sendBodies(bodyPlan{pieceBytes: pieceBuffer}),
	PiecedBodies:       sendBodies(bodyPlan{pieceBytes: pieceBytes}),
	ChunkedBodies:      sendBodies(bodyPlan{pieceBytes: pieceBytes, chunked: true}),
	SlowBodies:         sendBodies(bodyPlan{pieceBytes: pieceBytes, pause: slowPause}),
	LargeBodies:        sendBodies(bodyPlan{pieceBytes: pieceBuffer, times: overLimit}),
	LargeChunkedBodies: sendBodies(bodyPlan{pieceBytes: pieceBuffer, times: overLimit, chunked: true}),
	SentAhead:          func(_ context.Context, c *client, conn net.Conn) { c.sendAhead(conn); c.holdUnread(conn) },
	SlowReaders:        func(ctx context.Context, c *client, conn net.Conn) { c.readSlowly(ctx, conn) },
}

// Kinds returns all kinds in a fixed order.
func Kinds() []Kind {
	return []Kind{Silent, HalfHeads, SlowHeads, ShortFields, LargeHeads, WholeBodies, PiecedBodies, ChunkedBodies, SlowBodies, LargeBodies, LargeChunkedBodies, SentAhead, SlowReaders}
}

// hold settles the client and reads until the server closes the connection.
func (c *client) hold(conn net.Conn) {
	c.settle()
	io.Copy(io.Discard, conn)
}

// holdUnread is like hold, but reads nothing: it notices a close by sending.
func (c *client) holdUnread(conn net.Conn) {
	c.settle()
	for {
		conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := conn.Write([]byte("\r\n")); err != nil && !isTimeout(err) {
			return
		}
		time.Sleep(slowPause)
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// head returns the encoded head of a request without a body.
func (c *client) head(fields http.Header) []byte {
	req := c.newRequest(0)
	for k, v := range fields {
		req.Header[k] = v
	}
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		panic(err) // a buffer accepts all
	}
	return b.Bytes()
}

func (c *client) sendHalfHead(conn net.Conn) {
	head := c.head(nil)
	if _, err := conn.Write(head[:len(head)/2]); err != nil {
		return
	}
	c.hold(conn)
}

func (c *client) sendSlowHead(ctx context.Context, conn net.Conn) {
	go io.Copy(io.Discard, conn)
	for i, b := range c.head(http.Header{"X-Padding": {string(bytes.Repeat([]byte("x"), c.server.HeadBytes/2))}}) {
		if i == slowPieces {
			c.settle()
		}
		if _, err := conn.Write([]byte{b}); err != nil || !pause(ctx) {
			return
		}
	}
}

// sendShortFields sends a head of so many times the allowed size, the name of each field of
// which is another, and holds the connection.
func (c *client) sendShortFields(conn net.Conn, times int) {
	fields := http.Header{}
	spare := times*c.server.HeadBytes - len(c.head(nil))
	for i := 0; spare > 0; i++ {
		name := fmt.Sprintf("%X", i)
		if name[0] <= '9' {
			name = "G" + name
		}
		fields[name] = []string{""}
		spare -= len(name) + len(": \r\n")
	}
	head := c.head(fields)
	if !c.finishes {
		head = head[:len(head)-2*len("\r\n")]
	}
	if _, err := (stallWriter{conn}).Write(head); err != nil && !isTimeout(err) {
		return
	}
	c.hold(conn)
}

// bodyPlan says how a body is sent.
type bodyPlan struct {
	pieceBytes int
	pause      time.Duration
	times      int // the allowed size; 0: once
	chunked    bool
}

func sendBodies(p bodyPlan) behaviour {
	return func(ctx context.Context, c *client, conn net.Conn) {
		size := int64(c.server.BodyBytes) * int64(max(p.times, 1))
		length := size
		if p.chunked {
			length = -1
		}
		req := c.newRequest(length)
		w := bufio.NewWriterSize(stallWriter{conn}, pieceBuffer)
		source := &bodySource{text: c.server.Body, size: size, piece: p.pieceBytes, pause: p.pause, flush: w.Flush, settle: c.settle, ctx: ctx,
			stop: p.times == 0 && !c.finishes}
		req.Body = io.NopCloser(source)
		answered := make(chan struct{})
		if c.returning {
			source.giveUp = answered
		}
		go func() {
			defer close(answered)
			io.Copy(io.Discard, conn)
			conn.Close() // ends the sending
		}()
		if req.Write(w) == nil {
			w.Flush()
		}
		c.settle()
		<-answered
	}
}

// Read yields the next piece.
func (s *bodySource) Read(p []byte) (int, error) {
	if err := s.flush(); err != nil {
		return 0, err
	}
	end := s.size
	if s.stop {
		end--
	}
	if s.sent == end && s.stop {
		s.settle()
		select {
		case <-s.ctx.Done():
		case <-s.giveUp:
		}
		return 0, errUnfinished
	}
	if s.sent == end {
		return 0, io.EOF
	}
	if s.pieces++; s.pause > 0 {
		if s.pieces == slowPieces {
			s.settle()
		}
		if !pause(s.ctx) {
			return 0, s.ctx.Err()
		}
	}
	n := min(len(p), s.piece, int(end-s.sent))
	s.text.fill(p[:n], s.sent, s.size)
	s.sent += int64(n)
	return n, nil
}

// fill writes the part of the text that starts at an offset, of a body of the given size.
func (t Text) fill(p []byte, offset, size int64) {
	for i := range p {
		at, fromEnd := offset+int64(i), size-offset-int64(i)
		switch {
		case at < int64(len(t.Start)):
			p[i] = t.Start[at]
		case fromEnd <= int64(len(t.End)):
			p[i] = t.End[int64(len(t.End))-fromEnd]
		default:
			p[i] = filler
		}
	}
}

// stallWriter gives up if the server accepts no bytes for stallTimeout.
type stallWriter struct{ net.Conn }

func (w stallWriter) Write(b []byte) (int, error) {
	w.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.Conn.Write(b)
}

// pause waits for slowPause and returns false if ctx has ended.
func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(slowPause):
		return true
	}
}

// sendAhead sends requests without a body until the server accepts no more bytes.
func (c *client) sendAhead(conn net.Conn) {
	for range aheadRequests {
		conn.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := conn.Write(c.head(nil)); err != nil {
			return
		}
	}
}

func (c *client) readSlowly(ctx context.Context, conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(receiveBuffer)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		c.sendAhead(conn)
		c.settle()
	}()
	for b := make([]byte, 1); pause(ctx); {
		if _, err := conn.Read(b); err != nil {
			break
		}
	}
	conn.Close()
	<-sent
}
