package entry

import (
	"math"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/settings"
)

// Prefixes of the paths by which calls are routed within the instance.
const (
	generatePath      = "/generate/" // followed by the model
	idempotentPath    = "/call/safe/"
	nonIdempotentPath = "/call/once/"
)

const (
	maxAttempts     = 6 // of a stream
	maxCallAttempts = 3 // of an idempotent call
	// objectiveShare is the latency objective of an idempotent call, as a share
	// of the call's timeout.
	objectiveShare = 1.0 / 3
	// streamTimeout is well above the 11 minutes that the longest answer (16,384
	// tokens) takes at 40 ms a token.
	streamTimeout = time.Hour
)

// retryLimit is the retry budget: failover of all streams of 16 engines with 32
// sequences each, besides retries of half of the calls.
var retryLimit = budget.Limit{Ratio: 0.5, Extra: 16 * 32, Window: 10 * time.Second}

// newDesiredState converts the settings into a desired state that never becomes
// stale.
func newDesiredState(cfg *settings.File) (*desired.Tracker, error) {
	p := ragworthitch.DesiredParams{Version: 1}
	stall, short := settings.Ms(cfg.Timeouts.StallMs), settings.Ms(cfg.Timeouts.ShortMs)
	for _, m := range cfg.Models {
		p.Services = append(p.Services, ragworthitch.NewService(ragworthitch.ServiceParams{Name: m.Name}))
		p.Routes = append(p.Routes, ragworthitch.NewRoute(ragworthitch.RouteParams{Name: m.Name, Prefix: generatePath + m.Name + "/",
			Kind: ragworthitch.CallStream, Timeout: streamTimeout, IntervalObjective: stall, StallTimeout: stall,
			Shares: fullShare(m.Name), MaxAttempts: maxAttempts, Resumable: true}))
	}
	p.Services = append(p.Services, ragworthitch.NewService(ragworthitch.ServiceParams{Name: settings.KindService}))
	p.Routes = append(p.Routes,
		ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "safe calls", Prefix: idempotentPath, Kind: ragworthitch.CallSafe,
			Timeout: short, Objective: time.Duration(objectiveShare * float64(short)), Shares: fullShare(settings.KindService), MaxAttempts: maxCallAttempts}),
		ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "calls that run once", Prefix: nonIdempotentPath, Kind: ragworthitch.CallUnsafe,
			Timeout: short, Shares: fullShare(settings.KindService), MaxAttempts: 1}))
	for _, o := range cfg.Orgs {
		// An organisation's name serves as its key, because Call and Generate
		// check the organisation.
		p.Orgs = append(p.Orgs, ragworthitch.NewOrganisation(o.Name, []string{o.Name}, ragworthitch.PriorityUnset))
	}
	state, err := ragworthitch.NewDesiredState(p)
	if err != nil {
		return nil, err
	}
	t := desired.NewTracker(desired.Ages{Reject: math.MaxInt64, Key: math.MaxInt64})
	t.Apply(state)
	t.MarkVerified(clock.Now())
	return t, nil
}

func fullShare(name string) []ragworthitch.Share {
	return []ragworthitch.Share{{Service: name, Weight: 1}}
}
