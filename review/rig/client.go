package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a consumer got.
type answer struct {
	status   int
	body     int  // bytes
	complete bool // the body ended as its framing says
	err      error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d with a body of %d bytes, complete by its framing: %v", a.status, a.body, a.complete)
}

// request is a consumer's request, sent on a channel of its own.
type request struct {
	id, method, target, key string
	header                  string // further lines
	timeout                 time.Duration
}

// send sends a request to an entry instance and reads the whole answer.
func (r *rig) send(e *entry, q request) answer {
	r.recordf("consumer sends request %s: %s %s, key %q", q.id, q.method, q.target, q.key)
	a := e.exchange(q)
	r.recordf("consumer gets for request %s: %s", q.id, a)
	return a
}

func (e *entry) exchange(q request) answer {
	c, err := net.Dial("tcp", e.front)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(q.timeout)); err != nil {
		return answer{err: err}
	}
	key := ""
	if q.key != "" {
		key = "Ragworthitch-Key: " + q.key + "\r\n"
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nRagworthitch-Request-Id: %s\r\nRagworthitch-Deadline-Ms: %d\r\n%s%s\r\n",
		q.method, q.target, q.id, q.timeout.Milliseconds(), key, q.header)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{status: resp.StatusCode, body: int(n), complete: err == nil, err: err}
}
