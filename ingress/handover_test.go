package ingress

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
	"github.com/ragworthitch/ragworthitch/upstream"
)

// States of one attempt of a stream, at target A, and who moves it on:
//
//	running   the target gets the request and works on it. From here the attempt is
//	          stopping once the target ends or resets its answer, or watch ends it: a loss
//	          or silence of the target, the end of its boot, a quarantine before the head,
//	          a failed check of an event, the deadline or the caller.
//	stopping  the attempt is over for the stream, but its connection is open, so that the
//	          target may still work. The attempt's sender closes the connection, at whatever
//	          time it gets its turn.
//	stopped   the connection is closed. Only now serve may select target B and send the
//	          next attempt, which is running then.
//
// The stream is complete once a target has ended it, and cut if no further attempt may
// be made. Both may happen while the last attempt is stopping.
const (
	attemptRunning attemptState = iota
	attemptStopping
	attemptStopped
)

// What may happen during a hand-over.
const (
	headOfA            handoverEvent = iota // the head of A's answer arrives
	eventOfA                                // an event of A arrives
	endOfA                                  // the rest of A's answer arrives, to its end
	resetOfA                                // A's connection is reset
	silence                                 // A sends nothing for longer than any failover time
	lossOfA                                 // another call finds A lost
	bootEndOfA                              // the registry learns that A's boot has ended
	quarantine                              // the request is quarantined
	deadline                                // the call's deadline passes
	callerLeaves                            // the caller disconnects
	shutdown                                // the instance drains, which must not end a stream
	shortSuspension                         // the process stands still, for less than maxTimerDelay
	longSuspension                          // the process stands still, for more than maxTimerDelay
	failureAtB                              // the attempt after A's fails, now or once it begins
	bootEndAtReplica                        // the boot of the target with A's replica ends
	handoverEventCount                      // number of kinds
)

// Ways in which the attempt after A's fails.
const (
	resetAtB handoverFailure = iota
	refusedByB
	errorStatusOfB
	gapAtB
	lossOfB
	handoverFailureCount
)

// Signals that a target sends on a connection.
const (
	signalHead targetSignal = iota
	signalEvent
	signalEnd
	signalReset
	signalRefusal
	signalErrorStatus
	signalGap
)

const (
	handoverGap = 20 * time.Millisecond // usual time between two events
	// silentFor is longer than failoverShare of the default objective for intervals.
	silentFor       = 1300 * time.Millisecond
	shortStandstill = 240 * time.Millisecond
	longStandstill  = 800 * time.Millisecond
	// headStartEvents is the number of events that the caller has if A has begun.
	headStartEvents   = 2
	targetPrefillTime = 30 * time.Millisecond
	targetInterval    = 10 * time.Millisecond
	longHandovers     = 3000 // random sequences of minLongHandover to maxLongHandover events
	minLongHandover   = 4
	maxLongHandover   = 8
	maxPrinted        = 12 // violations printed for each kind
)

var (
	// closingTimes are the times that a sender may take to close the connection of an
	// attempt that is over.
	closingTimes = []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 600 * time.Millisecond}
	handoverGaps = []time.Duration{0, handoverGap}

	handoverEventNames = [...]string{"head of A", "event of A", "end of A", "reset of A", "silence", "loss of A", "boot of A ends", "quarantine",
		"deadline", "caller leaves", "shutdown", "short suspension", "long suspension", "failure at B", "boot at replica ends"}
	handoverFailureNames = [...]string{"reset", "refusal", "error status", "gap", "loss"}
	// failureSignals are the signals of the failures that B itself causes.
	failureSignals = map[handoverFailure]targetSignal{resetAtB: signalReset, refusedByB: signalRefusal, errorStatusOfB: signalErrorStatus, gapAtB: signalGap}
)

type (
	attemptState    int
	handoverEvent   int
	handoverFailure int
	targetSignal    int

	// handoverCase is one order of events.
	handoverCase struct {
		begun       bool // A has sent headStartEvents events before the first event
		events      []handoverEvent
		gaps        []time.Duration // after each event
		closing     []time.Duration // times to close the connections of the attempts, in turn
		failure     handoverFailure
		checksFail  bool // A accepts no connection
		undelimited bool // A's answer has no length
	}

	// handoverSender is a Sender whose targets name their run in each event, as sampling
	// targets would: event 3 of the second attempt is "2/3".
	handoverSender struct {
		c *handoverCase
		h *Handler

		mu             sync.Mutex
		conns          []*handoverConn // of all attempts, in the order of their sends
		delivered      []deliveredEvent
		suspendedUntil clock.Time
		failNext       bool // the attempt after A's fails once it begins
		violations     []handoverViolation
	}

	// handoverConn is the connection of one attempt.
	handoverConn struct {
		s         *handoverSender
		ctx       context.Context
		r         *AttemptRequest
		run       int   // number of the attempt, from 1
		lastID    int64 // of the events sent
		signals   chan targetSignal
		first     []targetSignal // signals that came with the head
		closing   time.Duration  // left of the time that closing takes
		sentAt    clock.Time
		endedAt   clock.Time // when the target or the instance ended the attempt; 0: it has not been noticed
		stopped   chan struct{}
		closeOnce sync.Once
		stoppedAt clock.Time // guarded by s.mu; 0: not stopped
	}

	// deliveredEvent is an event that the caller has got.
	deliveredEvent struct {
		run int
		id  int64
	}

	// handoverViolation is a broken rule.
	handoverViolation struct{ rule, text string }

	// handoverCaller is a caller whose writes stand still while the process is suspended.
	handoverCaller struct {
		*httptest.ResponseRecorder
		s *handoverSender
	}

	// suspendedWriter takes log lines. The goroutines that write them stand still while the
	// process is suspended.
	suspendedWriter struct{ s *handoverSender }

	// handoverReport gathers the violations of many cases.
	handoverReport struct {
		cases, handovers int
		failed           map[string]int // cases by rule
		printed          map[string][]string
	}
)

func (e handoverEvent) String() string { return handoverEventNames[e] }

func (f handoverFailure) String() string { return handoverFailureNames[f] }

func (s attemptState) String() string { return [...]string{"running", "stopping", "stopped"}[s] }

func (c *handoverCase) String() string {
	var b strings.Builder
	b.WriteString(map[bool]string{false: "A sent", true: "A begun"}[c.begun])
	for i, e := range c.events {
		fmt.Fprintf(&b, ", %v (%v)", e, c.gaps[i])
	}
	fmt.Fprintf(&b, "; closing takes %v", c.closing)
	if slices.Contains(c.events, failureAtB) {
		fmt.Fprintf(&b, "; B fails by %v", c.failure)
	}
	if c.checksFail {
		b.WriteString("; A accepts no connection")
	}
	if c.undelimited {
		b.WriteString("; no length")
	}
	return b.String()
}

// has reports whether an event is part of the case.
func (c *handoverCase) has(events ...handoverEvent) bool {
	return slices.ContainsFunc(c.events, func(e handoverEvent) bool { return slices.Contains(events, e) })
}

// lasts returns the time from an event to the next one.
func (c *handoverCase) lasts(i int) time.Duration {
	if c.events[i] == silence {
		return silentFor + c.gaps[i]
	}
	return c.gaps[i]
}

// timeout returns the timeout of the call, by which its deadline is the event of that name;
// 0: the deadline is no event.
func (c *handoverCase) timeout() time.Duration {
	at := handoverGap // time of the first event
	for i, e := range c.events {
		if e == deadline {
			return max(at, 1)
		}
		at += c.lasts(i)
	}
	return 0
}

// Send opens a connection to a target that works on the attempt from then on.
func (s *handoverSender) Send(ctx context.Context, r *AttemptRequest) (*Reply, error) {
	s.awaitResume()
	c := s.open(ctx, r)
	var closed <-chan time.Time // once the attempt was cancelled
	done := ctx.Done()
	cancelledAt := clock.Time(0)
	for {
		select {
		case signal := <-c.signals:
			if cancelledAt != 0 {
				c.closing -= clock.Now().Sub(cancelledAt)
			}
			return c.answer(signal)
		case <-done:
			done, cancelledAt = nil, clock.Now()
			c.noteEnd()
			closed = time.After(c.closing)
		case <-closed:
			c.closing = 0
			c.close()
			return nil, fmt.Errorf("%w: %w", upstream.ErrSent, ctx.Err())
		}
	}
}

// CheckConnection succeeds, unless the case says that A accepts no connection.
func (s *handoverSender) CheckConnection(_ context.Context, m *registry.Member) error {
	if a := s.conn(1); s.c.checksFail && a != nil && m == a.r.Member {
		return upstream.ErrNotSent
	}
	return nil
}

// open records a new connection and checks the rules on the beginning of an attempt.
func (s *handoverSender) open(ctx context.Context, r *AttemptRequest) *handoverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastID, _ := strconv.ParseInt(r.ResumeOffset, 10, 64) // empty: from the start
	c := &handoverConn{s: s, ctx: ctx, r: r, run: len(s.conns) + 1, lastID: lastID, signals: make(chan targetSignal, 64), sentAt: clock.Now(), stopped: make(chan struct{})}
	c.closing = s.c.closing[(c.run-1)%len(s.c.closing)]
	for _, earlier := range s.conns {
		if state := earlier.state(); state != attemptStopped {
			s.violate("two targets at work, the former one "+state.String(), "attempt %d is sent while attempt %d is %v", c.run, earlier.run, state)
		}
	}
	if last := s.lastDelivered(); last.id != lastID {
		s.violate("resume offset", "attempt %d resumes after event %d where the caller has event %d", c.run, lastID, last.id)
	}
	s.checkWait(c)
	s.conns = append(s.conns, c)
	if c.run > 1 {
		go c.play()
	}
	return c
}

// checkWait checks that an attempt begins as soon as the former one has stopped. A process
// that stands still can't be in time. s.mu is held.
func (s *handoverSender) checkWait(c *handoverConn) {
	if len(s.conns) == 0 || s.c.has(shortSuspension, longSuspension) {
		return
	}
	former := s.conns[len(s.conns)-1]
	if former.stoppedAt == 0 {
		return
	}
	if wait := c.sentAt.Sub(former.stoppedAt); wait > 0 {
		s.violate("added wait", "attempt %d is sent %v after attempt %d has stopped", c.run, wait, former.run)
	}
}

// state returns the state of an attempt; s.mu is held.
func (c *handoverConn) state() attemptState {
	switch {
	case c.stoppedAt != 0:
		return attemptStopped
	case c.ctx.Err() != nil || c.endedAt != 0:
		return attemptStopping
	}
	return attemptRunning
}

// noteEnd records when the attempt was found to be over.
func (c *handoverConn) noteEnd() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.endedAt = cmp.Or(c.endedAt, clock.Now())
}

// close closes the connection, which takes a while. Closing it again takes no time.
func (c *handoverConn) close() {
	c.noteEnd()
	c.closeOnce.Do(func() {
		c.s.awaitResume()
		time.Sleep(c.closing)
		c.s.mu.Lock()
		defer c.s.mu.Unlock()
		c.stoppedAt = clock.Now()
		close(c.stopped)
	})
}

// answer returns what Send returns after the first signal.
func (c *handoverConn) answer(signal targetSignal) (*Reply, error) {
	body := EmptyBody(c.close)
	switch signal {
	case signalReset:
		c.close()
		return nil, fmt.Errorf("%w: reset", upstream.ErrSent)
	case signalRefusal:
		c.close()
		return nil, fmt.Errorf("%w: refused", upstream.ErrNotSent)
	case signalErrorStatus:
		return &Reply{Status: http.StatusInternalServerError, Header: http.Header{}, Delimited: true, Body: body}, nil
	case signalHead:
	default:
		c.first = append(c.first, signal)
	}
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Delimited: c.run > 1 || !c.s.c.undelimited, Body: body, Events: c.events}, nil
}

// events passes on the events that the target's signals stand for.
func (c *handoverConn) events(emit func(Event) bool) error {
	for {
		signal, err := c.next()
		if err != nil {
			return err
		}
		switch signal {
		case signalHead:
		case signalEvent:
			if c.lastID < streamEvents && !c.emit(emit) {
				return nil
			}
		case signalGap:
			if !c.canSkip() {
				c.noteEnd()
				return errBroken
			}
			c.lastID++
			if !c.emit(emit) {
				return nil
			}
		case signalEnd:
			for c.lastID < streamEvents {
				if !c.emit(emit) {
					return nil
				}
			}
			c.noteEnd()
			return nil
		default:
			c.noteEnd()
			return errBroken
		}
	}
}

// canSkip reports whether the next event may be left out: only the first event of an attempt
// that resumes shows a gap, since nobody knows by how much the ids of a stream increase.
func (c *handoverConn) canSkip() bool {
	return c.r.ResumeOffset != "" && strconv.FormatInt(c.lastID, 10) == c.r.ResumeOffset && c.lastID < streamEvents-1
}

// next returns the next signal, or an error once the attempt was cancelled.
func (c *handoverConn) next() (targetSignal, error) {
	if len(c.first) > 0 {
		signal := c.first[0]
		c.first = c.first[1:]
		return signal, nil
	}
	select {
	case signal := <-c.signals:
		return signal, nil
	case <-c.ctx.Done():
		return 0, c.ctx.Err()
	}
}

// emit passes on the next event of the run.
func (c *handoverConn) emit(emit func(Event) bool) bool {
	c.lastID++
	return emit(Event{Raw: fmt.Appendf(nil, "id: %d\ndata: %d/%d\n\n", c.lastID, c.run, c.lastID), ID: c.lastID})
}

// send sends a signal, unless the connection is closed.
func (c *handoverConn) send(signal targetSignal) {
	select {
	case c.signals <- signal:
	case <-c.stopped:
	}
}

// play sends the signals of a target that works without the driver.
func (c *handoverConn) play() {
	if failure := c.s.takeFailure(); failure {
		c.fail()
	}
	signals := append([]targetSignal{signalHead}, slices.Repeat([]targetSignal{signalEvent}, streamEvents)...)
	time.Sleep(targetPrefillTime)
	for _, signal := range append(signals, signalEnd) {
		c.send(signal)
		time.Sleep(targetInterval)
	}
}

// fail makes the attempt fail as the case says.
func (c *handoverConn) fail() {
	if c.s.c.failure == lossOfB {
		c.r.Member.Health().Failed(clock.Now())
		return
	}
	c.send(failureSignals[c.s.c.failure])
}

// takeFailure reports whether an attempt that begins has to fail.
func (s *handoverSender) takeFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	fails := s.failNext
	s.failNext = false
	return fails
}

// failAtB makes the latest attempt after A's fail, or the next one if there is none.
func (s *handoverSender) failAtB() {
	s.mu.Lock()
	last := s.conns[len(s.conns)-1]
	running := last.run > 1 && last.state() == attemptRunning
	s.failNext = s.failNext || !running
	s.mu.Unlock()
	if running {
		last.fail()
	}
}

// conn returns the connection of an attempt; nil: it has not been sent.
func (s *handoverSender) conn(run int) *handoverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if run > len(s.conns) {
		return nil
	}
	return s.conns[run-1]
}

// lastDelivered returns the last event that the caller has; s.mu is held.
func (s *handoverSender) lastDelivered() deliveredEvent {
	if len(s.delivered) == 0 {
		return deliveredEvent{}
	}
	return s.delivered[len(s.delivered)-1]
}

// violate records a broken rule; s.mu is held.
func (s *handoverSender) violate(rule, format string, args ...any) {
	s.violations = append(s.violations, handoverViolation{rule, fmt.Sprintf(format, args...)})
}

// suspend makes the goroutines of this process stand still at the next step that they take.
func (s *handoverSender) suspend(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedUntil = max(s.suspendedUntil, clock.Now().Add(d))
}

// awaitResume waits until the process is no longer suspended.
func (s *handoverSender) awaitResume() {
	s.mu.Lock()
	rest := s.suspendedUntil.Sub(clock.Now())
	s.mu.Unlock()
	if rest > 0 {
		time.Sleep(rest)
	}
}

// Write records the event that the caller gets.
func (w handoverCaller) Write(b []byte) (int, error) {
	w.s.awaitResume()
	w.s.record(string(b))
	return w.ResponseRecorder.Write(b)
}

// record checks an event that the caller gets. An event that names no run is another answer,
// in place of the stream.
func (s *handoverSender) record(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e deliveredEvent
	if _, err := fmt.Sscanf(event, "id: %d\ndata: %d/", &e.id, &e.run); err != nil {
		if len(s.delivered) > 0 {
			s.violate("answer", "the caller gets %q after event %d", event, s.lastDelivered().id)
		}
		return
	}
	last := s.lastDelivered()
	if e.id != last.id+1 {
		s.violate("order of events", "event %d of run %d follows event %d of run %d", e.id, e.run, last.id, last.run)
	}
	if e.run < last.run || e.run < len(s.conns) {
		s.violate("runs joined", "event %d is of run %d after run %d, while attempt %d is sent", e.id, e.run, last.run, len(s.conns))
	}
	s.delivered = append(s.delivered, e)
}

func (w suspendedWriter) Write(b []byte) (int, error) {
	w.s.awaitResume()
	return len(b), nil
}

// run plays the case in a bubble of its own and returns what it violates.
func (c *handoverCase) run(t *testing.T) (violations []handoverViolation, attempts int) {
	synctest.Test(t, func(t *testing.T) {
		s := &handoverSender{c: c}
		s.h = newTestHandler(t, s, ragworthitch.CallStream)
		s.h.log = zerolog.New(suspendedWriter{s})
		s.h.notifyPeers = s.awaitResume
		violations = c.play(t, s)
		attempts = len(s.conns)
	})
	return violations, attempts
}

// play makes the call, lets the events happen and checks the answer.
func (c *handoverCase) play(t *testing.T, s *handoverSender) []handoverViolation {
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	w := handoverCaller{httptest.NewRecorder(), s}
	call := newCall("handover")
	call.Timeout = c.timeout()
	complete, done := false, make(chan struct{})
	go func() {
		defer close(done)
		complete = s.h.ServeComplete(ctx, w, call)
	}()
	synctest.Wait()
	a := s.conn(1)
	if c.begun {
		a.begin()
		synctest.Wait()
	}
	time.Sleep(handoverGap)
	for i, e := range c.events {
		s.happen(e, call, leave)
		if d := c.lasts(i); d > 0 {
			time.Sleep(d)
			synctest.Wait()
		}
	}
	a.send(signalEnd)
	<-done
	time.Sleep(cleanupTime)
	s.checkEnd(complete, w.Code)
	return s.violations
}

// begin sends the first events of an attempt.
func (c *handoverConn) begin() {
	c.send(signalHead)
	for range headStartEvents {
		c.send(signalEvent)
	}
}

// happen makes an event happen.
func (s *handoverSender) happen(e handoverEvent, call *Call, leave func()) {
	now, a := clock.Now(), s.conn(1)
	switch e {
	case headOfA:
		a.send(signalHead)
	case eventOfA:
		a.send(signalEvent)
	case endOfA:
		a.send(signalEnd)
	case resetOfA:
		a.send(signalReset)
	case lossOfA:
		a.r.Member.Health().Failed(now)
	case bootEndOfA:
		s.h.targets.EndMismatched(a.r.Target.Boot(), now)
	case quarantine:
		s.quarantine(call)
	case callerLeaves:
		leave()
	case shutdown:
		s.h.Drain(now)
	case shortSuspension:
		s.suspend(shortStandstill)
		a.send(signalEvent)
	case longSuspension:
		s.suspend(longStandstill)
		a.send(signalEvent)
	case failureAtB:
		s.failAtB()
	case bootEndAtReplica:
		if m := s.h.targets.ByAddress(a.r.ReplicateTo); m != nil {
			s.h.targets.EndMismatched(m.Target().Boot(), now)
		}
	case silence, deadline: // by the time that passes
	}
}

// quarantine makes peers report crashes of other targets under the call's request.
func (s *handoverSender) quarantine(call *Call) {
	print := poison.Of("", call.Method, call.Host, call.Path, call.Body)
	for i := range 3 {
		crash := poison.Crash{Fingerprint: print, Boot: ragworthitch.NewBoot(fmt.Sprint("x", i), 0), Service: "llm", Version: "v1"}
		s.h.poisonTracker.RecordCrash(crash, poison.SourcePeer, clock.Now())
	}
}

// checkEnd checks what the caller has at the end, and that no connection is left.
func (s *handoverSender) checkEnd(complete bool, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.lastDelivered(); complete && status == http.StatusOK && last.id != streamEvents {
		s.violate("whole answer", "the answer looks complete after event %d of %d", last.id, streamEvents)
	}
	for _, c := range s.conns {
		if c.stoppedAt == 0 {
			s.violate("connection left open", "attempt %d is %v at the end", c.run, c.state())
		}
	}
}

// add plays a case and adds what it violates.
func (r *handoverReport) add(t *testing.T, c *handoverCase) {
	violations, attempts := c.run(t)
	r.cases++
	if attempts > 1 {
		r.handovers++
	}
	seen := map[string]bool{}
	for _, v := range violations {
		if seen[v.rule] {
			continue
		}
		seen[v.rule] = true
		r.failed[v.rule]++
		if len(r.printed[v.rule]) < maxPrinted {
			r.printed[v.rule] = append(r.printed[v.rule], fmt.Sprintf("%v: %s", c, v.text))
		}
	}
}

// check fails the test if a case violated a rule.
func (r *handoverReport) check(t *testing.T) {
	t.Logf("%d cases, %d with a second attempt", r.cases, r.handovers)
	assert.Greater(t, r.handovers, r.cases/8, "too few cases with a second attempt")
	for rule, n := range r.failed {
		t.Errorf("%s: %d of %d cases, such as\n\t%s", rule, n, r.cases, strings.Join(r.printed[rule], "\n\t"))
	}
}

func newHandoverReport() *handoverReport {
	return &handoverReport{failed: map[string]int{}, printed: map[string][]string{}}
}

// handoverOrders returns all orders of n different events.
func handoverOrders(n int) [][]handoverEvent {
	if n == 0 {
		return [][]handoverEvent{nil}
	}
	var orders [][]handoverEvent
	for _, order := range handoverOrders(n - 1) {
		for e := range handoverEventCount {
			if !slices.Contains(order, e) {
				orders = append(orders, append(slices.Clone(order), e))
			}
		}
	}
	return orders
}

func pick[T any](rng *rand.Rand, from []T) T { return from[rng.IntN(len(from))] }

// drawHandover returns a case of the given events whose other properties are drawn.
func drawHandover(rng *rand.Rand, events []handoverEvent, gaps []time.Duration) *handoverCase {
	c := &handoverCase{begun: rng.IntN(2) > 0, events: events, failure: handoverFailure(rng.IntN(int(handoverFailureCount))),
		checksFail: rng.IntN(4) == 0, undelimited: rng.IntN(4) == 0}
	for range events {
		c.gaps = append(c.gaps, pick(rng, gaps))
	}
	for range maxAttempts {
		c.closing = append(c.closing, pick(rng, closingTimes))
	}
	return c
}

// TestHandover guards against streams that two targets work on at once, because the next
// attempt is sent before the connection of the former one is closed; against answers that
// join the runs of two targets with a gap, twice the same event or an event of the former
// run; and against a wait that is longer than the former attempt takes to stop.
func TestHandover(t *testing.T) {
	t.Run("orders of two events", func(t *testing.T) {
		r := newHandoverReport()
		for i, order := range slices.Concat(handoverOrders(1), handoverOrders(2)) {
			for _, begun := range []bool{false, true} {
				for _, gap := range handoverGaps {
					for _, closing := range closingTimes {
						r.add(t, &handoverCase{begun: begun, events: order, gaps: slices.Repeat([]time.Duration{gap}, len(order)),
							closing: []time.Duration{closing}, failure: handoverFailure(i % int(handoverFailureCount))})
					}
				}
			}
		}
		r.check(t)
	})
	t.Run("orders of three events", func(t *testing.T) {
		r, rng := newHandoverReport(), rand.New(rand.NewPCG(67, 3))
		for _, order := range handoverOrders(3) {
			for _, begun := range []bool{false, true} {
				for i := range handoverGaps {
					c := drawHandover(rng, order, handoverGaps[i:i+1])
					c.begun = begun
					r.add(t, c)
				}
			}
		}
		r.check(t)
	})
	t.Run("longer orders", func(t *testing.T) {
		r, gaps := newHandoverReport(), []time.Duration{0, time.Millisecond, handoverGap, 100 * time.Millisecond}
		for seed := range uint64(longHandovers) {
			rng := rand.New(rand.NewPCG(seed, 67))
			events := make([]handoverEvent, minLongHandover+rng.IntN(maxLongHandover-minLongHandover+1))
			for i := range events {
				events[i] = handoverEvent(rng.IntN(int(handoverEventCount)))
			}
			r.add(t, drawHandover(rng, events, gaps))
		}
		r.check(t)
	})
}

// TestHandoverAtOnce guards against a wait before a stream goes on although its former attempt
// has stopped at once.
func TestHandoverAtOnce(t *testing.T) {
	for _, begun := range []bool{false, true} {
		for _, e := range []handoverEvent{resetOfA, lossOfA, bootEndOfA} {
			c := &handoverCase{begun: begun, events: []handoverEvent{e}, gaps: []time.Duration{handoverGap}, closing: closingTimes[:1]}
			bubble(t, c.String(), func(t *testing.T) {
				s := &handoverSender{c: c}
				s.h = newTestHandler(t, s, ragworthitch.CallStream)
				startedAt := clock.Now()
				c.play(t, s)
				b := s.conn(2)
				require.NotNil(t, b, "no second attempt")
				assert.Equal(t, handoverGap, b.sentAt.Sub(startedAt), "the second attempt is sent later than the first one ends")
				assert.Empty(t, s.violations)
			})
		}
	}
}
