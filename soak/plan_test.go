package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A seed always gives the same plan, a plan survives its file, and no fault lasts into the
// recovery margin.
func TestPlanIsDeterministic(t *testing.T) {
	for seed := range uint64(50) {
		a, err := NewPlan(seed, "usual", time.Minute)
		require.NoError(t, err)
		b, err := NewPlan(seed, "usual", time.Minute)
		require.NoError(t, err)
		require.Equal(t, a, b)
		file := filepath.Join(t.TempDir(), "plan.yaml")
		require.NoError(t, a.Write(file))
		c, err := ReadPlan(file)
		require.NoError(t, err)
		require.Equal(t, a, c)
		for _, f := range a.Faults {
			if f.Kind != KindChange {
				require.LessOrEqual(t, f.At()+f.Duration(), time.Minute-recoveryMargin, "%s", f)
			}
		}
	}
	a, err := NewPlan(1, "small", time.Minute)
	require.NoError(t, err)
	b, err := NewPlan(2, "small", time.Minute)
	require.NoError(t, err)
	assert.NotEqual(t, a.Faults, b.Faults)
}

// Plans of handovers draw each of their kinds, in single faults and in series, and leave the
// time for recovery free. The same seed gives the same plan.
func TestHandoverPlans(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(20) {
		a, err := NewPlan(seed, sizeHandover, time.Minute)
		require.NoError(t, err)
		b, err := NewPlan(seed, sizeHandover, time.Minute)
		require.NoError(t, err)
		require.Equal(t, a, b)
		for _, f := range a.Faults {
			drawn[f.Kind] = true
			require.LessOrEqual(t, f.At()+f.Duration(), time.Minute-recoveryMargin, "%s", f)
		}
	}
	for _, kind := range handoverKinds {
		assert.True(t, drawn[kind], kind)
	}
}

// Plans draw every kind of fault.
func TestPlansDrawAllKinds(t *testing.T) {
	drawn := map[string]bool{}
	for seed := range uint64(20) {
		p, err := NewPlan(seed, "small", time.Minute)
		require.NoError(t, err)
		for _, f := range p.Faults {
			drawn[f.Kind] = true
		}
	}
	for _, c := range kindChoices {
		assert.True(t, drawn[c.kind], c.kind)
	}
	for _, kind := range alwaysDrawn {
		assert.True(t, drawn[kind], kind)
	}
}

func TestInvalidPlans(t *testing.T) {
	_, err := NewPlan(1, "huge", time.Minute)
	assert.ErrorIs(t, err, ErrInvalidPlan)
	_, err = NewPlan(1, "small", time.Second)
	assert.ErrorIs(t, err, ErrInvalidPlan)
	for name, text := range map[string]string{
		"size":  "{seed: 1, size: huge, seconds: 30}",
		"time":  "{seed: 1, size: small}",
		"kind":  "{seed: 1, size: small, seconds: 30, faults: [{kind: flood}]}",
		"field": "{seed: 1, size: small, seconds: 30, faults: [{kind: kill, of: x}]}",
		"YAML":  "- [",
	} {
		file := filepath.Join(t.TempDir(), "plan.yaml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := ReadPlan(file)
		assert.ErrorIs(t, err, ErrInvalidPlan, name)
	}
	_, err = ReadPlan("testdata/none.yaml")
	assert.ErrorIs(t, err, ErrInvalidPlan)
}
