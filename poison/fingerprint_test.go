package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// All that makes a request another one tells in its fingerprint.
func TestFingerprint(t *testing.T) {
	of := func(method, host, uri, org, body string) Fingerprint { return Of(method, host, uri, org, []byte(body)) }
	first := of("POST", "h", "/p/a", "org", "body")
	assert.Equal(t, first, of("POST", "h", "/p/a", "org", "body"))
	others := []Fingerprint{
		of("GET", "h", "/p/a", "org", "body"), of("POST", "g", "/p/a", "org", "body"), of("POST", "h", "/p/a?b", "org", "body"),
		of("POST", "h", "/p/a", "other", "body"), of("POST", "h", "/p/a", "org", ""), of("POST", "h", "/p/ao", "rg", "body"),
	}
	for i, f := range others {
		assert.NotEqual(t, first, f, i)
	}
	assert.NotEqual(t, Fingerprint{}, of("", "", "", "", ""))
	assert.Len(t, first.String(), 32)
}
