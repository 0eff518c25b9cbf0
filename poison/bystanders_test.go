package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	tick            = 10 * time.Millisecond
	simulatedTime   = 60 * time.Second
	prefillTime     = 1500 * time.Millisecond // mean time from sending to the first event, queueing included
	eventInterval   = 40 * time.Millisecond
	eventsPerStream = 130
	downTime        = 2 * time.Second
	// poisonInterval is the mean time between two calls with a poison request, and
	// poisonCrashDelay the time from the start of an attempt to the crash.
	poisonInterval   = 500 * time.Millisecond
	poisonCrashDelay = 100 * time.Millisecond
	simulations      = 40
	// maxLateCrashes bounds the crashes by attempts that had started before the
	// quarantine, and those that looked like a zone outage.
	maxLateCrashes = 5
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
		Poison  int     // requests that crash whatever runs them
	}

	simulatedTarget struct {
		zone, boot int
		downUntil  time.Duration
	}

	// simulatedStream is a stream over all its attempts.
	simulatedStream struct {
		name           string
		isPoison       bool
		target         int // index in simulation.targets
		boot           int // of the target when the attempt was sent
		untilPrefilled time.Duration
		attemptTime    time.Duration // streamed in this attempt
		streamedTime   time.Duration // streamed in all attempts
	}

	simulation struct {
		scenario
		rng              *rand.Rand
		now              time.Duration
		targets          []simulatedTarget
		streams          []*simulatedStream
		streamCount      int
		book             Book
		crashesByRequest map[string]int // of the poison requests
	}
)

// Guards against the quarantine of bystanders, whichever targets are lost: single ones,
// zones, or those that run poison requests. Poison requests are quarantined after the
// minimum of crashes and those of attempts that were already sent.
func TestBystanders(t *testing.T) {
	for _, c := range cases.Load[scenario](t, "testdata/bystanders.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			lostRuns, blamed := 0, 0
			for seed := range uint64(simulations) {
				d := &simulation{scenario: c, rng: rand.New(rand.NewPCG(seed, 1)), crashesByRequest: map[string]int{}}
				m, b := d.run(t)
				lostRuns, blamed = lostRuns+m, blamed+b
				assert.Len(t, d.crashesByRequest, c.Poison)
				for name, n := range d.crashesByRequest {
					assert.True(t, d.book.Judge(fingerprintOf(name), d.clock()).Condemned, name)
					assert.LessOrEqual(t, n, minCrashThreshold+maxLateCrashes, name)
				}
			}
			t.Logf("%d attempts of bystanders lost their targets, %d of these crashes were attributed to their requests", lostRuns, blamed)
		})
	}
}

func (d *simulation) clock() clock.Time { return clock.Time(time.Hour + d.now) }

// run returns how many attempts of bystanders were lost, and how many of these losses
// were attributed to their requests.
func (d *simulation) run(t *testing.T) (lostRuns, blamed int) {
	for i := range d.Targets {
		d.targets = append(d.targets, simulatedTarget{zone: i % d.Zones})
	}
	for ; d.now < simulatedTime; d.now += tick {
		d.arrivals()
		d.injectFailures()
		d.advance()
		m, b := d.failOver(t)
		lostRuns, blamed = lostRuns+m, blamed+b
	}
	return lostRuns, blamed
}

// happens draws whether an event of this rate occurs in the current tick.
func (d *simulation) happens(perSecond float64) bool {
	return d.rng.Float64() < perSecond*tick.Seconds()
}

func (d *simulation) arrivals() {
	if d.happens(d.Streams) {
		d.streamCount++
		d.send(&simulatedStream{name: fmt.Sprint("s", d.streamCount)})
	}
	for i := range d.Poison {
		name := fmt.Sprint("x", i)
		if d.happens(1/poisonInterval.Seconds()) && !d.book.Judge(fingerprintOf(name), d.clock()).Condemned {
			d.send(&simulatedStream{name: name, isPoison: true})
		}
	}
}

// send starts an attempt at a random target that is up.
func (d *simulation) send(s *simulatedStream) {
	for range 10 * len(d.targets) {
		s.target = d.rng.IntN(len(d.targets))
		if d.targets[s.target].downUntil <= d.now {
			s.boot, s.attemptTime = d.targets[s.target].boot, 0
			s.untilPrefilled = time.Duration((0.5 + d.rng.Float64()) * float64(prefillTime))
			d.streams = append(d.streams, s)
			return
		}
	}
}

func (d *simulation) injectFailures() {
	if d.happens(d.Crashes) {
		d.crash(d.rng.IntN(len(d.targets)))
	}
	if d.happens(d.Outages) {
		d.outage(d.rng.IntN(d.Zones), d.Share)
	}
	if d.Half && d.now%(7*time.Second) == 3*time.Second {
		d.outage(d.rng.IntN(d.Zones), 0.5)
	}
}

func (d *simulation) outage(zone int, share float64) {
	for i := range d.targets {
		if d.targets[i].zone == zone && d.rng.Float64() < share {
			d.crash(i)
		}
	}
}

func (d *simulation) crash(target int) {
	d.targets[target].downUntil = d.now + downTime
	d.targets[target].boot++
}

// advance lets all attempts progress by a tick.
func (d *simulation) advance() {
	for _, s := range d.streams {
		if d.targetLost(s) {
			continue
		}
		if s.untilPrefilled > 0 {
			s.untilPrefilled -= tick
			continue
		}
		s.attemptTime += tick
		if s.isPoison {
			if s.attemptTime >= poisonCrashDelay {
				d.crashesByRequest[s.name]++
				d.crash(s.target)
			}
			continue
		}
		s.streamedTime += tick
		if s.eventCount() == maxEarlyEvents+1 {
			d.book.RanWell(fingerprintOf(s.name), d.clock())
		}
	}
}

func (s *simulatedStream) eventCount() int { return int(s.streamedTime / eventInterval) }

// targetLost reports whether the attempt's target has crashed.
func (d *simulation) targetLost(s *simulatedStream) bool { return d.targets[s.target].boot != s.boot }

// failOver moves the streams that lost their targets to others.
func (d *simulation) failOver(t *testing.T) (lostRuns, blamed int) {
	streams := d.streams
	d.streams = nil
	for _, s := range streams {
		if !d.targetLost(s) {
			gaveUp := s.untilPrefilled > 0 && d.book.Judge(fingerprintOf(s.name), d.clock()).Condemned
			if s.eventCount() < eventsPerStream && !gaveUp {
				d.streams = append(d.streams, s)
			}
			continue
		}
		d.book.Lost(Loss{Service: "llm", Zone: fmt.Sprint(d.targets[s.target].zone), Boot: bootOf(s), Targets: len(d.targets)}, d.clock())
		sighting := d.observe(s)
		attributed := s.untilPrefilled <= 0 && sighting.Counts()
		if attributed {
			crash := crashOf(s.name, bootOf(s).ID())
			crash.Call, crash.Together = fmt.Sprintf("%p", s), sighting.Together()
			d.book.Died(crash, SourceOwn, d.clock())
		}
		quarantined := d.book.Judge(fingerprintOf(s.name), d.clock()).Condemned
		if !s.isPoison {
			lostRuns++
			if attributed {
				blamed++
			}
			if quarantined {
				t.Errorf("%s is quarantined at %v", s.name, d.now)
			}
		}
		if !quarantined {
			d.send(s)
		}
	}
	return lostRuns, blamed
}

// bootOf returns the boot that an attempt was sent to.
func bootOf(s *simulatedStream) ragworthitch.Boot {
	return ragworthitch.NewBoot(fmt.Sprint("t", s.target, "-", s.boot), 0)
}

// observe returns what an instance observes when an attempt loses its target.
func (d *simulation) observe(s *simulatedStream) Sighting {
	return Sighting{Events: s.eventCount(), Zone: d.checkNeighbours(func(o simulatedTarget) bool { return o.zone == d.targets[s.target].zone }, s.target),
		Service: d.checkNeighbours(func(simulatedTarget) bool { return true }, s.target)}
}

// checkNeighbours checks some other targets for connections, but not those that are
// already known to be lost.
func (d *simulation) checkNeighbours(match func(simulatedTarget) bool, lost int) Round {
	var r Round
	for _, i := range d.rng.Perm(len(d.targets)) {
		o := d.targets[i]
		known := o.downUntil > d.now && o.downUntil < d.now+downTime-tick
		if i == lost || !match(o) || known || r.Asked == Neighbours {
			continue
		}
		r.Asked++
		if o.downUntil > d.now {
			r.Lost++
		}
	}
	return r
}

// Outages of a zone or a service are distinguished from the loss of single targets.
func TestTogether(t *testing.T) {
	for lost := range Neighbours + 1 {
		assert.Equal(t, lost >= outageThreshold, Sighting{Zone: Round{Asked: Neighbours, Lost: lost}}.Together(), lost)
	}
	assert.True(t, Sighting{Service: Round{Asked: 3, Lost: 2}}.Together())
	assert.False(t, Sighting{Service: Round{Asked: 4, Lost: 2}}.Together(), "other targets of the service are up")
	assert.False(t, Sighting{Zone: Round{Asked: 1, Lost: 1}}.Together(), "a single neighbour says little")
	assert.False(t, Sighting{}.Together(), "no neighbours")
	assert.False(t, Sighting{Leaving: true}.Counts())
	assert.False(t, Sighting{Events: maxEarlyEvents + 1}.Counts())
}
