// Command slow is a case of the second review: a target answers without a length before it has
// read a long body, and reads the rest of the body only some seconds later.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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
	length = 105 * time.Second
	// callers send long requests, with a body just within max_body_bytes.
	callers   = 10
	bodyBytes = 4_190_000
	// An answer has parts, one every partPause. A target reads the rest of the body after them, or
	// before them if TROUBLE is 0.
	parts     = 8
	partPause = 400 * time.Millisecond
	// Of targets, unframedTargets give one answer in unframedEvery without a length: the bench's
	// garble (unframed) with a share of 0.6 and x = 0.05.
	targets         = 5
	unframedTargets = 3
	unframedEvery   = 20
	windowBytes     = 32 << 10 // of a connection of a target
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
	c.SetReadBuffer(windowBytes)
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
		if !t.lab.Trouble {
			io.Copy(io.Discard, req.Body)
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
				t.lab.Record("%s could not answer %s to its end: %v", t.id, id, err)
				return
			}
			time.Sleep(partPause)
		}
		n, err := io.Copy(io.Discard, req.Body) // the rest of the request
		t.lab.Record("%s answered %s to its end, and read %d bytes of its body then, %v", t.id, id, n, err)
		if last || err != nil {
			return
		}
	}
}

func main() { os.Exit(lab2.Run(os.Args[1], play)) }

func play(l *lab2.Lab) (broken bool, err error) {
	for i := range targets {
		t := &target{id: fmt.Sprintf("i-%d", i), lab: l, unframed: i < unframedTargets}
		addr, err := l.Listen(t.serveConn)
		if err != nil {
			return false, err
		}
		l.Register(lab2.Target{ID: t.id, Service: "desk-app", Address: addr, Zone: "ate", Version: "v1", Slots: 6})
	}
	err = l.WriteConfig(lab2.Values{
		"version": 7,
		"routes": []lab2.Values{{"name": "r-1", "host": host, "prefix": "/quote/", "kind": "unsafe", "timeout_ms": 12000, "latency_target_ms": 5000,
			"priority": 2, "service": "desk-app", "max_attempts": 1, "public": false}},
		"services": []lab2.Values{{"name": "desk-app", "health_path": "/health", "max_conns": 110}},
		"limits":   lab2.Values{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []lab2.Values{{"name": "huka270", "api_keys": []string{key}}},
	})
	if err != nil {
		return false, err
	}
	entry, err := l.StartEntry("front-ate-1", "ate")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts, cut, partial := map[int]int{}, 0, 0
	body := bytes.Repeat([]byte("x"), bodyBytes)
	end := time.Now().Add(length)
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%02d%014d", n, i)
				h := http.Header{"Ragworthitch-Request-Id": {id}, "Ragworthitch-Deadline-Ms": {"12000"}, "Ragworthitch-Key": {key}}
				a := lab2.Ask(entry.Addr, http.MethodPost, host, "/quote/1", h, body, 14*time.Second)
				mu.Lock()
				counts[a.Status]++
				l.Record("request %s got %d, complete %v, %d of %d bytes, %v", id, a.Status, a.Complete, len(a.Body), len(answerOf(id)), a.Err)
				switch {
				case a.Status != http.StatusOK:
				case !a.Complete:
					partial++
				case string(a.Body) != answerOf(id):
					cut++
					l.Record("MIXED: request %s got a complete 200 (Content-Length %q) that is not the server's whole body: %q", id, a.Header.Get("Content-Length"), a.Body)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	l.Record("answers by status: %v; %d cut short and seen to be, %d cut short that look complete", counts, partial, cut)
	return cut > 0, nil
}
