package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

var testLimit = Limit{Ratio: 0.8, Extra: 150, Span: 10 * time.Second}

func at(s float64) clock.Time {
	return clock.Time(100*time.Second) + clock.Time(s*float64(time.Second))
}

type budgetCase struct {
	Name    string
	Entries int // known at 0 s; 0: not known
	Steps   []struct {
		Calls, Spend, Granted int
		At                    float64
	}
}

func TestBudget(t *testing.T) {
	for _, tt := range cases.Load[budgetCase](t, "testdata/budget.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			b := New(testLimit, func() (int, clock.Time, bool) { return tt.Entries, at(0), tt.Entries > 0 })
			for i, s := range tt.Steps {
				for range s.Calls {
					b.Called("svc", at(s.At))
				}
				granted := 0
				for range s.Spend {
					if b.Spend("svc", at(s.At)) {
						granted++
					}
				}
				assert.Equal(t, s.Granted, granted, "step %d", i)
			}
		})
	}
}

// seen is how an entry sees the number of entries: late, and without those that
// have been added since.
type seen struct {
	b    *Budget
	n    int
	at   clock.Time
	busy bool // its calls fail
}

// The load: every call fails, or one zone's do, again and again, at 1 to 400 entries that come and go
// and see each other late, while the table of entries is read or not. In no window of
// the operator's length do their repeats together pass the limit for their calls
// together. The quiet service has next to no calls, so that the allowance is all
// that there is to share.
func TestEntriesTogether(t *testing.T) {
	for _, tt := range cases.Load[stormCase](t, "testdata/storms.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			use := 0.0
			for seed := range uint64(3) {
				use = max(use, tt.play(t, seed))
			}
			t.Logf("largest use of the limit: %.2f", use)
			assert.GreaterOrEqual(t, use, tt.Use, "the limit is of no use")
		})
	}
}

// stormCase is a deployment whose entries change; see testdata/storms.yaml.
type stormCase struct {
	Name    string
	Entries int     // at the start
	Quiet   bool    // one call a second for all, in place of one a second for each
	Unread  bool    // the table of entries cannot be read at the start
	Lost    float64 // the table cannot be read from this second on; 0: it always can
	// Zones is how many zones the entries belong to, whose calls fail one zone
	// after the other, 2.5 s each; entries borrow of others then. 0: the calls of
	// all fail, all the time.
	Zones   int
	Changes []struct {
		At    float64
		Add   int
		Lose  int
		Start bool // all start anew at once
	}
	Use float64 // at least so much of the limit is used at the peak
}

// play returns the largest use of the limit in any window.
func (tt stormCase) play(t *testing.T, seed uint64) float64 {
	const ticks, tick, late = 400, 100 * time.Millisecond, 1500 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 4))
	var all []*seen
	add := func() {
		e := &seen{}
		e.b = New(testLimit, func() (int, clock.Time, bool) { return e.n, e.at, e.n > 0 })
		all = append(all, e)
	}
	for range tt.Entries {
		add()
	}
	calls, repeats := make([]int, ticks), make([]int, ticks)
	for i := range ticks {
		now := at(float64(i) * tick.Seconds())
		for _, c := range tt.Changes {
			if int(c.At/tick.Seconds()) != i {
				continue
			}
			all = all[c.Lose:]
			for range c.Add {
				add()
			}
			if c.Start {
				n := len(all)
				all = nil
				for range n {
					add()
				}
			}
		}
		readable := !tt.Unread && (tt.Lost == 0 || float64(i)*tick.Seconds() < tt.Lost)
		for n, e := range all {
			if readable && rng.Float64() < float64(tick)/float64(late) {
				e.n, e.at = len(all), now
			}
			due := rng.Float64() < tick.Seconds()
			if tt.Quiet {
				due = rng.Float64() < tick.Seconds()/float64(len(all))
			}
			if due {
				calls[i]++
				e.b.Called("svc", now)
			}
			e.busy = tt.Zones == 0 || n%tt.Zones == int(float64(i)*tick.Seconds()/2.5)%tt.Zones
			for range 4 {
				if !e.busy {
					break
				}
				if !e.b.Spend("svc", now) {
					lender := all[rng.IntN(len(all))].b
					lent := lender.Lend("svc", 2, now)
					if rng.IntN(10) > 0 { // else the loan is lost on its way
						e.b.Borrowed("svc", lent, now)
					}
					if !e.b.Spend("svc", now) {
						continue
					}
				}
				repeats[i]++
			}
		}
	}
	use, window := 0.0, int(testLimit.Span/tick)
	for i := window; i <= ticks; i++ {
		c, r := 0, 0
		for j := i - window; j < i; j++ {
			c, r = c+calls[j], r+repeats[j]
		}
		use = max(use, float64(r)/(testLimit.Ratio*float64(c)+testLimit.Extra))
		require.LessOrEqual(t, float64(r), testLimit.Ratio*float64(c)+testLimit.Extra, "seed %d, window ending at tick %d", seed, i)
	}
	return use
}
