package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	orderDuration = 16 * time.Second // as in the site's days
	exposeShare   = 0.1              // expose_share
	exposeSlack   = 50               // expose_slack
	rollbackBound = 5 * time.Second  // rollback_ms
	badForRule    = 50               // bad answers from which rollbackBound counts
	badPrefix     = "/invoice/"      // the version is "bad [...] on one route only"
	badEvery      = 30               // one request in so many is on that route
	// leaveDelay is the time from `rolled_back` to the planned shutdown of the new servers,
	// "some seconds later".
	leaveDelay = 8 * time.Second
	callers    = 40
)

func init() { cases["rollout"] = secondOrder }

// secondOrder orders a bad version and, once that is rolled back, another one.
func secondOrder(r *rig, trouble bool) error {
	routes := []map[string]any{route("status", "/status/", "safe", 800*time.Millisecond), route("invoice", badPrefix, "safe", 800*time.Millisecond)}
	if _, err := r.configure(state(7, routes, []map[string]any{tenant("huka270", heldKey)})); err != nil {
		return err
	}
	start := func(version string, flags ...string) ([]*proc, error) {
		var out []*proc
		for i := range 3 {
			p, err := r.startServer(fmt.Sprintf("%s-%d", version, i), service, append(flags, "-version", version, "-work", "80ms")...)
			if err != nil {
				return nil, err
			}
			out = append(out, p)
		}
		return out, nil
	}
	if _, err := start("v1"); err != nil {
		return err
	}
	if err := r.startEntries(2); err != nil {
		return err
	}
	traffic := r.startTraffic()
	time.Sleep(contactTime)
	bad, err := r.rollOut("v2", func() ([]*proc, error) { return start("v2", "-bad", badPrefix) })
	if err != nil {
		return err
	}
	orderedAt := time.Now()
	if err := r.await("rolled_back", func() bool { return r.rolloutState() == "rolled_back" }); err != nil {
		return err
	}
	r.recordf("status/rollout/%s: rolled_back", service)
	rolledBackAt := time.Now()
	if trouble {
		if _, err := r.rollOut("v3", func() ([]*proc, error) { return start("v3") }); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(rolledBackAt.Add(leaveDelay)))
	for _, p := range bad {
		r.signal(p, syscall.SIGTERM)
	}
	time.Sleep(time.Until(orderedAt.Add(orderDuration)))
	traffic.stop()
	return r.judgeExposure(orderedAt, traffic.sent)
}

// rollOut starts the servers of a version and orders it.
func (r *rig) rollOut(version string, start func() ([]*proc, error)) ([]*proc, error) {
	err := put(r.store, "op", "rollout/"+service, map[string]any{"service": service, "to": version, "duration_s": orderDuration.Seconds()})
	r.recordf("the store acknowledges op/rollout/%s: to %s", service, version)
	if err != nil {
		return nil, err
	}
	return start()
}

// rolloutState returns the state that the operator reads.
func (r *rig) rolloutState() string {
	page, err := platform.NewStore(r.store).ReadAll(context.Background(), platform.Range{Table: "status", From: "rollout/" + service})
	if err != nil || len(page.Rows) == 0 {
		return ""
	}
	var status struct{ State string }
	_ = json.Unmarshal(page.Rows[0].Value, &status)
	return status.State
}

// traffic is the requests of consumers, at both entry instances.
type traffic struct {
	done chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	sent []time.Time
}

func (r *rig) startTraffic() *traffic {
	t := &traffic{done: make(chan struct{})}
	for i := range callers {
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			for n := 0; ; n++ {
				select {
				case <-t.done:
					return
				case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
				}
				t.mu.Lock()
				t.sent = append(t.sent, time.Now())
				t.mu.Unlock()
				e, target := r.entries[n%len(r.entries)], "/status/1"
				if rand.IntN(badEvery) == 0 {
					target = badPrefix + "1"
				}
				q := request{id: fmt.Sprintf("s-%d-%d", i, n), method: "GET", target: target, key: heldKey, timeout: consumerTime}
				r.recordf("consumer gets for request %s, %s %s: %s", q.id, q.method, q.target, e.exchange(q))
			}
		}()
	}
	return t
}

func (t *traffic) stop() {
	close(t.done)
	t.wg.Wait()
}

// judgeExposure checks EXPOSURE for version v2.
func (r *rig) judgeExposure(orderedAt time.Time, sent []time.Time) error {
	r.mu.Lock()
	runs := r.runs
	r.mu.Unlock()
	all, exposed, bad := 0, 0, 0
	var fiftieth, last time.Time
	for _, at := range sent {
		if at.After(orderedAt) {
			all++
		}
	}
	for _, run := range runs {
		if run.Version != "v2" {
			continue
		}
		at := time.UnixMilli(run.AtMs)
		exposed++
		if run.Bad {
			bad++
		}
		if bad == badForRule && run.Bad {
			fiftieth = at
		}
		last = at
	}
	bound := exposeShare*float64(all) + exposeSlack
	r.recordf("of %d requests since the order, %d reached the bad version, which may get %.0f; %d of its answers were failures; its last request came %v after the order",
		all, exposed, bound, bad, last.Sub(orderedAt))
	if float64(exposed) > bound {
		return fmt.Errorf("%w: the bad version got %d of %d requests, more than %.0f", errBroken, exposed, all, bound)
	}
	if bad >= badForRule && last.Sub(fiftieth) > rollbackBound {
		return fmt.Errorf("%w: the bad version got a request %v after its 50th bad answer", errBroken, last.Sub(fiftieth))
	}
	return nil
}
