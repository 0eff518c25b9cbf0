package rollout

// minRouteShare is the least share of a service's answers with which a route is judged:
// such routes get an equal number of canary calls, and each must look good before a
// promotion. Other routes get canary calls at the share of the service, and their bad
// answers count against the version too.
const minRouteShare = 0.02

type (
	// routeUsage counts the answers by route, over all instances.
	routeUsage struct {
		answersByRoute map[string]int
		total          int
	}

	// canaryBudget computes the probability that a route's next call becomes a canary
	// call. The canary calls are divided equally among the judged routes, so that a rare
	// route gets as many as the others. Since all instances report their answers, the
	// share holds on average over all instances, whatever their number. The zero value
	// knows no route and has no extra calls.
	canaryBudget struct {
		usage      routeUsage
		extraCalls float64 // further canary calls allowed; negative: the share was exceeded
	}
)

// usageOf counts the answers of all writers. Every answer, good or bad, is counted once
// under the symptom Failing.
func usageOf(all map[Writer]Tally) routeUsage {
	u := routeUsage{answersByRoute: map[string]int{}}
	for _, t := range all {
		for g, c := range t {
			if g.Symptom == Failing {
				u.answersByRoute[g.Route] += c.Seen
				u.total += c.Seen
			}
		}
	}
	return u
}

// isJudged reports whether a route has at least minRouteShare of the answers.
func (u routeUsage) isJudged(route string) bool {
	return float64(u.answersByRoute[route]) >= minRouteShare*float64(u.total)
}

// judgedRouteCount returns the number of routes that are judged.
func (u routeUsage) judgedRouteCount() int {
	n := 0
	for r := range u.answersByRoute {
		if u.isJudged(r) {
			n++
		}
	}
	return n
}

func (b *canaryBudget) updateUsage(all map[Writer]Tally) { b.usage = usageOf(all) }

// canaryProbability returns the probability that a route's next call becomes a canary
// call, where share is the share over all calls. It adds as many of the extra calls as the
// probability allows and subtracts them from extraCalls.
func (b *canaryBudget) canaryProbability(route string, share float64) float64 {
	p := share
	if routes := b.usage.judgedRouteCount(); routes > 0 && b.usage.isJudged(route) {
		routeShare := float64(b.usage.answersByRoute[route]+1) / float64(b.usage.total+routes)
		p = min(1, share/(float64(routes)*routeShare))
	}
	extra := min(max(b.extraCalls, -p), 1-p)
	b.extraCalls -= extra
	return p + extra
}

// chargeCall subtracts a call that reached the new version without being a canary call.
func (b *canaryBudget) chargeCall() { b.extraCalls-- }
