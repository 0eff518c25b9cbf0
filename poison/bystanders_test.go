package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	popularName     = "p"
	tick            = 10 * time.Millisecond
	simulatedTime   = 60 * time.Second
	prefillTime     = 1500 * time.Millisecond // mean time from sending to the first event, queueing included
	eventInterval   = 40 * time.Millisecond
	eventsPerStream = 130
	downTime        = 2 * time.Second
	restartLead     = 150 * time.Millisecond
	// poisonInterval is the mean time between two calls with a poison request, and
	// poisonCrashDelay the time from the start of an attempt to the crash.
	poisonInterval   = 500 * time.Millisecond
	poisonCrashDelay = 100 * time.Millisecond
	simulations      = 40
	// maxLateCrashes bounds the crashes by attempts that had started before the
	// quarantine, and those that looked like a zone outage.
	maxLateCrashes = 5
	// The operator's bound: later than quarantineDelay after a request has crashed
	// minCrashThreshold targets, at most maxLateArrivals attempts of it reach targets.
	quarantineDelay = 3 * time.Second
	maxLateArrivals = 3
	// statusInterval is how often bystanders that run are checked.
	statusInterval = 10 * tick

	momentBeforeHead = "beforeHead" // as the prompt has been read
	momentMidStream  = "midStream"
	momentEvent      = "event" // after the first new event of an attempt
)

type (
	// scenario is a case of testdata/bystanders.yaml. Rates are per second.
	scenario struct {
		Name    string
		Zones   int
		Targets int
		Streams float64 // new streams
		Crashes float64 // crashes of single targets
		Outages float64 // zone outages
		Share   float64 // of the zone's targets that are lost in an outage
		Half    bool    // half of a random zone's targets are lost every 7 s
		All     bool    // all targets are lost every 7 s, restartLead after the instance started
		Popular float64 // new calls with the same request, which have no prefill
		Poison  int     // requests that crash whatever runs them
		Moment  string  // at which they do; empty: poisonCrashDelay after the head of an answer
	}

	simulatedTarget struct {
		zone, boot int
		downUntil  time.Duration
	}

	// simulatedStream is a stream over all its attempts.
	simulatedStream struct {
		name           string
		isPoison       bool
		moment         string // of the crash
		target         int    // index in simulation.targets
		boot           int    // of the target when the attempt was sent
		untilPrefilled time.Duration
		attemptTime    time.Duration // streamed in this attempt
		ran            time.Duration // since this attempt was sent
		attemptEvents  int           // of this attempt, up to the tick before
		streamedTime   time.Duration // streamed in all attempts
	}

	simulation struct {
		scenario
		rng              *rand.Rand
		now              time.Duration
		targets          []simulatedTarget
		streams          []*simulatedStream
		streamCount      int
		tracker          *Tracker
		crashesByRequest map[string]int // of the poison requests
		crashTimes       map[string][]time.Duration
		arrivals         map[string][]time.Duration
	}
)

// Guards against the quarantine of bystanders, whichever targets are lost: single ones,
// zones, or those that run poison requests. Poison requests are quarantined after the
// minimum of crashes and those of attempts that were already sent.
func TestBystanders(t *testing.T) {
	for _, c := range cases.Load[scenario](t, "testdata/bystanders.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			lostAttempts, attributions := 0, 0
			for seed := range uint64(simulations) {
				sim := &simulation{scenario: c, rng: rand.New(rand.NewPCG(seed, 1)), tracker: new(Tracker), crashesByRequest: map[string]int{},
					crashTimes: map[string][]time.Duration{}, arrivals: map[string][]time.Duration{}}
				lost, attributed := sim.run(t)
				lostAttempts, attributions = lostAttempts+lost, attributions+attributed
				assert.Len(t, sim.crashesByRequest, c.Poison)
				for name, n := range sim.crashesByRequest {
					assert.True(t, sim.tracker.Status(requestOf(name), sim.clock()).Quarantined, name)
					if c.Moment == "" {
						assert.LessOrEqual(t, n, minCrashThreshold+maxLateCrashes, name)
					}
					if c.Moment != "" {
						assert.LessOrEqual(t, sim.lateArrivals(name), maxLateArrivals, "%s, seed %d, crashes %v, arrivals %v", name, seed, sim.crashTimes[name], sim.arrivals[name])
					}
				}
			}
			t.Logf("%d attempts of bystanders lost their targets, %d of these crashes were attributed to their requests", lostAttempts, attributions)
		})
	}
}

func (sim *simulation) clock() clock.Time { return clock.Time(time.Hour + sim.now) }

// run returns how many attempts of bystanders were lost, and how many of these losses
// were attributed to their requests.
func (sim *simulation) run(t *testing.T) (lostAttempts, attributions int) {
	for i := range sim.Targets {
		sim.targets = append(sim.targets, simulatedTarget{zone: i % sim.Zones})
	}
	for ; sim.now < simulatedTime; sim.now += tick {
		sim.startStreams()
		sim.injectFailures()
		sim.advance()
		lost, attributed := sim.failOver(t)
		lostAttempts, attributions = lostAttempts+lost, attributions+attributed
	}
	return lostAttempts, attributions
}

// crashUnder crashes the target of a poison request.
func (sim *simulation) crashUnder(s *simulatedStream) {
	sim.crashesByRequest[s.name]++
	sim.crashTimes[s.name] = append(sim.crashTimes[s.name], sim.now)
	sim.crash(s.target)
}

// lateArrivals returns how many attempts of a poison request were sent too late.
func (sim *simulation) lateArrivals(name string) int {
	crashes := sim.crashTimes[name]
	if len(crashes) < minCrashThreshold {
		return 0
	}
	n := 0
	for _, at := range sim.arrivals[name] {
		if at > crashes[minCrashThreshold-1]+quarantineDelay {
			n++
		}
	}
	return n
}

// occurs draws whether an event of this rate occurs in the current tick.
func (sim *simulation) occurs(perSecond float64) bool {
	return sim.rng.Float64() < perSecond*tick.Seconds()
}

func (sim *simulation) startStreams() {
	if sim.occurs(sim.Streams) {
		sim.streamCount++
		sim.send(&simulatedStream{name: fmt.Sprint("s", sim.streamCount)})
	}
	if sim.occurs(sim.Popular) {
		sim.send(&simulatedStream{name: popularName})
	}
	for i := range sim.Poison {
		name := fmt.Sprint("x", i)
		if sim.occurs(1/poisonInterval.Seconds()) && !sim.tracker.Status(requestOf(name), sim.clock()).Quarantined {
			sim.send(&simulatedStream{name: name, isPoison: true, moment: sim.Moment})
		}
	}
}

// send starts an attempt at a random target that is up.
func (sim *simulation) send(s *simulatedStream) {
	for range 10 * len(sim.targets) {
		s.target = sim.rng.IntN(len(sim.targets))
		if sim.targets[s.target].downUntil <= sim.now {
			s.boot, s.attemptTime, s.ran, s.attemptEvents = sim.targets[s.target].boot, 0, 0, 0
			s.untilPrefilled = 0
			if s.name != popularName {
				s.untilPrefilled = time.Duration((0.5 + sim.rng.Float64()) * float64(prefillTime))
			}
			sim.streams = append(sim.streams, s)
			if s.isPoison {
				sim.arrivals[s.name] = append(sim.arrivals[s.name], sim.now)
			}
			return
		}
	}
}

func (sim *simulation) injectFailures() {
	if sim.occurs(sim.Crashes) {
		sim.crash(sim.rng.IntN(len(sim.targets)))
	}
	if sim.occurs(sim.Outages) {
		sim.outage(sim.rng.IntN(sim.Zones), sim.Share)
	}
	if sim.Half && sim.now%(7*time.Second) == 3*time.Second {
		sim.outage(sim.rng.IntN(sim.Zones), 0.5)
	}
	if sim.All && sim.now%(7*time.Second) == 3*time.Second-restartLead {
		sim.tracker = new(Tracker)
	}
	if sim.All && sim.now%(7*time.Second) == 3*time.Second {
		for zone := range sim.Zones {
			sim.outage(zone, 1)
		}
	}
}

func (sim *simulation) outage(zone int, share float64) {
	for i := range sim.targets {
		if sim.targets[i].zone == zone && sim.rng.Float64() < share {
			sim.crash(i)
		}
	}
}

func (sim *simulation) crash(target int) {
	sim.targets[target].downUntil = sim.now + downTime
	sim.targets[target].boot++
}

// advance lets all attempts progress by a tick.
func (sim *simulation) advance() {
	for _, s := range sim.streams {
		if sim.targetLost(s) {
			continue
		}
		s.ran += tick
		if s.untilPrefilled > 0 {
			s.untilPrefilled -= tick
			if s.isPoison && sim.Moment == momentBeforeHead && s.untilPrefilled <= 0 {
				sim.crashUnder(s)
			}
			continue
		}
		s.attemptTime += tick
		if s.isPoison {
			s.streamedTime += tick
			if s.attemptTime >= sim.poisonDelay() {
				sim.crashUnder(s)
			}
			continue
		}
		s.streamedTime += tick
		s.recordProgress(sim)
	}
}

// recordProgress records a success as an instance does: once the attempt has left its start
// behind, and at the end of the stream.
func (s *simulatedStream) recordProgress(sim *simulation) {
	if s.attemptEvents <= maxEarlyEvents && s.eventsInAttempt() > maxEarlyEvents {
		sim.tracker.RecordSuccess(requestOf(s.name), "v1", PastStart, sim.clock())
	}
	s.attemptEvents = s.eventsInAttempt()
	if s.eventCount() == eventsPerStream {
		sim.tracker.RecordSuccess(requestOf(s.name), "v1", ToEnd, sim.clock())
	}
}

// poisonDelay returns the time from the head of an answer to a poison request to the crash.
func (sim *simulation) poisonDelay() time.Duration {
	switch sim.Moment {
	case momentMidStream:
		return eventsPerStream / 2 * eventInterval
	case momentEvent:
		return eventInterval
	}
	return poisonCrashDelay
}

func (s *simulatedStream) phase() Phase { return PhaseOf(s.untilPrefilled <= 0, s.eventsInAttempt()) }

// eventsInAttempt returns the number of events of the attempt. A poison request that crashes its
// target soon after the head has none.
func (s *simulatedStream) eventsInAttempt() int {
	if s.isPoison && s.moment == "" {
		return 0
	}
	return int(s.attemptTime / eventInterval)
}

func (s *simulatedStream) eventCount() int { return int(s.streamedTime / eventInterval) }

// targetLost reports whether the attempt's target has crashed.
func (sim *simulation) targetLost(s *simulatedStream) bool {
	return sim.targets[s.target].boot != s.boot
}

// failOver sends the streams that lost their targets to other targets, unless their
// requests are quarantined. It returns the counts of run for one tick.
func (sim *simulation) failOver(t *testing.T) (lostAttempts, attributions int) {
	streams := sim.streams
	sim.streams = nil
	for _, s := range streams { // instances wait for what others find before they record a crash
		if sim.targetLost(s) {
			sim.tracker.RecordLoss(Loss{Service: "llm", Zone: fmt.Sprint(sim.targets[s.target].zone), Boot: bootOf(s), Targets: len(sim.targets)}, sim.clock())
		}
	}
	for _, s := range streams {
		if !sim.targetLost(s) {
			gaveUp := s.untilPrefilled > 0 && sim.tracker.Status(requestOf(s.name), sim.clock()).Quarantined
			if !s.isPoison && sim.now%statusInterval == 0 && sim.tracker.Status(requestOf(s.name), sim.clock()).Quarantined {
				require.Fail(t, "a bystander is quarantined while it runs", "%s at %v", s.name, sim.now)
			}
			if s.eventCount() < eventsPerStream && !gaveUp {
				sim.streams = append(sim.streams, s)
			}
			continue
		}
		loss := sim.observe(s)
		attributed := loss.Counts()
		if attributed {
			crash := crashOf(s.name, bootOf(s).ID())
			crash.Phase, crash.Ran, crash.Progress = s.phase(), s.ran, Progress{Total: s.eventCount(), Attempt: s.eventsInAttempt()}
			if sim.Moment == momentEvent {
				crash.Phase = PhaseOf(s.untilPrefilled <= 0, s.eventCount()) // as instances do
			}
			crash.Call, crash.InOutage = fmt.Sprintf("%p", s), loss.InOutage()
			r := requestOf(s.name)
			r.Running = []int{1 + sim.running(s.name)}
			sim.tracker.RecordOwnCrash(r, crash, sim.clock())
		}
		quarantined := sim.tracker.Status(requestOf(s.name), sim.clock()).Quarantined
		if !s.isPoison {
			lostAttempts++
			if attributed {
				attributions++
			}
			if quarantined {
				t.Errorf("%s is quarantined at %v", s.name, sim.now)
			}
		}
		if !quarantined {
			sim.send(s)
		}
	}
	return lostAttempts, attributions
}

// running returns how many other attempts of a request are in progress.
func (sim *simulation) running(name string) int {
	n := 0
	for _, s := range sim.streams {
		if s.name == name {
			n++
		}
	}
	return n
}

// bootOf returns the boot that an attempt was sent to.
func bootOf(s *simulatedStream) ragworthitch.Boot {
	return ragworthitch.NewBoot(fmt.Sprint("t", s.target, "-", s.boot), 0)
}

// observe returns what an instance observes when an attempt loses its target.
func (sim *simulation) observe(s *simulatedStream) LossObservation {
	return LossObservation{Zone: sim.checkNeighbours(func(o simulatedTarget) bool { return o.zone == sim.targets[s.target].zone }, s.target),
		Service: sim.checkNeighbours(func(simulatedTarget) bool { return true }, s.target)}
}

// checkNeighbours checks some other targets for connections, but not those that are
// already known to be lost.
func (sim *simulation) checkNeighbours(match func(simulatedTarget) bool, lost int) NeighbourCheck {
	var r NeighbourCheck
	for _, i := range sim.rng.Perm(len(sim.targets)) {
		o := sim.targets[i]
		known := o.downUntil > sim.now && o.downUntil < sim.now+downTime-tick
		if i == lost || !match(o) || known || r.Asked == Neighbours {
			continue
		}
		r.Asked++
		if o.downUntil > sim.now {
			r.Lost++
		}
	}
	return r
}

// Outages of a zone or a service are distinguished from the loss of single targets.
func TestOutage(t *testing.T) {
	for lost := range Neighbours + 1 {
		assert.Equal(t, lost >= outageThreshold, LossObservation{Zone: NeighbourCheck{Asked: Neighbours, Lost: lost}}.InOutage(), lost)
	}
	assert.True(t, LossObservation{Service: NeighbourCheck{Asked: 3, Lost: 2}}.InOutage())
	assert.False(t, LossObservation{Service: NeighbourCheck{Asked: 4, Lost: 2}}.InOutage(), "other targets of the service are up")
	assert.True(t, LossObservation{Service: NeighbourCheck{Asked: 1, Lost: 1}}.InOutage(), "all that the call has not tried are lost")
	assert.False(t, LossObservation{Service: NeighbourCheck{Asked: 2, Lost: 1}}.InOutage())
	assert.False(t, LossObservation{Zone: NeighbourCheck{Asked: 1, Lost: 1}}.InOutage(), "a single neighbour says little")
	assert.False(t, LossObservation{}.InOutage(), "no neighbours")
	assert.False(t, LossObservation{Draining: true}.Counts())
	assert.True(t, LossObservation{}.Counts())
}
