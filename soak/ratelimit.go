package soak

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minRateLimit and maxRateLimit bound the drawn limits, in requests a second.
	minRateLimit = 0.5
	maxRateLimit = 8
	// The operator's bounds: from rateLimitNotice after a target first named a limit, it
	// gets at most rateLimitTolerance times what the limit allows in any rateLimitSpan, and
	// rateLimitExtra attempts besides, from instances that passed on an answer of the
	// target at least toldBefore earlier.
	rateLimitNotice    = 3 * time.Second
	rateLimitSpan      = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitExtra     = 5
	toldBefore         = 500 * time.Millisecond
	// maxRateLimitDuration leaves several spans that are checked.
	maxRateLimitDuration = 20 * time.Second
)

// drawRateLimits draws rate limits of one target or, in every other plan, of all targets of
// its service.
func (d *planDrawer) drawRateLimits(end time.Duration) []Fault {
	begin := startMargin + d.drawDuration((end-startMargin)/8)
	f := Fault{Kind: KindRateLimit, AtMs: int(begin.Milliseconds()), ForMs: int(min(end-begin, maxRateLimitDuration).Milliseconds())}
	first := d.size.targets()[d.rng.IntN(len(d.size.targets()))]
	wholeService := d.rng.IntN(2) == 0
	var out []Fault
	for _, t := range d.size.targets() {
		if t == first || wholeService && t.service == first.service {
			f.From, f.Rate = t.name, minRateLimit+(maxRateLimit-minRateLimit)*d.rng.Float64()
			out = append(out, f)
		}
	}
	return out
}

// limitRate makes a target name a rate limit for the duration of the fault. The request is
// not retried, as in loseAnswers.
func (x *execution) limitRate(ctx context.Context, t *target, f Fault) error {
	resp, err := x.operator.http.Post(fmt.Sprintf("http://%s%s?ms=%d&rate=%v", t.currentConfig().Listen, pathRateLimit, f.ForMs, f.Rate), "", nil)
	if err == nil {
		resp.Body.Close()
	}
	clock.Sleep(ctx, f.Duration())
	return nil
}

// nameRateLimit serves pathRateLimit.
func (t *Target) nameRateLimit(_ http.ResponseWriter, r *http.Request) {
	d, rate := time.Duration(mustAtoi(r.FormValue("ms")))*time.Millisecond, r.FormValue("rate")
	perSecond, err := strconv.ParseFloat(rate, 64)
	if err != nil {
		panic(err) // the soak itself sent it
	}
	t.standIn.NameRateLimit(rate)
	t.writeRecord(Record{Kind: RecordLimited, Rate: perSecond, Until: time.Now().Add(d).UnixNano()})
	time.AfterFunc(d, func() { t.standIn.NameRateLimit("") })
}

// checkRateLimits checks that targets got no more attempts than the limits that they named.
func (c *checker) checkRateLimits() {
	for _, l := range c.history.Records {
		if l.Kind != RecordLimited {
			continue
		}
		allowed := rateLimitTolerance*l.Rate*rateLimitSpan.Seconds() + rateLimitExtra
		times := c.attemptsOfTold(l)
		for first, i := 0, 0; i < len(times); i++ {
			for times[i]-times[first] >= int64(rateLimitSpan) {
				first++
			}
			if n := i - first + 1; float64(n) > allowed {
				c.addViolation(RuleRateLimit, times[i], "target %s named a limit of %.1f a second and got %d attempts in %v; allowed %.0f", l.Target, l.Rate, n, rateLimitSpan, allowed)
				break
			}
		}
	}
}

// attemptsOfTold returns the times of the attempts that count against a limit, in order.
func (c *checker) attemptsOfTold(l Record) []int64 {
	told := c.instancesTold(l)
	end := l.Until
	for _, r := range c.history.Records {
		if (r.Kind == RecordLimited || r.Kind == RecordBooted) && r.Target == l.Target && r.At > l.At {
			end = min(end, r.At)
		}
	}
	var times []int64
	for _, r := range c.history.Records {
		call := c.calls[r.Call]
		if r.Kind != RecordStarted || r.Target != l.Target || call == nil || r.At < l.At+int64(rateLimitNotice) || r.At > end {
			continue
		}
		at, ok := told[bootOf(call)]
		if ok && at+int64(toldBefore) <= r.At && c.instanceCalm(call.Entry, r.At) {
			times = append(times, r.At)
		}
	}
	slices.SortFunc(times, cmp.Compare[int64])
	return times
}

// instancesTold returns when each process of an instance had first passed on an answer with
// the limit.
func (c *checker) instancesTold(l Record) map[string]int64 {
	told := map[string]int64{}
	for _, r := range c.history.Records {
		call := c.calls[r.Call]
		if r.Kind != RecordStarted || r.Target != l.Target || r.At < l.At || call == nil || !call.Complete || call.Stamp != "stamp-"+l.Target {
			continue
		}
		if at, ok := told[bootOf(call)]; !ok || call.EndedAt < at {
			told[bootOf(call)] = call.EndedAt
		}
	}
	return told
}

// bootOf names the process of an instance that took a call.
func bootOf(call *Call) string { return fmt.Sprint(call.Entry, "/", call.Boot) }

// instanceCalm reports whether no fault hit the instance or one of its links shortly before.
func (c *checker) instanceCalm(entry string, at int64) bool {
	return !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool {
		return (t.From == entry || t.To == entry) && t.overlaps(at-int64(entrySettleTime), at)
	})
}
