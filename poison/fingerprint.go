// Package poison recognises requests that crash the targets which run them: poison
// requests, or queries of death. A target that crashes looks like any other that is
// lost, and its calls go on elsewhere; one that has crashed it would crash the next.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint is the same for all tries of one request, by whichever caller's
// connection, instance or request id they come. Its zero value is no request's.
type Fingerprint [16]byte

// Of returns the fingerprint of a request by what makes it the same request.
func Of(method, host, uri, org string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range [...][]byte{[]byte(method), []byte(host), []byte(uri), []byte(org), body} {
		// Lengths keep apart what only joins to the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String is the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
