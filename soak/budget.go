package soak

import (
	"cmp"
	"slices"
	"time"
)

const (
	// remainingTolerance is how much longer than its caller a target may be told to work.
	remainingTolerance = 500 * time.Millisecond
	// The operator's bounds on attempts that give a target too much time: at most
	// maxOverlongAttempts, or this share of the counted ones.
	maxOverlongAttempts = 20
	maxOverlongShare    = 0.2
	// maxCallsOverAttempts is the operator's bound on calls that run at more targets than their
	// routes allow.
	maxCallsOverAttempts = 3
)

// arrivalsByCall returns the arrivals at targets of each call whose caller recorded it, in
// their order.
func (c *checker) arrivalsByCall() map[string][]Record {
	out := map[string][]Record{}
	for _, r := range c.history.Records {
		if r.Kind == RecordArrived && c.calls[r.Call] != nil {
			out[r.Call] = append(out[r.Call], r)
		}
	}
	for _, arrivals := range out {
		slices.SortFunc(arrivals, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	}
	return out
}

// serviceOf returns the service of a call's route.
func serviceOf(call *Call) string {
	if call.Kind == CallStream {
		return serviceLLM
	}
	return serviceApp
}

// checkRetryBudget checks that in no window a service got more arrivals beyond the first of
// each call than the retry budget allows for the calls of that window, of the one before or
// of the one half a window before.
func (c *checker) checkRetryBudget() {
	calls, retries := map[string][]int64{}, map[string][]int64{}
	for i := range c.history.Calls {
		call := &c.history.Calls[i]
		calls[serviceOf(call)] = append(calls[serviceOf(call)], call.SentAt)
	}
	for id, arrivals := range c.arrivalsByCall() {
		for _, r := range arrivals[1:] {
			service := serviceOf(c.calls[id])
			retries[service] = append(retries[service], r.At)
		}
	}
	d := c.history.Deployment
	for service, times := range retries {
		slices.Sort(times)
		slices.Sort(calls[service])
		for first, at := range times {
			count := countBetween(times, at, at+int64(retryBudgetWindow))
			allowed := d.budgetRatio()*float64(maxCallsAround(calls[service], at)) + d.budgetExtra()
			if float64(count) > allowed {
				c.addViolation(RuleRetryBudget, at, "service %s got %d retries in %v, from its %dth on; allowed %.1f", service, count, retryBudgetWindow, first+1, allowed)
				break
			}
		}
	}
}

// maxCallsAround returns the largest number of calls in the window that starts at a time, in
// the one before it and in the one half a window before it.
func maxCallsAround(sorted []int64, start int64) int {
	most := 0
	for _, shift := range []time.Duration{0, retryBudgetWindow / 2, retryBudgetWindow} {
		from := start - int64(shift)
		most = max(most, countBetween(sorted, from, from+int64(retryBudgetWindow)))
	}
	return most
}

// countBetween counts the times in an interval, which does not include its end.
func countBetween(sorted []int64, from, to int64) int {
	first, _ := slices.BinarySearch(sorted, from)
	end, _ := slices.BinarySearch(sorted, to)
	return end - first
}

// checkMaxAttempts counts the calls that ran at more targets than their route allows. Targets
// that ended or were unreachable meanwhile do not count.
func (c *checker) checkMaxAttempts() {
	over, lastAt := 0, int64(0)
	for id, attempts := range c.attempts {
		call := c.calls[id]
		if call == nil {
			continue
		}
		ran := map[string]bool{}
		for _, r := range attempts {
			if !c.targetDisturbed(r, call) {
				ran[r.Target] = true
			}
		}
		if len(ran) > c.history.Deployment.maxAttempts() {
			over, lastAt = over+1, max(lastAt, call.EndedAt)
		}
	}
	if over > maxCallsOverAttempts {
		c.addViolation(RuleMaxAttempts, lastAt, "%d calls ran at more than %d targets; allowed %d", over, c.history.Deployment.maxAttempts(), maxCallsOverAttempts)
	}
}

// targetDisturbed reports whether a target that ran a call ended or was unreachable meanwhile.
func (c *checker) targetDisturbed(r Record, call *Call) bool {
	crashed := slices.ContainsFunc(c.history.Records, func(o Record) bool {
		return o.Kind == RecordCrashed && o.Target == r.Target && o.At >= call.SentAt && o.At <= call.EndedAt
	})
	return crashed || slices.ContainsFunc(c.history.Faults, func(f InjectedFault) bool {
		return (f.isLinkFault() || slices.Contains(losingKinds, f.Kind)) && f.affects(r.Node, call.Entry) && f.overlaps(call.SentAt, call.EndedAt)
	})
}

// checkRemaining checks that targets are given no more time than the caller has left.
func (c *checker) checkRemaining() {
	counted, overlong, lastAt := 0, 0, int64(0)
	for id, arrivals := range c.arrivalsByCall() {
		call := c.calls[id]
		firstEnd := max(arrivals[0].deadline(), call.SentAt+int64(call.Timeout))
		for i, r := range arrivals {
			if !c.entryUndisturbed(call.Entry, call.SentAt-int64(entrySettleTime), call.EndedAt) {
				continue
			}
			sentAgainLate := i > 0 && r.At > arrivals[0].At+int64(remainingTolerance)
			tooLong := r.RemainingMs == 0 || r.remaining() > call.Timeout+remainingTolerance ||
				sentAgainLate && r.deadline() > firstEnd+int64(remainingTolerance)
			if tooLong {
				overlong, lastAt = overlong+1, max(lastAt, r.At)
			}
			if tooLong || sentAgainLate {
				counted++
			}
		}
	}
	if overlong > maxOverlongAttempts && float64(overlong) > maxOverlongShare*float64(counted) {
		c.addViolation(RuleRemaining, lastAt, "%d of %d attempts gave targets more time than was left; allowed %d", overlong, counted, maxOverlongAttempts)
	}
}

// remaining returns the time that the target was given.
func (r Record) remaining() time.Duration { return time.Duration(r.RemainingMs) * time.Millisecond }

// deadline returns the Unix ns until which the target may work.
func (r Record) deadline() int64 { return r.At + int64(r.remaining()) }

// recordArrival records a call that the target has received.
func (t *Target) recordArrival(call string, remaining time.Duration) {
	t.writeRecord(Record{Kind: RecordArrived, Call: call, RemainingMs: remaining.Milliseconds()})
}
