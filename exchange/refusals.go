package exchange

import (
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/wire"
)

// OnRefusal sets the function that is called when a peer reports that a target refused a
// connection at the given time. It reports whether the report is to be forwarded. Without
// the function, such reports are ignored. It must be called before Run.
func (e *Exchange) OnRefusal(f func(peer string, m *registry.Member, at clock.Time) bool) {
	e.onRefusal = f
}

// refusalsSince returns the refusals that were recorded after the first n, and the value of
// n for the next view.
func (e *Exchange) refusalsSince(n uint64, now clock.Time) ([]wire.Refusal, uint64) {
	recent, n := e.targets.RefusalsSince(n, wire.MaxRefusals, now)
	var out []wire.Refusal
	for _, f := range recent {
		out = append(out, wire.Refusal{Target: f.Boot, Age: now.Sub(f.At)})
	}
	return out, n
}

// applyRefusals records the refusals that a peer reports of known boots, and forwards those
// that are new.
func (e *Exchange) applyRefusals(v wire.View, now clock.Time) {
	anyNew := false
	for _, f := range v.Refusals {
		m := e.targets.Boot(f.Target)
		if m == nil {
			continue
		}
		at := now.Add(-f.Age)
		if e.onRefusal(v.Node, m, at) && e.targets.RecordRefusal(registry.Refusal{Boot: f.Target, At: at}, now) {
			anyNew = true
		}
	}
	if anyNew {
		e.SendNow()
	}
}
