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

// stopMore is how long after the grace period a process that was told to end
// may still run.
const stopMore = time.Second

// lostAcks is how many answers the store loses in a second of such a fault.
const lostAcks = 10

// carryOut carries a fault out, from its beginning to its end, and notes when
// it was.
func (p *play) carryOut(ctx context.Context, f Fault) error {
	begun := time.Now()
	err := p.apply(ctx, f)
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Kind != KindChange {
		p.troubles = append(p.troubles, Trouble{Fault: f, Begun: begun.UnixNano(), Over: time.Now().UnixNano()})
	}
	if err != nil {
		return fmt.Errorf("soak: %s: %w", f, err)
	}
	return nil
}

func (p *play) apply(ctx context.Context, f Fault) error {
	switch f.Kind {
	case KindChange:
		return p.operator.change(ctx)
	case KindDeadly:
		p.callDeadly(ctx, f)
		return nil
	case KindStoreDown, KindStoreSlow, KindStoreLoses:
		return p.disturbStore(ctx, f)
	}
	if f.ofWay() {
		p.links.disturb(f)
		clock.Sleep(ctx, f.Long())
		p.links.calm(f)
		return nil
	}
	if f.From == partStore {
		return p.pause(ctx, p.store, f)
	}
	for _, e := range p.entries {
		if e.name == f.From {
			return p.disturbEntry(ctx, e, f)
		}
	}
	for _, t := range p.targets {
		if t.name == f.From {
			return p.disturbTarget(ctx, t, f)
		}
	}
	return fmt.Errorf("%w: no part %q", ErrBadPlan, f.From)
}

func (p *play) disturbStore(ctx context.Context, f Fault) error {
	ms := f.Long().Milliseconds()
	var order platform.Fault
	switch f.Kind {
	case KindStoreDown:
		order.DownMs = ms
	case KindStoreSlow:
		order.SlowMs, order.SlowForMs = int64(f.DelayMs), ms
	case KindStoreLoses:
		order.LostAcks = lostAcks * int(1+ms/1000)
	}
	err := platform.NewClient(p.storeAt, ackTime).SetFault(ctx, order)
	if errors.Is(err, platform.ErrUnavailable) {
		return nil // the store is paused: one disturbance at a time is enough for it
	}
	if err != nil {
		return err
	}
	clock.Sleep(ctx, f.Long())
	return nil
}

// pause stops a process for a while. It may have been killed meanwhile.
func (p *play) pause(ctx context.Context, proc *process.Process, f Fault) error {
	if err := proc.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	clock.Sleep(ctx, f.Long())
	return proc.Signal(syscall.SIGCONT)
}

func (p *play) disturbEntry(ctx context.Context, e *entry, f Fault) error {
	switch f.Kind {
	case KindPause:
		return p.pause(ctx, e.running(), f)
	case KindReload:
		return e.running().Signal(syscall.SIGHUP)
	}
	e.turn.Lock()
	defer e.turn.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	proc := e.running()
	if f.Kind == KindStop {
		if err := p.stop(proc, graceTime); err != nil {
			return err
		}
	} else if err := proc.Kill(); err != nil {
		return err
	}
	p.links.closeTo(e.name)
	clock.Sleep(ctx, f.Long())
	return e.start(p)
}

// stop tells a process to end. The pauses of the plan are not held against it.
func (p *play) stop(proc *process.Process, grace time.Duration) error {
	if err := proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := proc.Await(grace + stopMore + p.paused(proc.Name(), time.Since(p.begun), grace+stopMore))
	if err == nil {
		return nil
	}
	p.died(proc, fmt.Errorf("told to end: %w", err))
	return errors.Join(proc.Signal(syscall.SIGCONT), proc.Kill())
}

// paused is how long the plan pauses a part within some time, at most.
func (p *play) paused(part string, from, long time.Duration) time.Duration {
	var sum time.Duration
	for _, f := range p.plan.Faults {
		if f.Kind == KindPause && f.From == part && f.At() < from+long && f.At()+f.Long() > from {
			sum += f.Long()
		}
	}
	return sum
}

func (p *play) disturbTarget(ctx context.Context, t *target, f Fault) error {
	switch f.Kind {
	case KindPause:
		return p.pause(ctx, t.running(), f)
	case KindLoses:
		return p.loseAnswers(ctx, t, f)
	}
	t.turn.Lock()
	defer t.turn.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	now := t.current()
	if f.Kind == KindStop {
		return p.drainTarget(ctx, t, f)
	}
	if err := t.running().Kill(); err != nil {
		return err
	}
	p.links.closeTo(t.name)
	switch f.Kind {
	case KindReplace:
		return p.replaceTarget(ctx, t, now, f)
	case KindReborn, KindClock:
		now.Listen, now.StepMs = "", f.StepMs
	}
	clock.Sleep(ctx, f.Long())
	return t.start(p, now)
}

// loseAnswers has a target lose the answers of calls that it runs. One that is
// not there or paused loses them anyway.
func (p *play) loseAnswers(ctx context.Context, t *target, f Fault) error {
	resp, err := p.operator.http.Post(fmt.Sprintf("http://%s%s?ms=%d", t.current().Listen, pathLoses, f.ForMs), "", nil)
	if err == nil {
		resp.Body.Close()
	}
	clock.Sleep(ctx, f.Long())
	return nil
}

// drainTarget has a target leave in order, and another one come. What a target
// does when it leaves is the play's own: a store that is away delays it.
func (p *play) drainTarget(ctx context.Context, t *target, f Fault) error {
	proc := t.running()
	if err := proc.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if proc.Await(2*maxFault) != nil {
		if err := proc.Kill(); err != nil {
			return err
		}
	}
	p.links.closeTo(t.name)
	clock.Sleep(ctx, f.Long())
	return t.start(p, t.next(t.service))
}

// replaceTarget has the address of a killed target answer for one of the other
// service, and then fills the place again.
func (p *play) replaceTarget(ctx context.Context, t *target, before TargetConfig, f Fault) error {
	other := t.next(serviceApp)
	if t.service == serviceApp {
		other = t.next(serviceLLM)
	}
	other.Listen = before.Listen
	if err := t.start(p, other); err != nil {
		return err
	}
	clock.Sleep(ctx, f.Long())
	if err := t.running().Kill(); err != nil {
		return err
	}
	p.links.closeTo(t.name)
	return t.start(p, t.next(t.service))
}
