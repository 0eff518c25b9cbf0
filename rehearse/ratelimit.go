package rehearse

import (
	"time"

	"github.com/ragworthitch/ragworthitch/membership"
	"github.com/ragworthitch/ragworthitch/ratelimit"
)

const (
	// The operator's rule for a target with a rate limit: in any limitWindow at most
	// limitTolerance times what the limit allows, and limitExtra requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5

	limitedTarget = "target"
)

// limitState is what an instance keeps of a target's rate limit.
type limitState struct {
	group *ratelimit.Group
	limit *ratelimit.Limit
}

// playRateLimit plays a plan before one target. Instances know of its limit when they start.
func playRateLimit(p Plan) Outcome {
	f := newFleet(p, startLimit)
	got := newArrivals(p)
	for f.now < p.length() {
		f.advance()
		first := f.rng.IntN(len(f.instances))
		for i := range f.instances {
			in := f.instances[(first+i)%len(f.instances)]
			for range f.calls(in) {
				if f.takePermit(in) && f.inTouch(in) {
					got.repeats[stepOf(f.now)]++
				}
			}
		}
	}
	allowed := limitTolerance*p.Limit*limitWindow.Seconds() + limitExtra
	return got.worst(p, limitWindow, func(int) float64 { return allowed })
}

func startLimit(f *fleet, in *fleetInstance) {
	startedAt, now := f.clock(), f.clock()
	st := &limitState{limit: &ratelimit.Limit{}}
	st.group = &ratelimit.Group{Self: in.name, List: func() ratelimit.Members { return in.list }, Growth: membership.Growth{Started: startedAt},
		Wall: func() time.Time { return time.Unix(1_790_000_000, 0).Add(f.now + in.clockOff) }}
	st.limit.Observe(ratelimit.Answer{Statement: ratelimit.Statement{Kind: ratelimit.Named, Rate: f.plan.Limit}, SentAt: now, ReceivedAt: now})
	in.state = st
}

// takePermit takes a permit for a call, of the instance's own or a borrowed one.
func (f *fleet) takePermit(in *fleetInstance) bool {
	st := in.state.(*limitState)
	if _, ok := st.group.Take(st.limit, limitedTarget, true, f.clock()); ok {
		return true
	}
	lender := f.lender(in)
	if lender == nil {
		return false
	}
	o := lender.state.(*limitState)
	lent := o.pool().Lend(limitedTarget, 1, f.clock())
	if lent == 0 || f.replyLost() {
		return false
	}
	st.pool().Borrowed(limitedTarget, lent, f.clock())
	_, ok := st.group.Take(st.limit, limitedTarget, true, f.clock())
	return ok
}

func (st *limitState) pool() ratelimit.Pool {
	return ratelimit.Pool{Group: st.group, Find: func(string) (*ratelimit.Limit, string) { return st.limit, limitedTarget }}
}
