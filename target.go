package ragworthitch

import "time"

type (
	// Target is one boot of a model engine or of a plain service's process,
	// as it registered itself. Make one with NewTarget.
	Target struct{ p TargetParams }

	// TargetParams are the fields of a Target.
	TargetParams struct {
		ID       string // differs for every boot
		Service  string
		Others   []string // further services that it belongs to
		Address  string   // ip:port
		Zone     string
		Slots    int
		Draining bool
		ColdFor  time.Duration // how much longer it stays slow after its start
		Sequence int64
	}
)

// NewTarget returns a target with the given fields.
func NewTarget(p TargetParams) Target { return Target{p: p} }

// ID is the id of this boot of the target.
func (t Target) ID() string { return t.p.ID }

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

// Slots is how many requests the target works on at once.
func (t Target) Slots() int { return t.p.Slots }

// Draining reports whether the target takes no new work.
func (t Target) Draining() bool { return t.p.Draining }
