package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// The operator's bounds: from backoffNotice after a target asked an instance for a
	// backoff to its end, the target gets at most backoffExtra calls from the instance.
	backoffNotice = 500 * time.Millisecond
	backoffExtra  = 2
	// Bounds of the drawn backoffs, and of the time for which a target asks for them.
	minBackoff         = 600 * time.Millisecond
	maxBackoff         = 5 * time.Second
	maxBackoffDuration = 12 * time.Second
	// backoffLostTime is how long before and after an answer a fault of its target may lose
	// it.
	backoffLostTime = time.Second

	maxDrainingDuration = 10 * time.Second

	pathBackoff  = "/soak/backoff"  // rejects calls and asks for backoffs; parameters ms, backoff
	pathDraining = "/soak/draining" // says in all answers that the target is draining
)

// losingKinds are the faults of a target that may lose a rejection. Those that concern its
// answers don't: a rejected call has none.
var losingKinds = []string{KindPause, KindKill, KindNewAddress, KindReuseAddress, KindClockStep}

// drawBackoffs draws a time in which one target or, in every other plan, all targets of its
// service reject all calls and ask for a backoff.
func (d *planDrawer) drawBackoffs(end time.Duration) []Fault {
	at := startMargin + d.drawDuration((end-startMargin)/4)
	f := Fault{Kind: KindBackoff, AtMs: int(at.Milliseconds()), ForMs: int(min(end-at, time.Second+d.drawDuration(maxBackoffDuration/2)).Milliseconds())}
	targets := d.size.targets()
	first := targets[d.rng.IntN(len(targets))]
	wholeService := d.rng.IntN(2) == 0
	var out []Fault
	for _, t := range targets {
		if t == first || wholeService && t.service == first.service {
			f.From = t.name
			f.BackoffMs = int((minBackoff + time.Duration(d.rng.Int64N(int64(maxBackoff-minBackoff)))).Milliseconds())
			out = append(out, f)
		}
	}
	return out
}

// drawDraining draws one engine and one plain service whose answers say that they are draining,
// long before their rows do.
func (d *planDrawer) drawDraining(end time.Duration) []Fault {
	var out []Fault
	for _, service := range []string{serviceLLM, serviceApp} {
		targets := slices.DeleteFunc(d.size.targets(), func(t targetSpec) bool { return t.service != service })
		at := startMargin + d.drawDuration((end-startMargin)/4)
		out = append(out, Fault{Kind: KindDraining, AtMs: int(at.Milliseconds()), From: targets[d.rng.IntN(len(targets))].name,
			ForMs: int(min(end-at, 3*time.Second+d.drawDuration(maxDrainingDuration/2)).Milliseconds())})
	}
	return out
}

// post sends a target a request of the soak. It is not retried, as in loseAnswers.
func (x *execution) post(t *target, path string) {
	resp, err := x.operator.http.Post("http://"+t.currentConfig().Listen+path, "", nil)
	if err == nil {
		resp.Body.Close()
	}
}

// askBackoffs makes a target reject all calls and ask for backoffs for the duration of the
// fault.
func (x *execution) askBackoffs(ctx context.Context, t *target, f Fault) error {
	x.post(t, fmt.Sprintf("%s?ms=%d&backoff=%d", pathBackoff, f.ForMs, f.BackoffMs))
	clock.Sleep(ctx, f.Duration())
	return nil
}

// sayDraining makes a target say in its answers that it is draining, and stops it after the
// duration of the fault.
func (x *execution) sayDraining(ctx context.Context, t *target, f Fault) error {
	x.post(t, pathDraining)
	clock.Sleep(ctx, f.Duration())
	f.ForMs = 0
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	return x.drainTarget(ctx, t, f)
}

// startBackoffs serves pathBackoff.
func (t *Target) startBackoffs(_ http.ResponseWriter, r *http.Request) {
	t.standIn.AskBackoff(time.Duration(mustAtoi(r.FormValue("backoff"))) * time.Millisecond)
	time.AfterFunc(time.Duration(mustAtoi(r.FormValue("ms")))*time.Millisecond, func() { t.standIn.AskBackoff(0) })
}

// recordBackoff records a call that the target rejects with a backoff.
func (t *Target) recordBackoff(call string, backoff time.Duration) {
	t.writeRecord(Record{Kind: RecordBackoff, Call: call, Until: time.Now().Add(backoff).UnixNano()})
}

// checkDrainingAnswers checks that targets get no calls through instances that have passed on
// an answer which says that the target is draining.
func (c *checker) checkDrainingAnswers() {
	type told struct{ boot, target string }
	toldAt := map[told]int64{}
	for _, call := range c.history.Calls {
		k := told{bootOf(&call), call.Stamp}
		if at, ok := toldAt[k]; call.SaysDraining && call.Stamp != "" && (!ok || call.EndedAt < at) {
			toldAt[k] = call.EndedAt
		}
	}
	for _, r := range c.history.Records {
		call := c.calls[r.Call]
		if r.Kind != RecordStarted && r.Kind != RecordBackoff || call == nil {
			continue
		}
		at, ok := toldAt[told{bootOf(call), "stamp-" + r.Target}]
		if ok && call.SentAt > at+int64(drainPeriod) && !c.paused(call.Entry, at, r.At) && !c.startedAnew(r.Target, at, r.At) {
			c.addViolation(RuleDrain, r.At, "call %s reached %s %.1f s after an answer had told %s that it is draining", r.Call, r.Target, seconds(call.SentAt-at), call.Entry)
		}
	}
}

// paused reports whether an instance was paused in an interval.
func (c *checker) paused(entry string, from, to int64) bool {
	return slices.ContainsFunc(c.history.Faults, func(f InjectedFault) bool {
		return f.Kind == KindPause && f.From == entry && f.overlaps(from, to)
	})
}

// startedAnew reports whether a target started again, with its id, in an interval.
func (c *checker) startedAnew(target string, from, to int64) bool {
	return slices.ContainsFunc(c.history.Records, func(r Record) bool {
		return r.Kind == RecordBooted && r.Target == target && r.At > from && r.At <= to
	})
}

// checkBackoffs checks that targets get the backoffs that they asked instances for.
func (c *checker) checkBackoffs() {
	arrivals := map[string][]Record{} // by target
	for _, r := range c.history.Records {
		if (r.Kind == RecordStarted || r.Kind == RecordBackoff) && c.calls[r.Call] != nil {
			arrivals[r.Target] = append(arrivals[r.Target], r)
		}
	}
	for _, asked := range c.history.Records {
		call := c.calls[asked.Call]
		if asked.Kind != RecordBackoff || call == nil || c.mayLoseAnswer(asked, call) {
			continue
		}
		n := 0
		for _, r := range arrivals[asked.Target] {
			if c.startedAnew(asked.Target, asked.At, r.At) {
				break
			}
			if r.At > asked.At+int64(backoffNotice) && r.At < asked.Until && bootOf(c.calls[r.Call]) == bootOf(call) && !c.paused(call.Entry, asked.At, r.At) {
				n++
			}
		}
		if n > backoffExtra {
			c.addViolation(RuleBackoff, asked.At, "target %s asked %s for a backoff of %.1f s and got %d calls in it; allowed %d", asked.Target, call.Entry, seconds(asked.Until-asked.At), n, backoffExtra)
		}
	}
}

// mayLoseAnswer reports whether a fault of the target or of its link to the instance may have
// lost a rejection.
func (c *checker) mayLoseAnswer(r Record, call *Call) bool {
	from, to := r.At-int64(backoffLostTime), r.At+int64(backoffLostTime)
	return slices.ContainsFunc(c.history.Faults, func(f InjectedFault) bool {
		return (f.isLinkFault() || slices.Contains(losingKinds, f.Kind)) && f.affects(r.Node, call.Entry) && f.overlaps(from, to)
	})
}
