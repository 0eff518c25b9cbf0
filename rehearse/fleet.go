package rehearse

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

const (
	// boundStep is the resolution of a rehearsal.
	boundStep = 50 * time.Millisecond
	// leaseTime is how long the others list an instance that no longer renews its entry.
	leaseTime = 1200 * time.Millisecond
	// maxFirstRead is the longest time from the start of an instance until it has read the
	// list of instances.
	maxFirstRead = 500 * time.Millisecond
	// contactTime is the time without a fault after which an instance is in touch, so that
	// bounds hold for what it sends.
	contactTime = 3 * time.Second
	// loanReplyLost is how often the reply to a loan is lost: once in so many.
	loanReplyLost = 10
	// burstInterval is the time between two bursts, fewCalls the rate of CallsFew in calls a
	// second, and callsAtOne the calls in each step of CallsAtOne.
	burstInterval = 2500 * time.Millisecond
	fewCalls      = 10
	callsAtOne    = 3
	// startSpread is the time in which instances start that start together.
	startSpread = time.Second
)

type (
	// fleet is a set of instances that share a bound, in simulated time. They know of each
	// other by the list in the store.
	fleet struct {
		plan        Plan
		rng         *rand.Rand
		now         time.Duration
		instances   []*fleetInstance
		used        int            // instances that have been started, or are about to be
		storeFaults int            // in force
		storeOkAt   time.Duration  // end of the last fault of the store
		news        map[int][]news // by the number of the step
		ends        []func()       // what happens at endTimes
		endTimes    []time.Duration
		start       func(*fleet, *fleetInstance) // makes the state that the bound keeps at an instance
	}

	// fleetInstance is an instance as the others and the bound see it.
	fleetInstance struct {
		index    int
		name     string
		up       bool
		freezes  int           // in force
		cuts     int           // in force
		gone     bool          // for good
		okAt     time.Duration // end of the last freeze or cut
		listed   bool          // has an entry in the store
		lostAt   time.Duration // when it stopped to renew its entry; 0: it renews it
		version  int32         // of its entry
		knows    []bool        // which others it lists
		versions []int32       // of the entries that it has read
		missed   bool          // it has missed news
		list     ratelimit.Members
		stale    bool // list.Others does not follow knows yet
		hasRead  bool
		clockOff time.Duration
		state    any // of the bound
	}

	// news is a change of an instance's entry on its way to another instance.
	news struct {
		to, about int32
		version   int32 // of the entry
		listed    bool
		whole     bool // a read of the whole list
	}
)

func newFleet(p Plan, start func(*fleet, *fleetInstance)) *fleet {
	f := &fleet{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 13)), news: map[int][]news{}, start: start, used: p.Instances, storeOkAt: -contactTime}
	total := p.total()
	for i := range total {
		in := &fleetInstance{index: i, name: instanceName(i), knows: make([]bool, total), versions: make([]int32, total), okAt: -contactTime}
		in.clockOff = time.Duration((2*f.rng.Float64() - 1) * float64(p.ClockErrorMs) * float64(time.Millisecond))
		f.instances = append(f.instances, in)
	}
	for _, in := range f.instances[:p.Instances] {
		f.boot(in)
		in.hasRead = true
		for j := range p.Instances {
			in.knows[j] = j != in.index
		}
		in.refresh(f)
	}
	return f
}

func instanceName(index int) string { return fmt.Sprint("front-", index) }

// clock returns the current time for the decision packages.
func (f *fleet) clock() clock.Time { return clock.Time(time.Hour + f.now) }

func stepOf(t time.Duration) int { return int(t / boundStep) }

// boot starts an instance with nothing.
func (f *fleet) boot(in *fleetInstance) {
	in.up, in.listed, in.hasRead, in.stale, in.missed = true, true, false, true, false
	clear(in.knows)
	clear(in.versions)
	in.list = ratelimit.Members{Version: in.list.Version + 1}
	f.start(f, in)
}

// tell sends a change of an instance's entry to all others.
func (f *fleet) tell(about int, listed bool) {
	version := f.instances[about].version + 1
	f.instances[about].version = version
	for _, in := range f.instances {
		if in.up && in.index != about {
			f.send(news{to: int32(in.index), about: int32(about), listed: listed, version: version}, f.lag())
		}
	}
}

func (f *fleet) lag() time.Duration {
	return time.Duration(f.rng.Float64() * float64(f.plan.HeardMs) * float64(time.Millisecond))
}

func (f *fleet) send(n news, after time.Duration) {
	step := max(stepOf(f.now+after), stepOf(f.now)+1)
	f.news[step] = append(f.news[step], n)
}

// enter starts an instance and lists it.
func (f *fleet) enter(in *fleetInstance) {
	f.boot(in)
	f.tell(in.index, true)
	f.send(news{to: int32(in.index), whole: true}, time.Duration(f.rng.Float64()*float64(maxFirstRead)))
}

// reaches reports whether an instance reaches the store.
func (f *fleet) reaches(in *fleetInstance) bool {
	return in.up && in.freezes == 0 && in.cuts == 0 && f.storeFaults == 0
}

// inTouch reports whether the bound holds for what an instance does now. It holds for
// instances that have just started.
func (f *fleet) inTouch(in *fleetInstance) bool {
	return f.reaches(in) && f.now-in.okAt >= contactTime && f.now-f.storeOkAt >= contactTime
}

// advance moves the fleet to the next step.
func (f *fleet) advance() {
	f.now += boundStep
	f.endFaults()
	for _, fault := range f.plan.Faults {
		if stepOf(fault.at()) == stepOf(f.now) {
			f.begin(fault)
		}
	}
	for _, in := range f.instances {
		f.keepEntry(in)
	}
	step := stepOf(f.now)
	for _, n := range f.news[step] {
		f.deliver(n)
	}
	delete(f.news, step)
	for _, in := range f.instances {
		in.refresh(f)
	}
}

// keepEntry renews an instance's entry, or lets it run out.
func (f *fleet) keepEntry(in *fleetInstance) {
	switch {
	case f.storeFaults > 0:
	case f.reaches(in):
		in.lostAt = 0
		if in.missed {
			in.missed = false
			f.send(news{to: int32(in.index), whole: true}, f.lag())
		}
		if !in.listed {
			in.listed = true
			f.tell(in.index, true)
		}
	case in.listed && in.lostAt == 0:
		in.lostAt = f.now
	case in.listed && f.now-in.lostAt >= leaseTime:
		in.listed = false
		f.tell(in.index, false)
	}
}

// deliver lets an instance read news. One that doesn't reach the store misses it, and reads
// the whole list later.
func (f *fleet) deliver(n news) {
	in := f.instances[n.to]
	if !in.up {
		return
	}
	if !f.reaches(in) {
		in.missed = true
		return
	}
	in.stale = true
	if !n.whole {
		if n.version > in.versions[n.about] {
			in.knows[n.about], in.versions[n.about] = n.listed, n.version
		}
		return
	}
	in.hasRead = true
	for j, o := range f.instances {
		in.knows[j], in.versions[j] = o.listed && j != in.index, o.version
	}
}

// refresh brings an instance's list up to date with what it knows.
func (in *fleetInstance) refresh(f *fleet) {
	if !f.reaches(in) || !in.hasRead {
		return
	}
	if in.stale {
		in.stale = false
		var others []string
		for j, known := range in.knows {
			if known {
				others = append(others, f.instances[j].name)
			}
		}
		in.list = ratelimit.Members{Others: others, Version: in.list.Version + 1}
	}
	in.list.AsOf, in.list.Known = f.clock(), true
}

// begin starts a fault.
func (f *fleet) begin(fault Fault) {
	if fault.Kind == FaultStore {
		f.storeFaults++
		f.endAt(fault.end(), func() { f.storeFaults, f.storeOkAt = f.storeFaults-1, f.now })
		return
	}
	if fault.Kind == FaultAdd {
		f.add(fault)
		return
	}
	for _, in := range f.pick(fault) {
		f.hit(in, fault)
	}
}

// add starts instances that have not run before.
func (f *fleet) add(fault Fault) {
	first := f.used
	f.used += fault.count(first)
	for _, in := range f.instances[first:f.used] {
		f.endAt(f.now+f.startDelay(), func() { f.enter(in) })
	}
}

// pick returns the instances that a fault hits.
func (f *fleet) pick(fault Fault) []*fleetInstance {
	var up []*fleetInstance
	for _, in := range f.instances {
		if in.up {
			up = append(up, in)
		}
	}
	f.rng.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	return up[:fault.count(len(up))]
}

func (f *fleet) hit(in *fleetInstance, fault Fault) {
	switch fault.Kind {
	case FaultRestart:
		in.up = false
		f.endAt(fault.end()+f.startDelay(), func() {
			if !in.gone {
				f.enter(in)
			}
		})
	case FaultRemove:
		in.up, in.gone = false, true
	case FaultFreeze:
		in.freezes++
		f.endAt(fault.end(), func() { in.freezes, in.okAt = in.freezes-1, f.now })
	case FaultCut:
		in.cuts++
		f.endAt(fault.end(), func() { in.cuts, in.okAt = in.cuts-1, f.now })
	}
}

// startDelay draws the time until an instance has started, of several that start together.
func (f *fleet) startDelay() time.Duration {
	return time.Duration(f.rng.Float64() * float64(startSpread))
}

func (f *fleet) endAt(t time.Duration, end func()) {
	f.ends, f.endTimes = append(f.ends, end), append(f.endTimes, t)
}

func (f *fleet) endFaults() {
	for i := 0; i < len(f.ends); {
		if f.endTimes[i] > f.now {
			i++
			continue
		}
		end := f.ends[i]
		f.ends, f.endTimes = append(f.ends[:i:i], f.ends[i+1:]...), append(f.endTimes[:i:i], f.endTimes[i+1:]...)
		end()
	}
}

// calls returns how many calls an instance has at the current step.
func (f *fleet) calls(in *fleetInstance) int {
	if !in.up || in.freezes > 0 {
		return 0
	}
	switch f.plan.Calls {
	case CallsBurst:
		if f.now%burstInterval == 0 {
			return 1
		}
	case CallsAtOne:
		if in.index == 0 {
			return callsAtOne
		}
	case CallsFew:
		if f.rng.Float64() < fewCalls*boundStep.Seconds()/float64(len(f.instances)) {
			return 1
		}
	default:
		return 1
	}
	return 0
}

// lender returns an instance that may be asked for a loan; nil: none answers.
func (f *fleet) lender(borrower *fleetInstance) *fleetInstance {
	o := f.instances[f.rng.IntN(len(f.instances))]
	if o == borrower || !borrower.knows[o.index] || !f.reaches(o) || borrower.cuts > 0 {
		return nil
	}
	return o
}

// replyLost draws whether the reply to a loan is lost.
func (f *fleet) replyLost() bool { return f.rng.IntN(loanReplyLost) == 0 }
