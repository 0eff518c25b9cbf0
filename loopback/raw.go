package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// rawReadBufferBytes is the receive buffer of a RawServer's connections: a long request
	// fills it, and its client has to wait.
	rawReadBufferBytes = 32 << 10
	// readPause is how long a RawServer leaves a request unread after its answer.
	readPause = 300 * time.Millisecond
	// answerPause lets what was answered arrive before a connection is reset.
	answerPause = 20 * time.Millisecond
	// LongRequestBytes is the length of a request's body that the buffers of a connection to a
	// RawServer don't hold: Linux bounds those of the client to 4 MB by default.
	LongRequestBytes = 16 << 20
)

const (
	// partBytes is the part of a long request that EndResetPart reads.
	partBytes = 1 << 20
	// A request that is read slowly is read in slowReads parts of slowReadBytes.
	slowReads     = 20
	slowReadBytes = 16 << 10
	slowReadPause = 5 * time.Millisecond
)

// What a server does after an answer to a request whose body it has not read.
const (
	// EndReset resets the connection soon after the answer, EndResetAtOnce at once, and
	// EndResetLate later.
	EndReset       ConnEnd = "reset"
	EndResetAtOnce ConnEnd = "resetAtOnce"
	EndResetLate   ConnEnd = "resetLate"
	// EndResetPart reads a part of the request, and resets the connection. EndResetSlow resets
	// it while it reads the request slowly, and EndCloseSlow closes it then.
	EndResetPart ConnEnd = "resetPart"
	EndResetSlow ConnEnd = "resetSlow"
	EndCloseSlow ConnEnd = "closeSlow"
	// EndUnread closes the connection, which resets it if a part of the request has arrived.
	EndUnread ConnEnd = "unread"
	// EndSilent keeps the connection open and reads nothing.
	EndSilent ConnEnd = "silent"
	// EndRead reads the rest of the request later, and then ends the answer.
	EndRead ConnEnd = "read"
	// EndShut ends the answer first, and reads the rest of the request later.
	EndShut ConnEnd = "shut"
	// EndKeep reads the rest of the request later, and keeps the connection open.
	EndKeep ConnEnd = "keep"
)

type (
	// ConnEnd is what a server does after an answer to a request whose body it has not read.
	ConnEnd string

	// RawServer answers requests in raw bytes. Create it with ServeRaw.
	RawServer struct{ ln net.Listener }
)

// ServeRaw starts a server that reads the head of a request on each connection, and hands it
// to answer. The connection is closed when answer returns.
func ServeRaw(answer func(c *net.TCPConn, req *http.Request)) (*RawServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{ln: ln}
	go s.accept(answer)
	return s, nil
}

// Addr returns the server's host:port.
func (s *RawServer) Addr() string { return s.ln.Addr().String() }

// Close ends the server; connections stay open until they are answered.
func (s *RawServer) Close() error { return s.ln.Close() }

func (s *RawServer) accept(answer func(c *net.TCPConn, req *http.Request)) {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go serveRawConn(c.(*net.TCPConn), answer)
	}
}

func serveRawConn(c *net.TCPConn, answer func(c *net.TCPConn, req *http.Request)) {
	defer c.Close()
	if c.SetReadBuffer(rawReadBufferBytes) != nil {
		return // the client has gone
	}
	// A small buffer leaves the body of a request to the kernel.
	req, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
	if err == nil {
		answer(c, req)
	}
}

// End ends a connection after the answer to req. Errors mean that the client has gone.
func (e ConnEnd) End(c *net.TCPConn, req *http.Request) {
	switch e {
	case EndResetAtOnce:
		c.SetLinger(0)
	case EndReset:
		time.Sleep(answerPause)
		c.SetLinger(0)
	case EndResetLate:
		time.Sleep(readPause)
		c.SetLinger(0)
	case EndResetPart:
		io.CopyN(io.Discard, req.Body, partBytes)
		time.Sleep(answerPause)
		c.SetLinger(0)
	case EndResetSlow:
		readSlowly(req.Body)
		c.SetLinger(0)
	case EndCloseSlow:
		readSlowly(req.Body)
	case EndUnread:
		time.Sleep(answerPause)
	case EndSilent:
		<-time.After(10 * time.Second)
	case EndShut:
		c.CloseWrite()
		fallthrough
	case EndRead:
		time.Sleep(readPause)
		io.Copy(io.Discard, req.Body)
	case EndKeep:
		time.Sleep(readPause)
		io.Copy(io.Discard, c)
	}
}

// readSlowly reads the beginning of a long request.
func readSlowly(r io.Reader) {
	for range slowReads {
		io.CopyN(io.Discard, r, slowReadBytes)
		time.Sleep(slowReadPause)
	}
}
