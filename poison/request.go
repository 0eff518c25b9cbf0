package poison

import (
	"crypto/sha256"
	"slices"
)

// maxPartID bounds the id of a part in records and logs, in bytes.
const maxPartID = 64

type (
	// Request is what may crash a target: the request as a whole, or a part of its prompt.
	Request struct {
		Fingerprint  Fingerprint // of the whole request
		Parts        []Part      // of the prompt; other prompts may have them too
		Org, Service string
	}

	// Part is a part of a prompt. Parts with the same id have the same content.
	Part struct {
		Fingerprint Fingerprint
		ID          string // cut to maxPartID bytes
	}

	// partRun identifies the runs in which a part shows whether it crashes targets: those
	// at targets of one service and version.
	partRun struct {
		part             Fingerprint
		service, version string
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

// Parts returns the parts with the given ids, each once and without empty ids.
func Parts(ids []string) []Part {
	out := make([]Part, 0, len(ids))
	for _, id := range ids {
		part := Part{Fingerprint: sha256.Sum256([]byte(id)), ID: id[:min(len(id), maxPartID)]}
		if id != "" && !slices.Contains(out, part) {
			out = append(out, part)
		}
	}
	return out
}
