// Package ratelimit keeps to the rate limits that targets name in their answers. A limit is
// a number of requests a second that the target accepts from all instances together, for as
// long as its answers name it. Each instance grants permits for its own part of the limit,
// without asking the others: see Group.
package ratelimit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// minRate is sent to a target whatever limit it names, in requests a second: only an
	// answer shows that the limit has ended.
	minRate = 0.1
	// maxRate is the highest limit that is kept, in requests a second. It is more than an
	// instance can send to a target.
	maxRate = 10_000
	// After its end, a limit rises for rampTime before it is dropped, so that the instances
	// do not all return to the target at once: it doubles every rampDoubling, from
	// minRampRate at least.
	rampTime     = 4 * time.Second
	rampDoubling = 500 * time.Millisecond
	minRampRate  = 1.0
	// logInterval is the least time between two log lines about a limit, as a target may
	// name another one in each answer.
	logInterval = time.Second
)

// Kinds of Statement.
const (
	// None: the answer names no limit.
	None Kind = iota
	// Named: the answer names a limit.
	Named
	// Unreadable: the answer names a limit that can't be decoded.
	Unreadable
)

// Sources of what is known of a limit.
const (
	SourceOwn  Source = "own"  // an answer that this instance received
	SourcePeer Source = "peer" // a report of another instance
)

type (
	// Kind is the kind of a Statement.
	Kind uint8

	// Source says how this instance learned of a limit.
	Source string

	// Statement is what one answer of a target says about its rate limit. The zero value
	// names no limit.
	Statement struct {
		Kind Kind
		Rate float64 // requests a second; only with Named
	}

	// Answer is the evidence that one answer of a target gives about its rate limit.
	Answer struct {
		Statement Statement
		// Successful means that the target served the request. Only such an answer shows
		// that a limit has ended: failures may come from a part of the target that does
		// not know it.
		Successful bool
		SentAt     clock.Time // when the request was sent
		ReceivedAt clock.Time // when the head of the answer was received
	}

	// Report is what an instance tells its peers about a limit.
	Report struct {
		InForce bool
		Rate    float64    // requests a second; of a limit that has ended: the last one
		At      clock.Time // when the target is known to have said so
	}

	// Change is how an answer or a report changed what is known of a limit.
	Change struct {
		Changed    bool
		Log        bool // Changed or Unreadable, and not the next within logInterval
		Unreadable bool
		InForce    bool // there is a limit now
		WasInForce bool
		Rate, Was  float64 // requests a second, after and before
		Source     Source
		Age        time.Duration // of the answer that shows it
	}

	// Limit is what this instance knows of the rate limit of one target, and which of its
	// permits for the target it has used. The zero value is a target without a limit.
	Limit struct {
		active atomic.Bool // there is a limit, or one has ended less than rampTime ago

		mu      sync.Mutex
		inForce bool
		rate    float64    // of the limit in force, or of the last one
		sentAt  clock.Time // when the request was sent whose answer named rate
		namedAt clock.Time // when a limit was last named, as far as is known; 0: never
		endedAt clock.Time // when the last limit ended; 0: never
		logAt   clock.Time // when Change.Log was last set; 0: never
		permits permits

		borrowed borrowed // permits that other instances have lent
	}
)

// Observe records what an answer says about the limit. An answer that may be older than
// the one that named the limit can lower it, but neither raise nor end it.
func (l *Limit) Observe(a Answer) Change {
	if a.Statement.Kind == None && !l.active.Load() {
		return Change{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.begin(SourceOwn)
	switch {
	case a.Statement.Kind == Named:
		l.name(a.Statement.Rate, a.SentAt, a.ReceivedAt)
	case a.Statement.Kind == None && a.Successful && l.inForce && a.SentAt > l.namedAt:
		l.end(a.SentAt)
	}
	c.Unreadable = a.Statement.Kind == Unreadable
	return l.finish(c, a.ReceivedAt)
}

// Apply records what a peer reports about the limit, unless something newer is known.
func (l *Limit) Apply(r Report, now clock.Time) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.begin(SourcePeer)
	c.Age = now.Sub(r.At)
	switch newer := r.At > max(l.namedAt, l.endedAt); {
	case newer && r.InForce:
		l.name(r.Rate, r.At, r.At)
	case newer && l.inForce:
		l.end(r.At)
	}
	return l.finish(c, now)
}

// name records that the target named a limit; l.mu is held.
func (l *Limit) name(rate float64, sentAt, at clock.Time) {
	if !l.inForce || rate < l.rate || sentAt >= l.sentAt {
		l.rate, l.sentAt = rate, max(l.sentAt, sentAt)
	}
	l.inForce, l.namedAt = true, max(l.namedAt, at)
	l.active.Store(true)
}

// end records the end of the limit; l.mu is held.
func (l *Limit) end(at clock.Time) { l.inForce, l.endedAt = false, at }

// begin and finish return the change between them; l.mu is held.
func (l *Limit) begin(s Source) Change { return Change{Source: s, WasInForce: l.inForce, Was: l.rate} }

func (l *Limit) finish(c Change, now clock.Time) Change {
	c.InForce, c.Rate = l.inForce, l.rate
	c.Changed = c.InForce != c.WasInForce || c.InForce && c.Rate != c.Was
	c.Log = (c.Changed || c.Unreadable) && (l.logAt == 0 || now.Sub(l.logAt) >= logInterval)
	if c.Log {
		l.logAt = now
	}
	return c
}

// Active reports whether the attempts at the target are limited: there is a limit, or one
// has ended shortly before.
func (l *Limit) Active() bool { return l.active.Load() }

// Rate returns the limit in requests a second; ok is false if there is none.
func (l *Limit) Rate() (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.inForce {
		return 0, false
	}
	return l.rate, true
}

// Report returns what peers are told about the limit; ok is false if there was none lately.
func (l *Limit) Report(now clock.Time) (r Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, limited := l.keptRate(now); !limited {
		return Report{}, false
	}
	r = Report{InForce: l.inForce, Rate: l.rate, At: l.endedAt}
	if l.inForce {
		r.At = l.namedAt
	}
	return r, true
}

// DiffersFrom reports whether r is worth telling a peer that was told earlier: the limit is
// another one, or began or ended.
func (r Report) DiffersFrom(earlier Report) bool {
	return r.InForce != earlier.InForce || r.InForce && rateStep(r.Rate) != rateStep(earlier.Rate)
}

// keptRate returns the rate to which all instances together keep, in requests a second;
// limited is false if there is none. l.mu is held.
func (l *Limit) keptRate(now clock.Time) (rate float64, limited bool) {
	if l.inForce {
		return min(max(l.rate, minRate), maxRate), true
	}
	since := now.Sub(l.endedAt)
	if l.endedAt == 0 || since >= rampTime {
		l.active.Store(false)
		return 0, false
	}
	return min(max(l.rate, minRampRate)*math.Exp2(float64(since)/float64(rampDoubling)), maxRate), true
}
