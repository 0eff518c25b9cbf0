package ragworthitch

import "time"

type (
	// Target is one boot of a model engine or of a plain service's process, as
	// registered in the store. Make one with NewTarget.
	Target struct{ params TargetParams }

	// Boot identifies the life of one process of a target. A target may restart
	// under the same id; its new boot has lost all state of the earlier one.
	// Boots are comparable with ==. Make one with NewBoot.
	Boot struct {
		id      string
		started int64
	}

	// TargetParams are the fields of a Target.
	TargetParams struct {
		ID              string // identifies the boot together with Started
		Started         int64  // start of the boot, Unix ms; 0: unknown
		Service         string
		OtherServices   []string // further services of the target
		Address         string   // ip:port
		Zone            string
		Version         string // of the target's software; empty: unknown
		Slots           int    // requests that the target processes at once
		Draining        bool
		WarmupRemaining time.Duration // remaining time of the slow phase after a start
		Sequence        int64         // number of the boot's write of its store entry; 0: unknown
	}
)

// NewTarget returns a target with the given fields.
func NewTarget(p TargetParams) Target { return Target{params: p} }

// NewBoot returns the boot of a target that started at the given time, in Unix
// ms; 0 if the time is unknown.
func NewBoot(id string, started int64) Boot { return Boot{id: id, started: started} }

// ID returns the target's id, which later boots may share.
func (b Boot) ID() string { return b.id }

// Started returns the start of the boot by the target's clock, in Unix ms. It is
// 0 if the target does not report it; such a target has a new id for every boot.
func (b Boot) Started() int64 { return b.started }

// ID returns the target's id, which does not identify a boot by itself: see
// Boot.
func (t Target) ID() string { return t.params.ID }

// Boot returns the target's boot.
func (t Target) Boot() Boot { return NewBoot(t.params.ID, t.params.Started) }

// Service returns the target's service; the first of several.
func (t Target) Service() string { return t.params.Service }

// Services returns all services of the target.
func (t Target) Services() []string {
	return append([]string{t.params.Service}, t.params.OtherServices...)
}

// Address returns the target's ip:port. A target of another service may reuse it
// once this one has ended.
func (t Target) Address() string { return t.params.Address }

// Zone returns the target's availability zone.
func (t Target) Zone() string { return t.params.Zone }

// Version returns the version of the target's software; empty if unknown.
func (t Target) Version() string { return t.params.Version }

// Slots returns the number of requests that the target processes at once.
func (t Target) Slots() int { return t.params.Slots }

// Draining reports whether the target accepts no new work.
func (t Target) Draining() bool { return t.params.Draining }

// WarmupRemaining returns the remaining time of the slow phase after a start, as
// of the target's last write of its store entry.
func (t Target) WarmupRemaining() time.Duration { return t.params.WarmupRemaining }

// Sequence returns the number of the write that t was read from. A boot counts its
// writes of its store entry, since an instance may receive them out of order.
func (t Target) Sequence() int64 { return t.params.Sequence }

// IsNewerThan reports whether the boot wrote t after its n-th write, as far as is known.
func (t Target) IsNewerThan(n int64) bool { return t.Sequence() == 0 || t.Sequence() > n }
