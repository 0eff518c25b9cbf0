package emulator

import (
	"cmp"
	"slices"
	"time"
)

// beginStep starts a step, in which every generation of the batch generates a
// token and one other prefills the next chunk of its prompt. beginStep returns
// the step's duration, or 0 if there is nothing to do.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = nil
	if e.state != Up {
		return 0
	}
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	for _, g := range e.running {
		if g.toPrefill == 0 {
			e.batch = append(e.batch, g)
		}
	}
	stepTime := e.profile.StepTime + e.profile.StepTimePerRequest*time.Duration(len(e.running))
	if g := e.nextPrefill(); g != nil {
		stepTime += e.prefillChunk(g)
	}
	return e.scaleDuration(stepTime)
}

// finishStep ends a step: the batch generates its tokens.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Up {
		return
	}
	for _, g := range e.batch {
		if !g.ended {
			e.generateToken(g)
		}
	}
	e.enforceMemoryLimit()
}

// nextPrefill returns the most urgent generation that needs prefill, or nil.
func (e *Engine) nextPrefill() *Generation {
	var next *Generation
	for _, g := range e.running {
		if g.toPrefill > 0 && (next == nil || compareUrgency(g, next) < 0) {
			next = g
		}
	}
	return next
}

// admit starts waiting generations, the most urgent first, while slots and memory
// last.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, compareUrgency)
	for len(e.waiting) > 0 && len(e.running) < e.profile.Slots {
		g := e.waiting[0]
		cached := e.cache.remove(g.Subject)
		if g.kvTokens == 0 && cached > 0 {
			cached = min(cached, g.toPrefill)
			g.kvTokens, g.toPrefill = cached, g.toPrefill-cached
			g.cacheReuse += cached
			e.stats.CachedTokens += cached
		}
		if !e.tryFit(g) && !e.preemptFor(g) {
			return
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(o *Generation) bool { return o == g })
		e.running = append(e.running, g)
		g.beginWork()
	}
}

// compareUrgency orders generations by priority, and those of equal priority by
// arrival.
func compareUrgency(a, b *Generation) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrival, b.arrival))
}

// prefillChunk processes the next chunk of a prompt and returns the time that
// it takes.
func (e *Engine) prefillChunk(g *Generation) time.Duration {
	n := min(e.profile.PrefillChunk, g.toPrefill)
	g.toPrefill -= n
	g.kvTokens += n
	g.prefilled += n
	e.stats.PrefillTokens += n
	took := e.profile.PrefillTime(n)
	if g.toPrefill == 0 {
		took += e.profile.FirstTokenDelay
	}
	return took
}

// generateToken generates the next token, and the event that it completes.
func (e *Engine) generateToken(g *Generation) {
	select {
	case <-g.firstToken:
	default:
		close(g.firstToken)
	}
	if g.Poison {
		return
	}
	now := time.Now()
	g.generated++
	g.kvTokens++
	e.replicate(g, now)
	if g.generated%e.profile.TokensPerEvent == 0 {
		g.eventSent = true
		g.events <- Event{ID: g.generated / e.profile.TokensPerEvent, GeneratedAt: now}
	}
	if g.generated >= g.Events*e.profile.TokensPerEvent {
		g.end(nil)
		e.remove(g)
		e.cache.add(g.Subject, g.kvTokens)
		if g.ReplicaTarget != nil {
			g.ReplicaTarget.dropReplica(g.CallID)
		}
	}
}

// replicate updates the generation's replica once per replicaInterval. A
// goroutine delivers the update, so that no two engines are locked at once.
func (e *Engine) replicate(g *Generation, now time.Time) {
	if g.ReplicaTarget == nil || now.Sub(g.replicatedAt) < replicaInterval {
		return
	}
	g.replicatedAt = now
	to, callID, tokens := g.ReplicaTarget, g.CallID, g.kvTokens
	go func() { to.storeReplica(callID, tokens, now) }()
}

// storeReplica stores an update of a replica if there is room.
func (e *Engine) storeReplica(callID string, tokens int, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, exists := e.replicas[callID]
	if e.state != Up || e.reservedTokens()+tokens-old.tokens > e.profile.MemoryTokens || exists && tokens <= old.tokens {
		return
	}
	e.stats.ReplicatedTokens += tokens - old.tokens
	e.replicas[callID] = replica{tokens: tokens, updatedAt: at}
}

// dropReplica drops a replica that is not needed any more. A goroutine does it,
// as the caller holds the lock of another engine.
func (e *Engine) dropReplica(callID string) {
	go func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.replicas, callID)
	}()
}

// remove removes a generation from the running and the waiting ones.
func (e *Engine) remove(g *Generation) {
	isSame := func(o *Generation) bool { return o == g }
	e.running = slices.DeleteFunc(e.running, isSame)
	e.waiting = slices.DeleteFunc(e.waiting, isSame)
}

// reservedTokens returns the tokens that running generations and replicas need;
// these can't be evicted. It drops expired replicas.
func (e *Engine) reservedTokens() int {
	n := 0
	for _, g := range e.running {
		n += g.kvTokens + g.toPrefill
	}
	for callID, r := range e.replicas {
		if time.Since(r.updatedAt) > ReplicaExpiry {
			delete(e.replicas, callID)
			continue
		}
		n += r.tokens
	}
	return n
}

// tryFit evicts cached prompts to make room for a generation, and reports
// whether it fits. If no other generation is running, it always fits.
func (e *Engine) tryFit(g *Generation) bool {
	free := e.profile.MemoryTokens - e.reservedTokens() - g.kvTokens - g.toPrefill
	e.cache.evict(free)
	return free >= 0 || len(e.running) == 0
}

// preemptFor preempts running generations that are less urgent than g, the newest of the
// least urgent first, until g fits, and reports whether it does. It preempts none if that
// would not be enough.
func (e *Engine) preemptFor(g *Generation) bool {
	less := slices.SortedFunc(slices.Values(e.running), compareUrgency)
	less = slices.DeleteFunc(less, func(o *Generation) bool { return o.Priority <= g.Priority })
	free := e.profile.MemoryTokens - e.reservedTokens() - g.kvTokens - g.toPrefill
	var victims []*Generation
	for _, o := range slices.Backward(less) {
		if free >= 0 {
			break
		}
		free += o.kvTokens + o.toPrefill
		victims = append(victims, o)
	}
	if free < 0 {
		return false
	}
	for _, o := range victims {
		e.preempt(o)
	}
	return true
}

// preempt drops a running generation's tokens, which are prefilled again when it is
// admitted the next time.
func (e *Engine) preempt(g *Generation) {
	e.remove(g)
	g.discard(Preempted)
	g.toPrefill, g.kvTokens = g.kvTokens+g.toPrefill, 0
	e.waiting = append(e.waiting, g)
	e.stats.Preemptions++
}

// enforceMemoryLimit preempts the newest of the least urgent generations while
// running generations and replicas exceed the memory, then evicts cached prompts.
func (e *Engine) enforceMemoryLimit() {
	used := e.reservedTokens()
	for used > e.profile.MemoryTokens && len(e.running) > 1 {
		g := slices.MaxFunc(e.running, compareUrgency)
		used -= g.kvTokens + g.toPrefill
		e.preempt(g)
	}
	e.cache.evict(e.profile.MemoryTokens - used)
}
