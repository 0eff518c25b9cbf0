package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	drainPeriod = 2 * time.Second        // drain_ms
	drainExtra  = 300 * time.Millisecond // "a little longer"
	stamp       = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// server is a sound server of a plain service, as PROTOCOL.md describes it.
type server struct {
	id, service, listen, store string
	size                       int           // bytes of an answer's body
	parts                      int           // in which the body is sent
	gap                        time.Duration // between two parts
	unframed                   bool          // answers have no length and end with their channel
	version                    string
	badPrefix                  string        // of the paths on which answers are failures; empty: none
	work                       time.Duration // before an answer
	prefill                    time.Duration // of a stream, before its first event
	events                     int           // of a stream; 0: answers are no streams
	sequence                   atomic.Int64
	draining                   atomic.Bool
}

// runServer runs a server until SIGTERM, and then lets it leave as planned.
func runServer(args []string) error {
	s := &server{}
	f := flag.NewFlagSet("server", flag.ContinueOnError)
	f.StringVar(&s.id, "id", "", "id of this boot")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.listen, "listen", "", "address")
	f.StringVar(&s.store, "store", "", "address of the store")
	f.IntVar(&s.size, "size", 800, "bytes of an answer's body")
	f.IntVar(&s.parts, "parts", 1, "parts in which the body is sent")
	f.DurationVar(&s.gap, "gap", 0, "time between two parts")
	f.StringVar(&s.version, "version", "v1", "version of the software")
	f.StringVar(&s.badPrefix, "bad", "", "prefix of the paths on which answers are failures")
	f.DurationVar(&s.work, "work", 0, "time before an answer")
	f.DurationVar(&s.prefill, "prefill", 0, "time before the first event of a stream")
	f.IntVar(&s.events, "events", 0, "events of a stream; 0: answers are no streams")
	f.BoolVar(&s.unframed, "unframed", false, "answers without a length")
	if err := f.Parse(args); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	go s.serve(ln)
	for {
		if err := s.register(); err != nil {
			return err
		}
		select {
		case <-time.After(heartbeat):
			continue
		case <-terminated:
		}
		break
	}
	s.draining.Store(true)
	if err := s.register(); err != nil {
		return err
	}
	fmt.Println("the store has accepted that this server is draining")
	time.Sleep(drainPeriod + drainExtra)
	fmt.Println("exits")
	return nil
}

// register writes the server's entry.
func (s *server) register() error {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	return put(s.store, "servers", s.id, map[string]any{"service": s.service, "address": s.listen, "zone": zone, "version": s.version, "slots": 16,
		"state": state, "cold_left_ms": 0, "sequence": s.sequence.Add(1)})
}

func (s *server) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveChannel(c)
	}
}

// serveChannel serves the requests of one channel. The request line is taken from the bytes
// received, before any parser has changed it.
func (s *server) serveChannel(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		// The parser gets a plain request line, as the target of the request is not its concern.
		method, _, _ := strings.Cut(line, " ")
		rest := bufio.NewReader(io.MultiReader(strings.NewReader(method+" / HTTP/1.1\r\n"), r))
		req, err := http.ReadRequest(rest)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r = rest
		if !s.answer(c, line, req, len(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the channel stays open.
func (s *server) answer(c net.Conn, line string, req *http.Request, body int) bool {
	id := req.Header.Get("Ragworthitch-Request-Id")
	if expected := req.Header.Get("Ragworthitch-Expect-Instance"); expected != "" && expected != s.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
		return err == nil
	}
	if strings.Contains(line, " /health ") {
		status := "200 OK"
		if s.draining.Load() {
			status = "503 Service Unavailable"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
		return err == nil
	}
	bad := s.badPrefix != "" && strings.Contains(line, " "+s.badPrefix)
	run, _ := json.Marshal(serverRun{Server: s.id, ID: id, Line: line, Tenant: req.Header.Get("Ragworthitch-Tenant"), Body: body, Answer: s.size, AtMs: time.Now().UnixMilli(), Version: s.version, Bad: bad})
	fmt.Println("run " + string(run))
	time.Sleep(s.work)
	if bad {
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: %s\r\nContent-Length: 0\r\n\r\n", id, stamp)
		return err == nil
	}
	if s.events > 0 {
		return s.stream(c, id)
	}
	head := fmt.Sprintf("Content-Length: %d\r\n", s.size)
	if s.unframed {
		head = "Connection: close\r\n"
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: %s\r\n%s\r\n", id, stamp, head)
	part := strings.Repeat("a", s.size/s.parts)
	for i := range s.parts {
		if i > 0 {
			time.Sleep(s.gap)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return false
		}
	}
	return !s.unframed
}

// stream answers with events, in chunks, and reports whether the channel stays open.
func (s *server) stream(c net.Conn, id string) bool {
	time.Sleep(s.prefill)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id, stamp)
	for i := range s.events {
		time.Sleep(s.gap)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("a", 60))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
