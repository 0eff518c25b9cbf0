package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	planTimeout  = 25 * time.Second
	planPrefill  = time.Second // of 8,000 tokens, 8 of which are read in a ms
	planGap      = 35 * time.Millisecond
	planEvents   = 60
	planHeader   = "Content-Length: 0\r\nRagworthitch-Model: m\r\nRagworthitch-Token-Count: 8000,1000\r\nRagworthitch-Prompt-Prefix: 5c1e07a2:200,%x:7800\r\n"
	planInterval = 500 * time.Millisecond
	freezeTime   = 3500 * time.Millisecond
	downTime     = time.Second
	recoverBound = 12 * time.Second // recover_s
	recoverShare = 0.25
	phaseTime    = 8 * time.Second
)

func init() { cases["recover"] = frozenAfterStart }

// frozenAfterStart kills the process of the entry instance, and freezes its machine while the
// first streams after the start run.
func frozenAfterStart(r *rig, trouble bool) error {
	plan := route("plan", "/plan/", "streaming", planTimeout)
	plan["resumable"], plan["max_attempts"], plan["latency_target_ms"], plan["gap_target_ms"] = true, 5, 4500, 700
	desired := state(7, []map[string]any{plan}, []map[string]any{tenant("huka270", heldKey)})
	desired["services"] = []map[string]any{{"name": service, "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity": 88000, "stride": 10, "moves": false, "backups": false, "models": []map[string]any{{"name": "m"}}}}}
	if _, err := r.configure(desired); err != nil {
		return err
	}
	for i := range 3 {
		if _, err := r.startServer(fmt.Sprint("i-", i), service, "-prefill", planPrefill.String(), "-gap", planGap.String(), "-events", fmt.Sprint(planEvents)); err != nil {
			return err
		}
	}
	if err := r.startEntries(1); err != nil {
		return err
	}
	e := r.entries[0]
	before := r.sendPlans(e, "before", phaseTime)
	if before < recoverShare {
		return fmt.Errorf("only %.2f of the streams are served before the fault", before)
	}
	if trouble {
		r.signal(e.proc, syscall.SIGKILL)
		<-e.proc.done
		time.Sleep(downTime)
		if err := r.startEntry(e); err != nil {
			return err
		}
		if err := r.await("readiness", e.isReady); err != nil {
			return err
		}
		r.recordf("the entry instance is ready again")
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		r.sendPlans(e, "during", phaseTime)
	}()
	if trouble {
		if err := r.await("the first run", func() bool { return len(r.ranWith("during-0")) > 0 }); err != nil {
			return err
		}
		r.signal(e.proc, syscall.SIGSTOP)
		time.Sleep(freezeTime)
		r.signal(e.proc, syscall.SIGCONT)
	}
	back := time.Now()
	wg.Wait()
	time.Sleep(time.Until(back.Add(recoverBound)))
	after := r.sendPlans(e, "after", phaseTime)
	if after < recoverShare {
		return fmt.Errorf("%w: %.2f of the streams are served later than %v after the machine is back, %.2f before", errBroken, after, recoverBound, before)
	}
	return nil
}

// sendPlans sends streams for a while and returns the share that is served.
func (r *rig) sendPlans(e *entry, name string, d time.Duration) float64 {
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(planInterval) {
		id := fmt.Sprintf("%s-%d", name, sent)
		q := request{id: id, method: "POST", target: "/plan/1", key: heldKey, header: fmt.Sprintf(planHeader, time.Now().UnixNano()), timeout: planTimeout}
		sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			if a := r.send(e, q); a.status == 200 && a.complete {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		}()
	}
	wg.Wait()
	r.recordf("%s: %d of %d streams are served", name, served, sent)
	return float64(served) / float64(sent)
}
