package registry

import (
	"errors"
	"fmt"

	"github.com/ragworthitch/ragworthitch/backoff"
	"github.com/ragworthitch/ragworthitch/clock"
)

var (
	// ErrBarred means that a target gets no call from this instance now, whatever its health.
	ErrBarred = errors.New("registry: target gets no calls now")
	// ErrDraining means that the target is draining, by its registration or by an answer of
	// it. It wraps ErrBarred.
	ErrDraining = fmt.Errorf("%w: it is draining", ErrBarred)
	// ErrBackoff means that the target has asked this instance for a backoff. It wraps
	// ErrBarred.
	ErrBackoff = fmt.Errorf("%w: it asked for a backoff", ErrBarred)
	// ErrUnregistered means that the target's registration is gone or can't be decoded. It
	// wraps ErrBarred.
	ErrUnregistered = fmt.Errorf("%w: it is not registered", ErrBarred)
)

// Barred returns why the target may get no call from this instance now: an error that wraps
// ErrBarred, or nil. It is asked when a target is selected and again when the call is
// written to the connection.
func (m *Member) Barred(now clock.Time) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.unreadable || m.expiresAt != 0 && now >= m.expiresAt:
		return ErrUnregistered
	case m.isDraining():
		return ErrDraining
	case m.asked.backoff.Remaining(now) > 0:
		return ErrBackoff
	}
	return nil
}

// Backoff returns the backoff that the target asks this instance for.
func (m *Member) Backoff() *backoff.State { return &m.asked.backoff }
