package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

const (
	// poisonBody is the body of poison requests, up to the moment of the crash.
	poisonBody = "deadly"
	// momentSeparator comes before the moment of the crash in the body of a request that
	// crashes targets.
	momentSeparator = " at "
	// poisonPart is the part of prompts that crashes engines.
	poisonPart = "dead0"
	// crashExitCode is the exit code of a target that a poison request crashed.
	crashExitCode = 70
	// restartDelay is how long a crashed target's node stays empty.
	restartDelay       = 1500 * time.Millisecond
	crashPollInterval  = 50 * time.Millisecond
	meanPoisonInterval = 400 * time.Millisecond
	maxPoisonDuration  = 16 * time.Second
	// A request is quarantined after crashesToQuarantine crashes. All instances have to
	// reject the request quarantineDelay later; maxLatePoisonAttempts allows for attempts
	// in progress.
	crashesToQuarantine = 3
	// partCrashesToQuarantine is the same for a part of prompts.
	partCrashesToQuarantine = 5
	maxLatePoisonAttempts   = 3
	quarantineDelay         = 3 * time.Second
)

// drawPoison draws a poison request and, in every other plan, a kill of all instances
// while it is being sent.
func (d *planDrawer) drawPoison(end time.Duration) []Fault {
	begin := startMargin + d.drawDuration((end-startMargin)/4)
	duration := min(end-begin, maxPoisonDuration)
	f := Fault{Kind: KindPoison, AtMs: int(begin.Milliseconds()), ForMs: int(duration.Milliseconds()), From: nodeEngine}
	if d.rng.IntN(2) == 0 {
		f.From = nodeService
	}
	out := []Fault{f}
	if d.rng.IntN(2) == 0 {
		return out
	}
	killAt := begin + duration/2
	for n := range d.size.Entries {
		out = append(out, Fault{Kind: KindKill, AtMs: int(killAt.Milliseconds()), ForMs: 500 + d.rng.IntN(1000), From: fmt.Sprint(nodeEntry, n)})
	}
	return out
}

// drawPoisonPart draws a time in which requests with a poison part are sent.
func (d *planDrawer) drawPoisonPart(end time.Duration) Fault {
	begin := startMargin + d.drawDuration((end-startMargin)/4)
	return Fault{Kind: KindPoisonPart, AtMs: int(begin.Milliseconds()), ForMs: int(min(end-begin, maxPoisonDuration).Milliseconds()), From: nodeEngine}
}

// isPoison reports whether a call crashes its target.
func isPoison(c platform.ReceivedCall) bool {
	body, _, _ := strings.Cut(string(c.Body), momentSeparator)
	return body == poisonBody || hasPoisonPart(c)
}

// crashMoment returns the moment at which a call crashes its target.
func crashMoment(c platform.ReceivedCall) platform.CrashMoment {
	_, moment, _ := strings.Cut(string(c.Body), momentSeparator)
	return platform.CrashMoment(moment)
}

// hasPoisonPart reports whether the prompt of a call has the poison part.
func hasPoisonPart(c platform.ReceivedCall) bool { return slices.Contains(c.PromptParts, poisonPart) }

// sendPoison sends poison requests to random instances for the duration of the fault.
func (x *execution) sendPoison(ctx context.Context, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.Duration())
	defer cancel()
	kind := CallStream
	if f.From == nodeService {
		kind = CallUnsafe
	}
	c := newCaller(x, x.size.Callers+f.AtMs)
	defer c.disconnect()
	interval := cmp.Or(time.Duration(f.EveryMs)*time.Millisecond, meanPoisonInterval)
	for clock.Sleep(ctx, time.Duration(c.rng.ExpFloat64()*float64(interval))) {
		go c.sendPoisonOnce(kind, f, c.rng.Uint64())
	}
}

// sendPoisonOnce sends a poison request over a connection of its own.
func (c *caller) sendPoisonOnce(kind string, f Fault, seed uint64) {
	oneShot := newCaller(c.exec, c.index)
	oneShot.rng = rand.New(rand.NewPCG(seed, 0))
	defer oneShot.disconnect()
	oneShot.entryIndex = oneShot.exec.balancer.pick(oneShot.rng)
	call := oneShot.newCall(kind, 0, fmt.Sprintf("%x", seed))
	call.Poison, call.PoisonPart, call.Moment, call.Place = true, f.Kind == KindPoisonPart, f.Moment, f.Place
	oneShot.make(&call)
}

// restartCrashed starts successors of targets that a poison request crashed, until ctx
// ends.
func (x *execution) restartCrashed(ctx context.Context) {
	handled := map[*process.Process]bool{}
	for clock.Sleep(ctx, crashPollInterval) {
		for _, t := range x.targets {
			if proc := t.process(); crashedByPoison(proc) && !handled[proc] {
				handled[proc] = true
				go x.restartTarget(ctx, t, proc)
			}
		}
	}
}

// restartTarget starts the successor of a crashed target, unless a fault has replaced the
// process.
func (x *execution) restartTarget(ctx context.Context, t *target, proc *process.Process) {
	startedAt := time.Now()
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	if t.process() != proc {
		return
	}
	x.links.closeTo(t.name)
	if !clock.Sleep(ctx, restartDelay) {
		return
	}
	if err := t.start(x, t.nextConfig(t.service)); err != nil {
		x.recordExit(proc, fmt.Errorf("restart after crash: %w", err))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.faults = append(x.faults, InjectedFault{Fault: Fault{Kind: KindPoison, From: t.name}, StartedAt: startedAt.UnixNano(), EndedAt: time.Now().UnixNano()})
}

// crashedByPoison reports whether a poison request crashed the process.
func crashedByPoison(proc *process.Process) bool {
	unexpected, err := proc.ExitedUnexpectedly()
	var exit *exec.ExitError
	return unexpected && errors.As(err, &exit) && exit.ExitCode() == crashExitCode
}

// checkPoison checks how often the poison request, and requests with the poison part, were
// sent after the crash that quarantines them.
func (c *checker) checkPoison() {
	c.checkLatePoison("a request", crashesToQuarantine, false)
	c.checkLatePoison("requests with a part", partCrashesToQuarantine, true)
}

// checkLatePoison counts attempts by instances that had to know of the quarantine: those that
// reached the store for quarantineDelay, and those that restarted after the quarantine.
func (c *checker) checkLatePoison(what string, allowedCrashes int, byPart bool) {
	crashes := c.crashTimes(byPart)
	if len(crashes) < allowedCrashes {
		return
	}
	quarantinedAt := crashes[allowedCrashes-1]
	knownAt := quarantinedAt + int64(quarantineDelay)
	lateAttempts := 0
	for id, attempts := range c.attempts {
		call := c.calls[id]
		if call == nil || !call.Poison || call.PoisonPart != byPart {
			continue
		}
		for _, r := range attempts {
			if r.At > knownAt && (c.reachedStore(call.Entry, r.At-int64(quarantineDelay), r.At) || c.restartedAfter(call.Entry, quarantinedAt, r.At)) {
				lateAttempts++
			}
		}
	}
	if lateAttempts > maxLatePoisonAttempts {
		c.addViolation(RulePoison, knownAt, "%s that had crashed %d targets reached targets %d more times later than %v after the last of these crashes; %d crashes in total", what, allowedCrashes, lateAttempts, quarantineDelay, len(crashes))
	}
}

// crashTimes returns when the poison request, or requests with the poison part, crashed
// targets, in order.
func (c *checker) crashTimes(byPart bool) []int64 {
	var out []int64
	for _, r := range c.history.Records {
		if r.Kind == RecordCrashed && r.PoisonPart == byPart {
			out = append(out, r.At)
		}
	}
	slices.Sort(out)
	return out
}

// reachedStore reports whether neither the store nor the instance's link to it had a fault
// in an interval.
func (c *checker) reachedStore(entry string, from, to int64) bool {
	return !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool {
		return t.overlaps(from, to) && (t.affects(nodeStore, "") || t.affects(entry, nodeStore))
	})
}

// restartedAfter reports whether an instance was restarted after the quarantine was
// stored. It requires that the store and all links to it had no fault since shortly before
// the crash.
func (c *checker) restartedAfter(entry string, quarantinedAt, at int64) bool {
	isRestart := func(t InjectedFault) bool { return t.Kind == KindKill || t.Kind == KindStop }
	restarted := slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool {
		return isRestart(t) && t.From == entry && t.StartedAt > quarantinedAt+int64(quarantineDelay) && t.EndedAt < at
	})
	return restarted && !slices.ContainsFunc(c.history.Faults, func(t InjectedFault) bool {
		return t.overlaps(quarantinedAt-int64(quarantineDelay), at) && (t.affects(nodeStore, "") || t.To == nodeStore || t.From == nodeStore)
	})
}

// checkBystander checks that no other call was rejected as a poison request.
func (c *checker) checkBystander(call *Call) {
	if !call.Poison && call.Status == http.StatusInternalServerError && call.Stamp == "" {
		c.addViolation(RuleBystander, call.EndedAt, "call %s at %s was rejected as a poison request", call.ID, call.Entry)
	}
}
