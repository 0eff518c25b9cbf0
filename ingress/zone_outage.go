package ingress

import (
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
)

// assumedServing is how many targets are assumed to serve among those of a zone without
// recent evidence. An instance has work at only a few targets of a zone. If all its other
// targets counted as serving, a few failures would not show an outage of the whole zone.
const assumedServing = 1

// zoneEvidence summarises what was recently seen of a zone's targets.
type zoneEvidence struct {
	failed       int
	lastFailedAt clock.Time // time of the latest failure
	serving      int        // targets that served or started since then
}

// zoneOutageProbability returns for each zone how likely a target there is lost, since
// targets of a zone often fail together. Targets that failed recently and entries that
// were found stale are evidence of an outage; targets that served since are evidence
// against one.
func (c *activeCall) zoneOutageProbability(ms []*registry.Member, now clock.Time) map[string]float64 {
	evidence := map[string]*zoneEvidence{}
	for _, m := range ms {
		z := evidence[m.Target().Zone()]
		if z == nil {
			z = &zoneEvidence{}
			evidence[m.Target().Zone()] = z
		}
		if at, ok := m.Health().FailedRecently(now); ok {
			z.failed++
			z.lastFailedAt = max(z.lastFailedAt, at)
		}
	}
	for _, m := range ms {
		z := evidence[m.Target().Zone()]
		if _, failed := m.Health().FailedRecently(now); failed || z.failed == 0 {
			continue
		}
		if m.Health().ServedRecently(now) || m.AddedAt() > z.lastFailedAt {
			z.serving++
		}
	}
	out := make(map[string]float64, len(evidence))
	for zone, z := range evidence {
		lost := z.failed + c.h.targets.StaleRegistrations(c.service(), zone, now)
		if lost > 0 {
			out[zone] = float64(lost) / float64(lost+z.serving+assumedServing)
		}
	}
	return out
}
