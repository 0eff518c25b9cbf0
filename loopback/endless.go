package loopback

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endlessWriteBytes = 8 << 10
	filler            = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
)

type (
	// EndlessAnswer is an answer in raw bytes that does not end: Start, and then Repeat
	// until the connection is closed.
	EndlessAnswer struct {
		Name, Start, Repeat string
		// Pause is made after each Repeat; 0: as fast as the connection takes it.
		Pause time.Duration
	}

	// endlessBytes is an EndlessAnswer in the parts in which it is written.
	endlessBytes struct {
		start, repeat []byte
		pause         time.Duration
	}

	// EndlessServer answers each request with an EndlessAnswer. Create it with
	// ServeEndless.
	EndlessServer struct {
		ln   net.Listener
		sent atomic.Int64
		wg   sync.WaitGroup

		answer endlessBytes

		mu   sync.Mutex
		open map[net.Conn]bool
		sum  int // connections so far
	}
)

// EndlessAnswers returns answers that are endless in one part each. fields are lines that
// their heads have to contain, each with its line break.
func EndlessAnswers(fields string) []EndlessAnswer {
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunked := head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []EndlessAnswer{
		{Name: "status line", Start: "HTTP/1.1 200 ", Repeat: filler},
		{Name: "head line", Start: head + "X-Long: ", Repeat: filler},
		{Name: "head fields", Start: head, Repeat: "X-Many: a\r\n"},
		{Name: "many head fields", Start: head + strings.Repeat("A:\r\n", 5000) + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "1\r\nx\r\n"},
		{Name: "slow head", Start: head + "X-Slow: ", Repeat: "x", Pause: 20 * time.Millisecond},
		{Name: "informational heads", Repeat: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{Name: "informational fields", Repeat: "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat(filler, 60) + "\r\n\r\n"},
		{Name: "slow informational head", Start: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: ", Repeat: "x", Pause: 20 * time.Millisecond},
		{Name: "trailer", Start: chunked + "1\r\nx\r\n0\r\n", Repeat: "X-Many: a\r\n"},
		{Name: "chunk extension", Start: chunked + "1;a=", Repeat: filler},
		{Name: "chunk extensions", Start: chunked, Repeat: "1;a=" + strings.Repeat(filler, 4) + "\r\nx\r\n"},
		{Name: "event", Start: head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", Repeat: filler},
		{Name: "repeated event", Start: head + "Content-Type: text/event-stream\r\n\r\n", Repeat: "id: 1\ndata: " + filler + "\n\n"},
		{Name: "comments", Start: head + "Content-Type: text/event-stream\r\n\r\n", Repeat: ": " + filler + "\n\n"},
		{Name: "error body", Start: "HTTP/1.1 500 Internal Server Error\r\n" + fields + "\r\n", Repeat: filler},
	}
}

// Send writes the answer to a connection until that is closed.
func (a EndlessAnswer) Send(c net.Conn) { a.bytes().send(c, &atomic.Int64{}) }

func (a EndlessAnswer) bytes() endlessBytes {
	b := endlessBytes{start: []byte(a.Start), repeat: []byte(a.Repeat), pause: a.Pause}
	if a.Pause == 0 {
		b.repeat = bytes.Repeat(b.repeat, endlessWriteBytes/len(b.repeat)+1)
	}
	return b
}

// send writes the answer to c until c is closed, and adds the number of bytes to sent.
func (b endlessBytes) send(c net.Conn, sent *atomic.Int64) {
	n, err := c.Write(b.start)
	for sent.Add(int64(n)); err == nil; sent.Add(int64(n)) {
		if b.pause > 0 {
			time.Sleep(b.pause)
		}
		n, err = c.Write(b.repeat)
	}
}

// ServeEndless serves an answer on a free port of 127.0.0.1.
func ServeEndless(a EndlessAnswer) (*EndlessServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &EndlessServer{ln: ln, open: map[net.Conn]bool{}, answer: a.bytes()}
	s.wg.Go(s.accept)
	return s, nil
}

// Addr returns the address (host:port).
func (s *EndlessServer) Addr() string { return s.ln.Addr().String() }

// Sent returns how many bytes the connections took.
func (s *EndlessServer) Sent() int64 { return s.sent.Load() }

// Open returns the number of connections on which the server is answering, and Conns the
// number of connections so far.
func (s *EndlessServer) Open() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Conns returns the number of connections that sent a request.
func (s *EndlessServer) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum
}

// Close ends the server and its connections.
func (s *EndlessServer) Close() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.open {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *EndlessServer) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c) // a connection without a request may stay open
	}
}

func (s *EndlessServer) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	r.Body.Close()
	s.track(c, true)
	defer s.track(c, false)
	s.answer.send(c, &s.sent)
}

func (s *EndlessServer) track(c net.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.open[c] = true
		s.sum++
	} else {
		delete(s.open, c)
	}
}
