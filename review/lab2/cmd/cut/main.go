// Command cut is a case of the second review: a target answers without a length, before it has
// read a long body, and its connection is reset while the answer is on the way.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch/review/lab2"
)

const (
	host   = "ficu95.example"
	key    = "xd9dnn2ctnfzs989anu6"
	length = 110 * time.Second
	// callers send long requests, with a body just within max_body_bytes.
	callers   = 10
	bodyBytes = 4_190_000
	// parts is the number of parts of an answer, and partPause the time between them.
	parts     = 6
	partPause = 60 * time.Millisecond
	// Of targets, unframedTargets give one answer in unframedEvery without a length: the bench's
	// garble (unframed) with a share of 0.6 and x = 0.05.
	targets         = 5
	unframedTargets = 3
	unframedEvery   = 20
	// Every resetInterval resetShare of the connections of one of three instances are reset: the
	// bench's reset_conns with a share of 0.35 and x = 0.55.
	resetInterval = time.Second
	resetShare    = 0.55
	// windowBytes bounds what a proxy holds of a connection.
	windowBytes = 32 << 10
)

// target is a plain server that answers before it has read a long body, and reads on later.
type target struct {
	id       string
	lab      *lab2.Lab
	unframed bool
	answers  atomic.Int64
}

func answerOf(id string) string {
	b := &strings.Builder{}
	for i := range parts {
		fmt.Fprintf(b, "part %d of %d of the answer to %s\n", i+1, parts, id)
	}
	return b.String()
}

func (t *target) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Ragworthitch-Request-Id")
		switch {
		case req.Header.Get("Ragworthitch-Expect-Instance") != t.id:
			io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		case req.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
			continue
		}
		t.lab.Record("%s runs %s", t.id, id)
		framing := fmt.Sprintf("Content-Length: %d", len(answerOf(id)))
		last := t.unframed && t.answers.Add(1)%unframedEvery == 0
		if last {
			framing = "Connection: close"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: s.%s\r\n%s\r\n\r\n", id, t.id, framing)
		for line := range strings.Lines(answerOf(id)) {
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
			time.Sleep(partPause)
		}
		io.Copy(io.Discard, req.Body) // the rest of the request
		if last {
			return
		}
	}
}

// link passes connections on to a target, and resets some of them.
type link struct {
	to string
	mu sync.Mutex
	cs map[*net.TCPConn]bool
}

func (k *link) serveConn(c *net.TCPConn) {
	defer c.Close()
	c.SetReadBuffer(windowBytes)
	d := net.Dialer{}
	nc, err := d.Dial("tcp", k.to)
	if err != nil {
		return
	}
	s := nc.(*net.TCPConn)
	defer s.Close()
	s.SetWriteBuffer(windowBytes)
	k.mu.Lock()
	k.cs[c] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		delete(k.cs, c)
		k.mu.Unlock()
	}()
	go func() {
		io.Copy(s, c)
		s.CloseWrite()
	}()
	io.Copy(c, s)
}

// reset resets a share of the open connections and returns their number.
func (k *link) reset(share float64) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for c := range k.cs {
		if rand.Float64() < share {
			c.SetLinger(0)
			c.Close()
			n++
		}
	}
	return n
}

func main() { os.Exit(lab2.Run(os.Args[1], play)) }

func play(l *lab2.Lab) (broken bool, err error) {
	var links []*link
	for i := range targets {
		t := &target{id: fmt.Sprintf("i-%d", i), lab: l, unframed: i < unframedTargets}
		addr, err := l.Listen(t.serveConn)
		if err != nil {
			return false, err
		}
		k := &link{to: addr, cs: map[*net.TCPConn]bool{}}
		links = append(links, k)
		front, err := l.Listen(k.serveConn)
		if err != nil {
			return false, err
		}
		l.Register(lab2.Target{ID: t.id, Service: "desk-app", Address: front, Zone: "ate", Version: "v1", Slots: 6})
	}
	err = l.WriteConfig(lab2.Values{
		"version": 7,
		"routes": []lab2.Values{{"name": "r-1", "host": host, "prefix": "/quote/", "kind": "unsafe", "timeout_ms": 4000, "latency_target_ms": 300,
			"priority": 2, "service": "desk-app", "max_attempts": 1, "public": false}},
		"services": []lab2.Values{{"name": "desk-app", "health_path": "/health", "max_conns": 110}},
		"limits":   lab2.Values{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []lab2.Values{{"name": "huka270", "api_keys": []string{key}}},
	})
	if err != nil {
		return false, err
	}
	// Only the first of three instances gets requests, so that the links carry its connections.
	var first *lab2.Entry
	for _, zone := range []string{"ate", "callao", "lurin"} {
		e, err := l.StartEntry("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		if first == nil {
			first = e
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts, cut, resets := map[int]int{}, 0, 0
	body := bytes.Repeat([]byte("x"), bodyBytes)
	end := time.Now().Add(length)
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%02d%014d", n, i)
				h := http.Header{"Ragworthitch-Request-Id": {id}, "Ragworthitch-Deadline-Ms": {"4000"}, "Ragworthitch-Key": {key}}
				a := lab2.Ask(first.Addr, http.MethodPost, host, "/quote/1", h, body, 6*time.Second)
				mu.Lock()
				counts[a.Status]++
				l.Record("request %s got %d, complete %v, %d of %d bytes, %v", id, a.Status, a.Complete, len(a.Body), len(answerOf(id)), a.Err)
				if a.Status == http.StatusOK && a.Complete && string(a.Body) != answerOf(id) {
					cut++
					l.Record("MIXED: request %s got a complete 200 (Content-Length %q) that is not the server's whole body: %q", id, a.Header.Get("Content-Length"), a.Body)
				}
				mu.Unlock()
			}
		}()
	}
	for l.Trouble && time.Now().Add(resetInterval).Before(end) {
		time.Sleep(resetInterval)
		n := 0
		for _, k := range links {
			n += k.reset(resetShare)
		}
		resets += n
		l.Record("%d connections between the instance and its targets are reset", n)
	}
	wg.Wait()
	l.Record("answers by status: %v; %d connections reset; %d answers cut short that look complete", counts, resets, cut)
	return cut > 0, nil
}
