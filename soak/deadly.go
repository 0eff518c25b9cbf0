package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/process"
)

const (
	// deadlyBody begins the body of requests that crash the targets which run them.
	deadlyBody = "deadly"
	// crashStatus is with what a target's process ends that crashes of a request.
	crashStatus = 70
	// crashedFor is how long its place is empty then, and crashLook how soon that is
	// seen.
	crashedFor = 1500 * time.Millisecond
	crashLook  = 50 * time.Millisecond
	// deadlyGap is the mean time between two tries of a deadly request, and maxDeadly
	// how long it comes at the most.
	deadlyGap = 400 * time.Millisecond
	maxDeadly = 16 * time.Second
	// A request may crash so many targets before it has to be known everywhere, and may
	// reach so many later than contactTime after that.
	deathsBorne  = 3
	sendsAllowed = 3
	contactTime  = 3 * time.Second
)

// deadly draws a deadly request, and, in every other plan, that all instances are
// killed at once while it comes.
func (w *drawer) deadly(end time.Duration) []Fault {
	begin := calmStart + w.around((end-calmStart)/4)
	long := min(end-begin, maxDeadly)
	f := Fault{Kind: KindDeadly, AtMs: int(begin.Milliseconds()), ForMs: int(long.Milliseconds()), From: partEngine}
	if w.rng.IntN(2) == 0 {
		f.From = partService
	}
	out := []Fault{f}
	if w.rng.IntN(2) == 0 {
		return out
	}
	killed := begin + long/2
	for n := range w.size.Entries {
		out = append(out, Fault{Kind: KindKill, AtMs: int(killed.Milliseconds()), ForMs: 500 + w.rng.IntN(1000), From: fmt.Sprint(partEntry, n)})
	}
	return out
}

// callDeadly has a deadly request come, at any instance, as long as its fault lasts.
func (p *play) callDeadly(ctx context.Context, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.Long())
	defer cancel()
	kind := CallStream
	if f.From == partService {
		kind = CallUnsafe
	}
	c := newCaller(p, p.size.Callers+f.AtMs)
	defer c.hangUp()
	for clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(deadlyGap))) {
		go c.tryDeadly(kind, c.rng.Uint64())
	}
}

// tryDeadly makes one call of a deadly request on a connection of its own.
func (c *caller) tryDeadly(kind string, seed uint64) {
	one := newCaller(c.play, c.n)
	one.rng = rand.New(rand.NewPCG(seed, 0))
	defer one.hangUp()
	one.entry = one.play.rotation.pick(one.rng)
	call := one.prepare(kind, 0, fmt.Sprintf("%x", seed))
	call.Deadly = true
	one.make(&call)
}

// revive starts the successors of targets that crashed of a request, until ctx ends.
func (p *play) revive(ctx context.Context) {
	seen := map[*process.Process]bool{}
	for clock.Sleep(ctx, crashLook) {
		for _, t := range p.targets {
			if proc := t.running(); crashed(proc) && !seen[proc] {
				seen[proc] = true
				go p.succeed(ctx, t, proc)
			}
		}
	}
}

// succeed fills a crashed target's place again, unless something else has.
func (p *play) succeed(ctx context.Context, t *target, proc *process.Process) {
	begun := time.Now()
	t.turn.Lock()
	defer t.turn.Unlock()
	if t.running() != proc {
		return
	}
	p.links.closeTo(t.name)
	if !clock.Sleep(ctx, crashedFor) {
		return
	}
	if err := t.start(p, t.next(t.service)); err != nil {
		p.died(proc, fmt.Errorf("no successor: %w", err))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubles = append(p.troubles, Trouble{Fault: Fault{Kind: KindDeadly, From: t.name}, Begun: begun.UnixNano(), Over: time.Now().UnixNano()})
}

// crashed reports whether a process has ended because of a deadly request.
func crashed(proc *process.Process) bool {
	itself, err := proc.ExitedUnexpectedly()
	var exit *exec.ExitError
	return itself && errors.As(err, &exit) && exit.ExitCode() == crashStatus
}

// deadly judges how often a request that had crashed as many targets as it may was
// sent to others, by instances that had to know: those in touch for long enough, and
// those that started later, who find it in the store.
func (c *checker) deadly() {
	deaths := c.deaths()
	if len(deaths) < deathsBorne {
		return
	}
	third := deaths[deathsBorne-1]
	from := third + int64(contactTime)
	late := 0
	for id, runs := range c.runs {
		call := c.calls[id]
		if call == nil || !call.Deadly {
			continue
		}
		for _, r := range runs {
			if r.At > from && (c.inTouch(call.Entry, r.At-int64(contactTime), r.At) || c.startedLater(call.Entry, third, r.At)) {
				late++
			}
		}
	}
	if late > sendsAllowed {
		c.broken(RuleDeadly, from, "a request that had crashed %d targets reached others %d times later than %v after that; %d crashed in all", deathsBorne, late, contactTime, len(deaths))
	}
}

// deaths are when targets crashed of a deadly request, in order.
func (c *checker) deaths() []int64 {
	var out []int64
	for _, r := range c.h.Runs {
		if r.Kind == RunCrashed {
			out = append(out, r.At)
		}
	}
	slices.Sort(out)
	return out
}

// inTouch reports whether an instance ran and reached a store that served, for a time.
func (c *checker) inTouch(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool {
		return t.overlaps(from, to) && (t.touches(partStore, "") || t.touches(entry, partStore))
	})
}

// startedLater reports whether an instance was started after what is known was in the
// store: since a death, the store and all ways to it have been good, but for
// instances that were told to end, or killed.
func (c *checker) startedLater(entry string, death, at int64) bool {
	restart := func(t Trouble) bool { return t.Kind == KindKill || t.Kind == KindStop }
	started := slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool {
		return restart(t) && t.From == entry && t.Begun > death+int64(contactTime) && t.Over < at
	})
	return started && !slices.ContainsFunc(c.h.Troubles, func(t Trouble) bool {
		return t.overlaps(death-int64(contactTime), at) && (t.touches(partStore, "") || t.To == partStore || t.From == partStore)
	})
}

// bystander judges a call that was rejected as one that crashes targets.
func (c *checker) bystander(call *Call) {
	if !call.Deadly && call.Status == http.StatusInternalServerError && call.Stamp == "" {
		c.broken(RuleBystander, call.Ended, "call %s at %s was rejected as one that crashes targets", call.ID, call.Entry)
	}
}
