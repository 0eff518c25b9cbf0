package poison

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"strings"
)

const (
	// maxPartID bounds the id of a part in records and logs, in bytes.
	maxPartID = 64
	// maxPairedID is the same for each id of a pair.
	maxPairedID = (maxPartID - len(pairSeparator)) / 2
	// maxPairedParts is the number of parts of a prompt up to which their pairs are
	// tracked.
	maxPairedParts = 6
	// pairSeparator separates the ids of a pair. Ids of parts have none.
	pairSeparator = ","
)

type (
	// Request is what may crash a target: the request as a whole, or a part of its prompt.
	Request struct {
		Fingerprint  Fingerprint // of the whole request
		Parts        []Part      // of the prompt; other prompts may have them too
		Org, Service string
		// Running are the numbers of calls in progress at this instance with the request, and
		// with each part, when its target was lost; nil: unknown.
		Running []int
	}

	// Part is a part of a prompt, or a pair of them, which may crash targets only together.
	// Parts with the same id have the same content.
	Part struct {
		Fingerprint Fingerprint
		ID          string // cut to maxPartID bytes
		// Last is set for the last part of a prompt, which mostly belongs to one request or
		// session.
		Last bool
	}

	// partRun identifies the runs in which a request or part shows whether it crashes
	// targets: those at targets of one service and version that came as far as extent.
	partRun struct {
		part             Fingerprint
		service, version string
		extent           Extent
	}
)

// fingerprints returns the fingerprints of the request and of its parts.
func (r Request) fingerprints() []Fingerprint {
	out := []Fingerprint{r.Fingerprint}
	for _, p := range r.Parts {
		out = append(out, p.Fingerprint)
	}
	return out
}

// partID returns the id of the part of the nth of the fingerprints; empty: it is the request's.
func (r Request) partID(n int) string {
	if n == 0 {
		return ""
	}
	return r.Parts[n-1].ID
}

// running returns the calls in progress with the nth of the fingerprints, this one included.
func (r Request) running(n int) int {
	if n >= len(r.Running) {
		return 1
	}
	return max(1, r.Running[n])
}

// Parts returns the parts with the given ids, each once and without empty ids, and the pairs
// of up to maxPairedParts parts.
func Parts(ids []string) []Part {
	out := make([]Part, 0, len(ids))
	for _, id := range ids {
		if part := newPart(id); id != "" && !slices.Contains(out, part) {
			out = append(out, part)
		}
	}
	if len(out) > maxPairedParts {
		return out
	}
	single := out
	for i, x := range single {
		for _, y := range single[:i] {
			out = append(out, newPair(x, y))
		}
	}
	return out
}

// PromptParts returns Parts of the ids before the last of a prompt, and the last one, which is in
// no pair.
func PromptParts(shared []string, last string) []Part {
	out := Parts(shared)
	if part := newPart(last); last != "" && !slices.Contains(out, part) {
		part.Last = true
		out = append(out, part)
	}
	return out
}

func newPart(id string) Part {
	return Part{Fingerprint: sha256.Sum256([]byte(id)), ID: cut(id, maxPartID)}
}

// newPair returns the pair of two parts, in whichever order they are given.
func newPair(x, y Part) Part {
	if bytes.Compare(x.Fingerprint[:], y.Fingerprint[:]) > 0 {
		x, y = y, x
	}
	both := append(x.Fingerprint[:], y.Fingerprint[:]...)
	return Part{Fingerprint: sha256.Sum256(both), ID: cut(x.ID, maxPairedID) + pairSeparator + cut(y.ID, maxPairedID)}
}

func cut(id string, maxBytes int) string { return id[:min(len(id), maxBytes)] }

// isPair reports whether the id is that of a pair of parts.
func isPair(id string) bool { return strings.Contains(id, pairSeparator) }
