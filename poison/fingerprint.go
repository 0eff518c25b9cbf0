package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// shown is how many bytes of a fingerprint lines and answers name.
const shown = 8

// ErrBadFingerprint is wrapped by errors about a fingerprint's text.
var ErrBadFingerprint = errors.New("poison: bad fingerprint")

// Fingerprint is the same for all tries of one request, by whichever connection,
// instance or request id they come: a strong hash, so that nobody can have
// another's request taken for their own. Its zero value is no request's.
type Fingerprint [sha256.Size]byte

// Of returns the fingerprint of a request by what makes it the same: the
// organisation, the host and path, by which its route is chosen, and the body.
// Headers and the query change from try to try of some callers.
func Of(org, method, host, path string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{org, method, host, path} {
		// Lengths keep apart what only joins to the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Parse reads what Text has written.
func Parse(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return Fingerprint{}, fmt.Errorf("%w: %q", ErrBadFingerprint, s)
	}
	return Fingerprint(b), nil
}

// Text is the whole fingerprint in hexadecimal.
func (f Fingerprint) Text() string { return hex.EncodeToString(f[:]) }

// String is the beginning of it, which tells fingerprints apart in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:shown]) }
