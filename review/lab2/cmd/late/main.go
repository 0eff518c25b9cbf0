// Command late is a case of the second review: a target's last check-in before it leaves is
// carried out by the store seconds after the target's entry was removed.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/review/lab2"
)

const (
	host    = "ficu95.example"
	path    = "/quote/1"
	key     = "xd9dnn2ctnfzs989anu6"
	work    = 120 * time.Millisecond // of a request
	callers = 6
	// checkIn is the time between two writes of a target's entry (heartbeat_ms), and drain the
	// bound drain_ms.
	checkIn = 1200 * time.Millisecond
	drain   = 2 * time.Second
	// writeDelay is how late the store carries out the check-in whose answer was lost. The
	// bench's platform_lost with the variant late takes 1 to 6 s.
	writeDelay = 5 * time.Second
	// servesOn is how long the target serves after its entry was removed: drain_ms "and a little
	// longer (at times many seconds)". lapse is the silence after which the store removes an entry.
	servesOn = 7 * time.Second
	lapse    = 3 * checkIn
)

type (
	// target is a plain server.
	target struct {
		id string
		ln net.Listener

		mu       sync.Mutex
		arrivals []arrival
		open     map[net.Conn]bool
	}

	// arrival is a request that reached a target.
	arrival struct {
		id string
		at time.Time
	}

	// outcome is what a caller got for a request.
	outcome struct {
		status int
		err    error
	}
)

func (t *target) serve() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.open[c] = true
		t.mu.Unlock()
		go t.serveConn(c)
	}
}

func (t *target) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Ragworthitch-Request-Id")
		switch {
		case req.Header.Get("Ragworthitch-Expect-Instance") != t.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		case req.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
			continue
		}
		t.mu.Lock()
		t.arrivals = append(t.arrivals, arrival{id, time.Now()})
		t.mu.Unlock()
		time.Sleep(work)
		body := "quote " + id
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Server-Stamp: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, t.id, len(body), body); err != nil {
			return
		}
	}
}

// exit ends the target: it closes its port and its connections.
func (t *target) exit() {
	t.ln.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		c.Close()
	}
}

func (t *target) row(sequence int) lab2.Values {
	return lab2.Values{"service": "desk-app", "address": t.ln.Addr().String(), "zone": "ate", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": sequence}
}

func main() { os.Exit(lab2.Run(os.Args[1], play)) }

func newTarget(l *lab2.Lab, id string) (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, ln: ln, open: map[net.Conn]bool{}}
	l.OnClose(func() { t.exit() })
	go t.serve()
	return t, nil
}

func play(l *lab2.Lab) (broken bool, err error) {
	stays, err := newTarget(l, "i-stays")
	if err != nil {
		return false, err
	}
	leaves, err := newTarget(l, "i-leaves")
	if err != nil {
		return false, err
	}
	write := func(t *target, sequence int) {
		if err := l.Store.Write("servers", t.id, t.row(sequence)); err != nil {
			l.Record("entry not written: %v", err)
		}
	}
	err = l.WriteConfig(lab2.Values{
		"version": 7,
		"routes": []lab2.Values{{"name": "r-1", "host": host, "prefix": "/quote/", "kind": "unsafe", "timeout_ms": 800, "latency_target_ms": 150,
			"priority": 2, "service": "desk-app", "max_attempts": 1, "public": false}},
		"services": []lab2.Values{{"name": "desk-app", "health_path": "/health", "max_conns": 110}},
		"limits":   lab2.Values{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []lab2.Values{{"name": "huka270", "api_keys": []string{key}}},
	})
	if err != nil {
		return false, err
	}
	sequence := 1
	write(stays, sequence)
	write(leaves, sequence)
	done := make(chan struct{})
	var wg sync.WaitGroup
	defer func() {
		close(done)
		wg.Wait()
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 2; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(checkIn):
				write(stays, n)
			}
		}
	}()
	var entries []*lab2.Entry
	for i, zone := range []string{"ate", "callao"} {
		e, err := l.StartEntry(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	for n := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(60 * time.Millisecond):
				}
				id := fmt.Sprintf("%02d%014d", n, i)
				h := http.Header{"Ragworthitch-Request-Id": {id}, "Ragworthitch-Deadline-Ms": {"1500"}, "Ragworthitch-Key": {key}}
				a := lab2.Ask(entries[n%len(entries)].Addr, http.MethodPost, host, path, h, []byte("ask"), 2*time.Second)
				mu.Lock()
				outcomes[id] = outcome{a.Status, a.Err}
				mu.Unlock()
			}
		}()
	}
	for range 3 {
		time.Sleep(checkIn)
		sequence++
		write(leaves, sequence)
	}
	// The next check-in: the store sends no answer, and carries it out late.
	time.Sleep(checkIn)
	sequence++
	lateSequence, sentAt := sequence, time.Now()
	if l.Trouble {
		l.Record("check-in %d of i-leaves: the store's answer is lost; it is carried out %v later", lateSequence, writeDelay)
	} else {
		write(leaves, lateSequence)
		l.Record("check-in %d of i-leaves", lateSequence)
	}
	time.Sleep(checkIn)
	sequence++
	write(leaves, sequence)
	l.Record("check-in %d of i-leaves", sequence)
	time.Sleep(300 * time.Millisecond)
	l.Store.Delete("servers", leaves.id)
	removedAt := time.Now()
	l.Record("i-leaves leaves: its entry is removed, and it serves on for %v", servesOn)
	time.Sleep(time.Until(sentAt.Add(writeDelay)))
	if l.Trouble {
		write(leaves, lateSequence)
		l.Record("the store carries out check-in %d of i-leaves", lateSequence)
	}
	time.Sleep(time.Until(removedAt.Add(servesOn)))
	leaves.exit()
	exitedAt := time.Now()
	l.Record("i-leaves exits")
	time.Sleep(time.Until(sentAt.Add(writeDelay + lapse)))
	l.Store.Delete("servers", leaves.id)
	l.Record("the entry of i-leaves has lapsed")
	time.Sleep(2 * time.Second)

	leaves.mu.Lock()
	defer leaves.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for _, a := range leaves.arrivals {
		after := a.at.Sub(removedAt)
		if after < -time.Second {
			continue
		}
		o := outcomes[a.id]
		l.Record("request %s reached i-leaves %.3f s after its entry was removed; answered %d %v", a.id, after.Seconds(), o.status, o.err)
		if after > drain {
			late++
			if o.status != http.StatusOK {
				lost++
			}
		}
	}
	l.Record("DRAIN: %d requests reached i-leaves over %v after its entry was removed, and %d of them were lost as it exited at %.3f s", late, drain, lost, exitedAt.Sub(removedAt).Seconds())
	return late > 0, nil
}
