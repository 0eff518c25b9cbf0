package rehearse

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/fairshare"
)

const (
	// The operator's rule: of the streams that an organisation asks for below its share,
	// askedShare begin within shareWait, in any shareWindow with askedSample of them. It holds
	// for instances in touch, and from shareRecovery after a start: until then streams that
	// an instance began before it knew of its peers are in progress.
	askedShare    = 0.9
	askedSample   = 20
	shareWindow   = 10 * time.Second
	shareWait     = 2 * time.Second
	shareRecovery = contactTime + maxStreamTime

	minStreamTime  = time.Second
	maxStreamTime  = 3 * time.Second
	meanStreamTime = (minStreamTime + maxStreamTime) / 2
	streamTokens   = 1000
	// largePatience is how long streams of the large organisation wait, and burstStreams how
	// many of them come to an instance in a burst, in instances' parts of the capacity.
	largePatience = 4 * time.Second
	burstStreams  = 2
	maxShareWait  = 2 * shareWait // of other streams
)

// largeOrg asks for more than there is; the others ask for these parts of an equal share. The
// streams of pinnedOrg all come to one instance, but no more than pinnedParts times an
// instance's part of the capacity.
const (
	largeOrg    = 0
	pinnedOrg   = 1
	pinnedParts = 4
)

var askedParts = []float64{largeOrg: 0, pinnedOrg: 0.3, 0.75}

type (
	// shares rehearses the shares of organisations in a capacity that all instances use.
	shares struct {
		*fleet
		capacity int
		pinned   *fleetInstance      // gets the streams of pinnedOrg
		streams  []shareStream       // in progress
		leftover int                 // free in the last step, after the turn of those that go first
		states   []*shareState       // of the instances in the last step
		views    map[int][]shareView // under way, by the step in which they arrive
		startAt  time.Duration       // last start of an instance
		due      []float64           // streams that each organisation asks for in this step
		asked    []*arrivals         // by organisation: requests were asked for, repeats began in time
	}

	// shareState is what an instance keeps.
	shareState struct {
		tracker  *fairshare.Tracker
		waiting  [][]shareClaim // by organisation, in the order of arrival
		reported []fairshare.Usage
		changes  uint64       // of the tracker, when it was last examined
		links    []*shareLink // to peers
		linkedAt time.Duration
		version  uint64 // of the list that the peers were selected from
	}

	shareClaim struct {
		org     int
		at      time.Duration
		inTouch bool
	}

	shareStream struct {
		in    *fleetInstance
		state *shareState
		endAt time.Duration
		end   func()
	}
)

// playShares plays a plan whose limit is the capacity in streams for each instance.
func playShares(p Plan) Outcome {
	s := &shares{capacity: int(math.Ceil(p.Limit * float64(p.total()))), due: make([]float64, len(askedParts)), views: map[int][]shareView{}, startAt: -shareRecovery}
	for range askedParts {
		s.asked = append(s.asked, newArrivals(p))
	}
	s.fleet = newFleet(p, func(f *fleet, in *fleetInstance) {
		in.state = &shareState{tracker: &fairshare.Tracker{}, waiting: make([][]shareClaim, len(askedParts)), linkedAt: -linkInterval}
		if f.now > 0 {
			s.startAt = f.now
		}
	})
	s.states = make([]*shareState, len(s.instances))
	for s.now < p.length() {
		s.advance()
		s.endStreams()
		s.endLinks()
		s.ask()
		s.serve()
		for _, in := range s.instances {
			s.report(in)
		}
		s.deliverViews()
	}
	return s.outcome()
}

func orgName(i int) string { return fmt.Sprint("org-", i) }

func (s *shares) outcome() Outcome {
	worst := Outcome{Plan: s.plan}
	for i, a := range s.asked {
		if i == largeOrg {
			continue
		}
		if use, o := a.leastBegun(s.plan); use >= worst.Worst {
			worst = o
			worst.Detail = fmt.Sprintf("%s: %d of %.0f streams began in time, in the window that ends at %v", orgName(i), o.Most, o.Allowed, o.WorstAt)
		}
	}
	return worst
}

// leastBegun returns the window with the smallest share of streams that began in time.
func (a *arrivals) leastBegun(p Plan) (float64, Outcome) {
	o := Outcome{Plan: p}
	n := stepOf(shareWindow)
	asked, began := prefixSums(a.requests), prefixSums(a.repeats)
	for end := n; end < len(asked); end++ {
		wanted, got := asked[end]-asked[end-n], began[end]-began[end-n]
		if wanted < askedSample {
			continue
		}
		if use := askedShare * float64(wanted) / float64(max(got, 1)); use > o.Worst {
			o.Worst, o.WorstAt, o.Most, o.Allowed = use, time.Duration(end-1)*boundStep, got, float64(wanted)
		}
	}
	return o.Worst, o
}

func (in *fleetInstance) shares() *shareState { return in.state.(*shareState) }

// endStreams ends the streams whose time is over or whose instance was killed.
func (s *shares) endStreams() {
	s.streams = slices.DeleteFunc(s.streams, func(r shareStream) bool {
		if r.in.up && r.in.state == any(r.state) && s.now < r.endAt {
			return false
		}
		r.end()
		return true
	})
}

// ask lets the streams of all organisations come to instances.
func (s *shares) ask() {
	if s.pinned == nil || !s.pinned.up {
		s.pinned = s.instances[s.rng.IntN(s.used)]
	}
	for i, part := range askedParts {
		s.due[i] += s.atOnce(i, part) * boundStep.Seconds() / meanStreamTime.Seconds()
		for ; s.due[i] >= 1; s.due[i]-- {
			in := s.pinned
			if i != pinnedOrg {
				in = s.instances[s.rng.IntN(s.used)]
			}
			s.askAt(in, i)
		}
	}
	for _, in := range s.instances[:s.used] {
		if !in.up {
			continue
		}
		for range s.largeCalls(in) {
			s.askAt(in, largeOrg)
		}
	}
}

// atOnce returns how many streams an organisation asks for at a time.
func (s *shares) atOnce(org int, part float64) float64 {
	n := part * float64(s.capacity) / float64(len(askedParts))
	if org == pinnedOrg {
		return min(n, pinnedParts*s.plan.Limit)
	}
	return n
}

// largeCalls returns the streams that the large organisation asks for at an instance.
func (s *shares) largeCalls(in *fleetInstance) int {
	n := s.calls(in)
	switch s.plan.Calls {
	case CallsAlways:
		return max(0, int(s.plan.Limit)+1-len(in.shares().waiting[largeOrg]))
	case CallsAtOne:
		if n > 0 {
			return max(0, s.capacity-len(in.shares().waiting[largeOrg]))
		}
	case CallsBurst:
		return n * int(burstStreams*s.plan.Limit)
	}
	return n
}

func (s *shares) askAt(in *fleetInstance, org int) {
	if !in.up || in.freezes > 0 {
		return
	}
	st := in.shares()
	calm := s.now-s.startAt >= shareRecovery
	st.waiting[org] = append(st.waiting[org], shareClaim{org: org, at: s.now, inTouch: calm && s.inTouch(in)})
}

// serve gives free capacity to the instances, in a random order that stands for their turns.
// What was left over in the last step is for all streams, the rest for those that don't yield.
func (s *shares) serve() {
	s.giveUp()
	s.fill(s.capacity-len(s.streams), false)
	free := s.capacity - len(s.streams)
	s.fill(min(free, s.leftover), true)
	s.leftover = s.capacity - len(s.streams)
}

// fill begins up to free streams: one at each instance, then the next one at each.
func (s *shares) fill(free int, all bool) {
	var turns []*fleetInstance
	for _, in := range s.instances[:s.used] {
		if in.up && in.freezes == 0 {
			turns = append(turns, in)
		}
	}
	s.rng.Shuffle(len(turns), func(i, j int) { turns[i], turns[j] = turns[j], turns[i] })
	for free > 0 && len(turns) > 0 {
		turns = slices.DeleteFunc(turns, func(in *fleetInstance) bool {
			if free == 0 || !s.beginNext(in, all) {
				return true
			}
			free--
			return false
		})
	}
}

// beginNext begins the next stream of an instance, and reports whether there is one and its
// turn has come: all says whether streams that yield go too.
func (s *shares) beginNext(in *fleetInstance, all bool) bool {
	st := in.shares()
	var claims []fairshare.Claim
	var orgs []int
	for org, waiting := range st.waiting {
		if len(waiting) > 0 {
			claims, orgs = append(claims, fairshare.Claim{Org: orgName(org), Arrived: s.clock().Add(waiting[0].at - s.now)}), append(orgs, org)
		}
	}
	first := st.tracker.First(service, claims)
	if first < 0 || !all && st.tracker.Yields(service, claims[first].Org) {
		return false
	}
	org := orgs[first]
	s.resolve(in, st.waiting[org][0], true)
	st.waiting[org] = st.waiting[org][1:]
	length := minStreamTime + time.Duration(s.rng.Float64()*float64(maxStreamTime-minStreamTime))
	s.streams = append(s.streams, shareStream{in: in, state: st, endAt: s.now + length, end: st.tracker.Begin(service, orgName(org), "", streamTokens)})
	return true
}

// giveUp removes the streams that have waited for too long.
func (s *shares) giveUp() {
	for _, in := range s.instances[:s.used] {
		if !in.up {
			continue
		}
		st := in.shares()
		for org := range st.waiting {
			patience := maxShareWait
			if org == largeOrg {
				patience = largePatience
			}
			for len(st.waiting[org]) > 0 && s.now-st.waiting[org][0].at >= patience {
				s.resolve(in, st.waiting[org][0], false)
				st.waiting[org] = st.waiting[org][1:]
			}
		}
	}
}

// resolve counts a stream that begins or is given up, if the rule holds for it.
func (s *shares) resolve(in *fleetInstance, c shareClaim, began bool) {
	if !c.inTouch || !s.inTouch(in) || s.startAt > c.at {
		return
	}
	a := s.asked[c.org]
	a.requests[stepOf(c.at)]++
	if began && s.now-c.at <= shareWait {
		a.repeats[stepOf(c.at)]++
	}
}
