package ingress

import (
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// unseen is how many targets of a zone that nothing was seen of of late are taken
// to serve. An instance has work at a few of them: were all counted, two failures
// among the fifty engines of a lost zone would say next to nothing, and the
// instance would find them out one by one.
const unseen = 1

// signs are what was seen of a zone's targets of late.
type signs struct {
	failed   int
	failedAt clock.Time // the last of these
	alive    int        // have served, or started, since
}

// zoneTrouble is how likely a target of each zone is lost, by what was seen of the
// others there: which have failed of late, or had entries that were found to be out
// of date, among those that anything was seen of. Targets of a zone fail together.
// An instance that was cut off from the store while a zone restarted sent streams to
// four entries out of date in turn, and had no try left.
func (j *job) zoneTrouble(ms []*registry.Member, now clock.Time) map[string]float64 {
	seen := map[string]*signs{}
	for _, m := range ms {
		z := seen[m.Target().Zone()]
		if z == nil {
			z = &signs{}
			seen[m.Target().Zone()] = z
		}
		if at, ok := m.Health().FailedLately(now); ok {
			z.failed++
			z.failedAt = max(z.failedAt, at)
		}
	}
	for _, m := range ms {
		z := seen[m.Target().Zone()]
		if _, failed := m.Health().FailedLately(now); failed || z.failed == 0 {
			continue
		}
		if m.Health().HeardLately(now) || m.AddedAt() > z.failedAt {
			z.alive++
		}
	}
	out := make(map[string]float64, len(seen))
	for zone, z := range seen {
		lost := z.failed + j.h.targets.Stale(j.service(), zone, now)
		if lost > 0 {
			out[zone] = float64(lost) / float64(lost+z.alive+unseen)
		}
	}
	return out
}
