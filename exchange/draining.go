package exchange

import "github.com/ragworthitch/ragworthitch/wire"

// drainingSince returns targets that answers say to be draining and that are not in sent, at
// most wire.MaxDraining, and adds them to sent. Instances report what they hear from others
// too, so that all of them learn of it.
func (e *Exchange) drainingSince(sent map[wire.Draining]bool) []wire.Draining {
	var out []wire.Draining
	current := map[wire.Draining]bool{}
	for _, m := range e.targets.DrainingByReport() {
		t := m.Target()
		d := wire.Draining{Target: t.Boot(), Address: t.Address()}
		current[d] = true
		if !sent[d] && len(out) < wire.MaxDraining {
			sent[d] = true
			out = append(out, d)
		}
	}
	for d := range sent {
		if !current[d] {
			delete(sent, d)
		}
	}
	return out
}

// applyDraining records the targets that a peer reports to be draining, and forwards what is
// new.
func (e *Exchange) applyDraining(v wire.View) {
	anyNew := false
	for _, d := range v.Draining {
		m := e.targets.Boot(d.Target)
		if m == nil || m.Target().Address() != d.Address || !m.RecordDrainingAtPeer() {
			continue
		}
		anyNew = true
		t := m.Target()
		e.log.Info().Str("target", t.ID()).Int64("started", t.Boot().Started()).Str("service", t.Service()).Str("targetZone", t.Zone()).Str("peer", v.Node).
			Bool("registeredAsDraining", t.Draining()).Msg("exchange: peer reports that target is draining")
	}
	if anyNew {
		e.SendNow()
	}
}
