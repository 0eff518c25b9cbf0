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

// Paths of calls within the instance; a route matches each by its prefix.
const (
	generatePath = "/generate/" // and the model
	safePath     = "/call/safe/"
	oncePath     = "/call/once/"
)

const (
	// maxAttempts bounds the targets that one stream is sent to. An engine
	// dies twice an hour at most; six within one answer means that
	// something else is wrong.
	maxAttempts = 6
	// safeAttempts bounds the targets that a repeatable call is sent to.
	safeAttempts = 3
	// answerShare of a short call's timeout is the time in which its answer
	// is expected: 1 s of 3 s, 300 times the usual 3 ms.
	answerShare = 1.0 / 3
	// streamTime bounds one generation: the longest answer (16,384 tokens)
	// takes 11 minutes at a full engine's 40 ms a token.
	streamTime = time.Hour
)

// repeatLimit lets the streams of 16 engines of 32 sequences go on elsewhere
// within its span, and half of the short calls be repeated.
var repeatLimit = budget.Limit{Ratio: 0.5, Extra: 16 * 32, Span: 10 * time.Second}

// newBook returns the settings as a desired state. It is in force as long as
// the process lives.
func newBook(cfg *settings.File) (*desired.Book, error) {
	p := ragworthitch.DesiredParams{Version: 1}
	stall, short := settings.Ms(cfg.Timeouts.StallMs), settings.Ms(cfg.Timeouts.ShortMs)
	for _, m := range cfg.Models {
		p.Services = append(p.Services, ragworthitch.NewService(ragworthitch.ServiceParams{Name: m.Name}))
		p.Routes = append(p.Routes, ragworthitch.NewRoute(ragworthitch.RouteParams{Name: m.Name, Prefix: generatePath + m.Name + "/",
			Kind: ragworthitch.CallStream, Timeout: streamTime, GapTarget: stall, Stall: stall,
			Shares: oneService(m.Name), MaxTargets: maxAttempts, Resumable: true}))
	}
	p.Services = append(p.Services, ragworthitch.NewService(ragworthitch.ServiceParams{Name: settings.KindService}))
	p.Routes = append(p.Routes,
		ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "safe calls", Prefix: safePath, Kind: ragworthitch.CallSafe,
			Timeout: short, Target: time.Duration(answerShare * float64(short)), Shares: oneService(settings.KindService), MaxTargets: safeAttempts}),
		ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "calls that run once", Prefix: oncePath, Kind: ragworthitch.CallUnsafe,
			Timeout: short, Shares: oneService(settings.KindService), MaxTargets: 1}))
	for _, o := range cfg.Orgs {
		// An organisation's name serves as its key: callers are checked
		// before they come here.
		p.Orgs = append(p.Orgs, ragworthitch.NewOrganisation(o.Name, []string{o.Name}, -1))
	}
	state, err := ragworthitch.NewDesiredState(p)
	if err != nil {
		return nil, err
	}
	book := desired.NewBook(desired.Ages{Deny: math.MaxInt64, Key: math.MaxInt64})
	book.Apply(state)
	book.Proved(clock.Now())
	return book, nil
}

func oneService(name string) []ragworthitch.Share {
	return []ragworthitch.Share{{Service: name, Weight: 1}}
}
