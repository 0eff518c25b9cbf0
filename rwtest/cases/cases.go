// Package cases loads the data files of table tests.
package cases

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// Load decodes a YAML list of cases. Unknown keys and an empty list fail the test.
func Load[T any](tb testing.TB, file string) []T {
	tb.Helper()
	b, err := os.ReadFile(file)
	require.NoError(tb, err)
	var list []T
	require.NoError(tb, yaml.UnmarshalWithOptions(b, &list, yaml.Strict()))
	require.NotEmpty(tb, list, file)
	return list
}
