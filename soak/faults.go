package soak

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/process"
)

// stopTolerance is how long a process may run after its grace period.
const stopTolerance = time.Second

// A slow process runs for slowRuns and is stopped for slowStopped in turn, so that it has a
// seventh of a processor.
const (
	slowRuns    = 10 * time.Millisecond
	slowStopped = 60 * time.Millisecond
)

// lostAcksPerSecond is the number of acknowledgements that the store loses per second of a
// KindStoreLoseAcks fault.
const lostAcksPerSecond = 10

// inject carries out a fault and records when it started and ended.
func (x *execution) inject(ctx context.Context, f Fault) error {
	startedAt := time.Now()
	err := x.apply(ctx, f)
	x.mu.Lock()
	defer x.mu.Unlock()
	if f.Kind != KindChange && f.Kind != KindNoKeys {
		x.faults = append(x.faults, InjectedFault{Fault: f, StartedAt: startedAt.UnixNano(), EndedAt: time.Now().UnixNano()})
	}
	if err != nil {
		return fmt.Errorf("soak: %s: %w", f, err)
	}
	return nil
}

func (x *execution) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KindChange:
		return x.operator.writeNextVersion(ctx)
	case KindNoKeys:
		return x.takeKeys(ctx, f)
	case KindPoison, KindPoisonPart:
		x.sendPoison(ctx, f)
		return nil
	case KindGather:
		x.gather(ctx, f)
		return nil
	case KindCrowd:
		return x.sendCrowd(ctx, f)
	case KindStoreDown, KindStoreSlow, KindStoreLoseAcks:
		return x.injectStoreFault(ctx, f)
	}
	if f.isLinkFault() {
		x.links.injectFault(f)
		clock.Sleep(ctx, f.Duration())
		x.links.clearFault(f)
		return nil
	}
	if f.From == nodeStore {
		return x.pauseProcess(ctx, x.store, f)
	}
	for _, e := range x.entries {
		if e.name == f.From {
			return x.injectEntryFault(ctx, e, f)
		}
	}
	for _, t := range x.targets {
		if t.name == f.From {
			return x.injectTargetFault(ctx, t, f)
		}
	}
	return fmt.Errorf("%w: no node %q", ErrInvalidPlan, f.From)
}

func (x *execution) injectStoreFault(ctx context.Context, f Fault) error {
	ms := f.Duration().Milliseconds()
	var storeFault platform.Fault
	switch f.Kind {
	case KindStoreDown:
		storeFault.DownMs = ms
	case KindStoreSlow:
		storeFault.SlowMs, storeFault.SlowForMs = int64(f.DelayMs), ms
	case KindStoreLoseAcks:
		storeFault.LostAcks = lostAcksPerSecond * int(1+ms/1000)
	}
	err := platform.NewClient(x.storeAddr, writeTimeout).SetFault(ctx, storeFault)
	if errors.Is(err, platform.ErrUnavailable) {
		return nil // another fault has paused the store
	}
	if err != nil {
		return err
	}
	clock.Sleep(ctx, f.Duration())
	return nil
}

// pauseProcess pauses a process for the fault's duration. The process may be killed
// meanwhile.
func (x *execution) pauseProcess(ctx context.Context, proc *process.Process, f Fault) error {
	if err := proc.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	clock.Sleep(ctx, f.Duration())
	return proc.Signal(syscall.SIGCONT)
}

// slowDown stops and continues a process in turn for the fault's duration.
func (x *execution) slowDown(ctx context.Context, proc *process.Process, f Fault) error {
	for end := time.Now().Add(f.Duration()); time.Now().Before(end) && ctx.Err() == nil; {
		if err := proc.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		clock.Sleep(ctx, slowStopped)
		if err := proc.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		clock.Sleep(ctx, slowRuns)
	}
	return nil
}

func (x *execution) injectEntryFault(ctx context.Context, e *entry, f Fault) error {
	switch f.Kind {
	case KindPause:
		return x.pauseProcess(ctx, e.process(), f)
	case KindSlow:
		return x.slowDown(ctx, e.process(), f)
	case KindReload:
		return e.process().Signal(syscall.SIGHUP)
	}
	e.faultMu.Lock()
	defer e.faultMu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	proc := e.process()
	if f.Kind == KindStop {
		if err := x.stopProcess(proc, gracePeriod); err != nil {
			return err
		}
	} else if err := proc.Kill(); err != nil {
		return err
	}
	x.links.closeTo(e.name)
	clock.Sleep(ctx, f.Duration())
	return e.start(x)
}

// stopProcess stops a process gracefully and records a violation if it does not exit in
// time. Time that the plan pauses the process is added.
func (x *execution) stopProcess(proc *process.Process, grace time.Duration) error {
	if err := proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := proc.Await(grace + stopTolerance + x.plannedPauses(proc.Name(), time.Since(x.startedAt), grace+stopTolerance))
	if err == nil {
		return nil
	}
	x.recordExit(proc, fmt.Errorf("stop: %w", err))
	return errors.Join(proc.Signal(syscall.SIGCONT), proc.Kill())
}

// plannedPauses returns an upper bound of the time for which the plan pauses a node in a
// window.
func (x *execution) plannedPauses(node string, from, window time.Duration) time.Duration {
	var total time.Duration
	for _, f := range x.plan.Faults {
		if f.Kind == KindPause && f.From == node && f.At() < from+window && f.At()+f.Duration() > from {
			total += f.Duration()
		}
	}
	return total
}

func (x *execution) injectTargetFault(ctx context.Context, t *target, f Fault) error {
	switch f.Kind {
	case KindPause:
		return x.pauseProcess(ctx, t.process(), f)
	case KindLoseAnswers:
		return x.loseAnswers(ctx, t, f)
	case KindRateLimit:
		return x.limitRate(ctx, t, f)
	case KindUndelimited:
		return x.endWithConnections(ctx, t, f)
	case KindEndless:
		return x.answerWithoutEnd(ctx, t, f)
	case KindBackoff:
		return x.askBackoffs(ctx, t, f)
	case KindDraining:
		return x.sayDraining(ctx, t, f)
	case KindStandStill:
		x.post(t, fmt.Sprintf("%s?ms=%d", pathStandStill, f.ForMs))
		clock.Sleep(ctx, f.Duration())
		return nil
	}
	t.faultMu.Lock()
	defer t.faultMu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	config := t.currentConfig()
	if f.Kind == KindStop {
		return x.drainTarget(ctx, t, f)
	}
	if err := t.process().Kill(); err != nil {
		return err
	}
	x.links.closeTo(t.name)
	switch f.Kind {
	case KindReuseAddress:
		return x.replaceTarget(ctx, t, config, f)
	case KindNewAddress, KindClockStep:
		config.Listen, config.StepMs = "", f.StepMs
	}
	clock.Sleep(ctx, f.Duration())
	return t.start(x, config)
}

// loseAnswers makes a target reset the connections of calls after it ran them. The request
// is not retried: a target that is stopped or paused sends no answers either.
func (x *execution) loseAnswers(ctx context.Context, t *target, f Fault) error {
	resp, err := x.operator.http.Post(fmt.Sprintf("http://%s%s?ms=%d", t.currentConfig().Listen, pathLoseAnswers, f.ForMs), "", nil)
	if err == nil {
		resp.Body.Close()
	}
	clock.Sleep(ctx, f.Duration())
	return nil
}

// drainTarget stops a target gracefully and starts its successor. A target that does not
// stop is no violation: an unreachable store delays its draining.
func (x *execution) drainTarget(ctx context.Context, t *target, f Fault) error {
	proc := t.process()
	if err := proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if proc.Await(2*maxFaultDuration) != nil {
		if err := proc.Kill(); err != nil {
			return err
		}
	}
	x.links.closeTo(t.name)
	clock.Sleep(ctx, f.Duration())
	return t.start(x, t.nextConfig(t.service))
}

// replaceTarget starts a target of the other service at the address of a killed target,
// and afterwards restores the node with a target of its own service.
func (x *execution) replaceTarget(ctx context.Context, t *target, config TargetConfig, f Fault) error {
	replacement := t.nextConfig(serviceApp)
	if t.service == serviceApp {
		replacement = t.nextConfig(serviceLLM)
	}
	replacement.Listen = config.Listen
	if err := t.start(x, replacement); err != nil {
		return err
	}
	clock.Sleep(ctx, f.Duration())
	if err := t.process().Kill(); err != nil {
		return err
	}
	x.links.closeTo(t.name)
	return t.start(x, t.nextConfig(t.service))
}
