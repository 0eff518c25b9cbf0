package bounded

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against entries and their order growing without bound, and against dropping other
// entries than the one that was put first, whatever is put again or deleted.
func TestMap(t *testing.T) {
	const limit, keys = 50, 200
	rng := rand.New(rand.NewPCG(1, 7))
	m := Map[int, int]{Max: limit}
	var want []int // keys, the one put first at the front
	values := map[int]int{}
	remove := func(key int) {
		for i, k := range want {
			if k == key {
				want = append(want[:i:i], want[i+1:]...)
				break
			}
		}
	}
	for n := range 20000 {
		key := rng.IntN(keys)
		remove(key)
		if rng.IntN(4) == 0 {
			m.Delete(key)
		} else {
			m.Put(key, n)
			values[key] = n
			want = append(want, key)
			want = want[max(0, len(want)-limit):]
		}
		require.Equal(t, len(want), m.Len())
		require.LessOrEqual(t, len(m.order), 2*limit)
		for _, k := range want {
			v, ok := m.Get(k)
			require.True(t, ok, "step %d: key %d is lost", n, k)
			require.Equal(t, values[k], v)
		}
	}
}

func TestUnlimited(t *testing.T) {
	var m Map[string, int]
	_, ok := m.Get("a")
	assert.False(t, ok)
	m.Delete("a")
	m.Put("a", 1)
	m.Put("b", 2)
	v, ok := m.Get("a")
	assert.True(t, ok)
	assert.Equal(t, 1, v)
	assert.Equal(t, 2, m.Len())
}
