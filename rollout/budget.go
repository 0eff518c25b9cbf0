package rollout

// minRouteShare is the least share of a service's answers for a route to get canary
// calls and to be judged by itself. Other routes get the service's share of canary
// calls, and their bad answers count.
const minRouteShare = 0.02

type (
	// routeUsage counts the answers by route, over all instances.
	routeUsage struct {
		answersByRoute map[string]int
		total          int
	}

	// canaryBudget computes the probability that a route's next call becomes a canary
	// call. The calls of a share are divided equally among the routes with enough
	// calls, so that a rare route gets as many canary calls as the others. Since all
	// instances report their answers, the share holds on average over all of them,
	// whatever their number. The zero value knows no route and has no extra calls.
	canaryBudget struct {
		usage      routeUsage
		extraCalls float64 // further canary calls allowed; negative: the share was exceeded
	}
)

// usageOf counts the answers of all writers: each is counted under Failing, good or
// bad.
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

// hasEnoughCalls reports whether a route is judged by itself.
func (u routeUsage) hasEnoughCalls(route string) bool {
	return float64(u.answersByRoute[route]) >= minRouteShare*float64(u.total)
}

// judgedRoutes returns the number of routes that are judged by themselves.
func (u routeUsage) judgedRoutes() int {
	n := 0
	for r := range u.answersByRoute {
		if u.hasEnoughCalls(r) {
			n++
		}
	}
	return n
}

func (b *canaryBudget) updateUsage(all map[Writer]Tally) { b.usage = usageOf(all) }

// canaryProbability returns the probability that a route's next call becomes a canary
// call, where share is the share over all calls.
func (b *canaryBudget) canaryProbability(route string, share float64) float64 {
	p := share
	if routes := b.usage.judgedRoutes(); routes > 0 && b.usage.hasEnoughCalls(route) {
		routeShare := float64(b.usage.answersByRoute[route]+1) / float64(b.usage.total+routes)
		p = min(1, share/(float64(routes)*routeShare))
	}
	extra := min(max(b.extraCalls, -p), 1-p)
	b.extraCalls -= extra
	return p + extra
}

// chargeCall subtracts a call that reached the new version without being a canary call.
func (b *canaryBudget) chargeCall() { b.extraCalls-- }
