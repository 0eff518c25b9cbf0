package experiment

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/emulator"
)

// play is one load played with one variant.
type play struct {
	load    Load
	variant Variant
	state   *ragworthitch.DesiredState
	cluster *emulator.Cluster
	callers []*caller
	begun   time.Time
	deadly  deadly
	store   store

	mu      sync.Mutex
	entries []*instance
	rng     *rand.Rand // choices that depend on what happens
}

// Play plays a load with a variant. It takes as long as the load says, and
// until the last caller has its answer.
func Play(ctx context.Context, l Load, v Variant) (Result, error) {
	state, err := desiredState(!v.NoCopy, l.kind())
	if err != nil {
		return Result{}, err
	}
	p := &play{load: l, variant: v, state: state, cluster: emulator.NewCluster(serviceName, l.Engines, l.Zones, l.kind()), begun: time.Now(),
		rng: rand.New(rand.NewPCG(l.Seed, 2))}
	for n, place := range p.places() {
		place.SetSlowdown(l.speed(n))
	}
	if slices.ContainsFunc(l.Faults, func(f Fault) bool { return f.SameID }) {
		p.cluster.ReportStartTimes()
	}
	p.cluster.OnCrash = p.crash
	for i := range l.Entries {
		p.entries = append(p.entries, newInstance(p, fmt.Sprint("entry-", i), l.Zones[i%len(l.Zones)]))
	}
	p.callers = p.draw(rand.New(rand.NewPCG(l.Seed, 1)))
	life, stop := context.WithCancel(ctx)
	var group, callers conc.WaitGroup
	for _, place := range p.cluster.Nodes() {
		group.Go(func() { place.Run(life) })
	}
	for i := range l.Entries {
		group.Go(func() { p.keepTelling(life, i) })
	}
	for _, f := range l.Faults {
		group.Go(func() { p.fault(life, f) })
	}
	for _, c := range p.callers {
		callers.Go(func() {
			if clock.Sleep(life, c.at) {
				c.run(life)
			}
		})
	}
	callers.Wait()
	stop()
	group.Wait()
	return p.result(), ctx.Err()
}

// sharers is how many instances share the limit on repeats, all of them known.
func (p *play) sharers() (int, clock.Time, bool) { return p.load.Entries, clock.Now(), true }

// Compare plays so many draws of a load with every variant, all at the same
// time; no play knows of the others.
func Compare(ctx context.Context, l Load, variants []Variant, draws int) ([]Result, error) {
	out := make([]Result, len(variants))
	group := pool.New().WithErrors()
	for i, v := range variants {
		group.Go(func() (err error) {
			out[i], err = playDraws(ctx, l, v, draws)
			return err
		})
	}
	return out, group.Wait()
}

// playDraws plays a load with a variant, with as many seeds as draws.
func playDraws(ctx context.Context, l Load, v Variant, draws int) (Result, error) {
	out := make([]Result, draws)
	group := pool.New().WithErrors()
	for i := range draws {
		l.Seed++
		drawn := l
		group.Go(func() (err error) {
			out[i], err = Play(ctx, drawn, v)
			return err
		})
	}
	err := group.Wait()
	return merge(out), err
}

// draw draws the callers of the load: the same ones for every variant.
func (p *play) draw(rng *rand.Rand) []*caller {
	var out []*caller
	end := time.Duration(p.load.Seconds) * time.Second
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / p.load.rate(at) * float64(time.Second))
		if at >= end {
			return out
		}
		out = append(out, &caller{play: p, id: fmt.Sprintf("%x", rng.Uint64()), at: at,
			prompt: around(rng, p.load.Prompt, 0.3), events: around(rng, p.load.Events, 0.2)})
	}
}

// anyEntry is the entry that the balancer chooses.
func (p *play) anyEntry() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries[p.rng.IntN(len(p.entries))]
}

// chosen reports whether a fault of a share strikes somebody.
func (p *play) chosen(share float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return share == 0 || p.rng.Float64() < share
}

// fault brings one fault about, and ends it.
func (p *play) fault(ctx context.Context, f Fault) {
	if !clock.Sleep(ctx, time.Duration(f.AtMs)*time.Millisecond) {
		return
	}
	switch f.Kind {
	case FaultReset:
		for _, c := range p.callers {
			if p.chosen(f.Share) {
				c.breakOff()
			}
		}
	case FaultLossy:
		p.cluster.SetPacketLoss(f.Zone, f.Share)
		clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
		p.cluster.SetPacketLoss(f.Zone, 0)
	case FaultDown:
		p.failZone(ctx, f, emulator.Down)
	case FaultDark:
		p.failZone(ctx, f, emulator.Unreachable)
	case FaultStuck:
		p.failZone(ctx, f, emulator.Stuck)
	case FaultSlow:
		p.slow(ctx, f)
	case FaultDeadly:
		p.sendDeadly(ctx, f)
	case FaultKilled:
		p.killEntries()
	case FaultAway:
		p.store.away(true)
		clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
		p.store.away(false)
	}
}

// places are the cluster's engines in the order of their addresses.
func (p *play) places() []*emulator.Node {
	return slices.SortedFunc(maps.Values(p.cluster.Nodes()), func(a, b *emulator.Node) int { return cmp.Compare(a.Addr, b.Addr) })
}

// slow has engines take longer for a while: the first ones of a share, the
// same in every play.
func (p *play) slow(ctx context.Context, f Fault) {
	var struck []int
	places := p.places()
	for n, place := range places {
		if f.strikes(n, len(places)) && (f.Zone == "" || place.Zone == f.Zone) {
			struck = append(struck, n)
			place.SetSlowdown(f.Factor * p.load.speed(n))
		}
	}
	clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond)
	for _, n := range struck {
		places[n].SetSlowdown(p.load.speed(n))
	}
}

// strikes reports whether the nth engine is among a fault's share.
func (f Fault) strikes(n, of int) bool { return f.Share == 0 || float64(n) < f.Share*float64(of) }

// failZone has engines of a zone fail for a while. The entries learn of a new
// boot some time after it.
func (p *play) failZone(ctx context.Context, f Fault, s emulator.State) {
	var struck []*emulator.Node
	for _, place := range p.cluster.Nodes() {
		if place.Zone == f.Zone && p.chosen(f.Share) {
			struck = append(struck, place)
			place.Fail(s)
		}
	}
	if !clock.Sleep(ctx, time.Duration(f.ForMs)*time.Millisecond) {
		return
	}
	for _, place := range struck {
		place.Restart(f.SameID)
	}
	if s == emulator.Stuck || !clock.Sleep(ctx, newsDelay) {
		return
	}
	for _, place := range struck {
		p.announce(place)
	}
}

// announce has all entries know of a place's present boot.
func (p *play) announce(place *emulator.Node) {
	for _, in := range p.all() {
		in.targets.Put(p.cluster.Target(place), 0)
	}
}

// all are the entries.
func (p *play) all() []*instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.entries)
}
