package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDefaults(t *testing.T) {
	for _, name := range []string{"rimac", "tahrir"} {
		f, err := Default(name)
		require.NoError(t, err, name)
		assert.Len(t, f.Entries, 2)
		assert.NotEmpty(t, f.Targets)
	}
}

func TestParseRejectsInvalid(t *testing.T) {
	good, err := DefaultBytes("rimac")
	require.NoError(t, err)
	tests := []struct {
		name, from, to, want string
	}{
		{"unknown key", "  stallMs: 600", "  stalMs: 600", "unknown field \"stalMs\""},
		{"zone not in deployment", "    zone: Ate\n    listen: 127.0.0.1:17401", "    zone: Miraflores\n    listen: 127.0.0.1:17401", "entries[0].zone (line"},
		{"negative timeout", "  leaseMs: 1200", "  leaseMs: -5", "timeouts.leaseMs (line"},
		{"missing address", "  listen: 127.0.0.1:17400\n", "  listen: \"\"\n", "platform.listen (line 7): missing address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := []byte(replaceOnce(t, string(good), tt.from, tt.to))
			_, err := Parse(b)
			require.Error(t, err)
			assert.True(t, errors.Is(err, ErrInvalid))
			assert.Contains(t, err.Error(), tt.want)
		})
	}
}

func replaceOnce(t *testing.T, s, from, to string) string {
	t.Helper()
	i := strings.Index(s, from)
	require.GreaterOrEqual(t, i, 0, "no %q in the file", from)
	return s[:i] + to + s[i+len(from):]
}

// Parse doesn't panic on any input, and its errors wrap ErrInvalid.
func FuzzParse(f *testing.F) {
	good, _ := DefaultBytes("rimac")
	f.Add(good)
	f.Add([]byte("deployment: x\nzones: [A]\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Parse(b); err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("error does not wrap ErrInvalid: %v", err)
		}
	})
}
