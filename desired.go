package ragworthitch

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kinds of call.
const (
	// CallSafe calls are idempotent: they may be retried.
	CallSafe CallKind = iota + 1
	// CallUnsafe calls are not idempotent: they run at most once.
	CallUnsafe
	// CallStream calls are answered with a stream of numbered events. They are
	// not idempotent unless the route is resumable.
	CallStream
)

// PriorityUnset is the priority of an organisation without one of its own.
const PriorityUnset = -1

// ErrBadDesired is wrapped by the errors about an invalid desired state.
var ErrBadDesired = errors.New("bad desired state")

type (
	// CallKind is the kind of a route's calls; it determines whether a call may be
	// retried.
	CallKind uint8

	// Route maps the calls of one host and path prefix to a service, or to
	// several by weight. Make one with NewRoute.
	Route struct{ params RouteParams }

	// RouteParams are the fields of a Route.
	RouteParams struct {
		Name              string
		Host              string // lower case, without port
		Prefix            string // begins and ends with a slash
		Kind              CallKind
		Timeout           time.Duration // deadline of an answer, from the arrival of the call
		Objective         time.Duration // objective for the time to the answer (streams: to the first event)
		IntervalObjective time.Duration // streams: objective for the event interval
		StallTimeout      time.Duration // streams: time without an event after which an attempt counts as lost; 0: not set
		Priority          int           // 0 is the most urgent
		Shares            []Share       // services of the route; several if its calls are split
		MaxAttempts       int           // limit on the attempts of one call
		Public            bool          // calls need no key
		Sticky            bool          // calls share prompt prefixes: prefer the engine that caches them
		Resumable         bool          // a stream may fail over to another target
	}

	// Share is a service's weight among the services of a route.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a group of interchangeable targets. Make one with NewService.
	Service struct{ params ServiceParams }

	// ServiceParams are the fields of a Service.
	ServiceParams struct {
		Name       string
		HealthPath string
		MaxConns   int     // limit on a target's connections from all instances together; 0: none declared
		Engine     *Engine // nil for plain services
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Slots          int  // maximum number of requests in a batch
		KVTokens       int  // KV cache capacity, in tokens
		CanMigrate     bool // can migrate a stream's KV cache to another engine on request
		CanReplicate   bool // can keep a replica of a stream's KV cache at another engine
		TokensPerEvent int
		ReplicaExpiry  time.Duration // time after which an unused replica is deleted
	}

	// Priority orders calls: by the priority of the organisation, or of the route if the
	// organisation has none, and then by the priority of the route. 0 is the most urgent.
	Priority struct {
		Org   int
		Route int
	}

	// Organisation is a customer, with the keys of its callers. Make one with
	// NewOrganisation.
	Organisation struct {
		name     string
		keys     []string
		priority int
	}

	// Limits are the limits on a caller's requests and connections.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
		HeaderTime  time.Duration
		IdleTime    time.Duration
	}

	// DesiredState is one version of the operator's configuration: routes,
	// services, organisations and limits. It is immutable.
	DesiredState struct {
		version      int64
		routes       []Route
		services     map[string]Service
		orgs         []Organisation
		keysRequired bool
		limits       Limits
	}

	// DesiredParams are the fields of a DesiredState.
	DesiredParams struct {
		Version  int64
		Routes   []Route
		Services []Service
		Orgs     []Organisation
		// KeysRequired says that calls need a key although Orgs may be empty: then no key is
		// valid. With organisations, calls always need one.
		KeysRequired bool
		Limits       Limits
	}
)

// String returns the kind's name in logs.
func (k CallKind) String() string {
	switch k {
	case CallSafe:
		return "safe"
	case CallUnsafe:
		return "unsafe"
	case CallStream:
		return "stream"
	}
	return "unknown"
}

// NewRoute returns a route with the given fields.
func NewRoute(p RouteParams) Route { return Route{params: p} }

// Name returns the route's name.
func (r *Route) Name() string { return r.params.Name }

// Host returns the host of the route, in lower case and without a port.
func (r *Route) Host() string { return r.params.Host }

// Prefix returns the path prefix of the route, with a slash at both ends.
func (r *Route) Prefix() string { return r.params.Prefix }

// Kind returns the kind of the route's calls.
func (r *Route) Kind() CallKind { return r.params.Kind }

// Timeout returns the deadline of an answer, from the arrival of the call.
func (r *Route) Timeout() time.Duration { return r.params.Timeout }

// Objective returns the objective for the time to the answer (streams: to the
// first event).
func (r *Route) Objective() time.Duration { return r.params.Objective }

// IntervalObjective returns the objective for the event interval of a stream.
func (r *Route) IntervalObjective() time.Duration { return r.params.IntervalObjective }

// StallTimeout returns the time without an event after which an attempt of a
// stream counts as lost; 0 if it is not set.
func (r *Route) StallTimeout() time.Duration { return r.params.StallTimeout }

// Priority returns the route's priority; 0 is the most urgent.
func (r *Route) Priority() int { return r.params.Priority }

// Shares returns the services of the route with their weights.
func (r *Route) Shares() []Share { return r.params.Shares }

// Sticky reports whether the route's calls share prompt prefixes.
func (r *Route) Sticky() bool { return r.params.Sticky }

// MaxAttempts returns the limit on the attempts of one call; at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.params.MaxAttempts) }

// Public reports whether calls need no key.
func (r *Route) Public() bool { return r.params.Public }

// IsIdempotent reports whether a call of the route may run more than once: a safe
// call or a resumable stream.
func (r *Route) IsIdempotent() bool {
	return r.params.Kind == CallSafe || r.params.Kind == CallStream && r.params.Resumable
}

// Resumable reports whether a stream of the route may fail over to another
// target.
func (r *Route) Resumable() bool { return r.params.Resumable }

// Service selects the service for a call by weight. point, in [0, 1), is the call's
// position in the sequence of weights, as a fraction of their sum.
func (r *Route) Service(point float64) string {
	total := 0
	for _, s := range r.params.Shares {
		total += s.Weight
	}
	position := point * float64(total)
	for _, s := range r.params.Shares {
		if position < float64(s.Weight) {
			return s.Service
		}
		position -= float64(s.Weight)
	}
	return r.params.Shares[len(r.params.Shares)-1].Service
}

// Compare returns a negative number if p is more urgent than o, 0 if both are as urgent, and
// a positive number otherwise.
func (p Priority) Compare(o Priority) int {
	return cmp.Or(cmp.Compare(p.Org, o.Org), cmp.Compare(p.Route, o.Route))
}

// NewService returns a service with the given fields.
func NewService(p ServiceParams) Service { return Service{params: p} }

// Name returns the service's name.
func (s Service) Name() string { return s.params.Name }

// HealthPath returns the path of the targets' health check.
func (s Service) HealthPath() string { return s.params.HealthPath }

// MaxConns returns the limit on a target's connections from all instances
// together; 0 if none is declared.
func (s Service) MaxConns() int { return s.params.MaxConns }

// Engine describes the service's engines; nil for a plain service.
func (s Service) Engine() *Engine { return s.params.Engine }

// NewOrganisation returns an organisation. Its priority overrides a route's;
// PriorityUnset for none.
func NewOrganisation(name string, keys []string, priority int) Organisation {
	return Organisation{name: name, keys: keys, priority: priority}
}

// Name returns the organisation's name.
func (o Organisation) Name() string { return o.name }

// Keys returns the keys of the organisation's callers.
func (o Organisation) Keys() []string { return o.keys }

// Priority returns the organisation's priority, or PriorityUnset if it has none.
func (o Organisation) Priority() int { return o.priority }

// NewDesiredState validates p and returns it as a desired state. Errors wrap
// ErrBadDesired and name the invalid field.
func NewDesiredState(p DesiredParams) (*DesiredState, error) {
	d := &DesiredState{version: p.Version, routes: p.Routes, orgs: p.Orgs, limits: p.Limits,
		keysRequired: p.KeysRequired || len(p.Orgs) > 0, services: make(map[string]Service, len(p.Services))}
	if p.Version <= 0 {
		return nil, fmt.Errorf("%w: version %d is not positive", ErrBadDesired, p.Version)
	}
	for _, s := range p.Services {
		d.services[s.Name()] = s
	}
	for i := range p.Routes {
		if err := d.checkRoute(&p.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, o := range p.Orgs {
		if o.Priority() < PriorityUnset {
			return nil, fmt.Errorf("%w: organisation %q: priority %d is negative", ErrBadDesired, o.Name(), o.Priority())
		}
	}
	return d, nil
}

func (d *DesiredState) checkRoute(r *Route) error {
	switch {
	case r.Kind() < CallSafe || r.Kind() > CallStream:
		return fmt.Errorf("%w: route %q has no known kind", ErrBadDesired, r.Name())
	case len(r.Prefix()) == 0 || r.Prefix()[0] != '/' || r.Prefix()[len(r.Prefix())-1] != '/':
		return fmt.Errorf("%w: route %q: prefix %q must begin and end with a slash", ErrBadDesired, r.Name(), r.Prefix())
	case r.Priority() < 0:
		return fmt.Errorf("%w: route %q: priority %d is negative", ErrBadDesired, r.Name(), r.Priority())
	case r.Timeout() <= 0:
		return fmt.Errorf("%w: route %q: timeout must be positive", ErrBadDesired, r.Name())
	case len(r.params.Shares) == 0:
		return fmt.Errorf("%w: route %q names no service", ErrBadDesired, r.Name())
	}
	for _, s := range r.params.Shares {
		if _, ok := d.services[s.Service]; !ok {
			return fmt.Errorf("%w: route %q: service %q is not declared", ErrBadDesired, r.Name(), s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("%w: route %q: service %q has weight %d", ErrBadDesired, r.Name(), s.Service, s.Weight)
		}
	}
	return nil
}

// Version returns the operator's version number, which grows with each state.
func (d *DesiredState) Version() int64 { return d.version }

// Routes returns all routes. The caller must not modify them.
func (d *DesiredState) Routes() []Route { return d.routes }

// Service returns the named service.
func (d *DesiredState) Service(name string) (Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (d *DesiredState) Services() []Service {
	services := slices.Collect(maps.Values(d.services))
	slices.SortFunc(services, func(a, b Service) int { return strings.Compare(a.Name(), b.Name()) })
	return services
}

// Organisations returns all organisations.
func (d *DesiredState) Organisations() []Organisation { return d.orgs }

// KeysRequired reports whether calls need a key, unless their route is public.
func (d *DesiredState) KeysRequired() bool { return d.keysRequired }

// Limits returns the limits on callers' requests and connections.
func (d *DesiredState) Limits() Limits { return d.limits }
