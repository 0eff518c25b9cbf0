package ragworthitch

import (
	"errors"
	"fmt"
)

// Kinds of request.
const (
	// KindLong is a streamed generation on a model engine.
	KindLong Kind = "long"
	// KindShort is an idempotent call to a plain service (job status, card
	// balance).
	KindShort Kind = "short"
	// KindQuote is a call to a plain service that must not run twice.
	KindQuote Kind = "quote"
	// KindCharge is a payment at a plain service; it must not run twice.
	KindCharge Kind = "charge"
)

// Limits on a request.
const (
	MaxPromptTokens = 32_768
	MaxTokens       = 16_384 // to generate
	MaxIDLength     = 128    // bytes
)

// Errors returned by Request.Validate.
var (
	ErrBadRequest     = errors.New("bad request")
	ErrUnknownModel   = errors.New("unknown model")
	ErrUnknownOrg     = errors.New("unknown organisation")
	ErrPromptTooLarge = errors.New("prompt too large")
)

type (
	// Kind is the kind of work that a request asks for.
	Kind string

	// Request is a caller's request to an entry instance. The zero value is
	// invalid: make one with NewRequest and check it with Validate.
	Request struct {
		id             string
		idempotencyKey string
		org            string
		model          string
		kind           Kind
		op             string
		promptTokens   int
		maxTokens      int
		priority       int
		seed           uint64
	}
)

// IsIdempotent reports whether a call of this kind may run more than once.
func (k Kind) IsIdempotent() bool { return k != KindQuote && k != KindCharge }

// Valid reports whether k is one of the known kinds.
func (k Kind) Valid() bool {
	switch k {
	case KindLong, KindShort, KindQuote, KindCharge:
		return true
	}
	return false
}

// RequestParams are the fields of a Request.
type RequestParams struct {
	ID             string
	IdempotencyKey string
	Org            string
	Model          string
	Kind           Kind
	Op             string
	PromptTokens   int
	MaxTokens      int
	Priority       int
	Seed           uint64
}

// NewRequest returns a request with the given fields, not yet validated.
func NewRequest(p RequestParams) Request {
	return Request{
		id: p.ID, idempotencyKey: p.IdempotencyKey, org: p.Org, model: p.Model,
		kind: p.Kind, op: p.Op, promptTokens: p.PromptTokens, maxTokens: p.MaxTokens,
		priority: p.Priority, seed: p.Seed,
	}
}

// ID returns the caller's request id.
func (r Request) ID() string { return r.id }

// IdempotencyKey returns the caller's key for a call that must not run twice.
func (r Request) IdempotencyKey() string { return r.idempotencyKey }

// Org returns the name of the caller's organisation.
func (r Request) Org() string { return r.org }

// Model returns the model name; only long requests have one.
func (r Request) Model() string { return r.model }

// Kind returns the kind of work.
func (r Request) Kind() Kind { return r.kind }

// Op returns the operation of a plain service (status, balance, quote, charge).
func (r Request) Op() string { return r.op }

// PromptTokens returns the prompt length in tokens.
func (r Request) PromptTokens() int { return r.promptTokens }

// MaxTokens returns the number of tokens to generate.
func (r Request) MaxTokens() int { return r.maxTokens }

// Priority returns the request's priority: higher is more urgent, 0 is the
// default.
func (r Request) Priority() int { return r.priority }

// Seed returns the sampling seed.
func (r Request) Seed() uint64 { return r.seed }

// Validate checks r against the limits and the known models and
// organisations. The error wraps ErrBadRequest, ErrUnknownModel,
// ErrUnknownOrg or ErrPromptTooLarge.
func (r Request) Validate(knownOrg func(string) bool, knownModel func(string) bool) error {
	switch {
	case r.id == "" || len(r.id) > MaxIDLength:
		return fmt.Errorf("%w: request id must be 1 to %d characters", ErrBadRequest, MaxIDLength)
	case !r.kind.Valid():
		return fmt.Errorf("%w: unknown kind %q", ErrBadRequest, r.kind)
	case !r.kind.IsIdempotent() && r.idempotencyKey == "":
		return fmt.Errorf("%w: a %s needs an idempotency key", ErrBadRequest, r.kind)
	case !knownOrg(r.org):
		return fmt.Errorf("%w: %q", ErrUnknownOrg, r.org)
	}
	if r.kind != KindLong {
		return nil
	}
	switch {
	case !knownModel(r.model):
		return fmt.Errorf("%w: %q", ErrUnknownModel, r.model)
	case r.promptTokens < 0 || r.promptTokens > MaxPromptTokens:
		return fmt.Errorf("%w: %d tokens, at most %d", ErrPromptTooLarge, r.promptTokens, MaxPromptTokens)
	case r.maxTokens < 1 || r.maxTokens > MaxTokens:
		return fmt.Errorf("%w: maxTokens must be 1 to %d", ErrBadRequest, MaxTokens)
	}
	return nil
}
