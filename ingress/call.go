// Package ingress handles one call at an entry instance: it checks the call against the
// desired state, sends it to a target, retries it where its kind allows that, and returns
// either the whole answer or an error that says truthfully whether the call may have run.
// A stream fails over to another target when its own fails.
//
// The package knows no wire format: a Sender encodes attempts, and the caller's side
// passes in decoded calls. The platform's entry instances and the product's own caller API
// share it.
package ingress

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/ratelimit"
	"github.com/ragworthitch/ragworthitch/registry"
)

type (
	// Call is one call of a caller, with its body read.
	Call struct {
		ID           string // unique
		Method       string
		Host         string // without port
		URI          string // path and query, as received
		Path         string // path part of URI
		Key          string
		Timeout      time.Duration // how long the caller waits; 0: unknown
		Header       http.Header   // passed on to the target
		Body         []byte
		ResumeOffset string // id of the last event that the caller has
		Prompt       int    // tokens in the prompt
		MaxTokens    int    // maximum number of tokens to generate
		Subject      string // last part of the prompt, which differs between calls or sessions
		// SharedParts are the ids of the prompt's other parts, which other prompts may have too,
		// in their order.
		SharedParts []string
		Received    clock.Time
	}

	// AttemptRequest is one attempt: a call as it is sent to one target.
	AttemptRequest struct {
		Call           *Call
		Target         ragworthitch.Target
		Member         *registry.Member
		Org            string
		Remaining      time.Duration // remaining time until the call's deadline
		ResumeOffset   string        // id of the last event that the caller has
		ReplicaAddress string        // address of the replica target to resume from; empty: none
		ReplicateTo    string        // address of the engine that shall hold a replica of this attempt's KV cache; empty: none
		Rank           Rank          // priority at a busy engine
		Permit         ratelimit.Permit
		HealthPath     string // of the service's targets; empty: none
		isTest         bool   // the target was ejected, and this attempt tests it first
		observe        func(TargetState)
		// isQuarantined reports whether the call's request has been quarantined meanwhile; nil: it
		// may run.
		isQuarantined func() bool
	}

	// Rank is the priority of an attempt at a busy engine.
	Rank uint8

	// Reply is the head of a target's answer, with access to its body.
	Reply struct {
		Status int
		// NotRun means that the target did not run the call and never will.
		NotRun bool
		// WrongTarget means that another target answered at the address.
		WrongTarget bool
		Header      http.Header // passed on to the caller
		// Body may be closed more than once, and while another goroutine reads it or the Events.
		// When Close returns, the target has been told to stop, unless it has sent the whole answer.
		Body      io.ReadCloser
		Delimited bool // the body has a length or an end mark, so that a truncated body is detected
		// CheckTarget, set if the body is not delimited, returns an error if the target that
		// sent the reply is gone, and registry.ErrBackoff if it may not be asked.
		CheckTarget func(ctx context.Context) error
		// HasUnread reports whether a part of the body has arrived that nobody has read yet;
		// nil: unknown.
		HasUnread func() bool
		// Events passes the events of the stream to emit until emit returns false. It
		// returns nil if the target ended the stream. If Events is nil, the body is a
		// text/event-stream.
		Events func(emit func(Event) bool) error
	}

	// TargetState is what the head of an answer says about its target, whatever becomes of
	// the answer. The zero value says nothing.
	TargetState struct {
		// TargetID is the id of the target that answered, if the answer names it.
		TargetID string
		// WrongTarget means that another target answered than the one that was asked.
		WrongTarget bool
		// Successful means that the target served a call.
		Successful bool
		// Rejected means that the target did not take the call.
		Rejected  bool
		RateLimit ratelimit.Statement
		Draining  bool
		Backoff   backoff.Statement
	}

	// Sender sends attempts to targets. Its errors wrap upstream.ErrNotSent, and
	// upstream.ErrRefused if the connection was refused, or upstream.ErrSent.
	Sender interface {
		// Send sends an attempt and returns the head of the answer. It calls r.MayWrite
		// before it writes anything, if it has to open a connection first, and r.Observe
		// with what each answer of the target says, also if it returns an error.
		Send(ctx context.Context, r *AttemptRequest) (*Reply, error)
		// CheckConnection checks that a target accepts connections.
		CheckConnection(ctx context.Context, m *registry.Member) error
	}
)

// Observe records what the head of an answer says about its target.
func (r *AttemptRequest) Observe(s TargetState) {
	if r.observe != nil {
		r.observe(s)
	}
}

// MayWrite returns an error that wraps registry.ErrBarred if the target may get no call any
// more, or its request may not run any more: the target was selected before that was known.
// Without a Member nothing is known of the target.
func (r *AttemptRequest) MayWrite() error {
	if r.isQuarantined != nil && r.isQuarantined() {
		return errQuarantinedUnsent
	}
	if r.Member == nil {
		return nil
	}
	return r.Member.Barred(clock.Now())
}

// MayCheck is like MayWrite for a request that asks the target whether it is there. A
// draining target may be asked, and one that asked for a backoff once.
func (r *AttemptRequest) MayCheck() error {
	if r.Member.Backoff().BeginCheck(clock.Now()) {
		return nil
	}
	return registry.ErrBackoff
}

// Ranks, highest priority first.
const (
	// RankHigh is for streams that resume with little to prefill: the caller already has
	// a part of the answer.
	RankHigh Rank = iota
	// RankUrgent is for new calls that are more urgent than others of a service whose routes
	// differ in priority, and RankNormal for the others.
	RankUrgent
	RankNormal
	// RankLow is for streams whose next event is late at any engine: streams that the
	// caller resumes and whose prompt has to be prefilled again, and new streams that no
	// engine can start in time.
	RankLow
)

// emptyBody is the body of a reply that delivers its events through Reply.Events.
type emptyBody struct {
	io.Reader
	onClose func()
	closing atomic.Bool
	closed  chan struct{} // closed when onClose has returned
}

// EmptyBody returns a body without bytes. onClose is called once, when the reply is first closed,
// whether its events were read or not.
func EmptyBody(onClose func()) io.ReadCloser {
	return &emptyBody{Reader: http.NoBody, onClose: onClose, closed: make(chan struct{})}
}

// Close runs the function given to EmptyBody, or waits for it if it runs already.
func (b *emptyBody) Close() error {
	if !b.closing.CompareAndSwap(false, true) {
		<-b.closed
		return nil
	}
	defer close(b.closed)
	b.onClose()
	return nil
}

// events passes the events of the stream to emit.
func (r *Reply) events(emit func(Event) bool) error {
	if r.Events != nil {
		return r.Events(emit)
	}
	return readEvents(r.Body, emit)
}

// hasUnread reports whether a part of the body is known to have arrived that nobody has read.
func (r *Reply) hasUnread() bool { return r.HasUnread != nil && r.HasUnread() }

// isFailure reports whether the target failed to serve the call.
func (r *Reply) isFailure() bool { return r.Status >= http.StatusInternalServerError }

// notRun reports whether the call certainly did not run at the target.
func (r *Reply) notRun() bool { return r.NotRun || r.WrongTarget }
