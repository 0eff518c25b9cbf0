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
	tick     = 10 * time.Millisecond
	dayTime  = 60 * time.Second
	readTime = 1500 * time.Millisecond // the mean until a run begins, those that wait before it included
	eventGap = 40 * time.Millisecond
	events   = 130
	downTime = 2 * time.Second
	// deadlyEvery is the mean time between two tries of a deadly request, and
	// deadlyAfter how long after its run begins the target crashes.
	deadlyEvery = 500 * time.Millisecond
	deadlyAfter = 100 * time.Millisecond
	draws       = 40
	// lateDeaths are those of runs that had begun when the request was condemned, and
	// crashes that looked like a zone's failure.
	lateDeaths = 5
)

type (
	dayLoad struct {
		Name    string
		Zones   int
		Targets int
		Streams float64 // that begin
		Crashes float64 // of single targets
		Outages float64 // of zones
		Share   float64 // of the zone's targets
		Half    bool
		Deadly  int // requests that crash whatever runs them
	}

	// simTarget is one target of a day.
	simTarget struct {
		zone, boot int
		downUntil  time.Duration
	}

	// simStream is one stream of a day, over all its runs.
	simStream struct {
		name    string
		deadly  bool
		at      int // its target
		boot    int // of the target, when the run was sent
		reading time.Duration
		ran     time.Duration // in this run
		made    time.Duration // in all runs
	}

	simDay struct {
		dayLoad
		rng     *rand.Rand
		now     time.Duration
		targets []simTarget
		streams []*simStream
		count   int
		book    Book
		deaths  map[string]int // caused by each deadly request
	}
)

// Whatever targets are lost, no request is condemned that did not crash them: not
// one that was aboard of several by bad luck, of a zone that failed, or beside one
// that did. Those that do are condemned after three targets, and those few that they
// had begun to run at meanwhile.
func TestBystanders(t *testing.T) {
	for _, c := range cases.Load[dayLoad](t, "testdata/bystanders.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			moved, blamed := 0, 0
			for seed := range uint64(draws) {
				d := &simDay{dayLoad: c, rng: rand.New(rand.NewPCG(seed, 1)), deaths: map[string]int{}}
				m, b := d.play(t)
				moved, blamed = moved+m, blamed+b
				assert.Len(t, d.deaths, c.Deadly)
				for name, n := range d.deaths {
					assert.True(t, d.book.Judge(printOf(name), d.clock()).Condemned, name)
					assert.LessOrEqual(t, n, deathsNeeded+lateDeaths, name)
				}
			}
			t.Logf("%d runs of innocent requests lost their targets, %d of them were blamed for it", moved, blamed)
		})
	}
}

func (d *simDay) clock() clock.Time { return clock.Time(time.Hour + d.now) }

// play plays the day, and returns how many runs of innocent requests were lost, and
// how many of these were blamed.
func (d *simDay) play(t *testing.T) (moved, blamed int) {
	for i := range d.Targets {
		d.targets = append(d.targets, simTarget{zone: i % d.Zones})
	}
	for ; d.now < dayTime; d.now += tick {
		d.arrivals()
		d.strike()
		d.advance()
		m, b := d.move(t)
		moved, blamed = moved+m, blamed+b
	}
	return moved, blamed
}

// happens reports whether something that comes so often a second comes in this tick.
func (d *simDay) happens(perSecond float64) bool {
	return d.rng.Float64() < perSecond*tick.Seconds()
}

func (d *simDay) arrivals() {
	if d.happens(d.Streams) {
		d.count++
		d.send(&simStream{name: fmt.Sprint("s", d.count)})
	}
	for i := range d.Deadly {
		name := fmt.Sprint("x", i)
		if d.happens(1/deadlyEvery.Seconds()) && !d.book.Judge(printOf(name), d.clock()).Condemned {
			d.send(&simStream{name: name, deadly: true})
		}
	}
}

// send begins a run at any target that is up.
func (d *simDay) send(s *simStream) {
	for range 10 * len(d.targets) {
		s.at = d.rng.IntN(len(d.targets))
		if d.targets[s.at].downUntil <= d.now {
			s.boot, s.ran = d.targets[s.at].boot, 0
			s.reading = time.Duration((0.5 + d.rng.Float64()) * float64(readTime))
			d.streams = append(d.streams, s)
			return
		}
	}
}

// strike has targets lost.
func (d *simDay) strike() {
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

func (d *simDay) outage(zone int, share float64) {
	for i := range d.targets {
		if d.targets[i].zone == zone && d.rng.Float64() < share {
			d.crash(i)
		}
	}
}

func (d *simDay) crash(target int) {
	d.targets[target].downUntil = d.now + downTime
	d.targets[target].boot++
}

// advance has all runs go on.
func (d *simDay) advance() {
	for _, s := range d.streams {
		if d.lost(s) {
			continue
		}
		if s.reading > 0 {
			s.reading -= tick
			continue
		}
		s.ran += tick
		if s.deadly {
			if s.ran >= deadlyAfter {
				d.deaths[s.name]++
				d.crash(s.at)
			}
			continue
		}
		s.made += tick
		if s.eventsMade() == youngEvents+1 {
			d.book.RanWell(printOf(s.name), d.clock())
		}
	}
}

func (s *simStream) eventsMade() int { return int(s.made / eventGap) }

// lost reports whether a run's target has crashed.
func (d *simDay) lost(s *simStream) bool { return d.targets[s.at].boot != s.boot }

// move has the streams that lost their targets go on elsewhere.
func (d *simDay) move(t *testing.T) (moved, blamed int) {
	streams := d.streams
	d.streams = nil
	for _, s := range streams {
		if !d.lost(s) {
			given := s.reading > 0 && d.book.Judge(printOf(s.name), d.clock()).Condemned // up before it has begun
			if s.eventsMade() < events && !given {
				d.streams = append(d.streams, s)
			}
			continue
		}
		d.book.Lost(Loss{Service: "llm", Zone: fmt.Sprint(d.targets[s.at].zone), Boot: bootOf(s), Targets: len(d.targets)}, d.clock())
		sighting := d.sighting(s)
		guilty := s.reading <= 0 && sighting.Counts()
		if guilty {
			death := deathOf(s.name, bootOf(s).ID())
			death.Call, death.Together = fmt.Sprintf("%p", s), sighting.Together()
			d.book.Died(death, SourceOwn, d.clock())
		}
		condemned := d.book.Judge(printOf(s.name), d.clock()).Condemned
		if !s.deadly {
			moved++
			if guilty {
				blamed++
			}
			if condemned {
				t.Errorf("%s is condemned at %v", s.name, d.now)
			}
		}
		if !condemned {
			d.send(s)
		}
	}
	return moved, blamed
}

// bootOf is the target that a run was sent to.
func bootOf(s *simStream) ragworthitch.Boot {
	return ragworthitch.NewBoot(fmt.Sprint("t", s.at, "-", s.boot), 0)
}

// sighting is what an instance finds when a run's target is lost.
func (d *simDay) sighting(s *simStream) Sighting {
	return Sighting{Events: s.eventsMade(), Zone: d.ask(func(o simTarget) bool { return o.zone == d.targets[s.at].zone }, s.at),
		Service: d.ask(func(simTarget) bool { return true }, s.at)}
}

// ask asks some other targets for connections; those that were lost before and are
// known to be are not asked.
func (d *simDay) ask(of func(simTarget) bool, but int) Round {
	var r Round
	for _, i := range d.rng.Perm(len(d.targets)) {
		o := d.targets[i]
		known := o.downUntil > d.now && o.downUntil < d.now+downTime-tick
		if i == but || !of(o) || known || r.Asked == Neighbours {
			continue
		}
		r.Asked++
		if o.downUntil > d.now {
			r.Lost++
		}
	}
	return r
}

// A zone or a service that fails together is told from single targets.
func TestTogether(t *testing.T) {
	for lost := range Neighbours + 1 {
		assert.Equal(t, lost >= outage, Sighting{Zone: Round{Asked: Neighbours, Lost: lost}}.Together(), lost)
	}
	assert.True(t, Sighting{Service: Round{Asked: 3, Lost: 2}}.Together())
	assert.False(t, Sighting{Service: Round{Asked: 4, Lost: 2}}.Together(), "others of it serve")
	assert.False(t, Sighting{Zone: Round{Asked: 1, Lost: 1}}.Together(), "that may be chance")
	assert.False(t, Sighting{}.Together(), "there is nobody else")
	assert.False(t, Sighting{Leaving: true}.Counts())
	assert.False(t, Sighting{Events: youngEvents + 1}.Counts())
}
