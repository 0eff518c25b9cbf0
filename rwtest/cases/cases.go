// Package cases reads the data files of table tests.
package cases

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// Load reads a YAML list of cases; an empty one fails the test.
func Load[T any](t testing.TB, file string) []T {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	var out []T
	require.NoError(t, yaml.UnmarshalWithOptions(b, &out, yaml.Strict()))
	require.NotEmpty(t, out, file)
	return out
}
