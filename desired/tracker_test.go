package desired

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

var testAges = Ages{Reject: 1900 * time.Millisecond, Key: 4 * time.Second}

type (
	judgeCase struct {
		Name  string
		Steps []struct {
			Apply    *stateSpec
			Verified float64
			Judge    *judgeSpec
		}
	}

	stateSpec struct {
		Version int64
		Routes  []string          // HOST/PREFIX/
		Keys    map[string]string // key to organisation
		// KeysRequired says that calls need a key also without organisations.
		KeysRequired bool `yaml:"keysRequired"`
	}

	judgeSpec struct {
		At                         float64
		Host, Path, Key, Want, Org string
	}
)

// state returns the desired state that s describes.
func (s stateSpec) state(t testing.TB) *ragworthitch.DesiredState {
	p := ragworthitch.DesiredParams{Version: s.Version, KeysRequired: s.KeysRequired, Services: []ragworthitch.Service{ragworthitch.NewService(ragworthitch.ServiceParams{Name: "s"})}}
	for _, r := range s.Routes {
		host, prefix, _ := strings.Cut(r, "/")
		p.Routes = append(p.Routes, ragworthitch.NewRoute(ragworthitch.RouteParams{Name: r, Host: host, Prefix: "/" + prefix,
			Kind: ragworthitch.CallSafe, Timeout: time.Second, Shares: []ragworthitch.Share{{Service: "s", Weight: 1}}}))
	}
	for k, org := range s.Keys {
		p.Orgs = append(p.Orgs, ragworthitch.NewOrganisation(org, []string{k}, -1))
	}
	d, err := ragworthitch.NewDesiredState(p)
	require.NoError(t, err)
	return d
}

func at(s float64) clock.Time { return clock.Time(s * float64(time.Second)) }

func TestJudge(t *testing.T) {
	for _, tt := range cases.Load[judgeCase](t, "testdata/judge.yaml") {
		t.Run(tt.Name, func(t *testing.T) {
			tracker := NewTracker(testAges)
			for i, s := range tt.Steps {
				switch {
				case s.Apply != nil:
					tracker.Apply(s.Apply.state(t))
				case s.Judge != nil:
					g, err := tracker.Judge(at(s.Judge.At), s.Judge.Host, s.Judge.Path, s.Judge.Key, 0)
					assert.Equal(t, s.Judge.Want, outcome(g, err), "step %d", i)
					assert.Equal(t, s.Judge.Org, g.Org, "step %d", i)
				default:
					tracker.MarkVerified(at(s.Verified))
				}
			}
		})
	}
}

// outcome returns the result of Judge in the notation of the test cases.
func outcome(g Grant, err error) string {
	switch {
	case errors.Is(err, ErrStateUnknown):
		return "unknown"
	case errors.Is(err, ErrNoRoute):
		return "noRoute"
	case errors.Is(err, ErrNoKey):
		return "noKey"
	}
	return g.Route.Name()
}

// FuzzTracker runs random sequences of changes to the desired state, delayed reads and
// calls. It guards against decisions by an older version than before, against accepting a
// key that was revoked longer ago than Ages.Key, and against accepting keys that never were
// valid, and calls without one, as when the last key is revoked.
func FuzzTracker(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newStoreModel(t, rng)
		for range 400 {
			m.step()
		}
	})
}

// storeModel models the store that the desired state is read from: the newest state,
// the revoked keys, and reads in progress.
type storeModel struct {
	t             testing.TB
	rng           *rand.Rand
	tracker       *Tracker
	now           clock.Time
	state         stateSpec
	revokedAt     map[string]clock.Time // by key
	pendingReads  []pendingRead
	newestVersion int64
}

// pendingRead is a read in progress; state was the newest at its start.
type pendingRead struct {
	startedAt clock.Time
	state     stateSpec
}

func newStoreModel(t testing.TB, rng *rand.Rand) *storeModel {
	return &storeModel{t: t, rng: rng, tracker: NewTracker(testAges), now: at(1), revokedAt: map[string]clock.Time{},
		state: stateSpec{Version: 1, KeysRequired: true, Routes: []string{"a.example/x/"}, Keys: map[string]string{"k0": "o0", "k1": "o1", "k2": "o2"}}}
}

func (m *storeModel) step() {
	switch m.rng.IntN(6) {
	case 0: // time passes, sometimes for long as on a suspended machine
		d := time.Duration(m.rng.IntN(300)) * time.Millisecond
		if m.rng.IntN(20) == 0 {
			d *= 20
		}
		m.now = m.now.Add(d)
	case 1:
		m.change()
	case 2: // a read of the newest state starts
		m.pendingReads = append(m.pendingReads, pendingRead{startedAt: m.now, state: m.state})
	case 3, 4: // a read ends, in any order, or fails
		m.endRead()
	case 5:
		m.call()
	}
}

func (m *storeModel) change() {
	keys := map[string]string{}
	for k, o := range m.state.Keys {
		keys[k] = o
	}
	k := []string{"k0", "k1", "k2"}[m.rng.IntN(3)]
	if _, ok := keys[k]; ok {
		delete(keys, k)
		m.revokedAt[k] = m.now
	} else {
		keys[k] = "o"
		delete(m.revokedAt, k)
	}
	m.state = stateSpec{Version: m.state.Version + 1 + m.rng.Int64N(3), KeysRequired: true, Routes: m.state.Routes, Keys: keys}
}

func (m *storeModel) endRead() {
	if len(m.pendingReads) == 0 {
		return
	}
	i := m.rng.IntN(len(m.pendingReads))
	r := m.pendingReads[i]
	m.pendingReads = append(m.pendingReads[:i], m.pendingReads[i+1:]...)
	if m.rng.IntN(4) == 0 {
		return // the read failed
	}
	m.tracker.Apply(r.state.state(m.t))
	m.tracker.MarkVerified(r.startedAt)
}

func (m *storeModel) call() {
	k := []string{"k0", "k1", "k2", "", "never"}[m.rng.IntN(5)]
	g, err := m.tracker.Judge(m.now, "a.example", "/x/1", k, 0)
	if g.Version != 0 {
		require.GreaterOrEqual(m.t, g.Version, m.newestVersion, "decided by an older version than before")
		m.newestVersion = g.Version
	}
	if err != nil {
		return
	}
	require.Contains(m.t, []string{"k0", "k1", "k2"}, k, "a call was accepted with a key that never was valid")
	if since, ok := m.revokedAt[k]; ok {
		require.LessOrEqual(m.t, m.now.Sub(since), testAges.Key, "key accepted too long after it was revoked")
	}
}
