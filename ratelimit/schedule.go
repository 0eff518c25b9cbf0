package ratelimit

import (
	"math"
	"time"
)

const (
	// rateSteps is the number of steps into which a doubling of a rate is divided. Rates
	// are rounded down to a step, so that instances with slightly different figures use
	// the same schedule.
	rateSteps = 8
	// minValidity is how long a permit is valid at least.
	minValidity = 500 * time.Millisecond
	// minShared is the least number of instances that each have a part of the limit of
	// their own, whatever the limit.
	minShared = 2
)

type (
	// schedule divides the permits of one target among the instances. Permits begin one
	// after the other, 1/rate apart, and are valid for a while. Up to maxShared(limit)
	// instances each have a schedule of their own with an equal part of the limit. Where
	// there are more, all follow one schedule, and each permit belongs to one instance: if
	// each had a part, the first permits alone would exceed a low limit.
	schedule struct {
		rate     float64 // permits a second in this schedule
		validity float64 // of a permit, in seconds
		phase    float64 // of the first permit, in permits
		common   bool    // all instances follow the schedule; owns tells the permits apart
	}

	// permits is which permits of a target this instance has used or passed over.
	permits struct {
		schedule schedule
		next     int64 // first permit of the schedule that was not used or passed over
	}
)

// maxShared returns the number of instances up to which each has a part of a limit of its
// own.
func maxShared(limit float64) int { return int(limit) + minShared }

// rateStep returns the step to which a rate is rounded down.
func rateStep(rate float64) float64 { return math.Floor(rateSteps * math.Log2(rate)) }

// newSchedule returns the schedule of an instance for a target's limit, in requests a
// second.
func newSchedule(limit float64, instances int, target, self string) schedule {
	limit = math.Exp2(rateStep(limit) / rateSteps)
	s := schedule{rate: limit, common: instances > maxShared(limit)}
	if s.common {
		s.phase = fraction(hash(target))
		s.validity = float64(maxShared(limit)) / limit
	} else {
		s.rate = limit / float64(instances)
		s.phase = fraction(hash(target, self))
		s.validity = 1 / s.rate
	}
	s.validity = max(s.validity, minValidity.Seconds())
	return s
}

// start returns when a permit begins, in seconds of shared time.
func (s schedule) start(permit int64) float64 { return (float64(permit) + s.phase) / s.rate }

// after returns the first permit that begins after t.
func (s schedule) after(t float64) int64 { return int64(math.Floor(t*s.rate-s.phase)) + 1 }

// use sets the schedule. Permits of a new schedule that began before now are passed over:
// otherwise each change of the schedule would bring further permits. The first schedule
// begins with the permits that are valid.
func (p *permits) use(s schedule, now float64) {
	if p.schedule == s {
		return
	}
	first := p.schedule == schedule{}
	p.schedule, p.next = s, s.after(now)
	if first {
		p.next = s.after(now - s.validity)
	}
}

// valid returns the first permit that is not used yet, has been valid for the given time in
// seconds and still is, if owns tells that it belongs to this instance.
func (p *permits) valid(now, validFor float64, owns func(permit int64) bool) (permit int64, ok bool) {
	p.next = max(p.next, p.schedule.after(now-p.schedule.validity))
	for p.schedule.start(p.next) <= now-validFor {
		if owns(p.next) {
			return p.next, true
		}
		p.next++
	}
	return 0, false
}

// take marks the permit that valid returned as used.
func (p *permits) take(permit int64) { p.next = permit + 1 }

// wait returns the time in seconds until the next permit that begins within the given
// time, if there is one.
func (p *permits) wait(now, within float64, owns func(permit int64) bool) (wait float64, ok bool) {
	for n := max(p.next, p.schedule.after(now)); p.schedule.start(n) <= now+within; n++ {
		if owns(n) {
			return max(0, p.schedule.start(n)-now), true
		}
	}
	return 0, false
}
