package poison

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Requests that differ in a part have different fingerprints.
func TestFingerprint(t *testing.T) {
	of := func(org, method, host, path, body string) Fingerprint {
		return Of(org, method, host, path, []byte(body))
	}
	first := of("org", "POST", "h", "/p/a", "body")
	assert.Equal(t, first, of("org", "POST", "h", "/p/a", "body"))
	others := []Fingerprint{
		of("org", "GET", "h", "/p/a", "body"), of("org", "POST", "g", "/p/a", "body"), of("org", "POST", "h", "/p/b", "body"),
		of("other", "POST", "h", "/p/a", "body"), of("org", "POST", "h", "/p/a", ""), of("org", "POST", "h", "/p/", "abody"),
		of("orgP", "OST", "h", "/p/a", "body"),
	}
	for i, f := range others {
		assert.NotEqual(t, first, f, i)
	}
	assert.NotEqual(t, Fingerprint{}, of("", "", "", "", ""))
}

func TestFingerprintText(t *testing.T) {
	f := Of("org", "POST", "h", "/p/a", nil)
	got, err := Parse(f.Text())
	require.NoError(t, err)
	assert.Equal(t, f, got)
	assert.Contains(t, f.Text(), f.String())
	for _, bad := range []string{"", "zz", f.String(), f.Text() + "00"} {
		_, err := Parse(bad)
		assert.ErrorIs(t, err, ErrBadFingerprint, bad)
	}
}

// The sizes are a usual body and the largest that operators allow.
func BenchmarkOf(b *testing.B) {
	for name, n := range map[string]int{"8kB": 8 << 10, "4MB": 4 << 20} {
		body := make([]byte, n)
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(n))
			for b.Loop() {
				Of("org", "POST", "plans.example", "/plan/x", body)
			}
		})
	}
}
