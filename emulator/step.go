package emulator

import (
	"cmp"
	"slices"
	"time"
)

// begin begins a step: every run in the batch is to make its next token, and
// one other reads the next chunk of its prompt. It returns how long that
// takes; 0 means that there is nothing to do.
func (e *Engine) begin() time.Duration {
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
	for _, r := range e.running {
		if r.toRead == 0 {
			e.batch = append(e.batch, r)
		}
	}
	took := e.kind.Step + e.kind.StepMore*time.Duration(len(e.running))
	if r := e.reader(); r != nil {
		took += e.read(r)
	}
	return e.slowed(took)
}

// finish ends a step: the batch has made its tokens.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.state != Up {
		return
	}
	for _, r := range e.batch {
		if !r.ended {
			e.token(r)
		}
	}
	e.makeRoom()
}

// reader is the run whose prompt is read next, or nil: the most urgent one.
func (e *Engine) reader() *Run {
	var next *Run
	for _, r := range e.running {
		if r.toRead > 0 && (next == nil || byUrgency(r, next) < 0) {
			next = r
		}
	}
	return next
}

// admit starts waiting runs while there are slots and memory, the most urgent
// first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, byUrgency)
	for len(e.waiting) > 0 && len(e.running) < e.kind.Slots {
		r := e.waiting[0]
		found := e.cache.take(r.Subject)
		if r.held == 0 && found > 0 {
			found = min(found, r.toRead)
			r.held, r.toRead = found, r.toRead-found
			e.stats.Found += found
		}
		if !e.fits(r) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
	}
}

func byUrgency(a, b *Run) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), cmp.Compare(a.order, b.order))
}

// read has a run read the next chunk of its prompt.
func (e *Engine) read(r *Run) time.Duration {
	n := min(e.kind.Chunk, r.toRead)
	r.toRead -= n
	r.held += n
	e.stats.Read += n
	took := e.kind.Reading(n)
	if r.toRead == 0 {
		took += e.kind.FirstToken
	}
	return took
}

// token has a run make its next token.
func (e *Engine) token(r *Run) {
	select {
	case <-r.begun:
	default:
		close(r.begun)
	}
	if r.Deadly {
		return
	}
	now := time.Now()
	r.made++
	r.held++
	e.backup(r, now)
	if r.made%e.kind.Stride == 0 {
		r.events <- Made{N: r.made / e.kind.Stride, At: now}
	}
	if r.made >= r.Events*e.kind.Stride {
		r.end(nil)
		e.drop(r)
		e.cache.put(r.Subject, r.held)
		if r.Backup != nil {
			r.Backup.freeCopy(r.Call)
		}
	}
}

// backup sends the next part of a run's growing copy. Engines are locked one
// at a time: the copy is handed over by another goroutine.
func (e *Engine) backup(r *Run, now time.Time) {
	if r.Backup == nil || now.Sub(r.copied) < copyEvery {
		return
	}
	r.copied = now
	to, call, tokens := r.Backup, r.Call, r.held
	go func() { to.keepCopy(call, tokens, now) }()
}

// keepCopy takes a part of a growing copy, while there is room.
func (e *Engine) keepCopy(call string, tokens int, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.copies[call]
	if e.state != Up || e.used()+tokens-old.tokens > e.kind.Memory || known && tokens <= old.tokens {
		return
	}
	e.stats.Copied += tokens - old.tokens
	e.copies[call] = copied{tokens: tokens, at: at}
}

// freeCopy drops a copy that is not needed any more, from another engine's
// step.
func (e *Engine) freeCopy(call string) {
	go func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.copies, call)
	}()
}

// drop takes a run out of the batch or the queue.
func (e *Engine) drop(r *Run) {
	is := func(o *Run) bool { return o == r }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
}

// used is the memory that cannot yield, in tokens.
func (e *Engine) used() int {
	n := 0
	for _, r := range e.running {
		n += r.held + r.toRead
	}
	for call, c := range e.copies {
		if time.Since(c.at) > CopyExpiry {
			delete(e.copies, call)
			continue
		}
		n += c.tokens
	}
	return n
}

// fits has cached prompts yield to a run, and reports whether it finds room.
func (e *Engine) fits(r *Run) bool {
	left := e.kind.Memory - e.used() - r.held - r.toRead
	e.cache.shrink(left)
	return left >= 0 || len(e.running) == 0
}

// makeRoom has cached prompts yield to the runs, and, where these have
// outgrown the memory, stops the newest of the least urgent ones.
func (e *Engine) makeRoom() {
	used := e.used()
	for used > e.kind.Memory && len(e.running) > 1 {
		r := slices.MaxFunc(e.running, byUrgency)
		used -= r.held + r.toRead
		e.drop(r)
		r.toRead, r.held = r.held+r.toRead, 0
		e.waiting = append(e.waiting, r)
		e.stats.Preempted++
	}
	e.cache.shrink(e.kind.Memory - used)
}
