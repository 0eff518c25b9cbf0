package registry

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// Times of the model, as the platform's protocol has them.
const (
	modelStep     = 100 * time.Millisecond
	modelLength   = 40 * time.Second
	modelPoll     = 400 * time.Millisecond // between two reads of an instance
	modelLapse    = lapseHeartbeats * heartbeat
	modelMaxDelay = 6 * time.Second // of a write that the store performs late
	modelLeaveFor = 8 * time.Second // how long a target serves after its registration was removed
	modelReuse    = 2 * time.Second // until another target may get an address
)

type (
	// modelTarget is a boot of a target in the model.
	modelTarget struct {
		id, address string
		started     int64
		sequence    int64
		writesAt    time.Duration // of the next heartbeat
		cutUntil    time.Duration // it doesn't reach the store until then
		inherits    bool          // another target may have had the address
		draining    bool
		leavesAt    time.Duration // its registration is removed; 0: not planned
		leftAt      time.Duration // it was; 0: not yet
		endsAt      time.Duration // the process ends; 0: not planned
	}

	// modelRow is a row of the store: the registration, and when and as which transaction it was
	// written.
	modelRow struct {
		target  ragworthitch.Target
		written time.Duration
		version int
		late    bool // by a late write
	}

	// modelWrite is a write that the store performs late.
	modelWrite struct {
		target ragworthitch.Target
		at     time.Duration
	}

	// modelInstance is an instance that reads the store.
	modelInstance struct {
		number     int
		registry   *Registry
		readsAt    time.Duration
		stoodUntil time.Duration              // it stood still until then
		rows       map[string]modelRow        // as it read them last
		complete   clock.Time                 // time of that read
		newest     map[location]modelRow      // of each boot the row with the highest number that it read
		firstRead  map[location]time.Duration // when it read the first row of each boot
		knewGone   map[location]time.Duration // when it read a removal that can't be a lapse
	}

	// model is a history of a store, its targets and instances.
	model struct {
		t         *testing.T
		random    *rand.Rand
		now       time.Duration
		started   bool // registrations state the start of the boot
		rows      map[string]modelRow
		late      []modelWrite
		targets   []*modelTarget
		instances []*modelInstance
		ids       int
		version   int // of the last write
		unclear   int // removals that may have been lapses, as far as an instance can tell
	}
)

func newModel(t *testing.T, seed uint64, instances int) *model {
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, 83)), rows: map[string]modelRow{}}
	m.started = m.random.IntN(2) == 0
	for n := range 6 {
		m.addTarget(fmt.Sprintf("10.0.0.%d:80", n))
	}
	for n := range instances {
		m.instances = append(m.instances, &modelInstance{number: n, registry: &Registry{Heartbeat: heartbeat}, readsAt: m.upTo(modelPoll), rows: map[string]modelRow{}, newest: map[location]modelRow{}, firstRead: map[location]time.Duration{}, knewGone: map[location]time.Duration{}})
	}
	return m
}

// log writes a line of the history, which go test prints if it fails.
func (m *model) log(format string, args ...any) {
	m.t.Logf("%v: "+format, append([]any{m.now}, args...)...)
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.random.Int64N(int64(d))) }

func (m *model) chance(p float64) bool { return m.random.Float64() < p }

func (m *model) addTarget(address string) {
	m.ids++
	t := &modelTarget{id: fmt.Sprint("t", m.ids), address: address, writesAt: m.now + m.upTo(heartbeat), inherits: m.now > 0}
	if t.inherits {
		t.writesAt += modelReuse
	}
	if m.started {
		t.started = 1000 + m.now.Milliseconds()
	}
	m.targets = append(m.targets, t)
}

func (t *modelTarget) registration() ragworthitch.Target {
	return ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.id, Service: "desk", Address: t.address, Started: t.started, Sequence: t.sequence, Draining: t.draining})
}

// step passes modelStep.
func (m *model) step() {
	m.now += modelStep
	for _, t := range slices.Clone(m.targets) {
		m.stepTarget(t)
	}
	m.late = slices.DeleteFunc(m.late, func(w modelWrite) bool {
		if w.at <= m.now {
			m.put(w.target, true)
		}
		return w.at <= m.now
	})
	maps.DeleteFunc(m.rows, func(_ string, r modelRow) bool { return m.now-r.written > modelLapse })
	for _, in := range m.instances {
		m.stepInstance(in)
	}
}

func (m *model) stepTarget(t *modelTarget) {
	switch {
	case t.endsAt != 0 && m.now >= t.endsAt:
		m.log("%s ends", t.id)
		m.targets = slices.DeleteFunc(m.targets, func(o *modelTarget) bool { return o == t })
		address := fmt.Sprintf("10.0.1.%d:80", m.ids)
		if m.chance(0.5) {
			address = t.address
		}
		m.addTarget(address)
		return
	case t.leftAt != 0:
		return
	case t.leavesAt != 0 && m.now >= t.leavesAt:
		t.leftAt, t.endsAt = m.now, m.now+modelReuse+m.upTo(modelLeaveFor)
		delete(m.rows, t.id)
		m.log("%s leaves", t.id)
		return
	}
	m.disturb(t)
	if m.now >= t.writesAt {
		t.writesAt += heartbeat
		m.write(t)
	}
}

// disturb begins what may happen to a target.
func (m *model) disturb(t *modelTarget) {
	perStep := modelStep.Seconds()
	switch {
	case t.leavesAt != 0:
	case m.chance(perStep / 15):
		t.leavesAt = m.now + m.upTo(3*time.Second)
		t.draining = m.chance(0.3)
		if t.draining {
			m.write(t)
		}
	case m.chance(perStep / 15):
		t.cutUntil = m.now + m.upTo(8*time.Second)
	case m.chance(perStep / 40):
		t.endsAt = m.now // it crashes
	}
}

// write writes a target's registration, perhaps late, and perhaps again.
func (m *model) write(t *modelTarget) {
	if m.now < t.cutUntil {
		return
	}
	t.sequence++
	if m.chance(0.25) {
		m.late = append(m.late, modelWrite{t.registration(), m.now + time.Second + m.upTo(modelMaxDelay-time.Second)})
		if m.chance(0.7) {
			return
		}
	}
	m.put(t.registration(), false)
}

func (m *model) put(t ragworthitch.Target, late bool) {
	m.version++
	m.rows[t.ID()] = modelRow{t, m.now, m.version, late}
	m.log("%s at %s: entry %d written, draining %v", t.ID(), t.Address(), t.Sequence(), t.Draining())
}

func (m *model) stepInstance(in *modelInstance) {
	if m.now < in.readsAt {
		return
	}
	in.readsAt = m.now + modelPoll
	if m.chance(0.01) {
		in.stoodUntil = m.now + m.upTo(5*time.Second)
		in.readsAt = in.stoodUntil
		return
	}
	m.read(in)
}

// read applies what has changed since the last read.
func (m *model) read(in *modelInstance) {
	now := clock.Now()
	for id, r := range in.rows {
		if _, ok := m.rows[id]; !ok {
			in.registry.Unregister(id, now, now)
			m.log("instance %d reads the removal of %s", in.number, id)
			m.recordRemoval(in, r.target)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.rows)) {
		if r := m.rows[id]; in.rows[id].version != r.version {
			at := locationOf(r.target)
			if _, ok := in.firstRead[at]; !ok {
				in.firstRead[at] = m.now
			}
			if r.target.Sequence() > in.newest[at].target.Sequence() {
				in.newest[at] = r
			}
			outcome := in.registry.PutWritten(r.target, 0, in.complete)
			m.log("instance %d reads %s, entry %d: %s", in.number, id, r.target.Sequence(), outcome)
		}
	}
	in.registry.Expire(now)
	in.rows, in.complete = maps.Clone(m.rows), now
}

// recordRemoval records that an instance has read the removal of a target's row.
func (m *model) recordRemoval(in *modelInstance, t ragworthitch.Target) {
	at := locationOf(t)
	for _, left := range m.targets {
		if left.leftAt == 0 || locationOf(left.registration()) != at || in.knewGone[at] != 0 {
			continue
		}
		if m.now-in.newest[at].written < time.Duration(leftHeartbeats*float64(heartbeat))-2*modelPoll && in.stoodUntil+modelLapse <= m.now {
			in.knewGone[at] = m.now
		} else {
			m.unclear++
		}
	}
}

// contested reports whether two rows that the instance has read have one address.
func (in *modelInstance) contested(address string) bool {
	n := 0
	for _, r := range in.rows {
		if r.target.Address() == address {
			n++
		}
	}
	return n > 1
}

// check compares what the instances use with the rule on targets that leave, and with what
// targets that live may expect.
func (m *model) check() {
	for n, in := range m.instances {
		if m.now < in.stoodUntil+modelLapse {
			continue // not in touch
		}
		for _, t := range m.targets {
			member := in.registry.ByID(t.id)
			uses := member != nil && member.Target().Boot() == ragworthitch.NewBoot(t.id, t.started) && member.AcceptsCalls(clock.Now())
			at := locationOf(t.registration())
			if goneAt, ok := in.knewGone[at]; ok && m.now > goneAt+modelPoll {
				require.False(m.t, uses, "%v: instance %d uses %s, which left at %v", m.now, n, t.id, t.leftAt)
			}
			r, registered := in.rows[t.id]
			bound := time.Duration(0)
			if t.inherits {
				bound = modelLapse + 2*modelPoll
			}
			if t.leavesAt == 0 && t.endsAt == 0 && registered && !in.contested(t.address) && !r.late && r.target.Sequence() == t.sequence && m.now >= in.firstRead[at]+bound {
				require.True(m.t, uses, "%v: instance %d doesn't use %s, which lives and has written %d", m.now, n, t.id, t.sequence)
			}
		}
	}
}

// Guards against a target that has left and is used again, and against one that lives and is not
// used, in random histories of check-ins, late and repeated ones, removals, lapses, crashes,
// addresses that are used again and instances that stand still.
func TestRandomHistories(t *testing.T) {
	type history struct {
		Seed      uint64
		Instances int
	}
	histories := cases.Load[history](t, "testdata/histories.yaml")
	for seed := range uint64(150) {
		histories = append(histories, history{seed, 2 + int(seed)%6})
	}
	unclear := 0
	for _, h := range histories {
		t.Run(fmt.Sprint(h.Seed, " ", h.Instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newModel(t, h.Seed, h.Instances)
				for m.now < modelLength {
					time.Sleep(modelStep)
					m.step()
					m.check()
				}
				unclear += m.unclear
			})
		})
	}
	t.Logf("%d removals may have been lapses, as far as an instance can tell, and are not checked", unclear)
}
