package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
)

// prefixBytes is the length of the prefix that identifies a request in logs and answers.
const prefixBytes = 8

// ErrBadFingerprint is wrapped by the errors of Parse.
var ErrBadFingerprint = errors.New("poison: bad fingerprint")

// Fingerprint identifies a request over all its attempts, whatever their connection,
// instance or request id. It is a cryptographic hash, so that a caller can't forge a
// request with the fingerprint of another. No request has the zero value.
type Fingerprint [sha256.Size]byte

// Of returns the fingerprint of a request. Headers and the query are left out, since
// some callers change them from attempt to attempt.
func Of(org, method, host, path string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...]string{org, method, host, path} {
		// Length prefixes keep different parts with the same concatenation apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// Parse reads the output of Text.
func Parse(s string) (Fingerprint, error) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != sha256.Size {
		return Fingerprint{}, fmt.Errorf("%w: %q", ErrBadFingerprint, s)
	}
	return Fingerprint(b), nil
}

// Text returns the whole fingerprint in hexadecimal.
func (f Fingerprint) Text() string { return hex.EncodeToString(f[:]) }

// String returns a hexadecimal prefix for logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:prefixBytes]) }
