package relay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
	"github.com/ragworthitch/ragworthitch/wire"
)

type (
	// cacheCase is a case of testdata/cache.yaml, which describes its fields.
	cacheCase struct {
		Name  string
		Steps []cacheStep
	}

	cacheStep struct {
		At      float64
		Read    []string
		Change  []string
		Version int64
		Fail    bool
		Ask     *cacheAsk
		Rows    []string
		State   string
	}

	cacheAsk struct {
		After int64
		Whole bool
	}
)

var answerStates = map[string]wire.AnswerState{"": wire.AnswerOK, "missed": wire.AnswerMissed, "stale": wire.AnswerStale}

func TestCache(t *testing.T) {
	b, err := os.ReadFile("testdata/cache.yaml")
	require.NoError(t, err)
	var all []cacheCase
	require.NoError(t, yaml.UnmarshalWithOptions(b, &all, yaml.Strict()))
	for _, c := range all {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t) })
		})
	}
}

func (c cacheCase) run(t *testing.T) {
	start := time.Now()
	cache := NewCache(sameRow, 725*time.Millisecond, nil)
	cache.recordQuestion(clock.Now())
	for n, s := range c.Steps {
		time.Sleep(time.Until(start.Add(time.Duration(s.At * float64(time.Second)))))
		now := clock.Now()
		switch {
		case s.Read != nil:
			cache.Replace(storedRows(s.Read, s.Version), s.Version, now)
		case s.Change != nil:
			cache.Apply(storedRows(s.Change, s.Version), s.Version, now)
		case s.Fail:
			cache.StoreFailed(now)
		case s.Ask != nil:
			a, _, _ := cache.answer(wire.Question{Whole: s.Ask.Whole, After: s.Ask.After}, now, 0)
			assert.Equal(t, answerStates[s.State], a.State, "step %d", n)
			assert.Equal(t, s.Rows, answeredRows(a), "step %d", n)
		}
	}
}

// storedRows returns rows with consecutive versions that end with the given one.
func storedRows(rows []string, version int64) []platform.StoredRow {
	var out []platform.StoredRow
	for n, r := range rows {
		key, value, _ := strings.Cut(r, " ")
		out = append(out, platform.StoredRow{RowID: platform.RowID{Table: table, Key: key}, Value: []byte(value),
			Version: version - int64(len(rows)-1-n), Deleted: value == "deleted"})
	}
	return out
}

// answeredRows returns the rows of an answer as "key value", or nil if the peer has no
// answer.
func answeredRows(a wire.Answer) []string {
	if a.State != wire.AnswerOK {
		return nil
	}
	out := []string{}
	for _, r := range a.Rows {
		value := string(r.Value)
		if r.Deleted {
			value = "deleted"
		}
		out = append(out, r.Key+" "+value)
	}
	return out
}

// BenchmarkAnswer measures an answer to a peer that knows all but the last few changes of a
// table whose rows are written all the time.
func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("rows=", n), func(b *testing.B) {
			cache := loadedCache(n)
			q := wire.Question{After: int64(n) - 3}
			for b.Loop() {
				cache.answer(q, clock.Now(), 0)
			}
		})
	}
}

// loadedCache returns a cache of a table of n rows, whose versions are 1 to n.
func loadedCache(n int) *Cache {
	cache := NewCache(sameRow, time.Hour, nil)
	rows := make([]platform.StoredRow, n)
	for i := range rows {
		rows[i] = platform.StoredRow{RowID: platform.RowID{Table: table, Key: fmt.Sprint("k", i)}, Value: []byte("1:0"), Version: int64(i + 1)}
	}
	cache.Replace(rows[:1], 1, clock.Now())
	cache.Apply(rows, int64(n), clock.Now())
	return cache
}

// Guards against answers that take longer the more rows the table has: an instance answers
// its whole zone, and both grow with the deployment.
func TestAnswerTimeDoesNotGrowWithTable(t *testing.T) {
	const small, large, maxGrowth, answers = 300, 12000, 8, 200
	timePerAnswer := func(n int) time.Duration {
		cache, best := loadedCache(n), time.Duration(0)
		for range 5 {
			start := time.Now()
			for range answers {
				cache.answer(wire.Question{After: int64(n) - 3}, clock.Now(), 0)
			}
			if took := time.Since(start) / answers; best == 0 || took < best {
				best = took
			}
		}
		return best
	}
	few, many := timePerAnswer(small), timePerAnswer(large)
	assert.Less(t, many, maxGrowth*few, "%v with %d rows, %v with %d", many, large, few, small)
}

// Guards against rows that are left out of an answer, or sent without need, whatever the
// order in which they were read from the store and from peers.
func TestSentAfterFindsAllRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 8))
		cache := NewCache(sameRow, time.Hour, nil)
		version := int64(100)
		write := func(maxAge int) platform.StoredRow {
			v := version - int64(rng.IntN(maxAge)) // the store gives a version to one write only
			return platform.StoredRow{RowID: platform.RowID{Table: table, Key: fmt.Sprint("k", v*7%40)}, Version: v,
				Value: fmt.Appendf(nil, "%d:0", v*13%100), Deleted: v%8 == 0}
		}
		cache.Replace(nil, version, clock.Now())
		for range 3000 {
			version += int64(rng.IntN(3))
			switch rng.IntN(20) {
			case 0:
				cache.addHistory([]platform.StoredRow{write(60)}, version-60)
			default:
				cache.Apply([]platform.StoredRow{write(1), write(30)}, version, clock.Now())
			}
			time.Sleep(200 * time.Millisecond)
			after := version - int64(rng.IntN(80))
			want, got := map[string]bool{}, map[string]bool{}
			for key, cached := range cache.rows {
				if cached.sendVersion > after {
					want[key] = true
				}
			}
			for cached := range cache.sentAfter(after) {
				got[cached.row.Key] = true // a row twice does no harm
			}
			require.Equal(t, want, got)
			require.LessOrEqual(t, len(cache.sends), 2*len(cache.rows)+minSends+2)
		}
	})
}
