// Command twin is a case of the second review: targets reject calls while they are full, and
// some of their answers come a second time, late, where the next answer on the connection is
// expected.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/review/lab2"
)

const (
	host     = "ficu95.example"
	key      = "xd9dnn2ctnfzs989anu6"
	length   = 60 * time.Second
	slots    = 6
	queue    = 2
	events   = 4 // of a stream
	interval = 5 * time.Millisecond
	// callers is the number of clients, each with one request at a time: more than the target
	// takes, so that it rejects some. fewCallers of them use one instance, the others another.
	callers    = 16
	fewCallers = 3
	// Of two targets one sends one answer in extraEvery twice, the second time late: the bench's
	// garble (extra late) with a share of 0.6 and x = 0.03.
	extraEvery = 34
)

// target is a server that takes slots calls at a time, queues a few more and rejects the rest.
type target struct {
	id      string
	lab     *lab2.Lab
	runs    *runs
	free    chan struct{}
	doubles bool // some answers come twice

	mu      sync.Mutex
	taken   int // calls that run or wait
	answers int
}

// runs counts how often each request ran.
type runs struct {
	mu sync.Mutex
	n  map[string]int
}

func (r *runs) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n[id]++
	return r.n[id]
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[id]
}

func (t *target) serveConn(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	extra := "" // to be sent again before the next answer
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Ragworthitch-Request-Id")
		if extra != "" {
			t.lab.Record("%s sends an answer again, on the request %s", t.id, id)
			io.WriteString(c, extra)
			extra = ""
		}
		if got := req.Header.Get("Ragworthitch-Expect-Instance"); got != "" && got != t.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		}
		answer := ""
		if req.URL.Path == "/health" {
			answer = "HTTP/1.1 200 OK\r\nRagworthitch-Instance-Id: " + t.id + "\r\nContent-Length: 0\r\n\r\n"
			io.WriteString(c, answer)
			continue
		}
		if !t.enter() {
			t.lab.Record("%s rejects %s", t.id, id)
			answer = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			io.WriteString(c, answer)
		} else {
			answer = t.run(c, id)
		}
		if t.doubles && t.isDoubled() {
			extra = answer
		}
	}
}

// enter waits for a slot, and reports false if the queue is full.
func (t *target) enter() bool {
	t.mu.Lock()
	if t.taken >= slots+queue {
		t.mu.Unlock()
		return false
	}
	t.taken++
	t.mu.Unlock()
	t.free <- struct{}{}
	return true
}

func (t *target) leave() {
	<-t.free
	t.mu.Lock()
	t.taken--
	t.mu.Unlock()
}

func (t *target) isDoubled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	return t.answers%extraEvery == 0
}

// run runs a call and returns its whole answer.
func (t *target) run(c net.Conn, id string) string {
	defer t.leave()
	t.lab.Record("%s runs %s, for the %d. time", t.id, id, t.runs.add(id))
	out := &strings.Builder{}
	w := io.MultiWriter(c, out)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, t.id)
	for i := 1; i <= events; i++ {
		time.Sleep(interval)
		e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
			return out.String()
		}
	}
	io.WriteString(w, "0\r\n\r\n")
	return out.String()
}

func main() { os.Exit(lab2.Run(os.Args[1], play)) }

func play(l *lab2.Lab) (broken bool, err error) {
	ran := &runs{n: map[string]int{}}
	for i, service := range []string{"plan-llm", "desk-app"} {
		t := &target{id: fmt.Sprintf("i-%d", i), lab: l, runs: ran, free: make(chan struct{}, slots), doubles: l.Trouble && i == 0}
		addr, err := l.Listen(t.serveConn)
		if err != nil {
			return false, err
		}
		l.Register(lab2.Target{ID: t.id, Service: service, Address: addr, Zone: "ate", Version: "v1", Slots: slots})
	}
	err = l.WriteConfig(lab2.Values{
		"version": 7,
		"routes": []lab2.Values{
			{"name": "r-1", "host": host, "prefix": "/plan/", "kind": "streaming", "timeout_ms": 25000, "latency_target_ms": 4500, "gap_target_ms": 700,
				"priority": 1, "service": "plan-llm", "max_attempts": 5, "public": false, "sticky": false, "resumable": false},
			{"name": "r-2", "host": host, "prefix": "/desk/", "kind": "streaming", "timeout_ms": 25000, "latency_target_ms": 4500, "gap_target_ms": 700,
				"priority": 1, "service": "desk-app", "max_attempts": 5, "public": false, "sticky": false, "resumable": false},
		},
		"services": []lab2.Values{{"name": "plan-llm", "health_path": "/health", "max_conns": 370}, {"name": "desk-app", "health_path": "/health", "max_conns": 110}},
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
	other, err := l.StartEntry("front-ate-2", "ate")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	status := map[string]int{}
	end := time.Now().Add(length)
	for n := range callers + 1 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%02d%014d", n, i)
				h := http.Header{"Ragworthitch-Request-Id": {id}, "Ragworthitch-Deadline-Ms": {"25000"}, "Ragworthitch-Key": {key}}
				addr, path := other.Addr, "/plan/1"
				if n < fewCallers {
					addr = entry.Addr
				}
				if n == callers {
					path = "/desk/1" // at the sound target
				}
				a := lab2.Ask(addr, http.MethodPost, host, path, h, []byte("report"), 26*time.Second)
				l.Record("caller %d: request %s got %d, complete %v, %v", n, id, a.Status, a.Complete, a.Err)
				mu.Lock()
				status[id] = a.Status
				mu.Unlock()
				if a.Status != http.StatusOK {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	counts := map[int]int{}
	for id, s := range status {
		counts[s]++
		n := ran.of(id)
		if n > 1 {
			broken = true
			l.Record("TWICE: request %s, which may run once, ran %d times; status %d", id, n, s)
		}
		if n > 0 && (s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests) {
			broken = true
			l.Record("REFUSED: request %s got %d and ran %d times", id, s, n)
		}
	}
	l.Record("answers by status: %v", counts)
	return broken, nil
}
