package rehearse

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/poison"
)

const (
	// The operator's rule: of requests with a part that crashes targets, or with the same
	// body, instances in touch send at most arrivalsAllowed later than contactTime after
	// crashesAllowed crashes. From twice contactTime after them, sound calls begin at least
	// begunShare times as often as before.
	crashesAllowed  = 5
	arrivalsAllowed = 3
	begunShare      = 0.5
	begunSample     = 20

	deadlyFrom  = 10 * time.Second
	deadlyTime  = 18 * time.Second
	soundRate   = 8.0 // calls a second
	readTime    = time.Second
	crashDelay  = 100 * time.Millisecond
	answerTime  = 2 * time.Second
	rebootTime  = 2 * time.Second
	maxAttempts = 5
	// maxReportLag bounds how late a report is; lists of instances may be later.
	maxReportLag = 400 * time.Millisecond
)

type (
	// quarantine rehearses the quarantine of poison requests and parts.
	quarantine struct {
		*fleet
		targets     []servingTarget
		calls       []*poisonCall
		reports     []crashReport // under way
		rows        map[poison.RowKey]poison.Row
		changes     []poison.Row // of the store, in order
		lastVersion int64
		callCount   int

		crashes []time.Duration // by deadly calls
		late    int             // arrivals that the rule counts
		begun   [2]int          // sound calls that began at the first attempt: before, and later
		sent    [2]int
	}

	servingTarget struct {
		boot      int
		downUntil time.Duration
	}

	// poisonState is what an instance keeps.
	poisonState struct {
		tracker            *poison.Tracker
		crashesSent, sound uint64
		changesRead        int
		hasRows            bool
	}

	poisonCall struct {
		request  poison.Request
		deadly   bool
		isProbe  bool
		instance *fleetInstance
		state    *poisonState // of the instance when it got the call
		period   int          // index into begun and sent; -1: not counted
		attempts int
		target   int
		boot     int
		beginsAt time.Duration
		ranWell  bool
	}

	crashReport struct {
		at, to  int // step, and instance
		crashes []poison.Crash
		runs    []poison.SoundRun
	}
)

// playQuarantine plays a plan whose limit is the rate of deadly calls a second. With
// CallsFew they have the same body, otherwise a part of their prompts in common.
func playQuarantine(p Plan) Outcome {
	q := &quarantine{targets: make([]servingTarget, 12+p.Instances/2), rows: map[poison.RowKey]poison.Row{}}
	q.fleet = newFleet(p, func(_ *fleet, in *fleetInstance) { in.state = &poisonState{tracker: &poison.Tracker{}} })
	for q.now < p.length() {
		q.advance()
		q.startCalls()
		q.progressCalls()
		for _, in := range q.instances {
			q.useStore(in)
			q.report(in)
		}
		q.deliverReports()
	}
	return q.outcome()
}

func (q *quarantine) outcome() Outcome {
	o := Outcome{Plan: q.plan, Most: q.late, Allowed: arrivalsAllowed, Worst: float64(q.late) / arrivalsAllowed}
	o.Detail = fmt.Sprintf("%d late requests where %d are allowed; %d of %d sound calls began at once, %d of %d before the first crash",
		q.late, arrivalsAllowed, q.begun[1], q.sent[1], q.begun[0], q.sent[0])
	if q.sent[0] >= begunSample && q.sent[1] >= begunSample {
		before, later := float64(q.begun[0])/float64(q.sent[0]), float64(max(q.begun[1], 1))/float64(q.sent[1])
		o.Worst = max(o.Worst, begunShare*before/later)
	}
	return o
}

func (q *quarantine) occurs(perSecond float64) bool {
	return q.rng.Float64() < perSecond*boundStep.Seconds()
}

func (q *quarantine) startCalls() {
	if q.occurs(soundRate) {
		q.start(false)
	}
	if q.now < deadlyFrom || q.now >= deadlyFrom+deadlyTime {
		return
	}
	switch {
	case q.plan.Calls != CallsBurst:
		if q.occurs(q.plan.Limit) {
			q.start(true)
		}
	case q.now%burstInterval == 0:
		for range int(q.plan.Limit * burstInterval.Seconds()) {
			q.start(true)
		}
	}
}

// start sends a call to a random instance.
func (q *quarantine) start(deadly bool) {
	in := q.instances[q.rng.IntN(len(q.instances))]
	if deadly && q.plan.Calls == CallsAtOne {
		in = q.instances[0]
	}
	if !in.up || in.freezes > 0 {
		return
	}
	q.callCount++
	parts, body := []string{"common", fmt.Sprint("own", q.callCount%7)}, fmt.Sprint(q.callCount)
	switch {
	case deadly && q.plan.Calls == CallsFew:
		body = "deadly"
	case deadly:
		parts = append(parts, "deadly")
	}
	c := &poisonCall{deadly: deadly, instance: in, state: in.state.(*poisonState), period: q.period(in, deadly),
		request: poison.Request{Fingerprint: poison.Of("o", "POST", "h", "/", []byte(body)), Parts: poison.Parts(parts), Org: "o", Service: service}}
	if c.period >= 0 {
		q.sent[c.period]++
	}
	q.send(c)
}

// period returns whether a sound call that starts now counts as before, 0, or later, 1.
func (q *quarantine) period(in *fleetInstance, deadly bool) int {
	n := min(len(q.crashes), crashesAllowed)
	switch {
	case deadly || !q.inTouch(in):
		return -1
	case q.now < deadlyFrom:
		return 0
	case n > 0 && q.now >= q.crashes[n-1]+2*contactTime && q.now < deadlyFrom+deadlyTime:
		return 1
	}
	return -1
}

// send sends a call to a random target that is up, unless its instance stops it.
func (q *quarantine) send(c *poisonCall) {
	if c.attempts >= maxAttempts || !c.instance.up || c.instance.state != c.state || !q.mayRun(c) {
		return
	}
	var up []int
	for i, t := range q.targets {
		if t.downUntil <= q.now {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	c.target = up[q.rng.IntN(len(up))]
	c.boot, c.ranWell = q.targets[c.target].boot, false
	c.beginsAt = q.now + time.Duration((0.5+q.rng.Float64())*float64(readTime))
	c.attempts++
	if c.deadly && len(q.crashes) >= crashesAllowed && q.now > q.crashes[crashesAllowed-1]+contactTime && q.inTouch(c.instance) {
		q.late++
	}
	q.calls = append(q.calls, c)
}

// mayRun reports whether the call's instance lets it run, if need be as a probe.
func (q *quarantine) mayRun(c *poisonCall) bool {
	st := c.state.tracker.Status(c.request, q.clock())
	if !st.Quarantined {
		return true
	}
	if c.isProbe || c.attempts > 0 || st.Wait > 0 || len(st.Probes) == 0 || !q.reaches(c.instance) {
		return false
	}
	for _, p := range st.Probes {
		if q.rows[poison.RowKey{Fingerprint: p.Fingerprint}].Version != p.Row {
			return false
		}
	}
	for _, p := range st.Probes {
		q.put(poison.Row{RowKey: poison.RowKey{Fingerprint: p.Fingerprint}, Probes: p.Count})
	}
	c.state.tracker.RecordClaim(st.Probes, q.lastVersion, q.clock())
	c.isProbe = true
	return true
}

// progressCalls lets all attempts progress by a step.
func (q *quarantine) progressCalls() {
	calls := q.calls
	q.calls = nil
	for _, c := range calls {
		switch {
		case q.targets[c.target].boot != c.boot:
			q.lose(c)
		case q.progress(c):
			q.calls = append(q.calls, c)
		}
	}
}

// progress advances an attempt at a target that is up, and reports whether the call goes on.
func (q *quarantine) progress(c *poisonCall) bool {
	ran := q.now - c.beginsAt
	if ran < 0 {
		return c.isProbe || !c.state.tracker.Status(c.request, q.clock()).Quarantined
	}
	if c.deadly {
		if ran >= crashDelay {
			q.crashes = append(q.crashes, q.now)
			q.targets[c.target] = servingTarget{boot: c.boot + 1, downUntil: q.now + rebootTime}
		}
		return true
	}
	if !c.ranWell && ran >= 2*boundStep {
		c.ranWell = true
		c.state.tracker.RecordSoundRun(c.request, "v1", poison.PastStart, q.clock())
		c.state.tracker.RecordSuccess(c.request, "v1", poison.PastStart, q.clock())
		if c.period >= 0 && c.attempts == 1 {
			q.begun[c.period]++
		}
	}
	return ran < answerTime
}

// lose records the loss of an attempt's target and sends the call again.
func (q *quarantine) lose(c *poisonCall) {
	boot := ragworthitch.NewBoot(fmt.Sprint("t", c.target, "-", c.boot), 0)
	c.state.tracker.RecordLoss(poison.Loss{Service: service, Zone: fmt.Sprint(c.target % 3), Boot: boot, Targets: len(q.targets)}, q.clock())
	if q.now >= c.beginsAt && !c.ranWell {
		c.state.tracker.RecordOwnCrash(c.request, poison.Crash{Boot: boot, Call: c.request.Fingerprint.String(), Version: "v1"}, q.clock())
	}
	q.send(c)
}

// put writes a row to the store.
func (q *quarantine) put(r poison.Row) {
	q.lastVersion++
	r.Version = q.lastVersion
	q.rows[r.RowKey] = r
	q.changes = append(q.changes, r)
}

// useStore writes an instance's edits and lets it read the changes of others.
func (q *quarantine) useStore(in *fleetInstance) {
	if !q.reaches(in) {
		return
	}
	st := in.state.(*poisonState)
	edits, _ := st.tracker.TakeEdits()
	for _, e := range edits {
		if e.Crash.Call != "" {
			q.put(poison.Row{RowKey: poison.RowKey{Fingerprint: e.Crash.Fingerprint, Boot: e.Crash.Boot}, Crash: e.Crash})
		}
		for _, k := range e.Drop {
			q.put(poison.Row{RowKey: k, Deleted: true})
			delete(q.rows, k)
		}
	}
	if !st.hasRows {
		st.hasRows = true
		var rows []poison.Row
		for _, r := range q.rows {
			rows = append(rows, r)
		}
		slices.SortFunc(rows, func(x, y poison.Row) int { return cmp.Compare(x.Version, y.Version) })
		st.tracker.ApplySnapshot(rows, q.clock())
		st.changesRead = len(q.changes)
	}
	if q.occurs(5) {
		st.tracker.ApplyRows(q.changes[st.changesRead:], q.clock())
		st.changesRead = len(q.changes)
	}
}

// report sends what an instance has learned to all others that it reaches.
func (q *quarantine) report(in *fleetInstance) {
	if !in.up || in.freezes > 0 || in.cuts > 0 {
		return
	}
	st := in.state.(*poisonState)
	crashes, crashCount := st.tracker.CrashesSince(st.crashesSent, q.clock())
	runs, runCount := st.tracker.SoundRunsSince(st.sound, q.clock())
	st.crashesSent, st.sound = crashCount, runCount
	if len(crashes)+len(runs) == 0 {
		return
	}
	for _, o := range q.instances {
		if o != in && o.up && in.knows[o.index] {
			at := max(stepOf(q.now)+1, stepOf(q.now+min(q.lag(), maxReportLag)))
			q.reports = append(q.reports, crashReport{at: at, to: o.index, crashes: crashes, runs: runs})
		}
	}
}

func (q *quarantine) deliverReports() {
	reports := q.reports
	q.reports = nil
	for _, r := range reports {
		in := q.instances[r.to]
		switch {
		case r.at > stepOf(q.now):
			q.reports = append(q.reports, r)
		case in.up && in.cuts == 0 && in.freezes == 0:
			st := in.state.(*poisonState)
			st.tracker.RecordCrashes(r.crashes, poison.SourcePeer, q.clock())
			st.tracker.RecordPeerSoundRuns(r.runs, q.clock())
		}
	}
}
