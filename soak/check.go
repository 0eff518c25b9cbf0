package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Promises that a play is held against.
const (
	RuleOrder    = "ORDER"    // a stream's events are all there, once, in order, its own
	RuleMixed    = "MIXED"    // an answer is the target's, whole, to this call
	RuleTwice    = "TWICE"    // what may run once runs once
	RuleNotRun   = "NOTRUN"   // a call answered as not run has not and does not
	RuleUnasked  = "UNASKED"  // targets run what callers sent, for the right organisation
	RuleRevoked  = "REVOKED"  // a removed key is refused in time
	RuleDenied   = "DENIED"   // what every state allows is never denied
	RuleCurrent  = "CURRENT"  // a new state is in force in time
	RuleReverted = "REVERTED" // and stays so
	RuleDrain    = "DRAIN"    // targets that leave get no more work
	RuleLost     = "LOST"     // an instance that is told to end ends its calls
	RuleFinal    = "FINAL"    // every call has its end in time
	RuleAlive    = "ALIVE"    // no process ends by itself, or stays
	RuleUsage    = "USAGE"    // memory and descriptors stay within limits
	RuleBack     = "BACK"     // after the last fault all works again

	RuleDeadly    = "DEADLY"    // a request that has crashed three targets is not run again
	RuleBystander = "BYSTANDER" // one that has crashed none is not taken for one that did
)

const (
	// settle is how long after a fault an instance may still be touched by it:
	// longer than it takes to find out and connect anew.
	settle = 5 * time.Second
	// storeSettle is the same for a fault of the store itself.
	storeSettle = 8 * time.Second
	// finalMore is how long after a call's limit its end may come; callers hang
	// up half a second later.
	finalMore = time.Second
	// revertMore is within which calls that cross may be handled by either
	// state.
	revertMore = 250 * time.Millisecond
	// drainMore is for a call's way to the target.
	drainMore = 300 * time.Millisecond
	// backTime is how long after the last fault all has to work, and backShare
	// the least part of the calls that has to be served then.
	backTime  = 5 * time.Second
	backShare = 0.95
	backCalls = 20 // fewer say nothing
	// Limits of an instance's process: the smallest machines have 4,100
	// descriptors.
	maxFiles = 4000
)

type (
	// Violation is a promise that was broken.
	Violation struct {
		Rule string
		At   int64 // Unix ns
		Text string
	}

	// checker holds a history, arranged for the checks.
	checker struct {
		h     History
		calls map[string]*Call
		runs  map[string][]Run // begun, by call
		bad   []Violation
	}
)

// Check holds what was seen against the promises.
func Check(h History) []Violation {
	c := &checker{h: h, calls: map[string]*Call{}, runs: map[string][]Run{}}
	for i := range h.Calls {
		c.calls[h.Calls[i].ID] = &h.Calls[i]
	}
	for _, r := range h.Runs {
		if r.Kind == RunBegun {
			c.runs[r.Call] = append(c.runs[r.Call], r)
		}
	}
	for i := range h.Calls {
		c.answer(&h.Calls[i])
		c.final(&h.Calls[i])
		c.lost(&h.Calls[i])
		c.state(&h.Calls[i])
		c.key(&h.Calls[i])
		c.bystander(&h.Calls[i])
	}
	for id, runs := range c.runs {
		c.ran(id, runs)
	}
	c.reverted()
	c.drained()
	c.deadly()
	c.processes()
	c.back()
	slices.SortFunc(c.bad, func(a, b Violation) int { return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Text, b.Text)) })
	return c.bad
}

func (c *checker) broken(rule string, at int64, format string, args ...any) {
	c.bad = append(c.bad, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// answer judges what a caller got.
func (c *checker) answer(call *Call) {
	if call.AnswerTo != "" && call.AnswerTo != call.ID {
		c.broken(RuleMixed, call.Ended, "call %s got the answer to %s", call.ID, call.AnswerTo)
	}
	if call.Status != http.StatusOK {
		return
	}
	target := strings.TrimPrefix(call.Stamp, "stamp-")
	if target == "" || !slices.ContainsFunc(c.runs[call.ID], func(r Run) bool { return r.Target == target }) {
		c.broken(RuleMixed, call.Ended, "call %s: success with the stamp %q of a target that did not run it", call.ID, call.Stamp)
	}
	if call.Kind == CallStream {
		c.order(call)
		return
	}
	if call.Whole && call.Body != plainAnswer(call.ID, target) {
		c.broken(RuleMixed, call.Ended, "call %s: body %q is not the answer of %s", call.ID, call.Body, target)
	}
}

func (c *checker) order(call *Call) {
	next := call.After + 1
	for i, id := range call.IDs {
		if id != next || call.Texts[i] != eventText(call.Subject, id) {
			c.broken(RuleOrder, call.Ended, "call %s: event %d %q where %d was due", call.ID, id, call.Texts[i], next)
			return
		}
		next++
	}
	if call.Whole && next != call.Events+1 {
		c.broken(RuleOrder, call.Ended, "call %s: ended as complete after event %d of %d", call.ID, next-1, call.Events)
	}
}

// ran judges what targets did with a call.
func (c *checker) ran(id string, runs []Run) {
	call := c.calls[id]
	if call == nil {
		return // under way when the play ended
	}
	if call.Kind == CallUnsafe && len(runs) > 1 {
		c.broken(RuleTwice, runs[1].At, "call %s ran at %s and %s", id, runs[0].Target, runs[1].Target)
	}
	if notRun(call.Status) {
		c.broken(RuleNotRun, runs[0].At, "call %s was answered %d and ran at %s", id, call.Status, runs[0].Target)
	}
	want := serviceApp
	if call.Kind == CallStream {
		want = serviceLLM
	}
	for _, r := range runs {
		if r.KeyPassed || r.Org != call.Org || r.Path != call.Path || r.After < call.After {
			c.broken(RuleUnasked, r.At, "call %s ran at %s with path %q, organisation %q, key passed %v, after event %d", id, r.Target, r.Path, r.Org, r.KeyPassed, r.After)
		}
		if r.Service != want {
			c.broken(RuleUnasked, r.At, "call %s ran at service %s", id, r.Service)
		}
	}
}

// notRun reports whether a status promises that the call did not run.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// key judges calls by their keys.
func (c *checker) key(call *Call) {
	if call.Kind != CallKey {
		return
	}
	for _, ch := range c.h.Changes {
		if ch.Revoked == call.Key && ch.Acked != 0 && call.Sent > ch.Acked+int64(revokeTime) && len(c.runs[call.ID]) > 0 {
			c.broken(RuleRevoked, call.Sent, "call %s ran with %s, which version %d removed %.1f s before", call.ID, call.Key, ch.Version, seconds(call.Sent-ch.Acked))
		}
		if ch.NewKey == call.Key && call.Status == http.StatusUnauthorized && c.inForce(ch, call) && !c.mayBeRemoved(call, func(o Change) bool { return o.Revoked == call.Key }) {
			c.broken(RuleCurrent, call.Sent, "call %s at %s: %s is unknown %.1f s after version %d", call.ID, call.Entry, call.Key, seconds(call.Sent-ch.Acked), ch.Version)
		}
	}
}

// state judges how current the state is by which a call was handled.
func (c *checker) state(call *Call) {
	denied := call.Status == http.StatusNotFound || call.Status == http.StatusUnauthorized || call.Status == http.StatusForbidden
	switch {
	case denied && call.Kind != CallRoute && call.Kind != CallKey, call.Status == http.StatusUnauthorized && call.Kind == CallRoute:
		c.broken(RuleDenied, call.Ended, "call %s at %s: %d for what every version allows", call.ID, call.Entry, call.Status)
		return
	case call.Kind != CallRoute:
		return
	}
	for _, ch := range c.h.Changes {
		removed := func(o Change) bool { return o.Removed != "" && strings.HasPrefix(call.Path, o.Removed) }
		if strings.HasPrefix(call.Path, ch.Added) && call.Status == http.StatusNotFound && c.inForce(ch, call) && !c.mayBeRemoved(call, removed) {
			c.broken(RuleCurrent, call.Sent, "call %s at %s: no route %.1f s after version %d", call.ID, call.Entry, seconds(call.Sent-ch.Acked), ch.Version)
		}
		if removed(ch) && call.Status == http.StatusOK && c.inForce(ch, call) {
			c.broken(RuleCurrent, call.Sent, "call %s at %s: served %.1f s after version %d removed its route", call.ID, call.Entry, seconds(call.Sent-ch.Acked), ch.Version)
		}
	}
}

// inForce reports whether a change has to be in force at the call's instance.
func (c *checker) inForce(ch Change, call *Call) bool {
	return ch.Acked != 0 && call.Sent > ch.Acked+int64(configTime) && c.calm(call.Entry, ch.Acked, call.Ended)
}

// mayBeRemoved reports whether a later version that removes what the call
// needs may be in force.
func (c *checker) mayBeRemoved(call *Call, removes func(Change) bool) bool {
	return slices.ContainsFunc(c.h.Changes, func(o Change) bool { return removes(o) && o.Sent < call.Ended })
}

// reverted finds calls that an instance handled by an older state than one
// that it had shown before.
func (c *checker) reverted() {
	shown := map[string][]*Call{} // by boot: calls on versions' routes that were served
	boot := func(call *Call) string { return fmt.Sprint(call.Entry, "/", call.Boot) }
	for i := range c.h.Calls {
		if call := &c.h.Calls[i]; call.Kind == CallRoute && call.Status == http.StatusOK {
			shown[boot(call)] = append(shown[boot(call)], call)
		}
	}
	for i := range c.h.Calls {
		call := &c.h.Calls[i]
		if call.Kind != CallRoute || call.Status != http.StatusNotFound {
			continue
		}
		removed := func(o Change) bool { return o.Removed != "" && strings.HasPrefix(call.Path, o.Removed) }
		if c.mayBeRemoved(call, removed) {
			continue
		}
		for _, s := range shown[boot(call)] {
			if c.version(s.Path) >= c.version(call.Path) && s.Ended+int64(revertMore) < call.Sent {
				c.broken(RuleReverted, call.Sent, "call %s at %s: no route of version %d, though call %s was served by version %d before", call.ID, call.Entry,
					c.version(call.Path), s.ID, c.version(s.Path))
				break
			}
		}
	}
}

// version is the one that added the route of a path.
func (c *checker) version(path string) int {
	for _, ch := range c.h.Changes {
		if strings.HasPrefix(path, ch.Added) {
			return ch.Version
		}
	}
	return 0
}

// final judges when a call ended.
func (c *checker) final(call *Call) {
	late := call.Ended - call.Sent - int64(call.Limit)
	if (call.GaveUp || late > int64(finalMore)) && call.Connected && c.undisturbed(call.Entry, call.Sent, call.Ended) {
		c.broken(RuleFinal, call.Ended, "call %s at %s has no end %.1f s after its limit", call.ID, call.Entry, seconds(late))
	}
}

// lost judges calls that an instance had passed on when it was told to end, or
// to read its settings again, while nothing else was wrong.
func (c *checker) lost(call *Call) {
	if call.Whole || len(c.runs[call.ID]) == 0 || call.Deadly {
		return
	}
	planned := func(t Trouble) bool {
		return (t.Kind == KindStop || t.Kind == KindReload) && t.Fault.From == call.Entry
	}
	around := slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool { return planned(t) && t.overlaps(call.Sent, call.Ended) })
	if around && !slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool { return !planned(t) && c.harms(t, call) }) {
		c.broken(RuleLost, call.Ended, "call %s at %s was cut as the instance ended: %s", call.ID, call.Entry, call.Error)
	}
}

// harms reports whether a fault may have ended a call: one of its instance, of
// a target that ran it, or of a way between them.
func (c *checker) harms(t Trouble, call *Call) bool {
	if !t.overlaps(call.Sent-int64(settle), call.Ended) {
		return false
	}
	return t.touches(call.Entry, partCallers) || slices.ContainsFunc(c.runs[call.ID], func(r Run) bool { return t.touches(r.Slot, call.Entry) })
}

// drained judges what reached targets that were leaving.
func (c *checker) drained() {
	for _, leaving := range c.h.Runs {
		if leaving.Kind != RunLeaving {
			continue
		}
		until := leaving.At + int64(drainTime+drainMore)
		for _, r := range c.h.Runs {
			call := c.calls[r.Call]
			if r.Kind == RunBegun && r.Target == leaving.Target && r.At > until && call != nil && c.calm(call.Entry, leaving.At, r.At) {
				c.broken(RuleDrain, r.At, "call %s reached %s %.1f s after it was known to leave", r.Call, r.Target, seconds(r.At-leaving.At))
			}
		}
	}
}

func (c *checker) processes() {
	for _, d := range c.h.Deaths {
		c.broken(RuleAlive, d.At, "%s: %s", d.Part, d.Error)
	}
	for _, u := range c.h.Usage {
		if u.MB > memoryMB || u.Files > maxFiles {
			c.broken(RuleUsage, u.At, "%s uses %d MB and %d descriptors", u.Part, u.MB, u.Files)
		}
	}
}

// back judges how much is served when all faults are over.
func (c *checker) back() {
	var from int64
	for _, t := range c.h.Troubles {
		from = max(from, t.Over)
	}
	served, all := 0, 0
	for _, call := range c.h.Calls {
		if call.Sent < from+int64(backTime) || !call.counts() {
			continue
		}
		all++
		if call.served() {
			served++
		}
	}
	if all >= backCalls && float64(served) < backShare*float64(all) {
		c.broken(RuleBack, from+int64(backTime), "%d of %d calls served after all faults", served, all)
	}
}

// undisturbed reports whether no fault touched an instance, or callers' way to
// it, within some time.
func (c *checker) undisturbed(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool { return t.touches(entry, partCallers) && t.overlaps(from, to) })
}

// calm reports whether an instance, its way to the store and the store were
// without a fault within some time, and long enough before.
func (c *checker) calm(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool {
		return t.touches(partStore, "") && t.overlaps(from-int64(storeSettle), to) || t.touches(entry, partStore) && t.overlaps(from-int64(settle), to)
	})
}

func (t Trouble) overlaps(from, to int64) bool { return t.Begun < to && t.Over > from }

func seconds(ns int64) float64 { return float64(ns) / float64(time.Second) }
