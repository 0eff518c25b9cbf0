package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Guarantees that Check verifies.
const (
	RuleOrder       = "ORDER"    // a stream has all its events once, in order, and no events of other streams
	RuleAnswer      = "MIXED"    // an answer is complete and is the answer of the stamped target to this call
	RuleAtMostOnce  = "TWICE"    // an unsafe call runs at most once, and a stream at one target at a time
	RuleNotRun      = "NOTRUN"   // a call that is rejected as not run never runs
	RuleForwarding  = "UNASKED"  // targets get what callers sent, for the caller's organisation
	RuleRevoked     = "REVOKED"  // a removed key is rejected within revokeDelay
	RuleDenied      = "DENIED"   // a call that every version allows is never denied
	RuleConfigDelay = "CURRENT"  // a new version is in force within configDelay
	RuleReverted    = "REVERTED" // an instance does not return to an older version
	RuleDrain       = "DRAIN"    // draining targets get no new calls
	RuleShutdown    = "LOST"     // an instance completes its calls before it stops
	RuleDeadline    = "FINAL"    // every call ends by its deadline
	RuleExit        = "ALIVE"    // processes exit only when they are stopped, and in time
	RuleUsage       = "USAGE"    // memory and descriptors stay within limits
	RuleRecovery    = "BACK"     // calls are served again after the last fault

	RuleEndless = "ENDLESS" // a connection on which a target answers without end is closed

	RuleRateLimit = "LIMIT" // a target gets no more attempts than the rate limit that it names
	RuleBackoff   = "REST"  // a target gets the backoffs that it asks instances for

	RuleRetryBudget = "RETRIES"  // a service gets no more retries than its budget allows
	RuleMaxAttempts = "ATTEMPTS" // a call runs at no more targets than its route allows
	RuleRemaining   = "TIME"     // a target is given no more time than the caller has left

	RulePoison    = "DEADLY"    // a request that crashed crashesToQuarantine targets is not sent again
	RuleBystander = "BYSTANDER" // a request that crashed no target is not quarantined
)

const (
	// entrySettleTime is how long an instance may be affected after a fault: the time to
	// detect the end of the fault and to reconnect.
	entrySettleTime = 5 * time.Second
	// storeSettleTime is the same for faults of the store.
	storeSettleTime = 8 * time.Second
	// deadlineTolerance is how long after its deadline a call may end. It is shorter than
	// lateAnswerWait, so that late answers are seen.
	deadlineTolerance = time.Second
	// revertTolerance separates calls that can overlap in an instance, which may handle
	// them by either version.
	revertTolerance = 250 * time.Millisecond
	// drainTolerance covers the time from the choice of a target to the arrival of the call.
	drainTolerance = 300 * time.Millisecond
	// Calls that are sent recoveryTime after the last fault or later have to be served,
	// except for a share of 1-minServedShare.
	recoveryTime     = 5 * time.Second
	minServedShare   = 0.95
	minRecoveryCalls = 20 // with fewer calls, the share is not checked
	// maxOpenFiles is below the 4,100 descriptors of the smallest machines.
	maxOpenFiles = 4000
)

type (
	// Violation is a broken guarantee.
	Violation struct {
		Rule string
		At   int64 // Unix ns
		Text string
	}

	// checker indexes a history for the checks.
	checker struct {
		history    History
		calls      map[string]*Call
		attempts   map[string][]Record // RecordStarted records by call
		stalls     map[string][]Record // RecordStalled records by target
		violations []Violation
	}
)

// Check returns the violations in a history.
func Check(h History) []Violation {
	c := &checker{history: h, calls: map[string]*Call{}, attempts: map[string][]Record{}, stalls: map[string][]Record{}}
	for i := range h.Calls {
		c.calls[h.Calls[i].ID] = &h.Calls[i]
	}
	for _, r := range h.Records {
		switch r.Kind {
		case RecordStarted:
			c.attempts[r.Call] = append(c.attempts[r.Call], r)
		case RecordStalled:
			c.stalls[r.Target] = append(c.stalls[r.Target], r)
		}
	}
	for i := range h.Calls {
		c.checkAnswer(&h.Calls[i])
		c.checkDeadline(&h.Calls[i])
		c.checkShutdown(&h.Calls[i])
		c.checkDesiredState(&h.Calls[i])
		c.checkKey(&h.Calls[i])
		c.checkNeverValid(&h.Calls[i])
		c.checkNoKeys(&h.Calls[i])
		c.checkBystander(&h.Calls[i])
	}
	for id, attempts := range c.attempts {
		c.checkAttempts(id, attempts)
	}
	c.checkReverts()
	c.checkHandovers()
	c.checkDraining()
	c.checkDrainingAnswers()
	c.checkBackoffs()
	c.checkRetryBudget()
	c.checkMaxAttempts()
	c.checkRemaining()
	c.checkPoison()
	c.checkRateLimits()
	c.checkEndless()
	c.checkProcesses()
	c.checkRecovery()
	slices.SortFunc(c.violations, func(a, b Violation) int { return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Text, b.Text)) })
	return c.violations
}

func (c *checker) addViolation(rule string, at int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// checkAnswer checks the answer that a caller received.
func (c *checker) checkAnswer(call *Call) {
	if call.AnsweredCall != "" && call.AnsweredCall != call.ID {
		c.addViolation(RuleAnswer, call.EndedAt, "call %s got the answer to call %s", call.ID, call.AnsweredCall)
	}
	if call.Status != http.StatusOK {
		return
	}
	target := strings.TrimPrefix(call.Stamp, "stamp-")
	if target == "" || !slices.ContainsFunc(c.attempts[call.ID], func(r Record) bool { return r.Target == target }) {
		c.addViolation(RuleAnswer, call.EndedAt, "call %s: status 200 with stamp %q of a target that did not run the call", call.ID, call.Stamp)
	}
	if call.Kind == CallStream {
		c.checkEventOrder(call)
		return
	}
	if call.Complete && call.Body != plainAnswer(call.ID, target) {
		c.addViolation(RuleAnswer, call.EndedAt, "call %s: body %q is not the answer of target %s", call.ID, call.Body, target)
	}
}

func (c *checker) checkEventOrder(call *Call) {
	next := call.ResumeOffset + 1
	for i, id := range call.EventIDs {
		if id != next || call.EventTexts[i] != eventText(call.Subject, id) {
			c.addViolation(RuleOrder, call.EndedAt, "call %s: event %d %q in place of event %d", call.ID, id, call.EventTexts[i], next)
			return
		}
		next++
	}
	if call.Complete && next != call.TotalEvents+1 {
		c.addViolation(RuleOrder, call.EndedAt, "call %s: complete answer ends after event %d of %d", call.ID, next-1, call.TotalEvents)
	}
}

// checkAttempts checks the targets' records of a call.
func (c *checker) checkAttempts(id string, attempts []Record) {
	call := c.calls[id]
	if call == nil {
		return // the call was still running when the execution ended
	}
	if call.Kind == CallUnsafe && len(attempts) > 1 {
		c.addViolation(RuleAtMostOnce, attempts[1].At, "call %s ran at %s and %s", id, attempts[0].Target, attempts[1].Target)
	}
	if promisesNotRun(call.Status) {
		c.addViolation(RuleNotRun, attempts[0].At, "call %s was rejected with status %d and ran at %s", id, call.Status, attempts[0].Target)
	}
	want := serviceApp
	if call.Kind == CallStream {
		want = serviceLLM
	}
	for _, r := range attempts {
		if r.KeyPassed || r.Org != call.Org || r.Path != call.Path || r.ResumeOffset < call.ResumeOffset {
			c.addViolation(RuleForwarding, r.At, "call %s ran at %s with path %q, organisation %q, key passed %v, after event %d", id, r.Target, r.Path, r.Org, r.KeyPassed, r.ResumeOffset)
		}
		if r.Service != want {
			c.addViolation(RuleForwarding, r.At, "call %s ran at service %s", id, r.Service)
		}
	}
}

// promisesNotRun reports whether a status promises that the call has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkKey checks calls with keys that are added and removed.
func (c *checker) checkKey(call *Call) {
	if call.Kind != CallKey {
		return
	}
	for _, ch := range c.history.Changes {
		if ch.RevokedKey == call.Key && ch.AckedAt != 0 && call.SentAt > ch.AckedAt+int64(revokeDelay) && len(c.attempts[call.ID]) > 0 {
			c.addViolation(RuleRevoked, call.SentAt, "call %s ran with %s, which version %d had removed %.1f s before", call.ID, call.Key, ch.Version, seconds(call.SentAt-ch.AckedAt))
		}
		if ch.AddedKey == call.Key && call.Status == http.StatusUnauthorized && c.mustBeInForce(ch, call) && !c.mayBeRemoved(call, func(o Change) bool { return o.RevokedKey == call.Key }) && !c.mayLackKeys(call) {
			c.addViolation(RuleConfigDelay, call.SentAt, "call %s at %s: %s rejected %.1f s after version %d added it", call.ID, call.Entry, call.Key, seconds(call.SentAt-ch.AckedAt), ch.Version)
		}
	}
}

// checkDesiredState checks which version a call was handled by.
func (c *checker) checkDesiredState(call *Call) {
	denied := call.Status == http.StatusNotFound || call.Status == http.StatusUnauthorized || call.Status == http.StatusForbidden
	switch {
	case call.Status == http.StatusUnauthorized && c.mayLackKeys(call):
		return
	case denied && call.Kind != CallRoute && call.Kind != CallKey, call.Status == http.StatusUnauthorized && call.Kind == CallRoute:
		c.addViolation(RuleDenied, call.EndedAt, "call %s at %s: status %d, though every version allows the call", call.ID, call.Entry, call.Status)
		return
	case call.Kind != CallRoute:
		return
	}
	for _, ch := range c.history.Changes {
		removesRoute := func(o Change) bool { return o.RemovedRoute != "" && strings.HasPrefix(call.Path, o.RemovedRoute) }
		if strings.HasPrefix(call.Path, ch.AddedRoute) && call.Status == http.StatusNotFound && c.mustBeInForce(ch, call) && !c.mayBeRemoved(call, removesRoute) {
			c.addViolation(RuleConfigDelay, call.SentAt, "call %s at %s: no route %.1f s after version %d added it", call.ID, call.Entry, seconds(call.SentAt-ch.AckedAt), ch.Version)
		}
		if removesRoute(ch) && call.Status == http.StatusOK && c.mustBeInForce(ch, call) {
			c.addViolation(RuleConfigDelay, call.SentAt, "call %s at %s: served %.1f s after version %d removed its route", call.ID, call.Entry, seconds(call.SentAt-ch.AckedAt), ch.Version)
		}
	}
}

// mustBeInForce reports whether a change has to be in force at the instance when it
// handles the call.
func (c *checker) mustBeInForce(ch Change, call *Call) bool {
	return ch.AckedAt != 0 && call.SentAt > ch.AckedAt+int64(configDelay) && c.entrySeesStore(call.Entry, ch.AckedAt, call.EndedAt)
}

// mayBeRemoved reports whether a version that removes what the call needs may be in force.
func (c *checker) mayBeRemoved(call *Call, removes func(Change) bool) bool {
	return slices.ContainsFunc(c.history.Changes, func(o Change) bool { return removes(o) && o.SentAt < call.EndedAt })
}

// checkReverts finds calls that an instance handled by an older version than an earlier
// call.
func (c *checker) checkReverts() {
	served := map[string][]*Call{} // served calls of CallRoute, by process of an instance
	for i := range c.history.Calls {
		if call := &c.history.Calls[i]; call.Kind == CallRoute && call.Status == http.StatusOK {
			served[bootOf(call)] = append(served[bootOf(call)], call)
		}
	}
	for i := range c.history.Calls {
		call := &c.history.Calls[i]
		if call.Kind != CallRoute || call.Status != http.StatusNotFound {
			continue
		}
		removesRoute := func(o Change) bool { return o.RemovedRoute != "" && strings.HasPrefix(call.Path, o.RemovedRoute) }
		if c.mayBeRemoved(call, removesRoute) {
			continue
		}
		for _, earlier := range served[bootOf(call)] {
			if c.routeVersion(earlier.Path) >= c.routeVersion(call.Path) && earlier.EndedAt+int64(revertTolerance) < call.SentAt {
				c.addViolation(RuleReverted, call.SentAt, "call %s at %s: no route of version %d, though call %s was served by version %d earlier", call.ID, call.Entry,
					c.routeVersion(call.Path), earlier.ID, c.routeVersion(earlier.Path))
				break
			}
		}
	}
}

// routeVersion returns the version that added the route of a path; 0: none.
func (c *checker) routeVersion(path string) int {
	for _, ch := range c.history.Changes {
		if strings.HasPrefix(path, ch.AddedRoute) {
			return ch.Version
		}
	}
	return 0
}

// checkDeadline checks that a call ended by its deadline.
func (c *checker) checkDeadline(call *Call) {
	overdue := call.EndedAt - call.SentAt - int64(call.Timeout)
	if (call.TimedOut || overdue > int64(deadlineTolerance)) && call.Connected && c.entryUndisturbed(call.Entry, call.SentAt, call.EndedAt) {
		c.addViolation(RuleDeadline, call.EndedAt, "call %s at %s: ended, or was given up, %.1f s after its deadline", call.ID, call.Entry, seconds(overdue))
	}
}

// checkShutdown checks that calls were completed that an instance had sent to a target
// before it was stopped or reloaded, if no other fault may have interrupted them.
func (c *checker) checkShutdown(call *Call) {
	if call.Complete || len(c.attempts[call.ID]) == 0 || call.Poison || c.crashedUnder(call) {
		return
	}
	isShutdown := func(t InjectedFault) bool {
		return (t.Kind == KindStop || t.Kind == KindReload) && t.Fault.From == call.Entry
	}
	duringShutdown := slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool { return isShutdown(t) && t.overlaps(call.SentAt, call.EndedAt) })
	if duringShutdown && !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool { return !isShutdown(t) && c.mayInterrupt(t, call) }) {
		c.addViolation(RuleShutdown, call.EndedAt, "call %s at %s was interrupted by the instance's stop or reload: %s", call.ID, call.Entry, call.Error)
	}
}

// crashedUnder reports whether a target that ran the call recorded, while it did, that it
// crashes. The fault that stands for the crash begins when the soak test finds the process
// gone, which may be after the end of the call.
func (c *checker) crashedUnder(call *Call) bool {
	return slices.ContainsFunc(c.history.Records, func(r Record) bool {
		return r.Kind == RecordCrashed && r.At >= call.SentAt && r.At <= call.EndedAt &&
			slices.ContainsFunc(c.attempts[call.ID], func(a Record) bool { return a.Target == r.Target })
	})
}

// mayInterrupt reports whether a fault may have interrupted a call: a fault of its
// instance, of a target that ran the call, or of a link between them.
func (c *checker) mayInterrupt(t InjectedFault, call *Call) bool {
	if t.Kind == KindRateLimit || t.Kind == KindBackoff || !t.overlaps(call.SentAt-int64(entrySettleTime), call.EndedAt) {
		return false
	}
	return t.affects(call.Entry, nodeCallers) || slices.ContainsFunc(c.attempts[call.ID], func(r Record) bool { return t.affects(r.Node, call.Entry) })
}

// checkDraining checks that no calls reached draining targets.
func (c *checker) checkDraining() {
	for _, draining := range c.history.Records {
		if draining.Kind != RecordDraining {
			continue
		}
		until := draining.At + int64(drainPeriod+drainTolerance)
		for _, r := range c.history.Records {
			call := c.calls[r.Call]
			if r.Kind == RecordStarted && r.Target == draining.Target && r.At > until && call != nil && c.entrySeesStore(call.Entry, draining.At, r.At) {
				c.addViolation(RuleDrain, r.At, "call %s reached %s %.1f s after the store had its draining row", r.Call, r.Target, seconds(r.At-draining.At))
			}
		}
	}
}

func (c *checker) checkProcesses() {
	for _, exit := range c.history.Exits {
		c.addViolation(RuleExit, exit.At, "%s: %s", exit.Node, exit.Error)
	}
	for _, u := range c.history.Usage {
		if u.MemoryMB > memoryLimitMB || u.OpenFiles > maxOpenFiles {
			c.addViolation(RuleUsage, u.At, "%s uses %d MB and %d descriptors", u.Node, u.MemoryMB, u.OpenFiles)
		}
	}
}

// checkRecovery checks the share of served calls after the last fault.
func (c *checker) checkRecovery() {
	var from int64
	for _, t := range c.history.Faults {
		from = max(from, t.EndedAt)
	}
	served, total := 0, 0
	for _, call := range c.history.Calls {
		if call.SentAt < from+int64(recoveryTime) || !call.mustBeServed() {
			continue
		}
		total++
		if call.served() {
			served++
		}
	}
	if total >= minRecoveryCalls && float64(served) < minServedShare*float64(total) {
		c.addViolation(RuleRecovery, from+int64(recoveryTime), "%d of %d calls served after the last fault", served, total)
	}
}

// entryUndisturbed reports whether neither the instance nor its link from the callers had
// a fault in an interval.
func (c *checker) entryUndisturbed(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool { return t.affects(entry, nodeCallers) && t.overlaps(from, to) })
}

// entrySeesStore reports whether the store, the instance and the link between them had no
// fault in an interval, nor shortly before.
func (c *checker) entrySeesStore(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool {
		return t.affects(nodeStore, "") && t.overlaps(from-int64(storeSettleTime), to) || t.affects(entry, nodeStore) && t.overlaps(from-int64(entrySettleTime), to)
	})
}

func (t InjectedFault) overlaps(from, to int64) bool { return t.StartedAt < to && t.EndedAt > from }

func seconds(ns int64) float64 { return float64(ns) / float64(time.Second) }
