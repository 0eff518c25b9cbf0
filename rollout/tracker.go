package rollout

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// canaryFraction and slackFraction are the fractions of the operator's bounds
	// Tracker.Share and Tracker.Slack that canary calls may use; the instances divide the
	// slack equally. The rest is a margin for random variation.
	canaryFraction = 0.95
	slackFraction  = 0.4
	// Fractions of an order's duration: answers count as recent from recentFrom on; a
	// version is promoted from promoteFrom on, if judged good, and from
	// promoteLikelyFrom on, if more likely good than bad; the order is completed from
	// completeFrom on though some calls still run at old targets, and rolled back from
	// rollBackFrom on if the version was not judged. The rest is left for a slow store.
	recentFrom        = 0.45
	promoteFrom       = 0.6
	promoteLikelyFrom = 0.8
	completeFrom      = 0.92
	rollBackFrom      = 0.95
	// maxOldLoadShare is the share of a service's load that may run at the old targets
	// when they stop: the share that a zone outage moves to the other targets.
	maxOldLoadShare = 0.4
	// minReadyShare is the number of ready targets that the new version needs, relative
	// to the number of old ones.
	minReadyShare = 0.8
	// An answer, or the mean of its event intervals, is slow if it takes slowFactor
	// times as long as the baseline, and a first event if it takes slowFirstEventFactor
	// times as long as expected. The latter waits for prompts of other callers, which
	// instances don't know.
	slowFactor           = 2
	slowFirstEventFactor = 3.5
	// newVersionHold is how long a version that appears beside another gets no calls
	// while no order for it is known: the order may still be on its way.
	newVersionHold = 3 * time.Second
	// Versions discovered within initialDiscovery of the first were there from the
	// start and are not held back.
	initialDiscovery = time.Second
	// The baseline of answer times is a moving mean over some baselineWindow answers;
	// it is used from minBaselineSamples on.
	baselineWindow     = 32
	minBaselineSamples = 8
	// defaultShare is the canary share where the operator sets none.
	defaultShare = 0.1
)

type (
	// Tracker tracks the orders, versions and evidence that an instance knows. The zero
	// value is ready to use; exported fields have to be set before the first call.
	Tracker struct {
		// Share is the operator's bound on the share of a service's calls that a bad
		// version may get; 0: the default.
		Share float64
		// ShareGiven means that a Share of 0 is the operator's.
		ShareGiven bool
		// Slack is the number of calls that a bad version may get on top of Share, over
		// all instances. Instances returns the number of instances; ok is false while
		// that number is not certain.
		Slack     float64
		Instances func() (n int, ok bool)
		// Random returns random numbers in [0, 1); nil: math/rand/v2.
		Random func() float64
		// Self identifies this process of the instance.
		Self Writer
		Log  zerolog.Logger

		active       atomic.Bool // there is an order, a status, or more than one version
		mu           sync.Mutex
		services     map[string]*service
		statusesRead bool // the statuses in the store are known
	}

	// service is the state of one service.
	service struct {
		name           string
		order          Order // zero ID: no order
		orderSeenAt    clock.Time
		status         Status
		budget         canaryBudget
		latestEvidence map[Writer]Evidence // for any order
		tallies        map[Writer]Tally    // for the current order
		judge          judge
		verdict        Verdict // the judge's latest
		hasNewEvidence bool    // not yet evaluated by the judge
		rollBackDue    bool    // this instance has found the version bad, or the order was withdrawn
		writtenAnswers int     // new version's answers in the own tally when last written
		writtenAt      clock.Time
		firstSeen      map[string]clock.Time // by version
		firstVersion   string                // the version that was discovered first
		calls          Calls
		baselines      map[string]baseline // by route
		rejected       rejections
		inService      []string // when the latest order with a status began
		accountedOrder int64    // statuses read from the store account for the ends of all orders up to this one
	}

	// baseline is the mean answer time of the old version on a route.
	baseline struct {
		samples int
		mean    float64 // ns
	}

	// Calls counts the new calls at this instance, the canary calls among them, and the
	// other calls that were sent to the new version.
	Calls struct{ All, Canary, OtherNew int }

	// Answer says whether an answer of a target has a symptom.
	Answer struct {
		Service, Route, Target, Version string
		Symptom                         Symptom
		Bad                             bool
	}
)

// Active reports whether roll-outs restrict any call.
func (t *Tracker) Active() bool { return t.active.Load() }

// service returns the state of a service, which it adds if it is new; t.mu is held.
func (t *Tracker) service(name string) *service {
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s := t.services[name]
	if s == nil {
		s = &service{name: name, latestEvidence: map[Writer]Evidence{}, tallies: map[Writer]Tally{}, baselines: map[string]baseline{}, firstSeen: map[string]clock.Time{}}
		t.services[name] = s
	}
	return s
}

// updateActive recomputes t.active; t.mu is held.
func (t *Tracker) updateActive() {
	active := false
	for _, s := range t.services {
		active = active || s.order.ID != 0 || s.status.State != None || len(s.firstSeen) > 1
	}
	t.active.Store(active)
}

// RecordVersion records that a target of a version was discovered.
func (t *Tracker) RecordVersion(serviceName, version string, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	if s.firstVersion == "" {
		s.firstVersion = version
	}
	if _, ok := s.firstSeen[version]; !ok {
		s.firstSeen[version] = now
		t.updateActive()
	}
}

// Order applies the operator's order for a service, unless it is older than the current
// one.
func (t *Tracker) Order(o Order, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(o.Service)
	if o.ID <= s.order.ID {
		return
	}
	t.endEarlier(s, o.ID)
	s.startOrder(o, now)
	if s.isReplaced() && o.ID > s.accountedOrder {
		t.reject(s, Rejection{Version: o.To, Order: o.ID}, "own: order replaced")
	}
	s.budget.extraCalls = t.slack()
	t.updateActive()
	t.Log.Info().Str("service", o.Service).Str("to", o.To).Dur("duration", o.Duration).Int64("order", o.ID).Msg("rollout: order received")
}

func (t *Tracker) random() float64 {
	if t.Random == nil {
		return rand.Float64()
	}
	return t.Random()
}

func (t *Tracker) share() float64 {
	if t.ShareGiven {
		return t.Share
	}
	return cmp.Or(t.Share, defaultShare)
}

// slack returns this instance's part of the calls on top of the share. An instance that
// doesn't know the number of instances gets none, since others may have used theirs.
func (t *Tracker) slack() float64 {
	if t.Instances == nil {
		return 0
	}
	n, ok := t.Instances()
	if !ok || n == 0 {
		return 0
	}
	return slackFraction * t.Slack / float64(n)
}

// startOrder resets the service for an order.
func (s *service) startOrder(o Order, now clock.Time) {
	s.order, s.orderSeenAt = o, now
	s.tallies, s.judge, s.verdict, s.rollBackDue = map[Writer]Tally{}, judge{}, Verdict{}, false
	s.budget, s.calls, s.writtenAnswers = canaryBudget{}, Calls{}, 0
	s.hasNewEvidence = true
	for w, e := range s.latestEvidence {
		if e.Order == o.ID {
			s.tallies[w] = e.Tally
		}
	}
	if s.status.Order < o.ID {
		s.status = Status{Row: s.status.Row}
	}
}

// OrderedServices returns the services with an order.
func (t *Tracker) OrderedServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, s := range t.services {
		if s.order.ID != 0 {
			out = append(out, name)
		}
	}
	return out
}

// Withdraw records that the operator has withdrawn the order for a service. The order is
// rolled back unless its state is final.
func (t *Tracker) Withdraw(serviceName string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	if s.order.ID == 0 || s.isReplaced() || s.status.State.Final() {
		return
	}
	s.rollBackDue = true
	t.Log.Warn().Str("service", serviceName).Int64("order", s.order.ID).Msg("rollout: order withdrawn; the version is rolled back")
}

// Status applies a status from the store. Of the statuses of earlier orders it only takes
// which versions get no calls, and it ignores changes of a final state.
func (t *Tracker) Status(st Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(st.Service)
	if st.Row <= s.status.Row {
		return
	}
	if st.Order < max(s.order.ID, s.status.Order) {
		t.recordEnd(s, st)
		s.status.Row = st.Row // the next change is conditional on this row
		return
	}
	if st.Order == s.status.Order && s.status.State.Final() && st.State != s.status.State {
		t.Log.Error().Str("service", st.Service).Stringer("state", st.State).Stringer("known", s.status.State).Msg("rollout: ignoring a change of a final status")
		return
	}
	changed := st.State != s.status.State || st.Order != s.status.Order
	t.endEarlier(s, st.Order)
	t.mergeVersions(s, st)
	s.status = st
	t.updateActive()
	if changed {
		t.Log.Info().Str("service", st.Service).Str("to", st.To).Int64("order", st.Order).Stringer("state", st.State).Int("callsHere", s.calls.All).
			Int("trialsHere", s.calls.Canary).Int("besidesHere", s.calls.OtherNew).Msg("rollout: status changed")
	}
}

// MarkStatusesRead records that all statuses were read from the store. Before that, Decide
// returns nothing.
func (t *Tracker) MarkStatusesRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statusesRead = true
}

// RecordPeerEvidence records evidence of a peer. It ignores evidence that is not newer
// than the latest of the same writer.
func (t *Tracker) RecordPeerEvidence(e Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(e.Service)
	known := s.latestEvidence[e.Writer]
	stale := e.Order < known.Order || e.Order == known.Order && e.Tally.answers() <= known.Tally.answers()
	if e.Writer == t.Self || stale {
		return
	}
	s.latestEvidence[e.Writer] = e
	if e.Order == s.order.ID {
		s.tallies[e.Writer], s.hasNewEvidence = e.Tally, true
	}
}

// RecordAnswer counts an answer to a call of this instance as evidence for the current
// order.
func (t *Tracker) RecordAnswer(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(a.Service)
	versions := s.versions()
	if s.order.ID == 0 || s.isReplaced() || s.status.State.Final() || versions.IsRejected(a.Version) {
		return
	}
	tally := s.tallies[t.Self]
	if tally == nil {
		tally = Tally{}
		s.tallies[t.Self] = tally
	}
	s.hasNewEvidence = true
	tally.add(Group{Route: a.Route, New: versions.IsNew(a.Version), Symptom: a.Symptom}, a.Target, a.Bad)
}

// RelativeTime returns the time of an answer to a plain call relative to the old version's
// baseline, or 0 if there are too few samples. An answer of the old version is then added
// to the baseline.
func (t *Tracker) RelativeTime(serviceName, route, version string, took time.Duration) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(serviceName)
	base := s.baselines[route]
	ratio := 0.0
	if base.samples >= minBaselineSamples {
		ratio = float64(took) / base.mean
	}
	if s.versions().IsOld(version) {
		base.add(took)
		s.baselines[route] = base
	}
	return ratio
}

// add updates the mean with an answer's time.
func (b *baseline) add(took time.Duration) {
	b.samples++
	b.mean += (float64(took) - b.mean) / float64(min(b.samples, baselineWindow))
}

// IsSlowFirstEvent reports whether a first event is slow, by its time relative to the
// expected time.
func IsSlowFirstEvent(relativeTime float64) bool { return relativeTime > slowFirstEventFactor }

// IsSlow reports whether an answer is slow, by its time relative to the baseline.
func IsSlow(relativeTime float64) bool { return relativeTime > slowFactor }
