// Command frozen is a case of the second review: targets crash while an instance that gets answers
// without a length from them stands still, and start again, under new ids, before it goes on.
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
	"syscall"
	"time"

	"github.com/ragworthitch/ragworthitch/review/lab2"
)

const (
	host    = "ficu95.example"
	key     = "xd9dnn2ctnfzs989anu6"
	length  = 104 * time.Second
	callers = 120
	// retryPause is how long a caller waits after a request that was not served.
	retryPause = 200 * time.Millisecond
	// An answer has parts, one every partPause.
	parts     = 8
	partPause = 250 * time.Millisecond
	// Of targets, the crashing ones are those of one zone. They give one answer in unframedEvery
	// without a length: the bench's garble (unframed) with a share of 0.6 and x = 0.05.
	targets       = 5
	crashing      = 3
	unframedEvery = 20
	// Every roundInterval one instance of three stands still for freezeTime (node_freeze, 3.5 s at
	// most). Meanwhile the targets of a zone are down for downTime (srv_crash, 4.5 s at most).
	roundInterval = 6 * time.Second
	freezeTime    = 3 * time.Second
	crashAfter    = 300 * time.Millisecond // of the freeze
	downTime      = 1200 * time.Millisecond
	// checkIn is the time between two writes of a target's entry (heartbeat_ms), and lapse the silence
	// after which the store removes it.
	checkIn = 1200 * time.Millisecond
	lapse   = 3 * checkIn
)

// target is a plain server that may crash and start again.
type target struct {
	name, zone, addr string
	lab              *lab2.Lab
	unframed         bool

	mu       sync.Mutex
	id       string // of the boot
	boots    int
	ln       net.Listener
	open     map[net.Conn]bool
	up       bool
	sequence int
	answers  int
}

// start starts a boot of the target.
func (t *target) start() error {
	addr := "127.0.0.1:0"
	if t.addr != "" {
		addr = t.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.boots++
	t.id = fmt.Sprintf("%s-%d", t.name, t.boots)
	t.ln, t.addr, t.open, t.up, t.sequence = ln, ln.Addr().String(), map[net.Conn]bool{}, true, 0
	id := t.id
	t.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.open[c] = true
			t.mu.Unlock()
			go t.serveConn(c, id)
		}
	}()
	t.write()
	return nil
}

// crash ends the boot: the system closes its port and connections.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.up = false
	t.ln.Close()
	id := t.id
	time.AfterFunc(lapse, func() { t.lab.Store.Delete("servers", id) })
	for c := range t.open {
		c.Close()
	}
}

// write writes the target's entry.
func (t *target) write() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.up {
		return
	}
	t.sequence++
	err := t.lab.Store.Write("servers", t.id, lab2.Values{"service": "plan-llm", "address": t.addr, "zone": t.zone, "version": "v1", "slots": 64,
		"state": "ready", "cold_left_ms": 0, "sequence": t.sequence})
	if err != nil {
		t.lab.Record("entry not written: %v", err)
	}
}

func (t *target) isUnframed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	return t.unframed && t.answers%unframedEvery == 0
}

func answerOf(id string) string {
	b := &strings.Builder{}
	for i := range parts {
		fmt.Fprintf(b, "part %d of %d of the answer to %s\n", i+1, parts, id)
	}
	return b.String()
}

func (t *target) serveConn(c net.Conn, instance string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Ragworthitch-Request-Id")
		switch {
		case req.Header.Get("Ragworthitch-Expect-Instance") != instance:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, instance)
			continue
		case req.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", instance)
			continue
		}
		t.lab.Record("%s runs %s", instance, id)
		framing, last := fmt.Sprintf("Content-Length: %d", len(answerOf(id))), t.isUnframed()
		if last {
			framing = "Connection: close"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: s.%s\r\n%s\r\n\r\n", id, instance, framing)
		for line := range strings.Lines(answerOf(id)) {
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
			time.Sleep(partPause)
		}
		if last {
			return
		}
	}
}

func main() { os.Exit(lab2.Run(os.Args[1], play)) }

func play(l *lab2.Lab) (broken bool, err error) {
	var all []*target
	for i := range targets {
		t := &target{name: fmt.Sprintf("i-%d", i), zone: "callao", lab: l}
		if i < crashing {
			t.zone, t.unframed = "ate", true
		}
		if err := t.start(); err != nil {
			return false, err
		}
		l.OnClose(t.crash)
		all = append(all, t)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(checkIn):
			}
			for _, t := range all {
				t.write()
			}
		}
	}()
	err = l.WriteConfig(lab2.Values{
		"version": 7,
		"routes": []lab2.Values{{"name": "r-1", "host": host, "prefix": "/status/", "kind": "safe", "timeout_ms": 12000, "latency_target_ms": 8000,
			"priority": 2, "service": "plan-llm", "max_attempts": 2, "public": false}},
		"services": []lab2.Values{{"name": "plan-llm", "health_path": "/health", "max_conns": 370}},
		"limits":   lab2.Values{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []lab2.Values{{"name": "huka270", "api_keys": []string{key}}},
	})
	if err != nil {
		return false, err
	}
	var entries []*lab2.Entry
	for _, zone := range []string{"ate", "callao", "lurin"} {
		e, err := l.StartEntry("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts, incomplete, cut := map[int]int{}, 0, 0
	end := time.Now().Add(length)
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(n) * 37 * time.Millisecond)
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%02d%014d", n, i)
				h := http.Header{"Ragworthitch-Request-Id": {id}, "Ragworthitch-Deadline-Ms": {"12000"}, "Ragworthitch-Key": {key}}
				a := lab2.Ask(entries[0].Addr, http.MethodGet, host, "/status/1", h, nil, 14*time.Second)
				mu.Lock()
				counts[a.Status]++
				l.Record("request %s got %d, complete %v, %d of %d bytes, %v", id, a.Status, a.Complete, len(a.Body), len(answerOf(id)), a.Err)
				switch {
				case a.Status != http.StatusOK:
				case !a.Complete:
					incomplete++
				case string(a.Body) != answerOf(id):
					cut++
					l.Record("MIXED: request %s got a complete 200 (Content-Length %q) that is not the server's whole body: %q", id, a.Header.Get("Content-Length"), a.Body)
				}
				mu.Unlock()
				if a.Status != http.StatusOK {
					time.Sleep(retryPause)
				}
			}
		}()
	}
	for l.Trouble && time.Now().Add(roundInterval).Before(end) {
		time.Sleep(roundInterval - freezeTime)
		wake := time.Now().Add(freezeTime)
		if err := entries[0].Signal(syscall.SIGSTOP); err != nil {
			return false, err
		}
		l.Record("%s stands still", entries[0].Name)
		time.Sleep(crashAfter)
		for _, t := range all[:crashing] {
			t.crash()
		}
		l.Record("the targets of zone ate crash")
		time.Sleep(downTime)
		for _, t := range all[:crashing] {
			if err := t.start(); err != nil {
				return false, err
			}
		}
		l.Record("the targets of zone ate start again, under new ids")
		time.Sleep(time.Until(wake))
		if err := entries[0].Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
		l.Record("%s goes on", entries[0].Name)
	}
	wg.Wait()
	l.Record("answers by status: %v; %d cut short and seen to be; %d cut short that look complete", counts, incomplete, cut)
	return cut > 0, nil
}
