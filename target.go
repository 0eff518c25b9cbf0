package ragworthitch

import "time"

type (
	// Target is one boot of a model engine or of a plain service's process,
	// as it registered itself. Make one with NewTarget.
	Target struct{ p TargetParams }

	// Boot names one start of a target. A target may start again under the
	// id that it had, and then holds and knows nothing of before. Boots are
	// compared with ==; make one with NewBoot.
	Boot struct {
		id      string
		started int64
	}

	// TargetParams are the fields of a Target.
	TargetParams struct {
		ID       string // of the boot, together with Started
		Started  int64  // Unix ms of the boot's start; 0: not told
		Service  string
		Others   []string // further services that it belongs to
		Address  string   // ip:port
		Zone     string
		Version  string // of its software; empty: not told
		Slots    int
		Draining bool
		ColdFor  time.Duration // how much longer it stays slow after its start
		Sequence int64         // counts the boot's own writes of its entry
	}
)

// NewTarget returns a target with the given fields.
func NewTarget(p TargetParams) Target { return Target{p: p} }

// NewBoot names the boot of a target that started at a time, in Unix ms; 0 if
// that is not known.
func NewBoot(id string, started int64) Boot { return Boot{id: id, started: started} }

// ID is the target's id, which later boots may have too.
func (b Boot) ID() string { return b.id }

// Started is the Unix ms of the boot's start by the target's own clock; 0 if
// the target does not tell it, and then its id differs for every boot.
func (b Boot) Started() int64 { return b.started }

// ID is the target's id. It alone does not name a boot: see Boot.
func (t Target) ID() string { return t.p.ID }

// Boot names this start of the target.
func (t Target) Boot() Boot { return NewBoot(t.p.ID, t.p.Started) }

// Service is the service the target belongs to; the first of them, if there
// are several.
func (t Target) Service() string { return t.p.Service }

// Services are all services the target belongs to.
func (t Target) Services() []string { return append([]string{t.p.Service}, t.p.Others...) }

// Address is the target's ip:port. It may be given to a target of another
// service once this one has ended.
func (t Target) Address() string { return t.p.Address }

// Zone is the target's availability zone.
func (t Target) Zone() string { return t.p.Zone }

// Version is that of the target's software; empty if it is not told.
func (t Target) Version() string { return t.p.Version }

// Slots is how many requests the target works on at once.
func (t Target) Slots() int { return t.p.Slots }

// Draining reports whether the target takes no new work.
func (t Target) Draining() bool { return t.p.Draining }

// ColdFor is how much longer the target stayed slow after its start, when it
// wrote its entry.
func (t Target) ColdFor() time.Duration { return t.p.ColdFor }

// Sequence counts the writes of its entry by this boot of the target: one with a
// lower figure was written before, whenever it arrived.
func (t Target) Sequence() int64 { return t.p.Sequence }
