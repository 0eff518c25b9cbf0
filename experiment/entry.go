package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/budget"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/desired"
	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/ingress"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/recall"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	serviceName = "llm"
	host        = "plans.example"
	path        = "/plan/"

	// viewDelay is how late the other entries know of an entry's work:
	// measured as 10 ms and less.
	viewDelay = 10 * time.Millisecond
	// viewEvery is the time between two views without a new stream.
	viewEvery = 50 * time.Millisecond
	// newsDelay is how long after its start a restarted engine is known.
	newsDelay = time.Second

	// What callers of the streams we serve expect.
	patience   = 25 * time.Second
	firstAim   = 4500 * time.Millisecond
	pauseAim   = 700 * time.Millisecond
	passAim    = 120 * time.Millisecond // from the engine's making an event
	maxTargets = 5
)

// repeats is the operator's usual limit.
var repeats = budget.Limit{Ratio: 0.8, Extra: 150, Span: 10 * time.Second}

// instance is one entry instance of a play.
type instance struct {
	name    string
	play    *play
	targets registry.Registry
	recall  recall.Recall
	told    uint64 // own places told to the others
	crashes poison.Book
	deaths  uint64 // known deaths told to the others
	handler *ingress.Handler
	life    context.Context // until it is killed
	kill    context.CancelFunc
}

func newInstance(p *play, name, zone string) *instance {
	in := &instance{name: name, play: p}
	in.life, in.kill = context.WithCancel(context.Background())
	book := desired.NewBook(desired.Ages{Deny: time.Hour, Key: time.Hour})
	book.Apply(p.state)
	book.Proved(clock.Now())
	for _, place := range p.cluster.Nodes() {
		in.targets.Put(p.cluster.Target(place), 0)
	}
	in.crashes.Dry = p.variant.NoVerdicts
	cfg := ingress.Config{Zone: zone, Book: book, Targets: &in.targets, Recall: &in.recall, Budget: budget.New(repeats, p.sharers),
		Sender: sender{emulator.Sender{Cluster: p.cluster, Zone: zone}, p}, Engines: p.variant.Engines, Speeds: p.variant.Speeds,
		Crashes: &in.crashes, Claim: in.claim, Log: zerolog.Nop()}
	if !p.variant.Alone {
		cfg.Tell = in.tell
	}
	in.handler = ingress.New(cfg)
	return in
}

// desiredState is that of a play: one route to the engines.
func desiredState(copies bool, kind emulator.Profile) (*ragworthitch.DesiredState, error) {
	return ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: 1,
		Services: []ragworthitch.Service{ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceName,
			Engine: &ragworthitch.Engine{Slots: kind.Slots, KVTokens: kind.MemoryTokens, Backups: copies, Stride: kind.TokensPerEvent, CopyExpiry: emulator.ReplicaExpiry}})},
		Routes: []ragworthitch.Route{ragworthitch.NewRoute(ragworthitch.RouteParams{Name: "plans", Host: host, Prefix: path,
			Kind: ragworthitch.CallStream, Timeout: patience, Target: firstAim, GapTarget: pauseAim, MaxTargets: maxTargets, Resumable: true,
			Shares: []ragworthitch.Share{{Service: serviceName, Weight: 1}}})}})
}

// tell has the other entries told of this one's work at once.
func (in *instance) tell() { time.AfterFunc(viewDelay, in.share) }

// share tells the other entries of this one's work and of the places where it
// had prompts read.
func (in *instance) share() {
	p := in.play
	p.mu.Lock()
	places, n := in.recall.Since(in.told)
	in.told = n
	deaths, n := in.crashes.Since(in.deaths)
	in.deaths = n
	p.mu.Unlock()
	p.store.take(&in.crashes)
	for _, o := range p.all() {
		if o == in {
			continue
		}
		for _, d := range deaths {
			o.crashes.Died(d, poison.SourcePeer, clock.Now())
		}
		for _, m := range in.targets.All() {
			if om := o.targets.Boot(m.Target().Boot()); om != nil {
				om.Work().SetOther(in.name, m.Work().Own())
				om.Pace().Heard(in.name, m.Pace().Own(clock.Now()), clock.Now())
			}
		}
		for _, pl := range places {
			o.recall.Heard(pl, clock.Now())
		}
	}
}

// keepTelling shares the work of the nth entry until ctx ends.
func (p *play) keepTelling(ctx context.Context, n int) {
	for !p.variant.Alone && clock.Sleep(ctx, viewEvery) {
		p.all()[n].share()
	}
}

// around spreads a mean by a share of it, evenly.
func around(rng *rand.Rand, mean int, share float64) int {
	return int(float64(mean) * (1 + share*(2*rng.Float64()-1)))
}
