// Package ratelimit holds the rate limits that targets name in their answers. A limit is a
// number of requests a second that the target accepts from all instances together, for as
// long as its answers name it.
package ratelimit

import (
	"sync"

	"github.com/ragworthitch/ragworthitch/clock"
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

type (
	// Kind is the kind of a Statement.
	Kind uint8

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

	// Change is how an answer changed what is known of a target's limit.
	Change struct {
		Changed    bool
		Rate, Was  float64 // requests a second, after and before
		InForce    bool    // there is a limit now
		WasInForce bool
	}

	// Limit is what this instance knows of the rate limit of one target. The zero value is
	// a target without a limit.
	Limit struct {
		mu      sync.Mutex
		inForce bool
		rate    float64
		namedAt clock.Time // when an answer last named a limit; 0: never
	}
)

// Observe records what an answer says about the limit.
func (l *Limit) Observe(a Answer) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Change{Was: l.rate, WasInForce: l.inForce}
	switch {
	case a.Statement.Kind == Named:
		l.inForce, l.rate = true, a.Statement.Rate
		l.namedAt = max(l.namedAt, a.ReceivedAt)
	case a.Statement.Kind == None && a.Successful && a.SentAt > l.namedAt:
		l.inForce, l.rate = false, 0
	}
	c.Rate, c.InForce = l.rate, l.inForce
	c.Changed = c.InForce != c.WasInForce || c.Rate != c.Was
	return c
}

// Rate returns the limit in requests a second; ok is false if there is none.
func (l *Limit) Rate() (perSecond float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate, l.inForce
}
