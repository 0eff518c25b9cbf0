package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/loopback"
)

const (
	maxEndlessDuration = 20 * time.Second
	pathEndless        = "/soak/endless" // answers without end; parameter ms

	// endlessTimeout is how long an instance may keep a connection on which a target sends
	// without end. It takes some ms, and as long as the head of an answer may take (2 s) if
	// the target sends slowly.
	endlessTimeout     = 2 * time.Second
	slowEndlessTimeout = 2*time.Second + endlessTimeout
)

// endlessParts are the endless answers of loopback.EndlessAnswers that a target sends, in
// turn. Those that only the deadline of a plain call ends are left out.
var endlessParts = []string{"head line", "informational heads", "slow head", "trailer", "status line", "informational fields", "chunk extension", "head fields", "slow informational head", "chunk extensions"}

// drawEndless draws one target in four that answers without end, and at least one.
func (d *planDrawer) drawEndless(end time.Duration) []Fault {
	at := startMargin + d.drawDuration((end-startMargin)/4)
	f := Fault{Kind: KindEndless, AtMs: int(at.Milliseconds()), ForMs: int(min(end-at, d.drawDuration(maxEndlessDuration/2)).Milliseconds())}
	f.From = d.targetName()
	out := []Fault{f}
	for _, t := range d.size.targets() {
		if t.name != out[0].From && d.rng.IntN(4) == 0 {
			f.From = t.name
			out = append(out, f)
		}
	}
	return out
}

// answerWithoutEnd makes a target answer without end for the duration of the fault. The
// request is not retried, as in loseAnswers.
func (x *execution) answerWithoutEnd(ctx context.Context, t *target, f Fault) error {
	resp, err := x.operator.http.Post(fmt.Sprintf("http://%s%s?ms=%d", t.currentConfig().Listen, pathEndless, f.ForMs), "", nil)
	if err == nil {
		resp.Body.Close()
	}
	clock.Sleep(ctx, f.Duration())
	return nil
}

// startEndless serves pathEndless.
func (t *Target) startEndless(_ http.ResponseWriter, r *http.Request) {
	t.endlessUntil.Store(int64(clock.Now().Add(time.Duration(mustAtoi(r.FormValue("ms"))) * time.Millisecond)))
}

// takeOver answers a call without end, if the target does so now.
func (t *Target) takeOver(call, stamp string) func(net.Conn) {
	if clock.Now() >= clock.Time(t.endlessUntil.Load()) {
		return nil
	}
	part := endlessParts[int(t.endlessAnswers.Add(1)-1)%len(endlessParts)]
	answers := loopback.EndlessAnswers(stamp)
	answer := answers[slices.IndexFunc(answers, func(a loopback.EndlessAnswer) bool { return a.Name == part })]
	return func(c net.Conn) {
		startedAt := clock.Now()
		answer.Send(c)
		t.writeRecord(Record{Kind: RecordEndless, Call: call, Answer: part, LastsMs: clock.Now().Sub(startedAt).Milliseconds()})
	}
}

// checkEndless checks that instances closed the connections on which targets answered
// without end, if no other fault concerned the instance, the target or their link.
func (c *checker) checkEndless() {
	for _, r := range c.history.Records {
		call := c.calls[r.Call]
		if r.Kind != RecordEndless || call == nil {
			continue
		}
		lasts, limit := time.Duration(r.LastsMs)*time.Millisecond, endlessTimeout
		if r.Answer == "slow head" || r.Answer == "slow informational head" {
			limit = slowEndlessTimeout
		}
		disturbed := func(f InjectedFault) bool {
			return f.Kind != KindEndless && f.Kind != KindRateLimit && f.Kind != KindBackoff && f.overlaps(r.At-int64(lasts), r.At) && (f.affects(call.Entry, nodeCallers) || f.affects(r.Node, call.Entry))
		}
		if lasts > limit && !slices.ContainsFunc(c.history.Faults, disturbed) {
			c.addViolation(RuleEndless, r.At, "call %s at %s: endless answer of %s (%s) was read for %.1f s", call.ID, call.Entry, r.Target, r.Answer, lasts.Seconds())
		}
	}
}
