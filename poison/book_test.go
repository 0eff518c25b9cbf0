package poison

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

func fingerprintOf(name string) Fingerprint { return Of(name[:1], "POST", "h", "/"+name, nil) }

// crashOf returns a crash of a target, with a version and a number of recent successes
// if they are given.
func crashOf(name, target string, versionAndSuccesses ...string) Death {
	d := Death{Print: fingerprintOf(name), Boot: ragworthitch.NewBoot(target, 0), Org: name[:1], Service: "llm", Version: "v1"}
	if len(versionAndSuccesses) > 0 {
		d.Version = versionAndSuccesses[0]
	}
	if len(versionAndSuccesses) > 1 {
		d.Well, _ = strconv.Atoi(versionAndSuccesses[1])
	}
	return d
}

func TestBook(t *testing.T) {
	type testCase struct {
		Name  string
		Steps []string
	}
	for _, c := range cases.Load[testCase](t, "testdata/book.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var b Book
			for _, s := range c.Steps {
				runStep(t, &b, s)
			}
		})
	}
}

// runStep runs a step of a case; testdata/book.yaml describes the steps.
func runStep(t *testing.T, b *Book, text string) {
	f := strings.Fields(text)
	elapsed, err := time.ParseDuration(f[0])
	require.NoError(t, err, text)
	now := clock.Time(time.Hour).Add(elapsed)
	verb, args := f[1], f[2:]
	n := func() int {
		v, err := strconv.Atoi(args[1])
		require.NoError(t, err, text)
		return v
	}
	var v Verdict
	if len(args) > 0 {
		v = b.Judge(fingerprintOf(args[0]), now)
	}
	switch verb {
	case "crashed":
		b.Died(crashOf(args[0], args[1], args[2:]...), SourceOwn, now)
	case "lost":
		d := crashOf(args[0], args[1])
		d.Call, d.Together = args[2], true
		b.Died(d, SourceOwn, now)
	case "reported":
		b.Died(crashOf(args[0], args[1], args[2:]...), SourcePeer, now)
	case "stored":
		b.Change([]Row{rowOf(args[0], args[1])}, now)
	case "deleted":
		var rows []Row
		for _, target := range args[1:] {
			rows = append(rows, Row{RowKey: rowOf(args[0], target).RowKey, Gone: true})
		}
		b.Change(rows, now)
	case "snapshot":
		var rows []Row
		for i := 0; i < len(args); i += 2 {
			rows = append(rows, rowOf(args[i], args[i+1]))
		}
		b.Replace(rows, now)
	case "succeeded":
		times := 1
		if len(args) > 1 {
			times = n()
		}
		for range times {
			b.RanWell(fingerprintOf(args[0]), now)
		}
	case "probed":
		b.Change([]Row{{RowKey: RowKey{Print: fingerprintOf(args[0])}, Trials: n(), Version: 7}}, now)
	case "claimed", "unclaimed":
		assert.Equal(t, verb == "claimed", b.Claim(Trial{Print: fingerprintOf(args[0]), Count: n()}, 7, now), text)
	case "expire":
		b.Forget(now)
	case "untracked":
		assert.Equal(t, Verdict{}, v, text)
	case "suspected":
		assert.Equal(t, Verdict{Deaths: n()}, v, text)
	case "quarantined":
		wait, err := time.ParseDuration(args[1])
		require.NoError(t, err, text)
		assert.True(t, v.Condemned, text)
		assert.Equal(t, wait, v.Wait, text)
	case "probe":
		assert.True(t, v.Condemned, text)
		assert.Zero(t, v.Wait, text)
		assert.Equal(t, n(), v.Trial.Count, text)
	case "crashed-version", "other-version":
		assert.Equal(t, verb == "crashed-version", v.Ran(args[1]), text)
	default:
		t.Fatalf("unknown step: %s", text)
	}
}

func rowOf(name, target string) Row {
	d := crashOf(name, target)
	return Row{RowKey: RowKey{Print: d.Print, Boot: d.Boot}, Death: d, Version: 3}
}

// Waiters are woken when their request is quarantined, and only then.
func TestAwait(t *testing.T) {
	var b Book
	quarantined, stop := b.Await(fingerprintOf("a"))
	defer stop()
	other, stopOther := b.Await(fingerprintOf("b"))
	defer stopOther()
	for i := range minCrashThreshold {
		select {
		case <-quarantined:
			t.Fatalf("woken after %d crashes", i)
		default:
		}
		b.Died(crashOf("a", fmt.Sprint("t", i)), SourcePeer, 1)
	}
	<-quarantined
	select {
	case <-other:
		t.Fatal("a waiter of another request is woken")
	default:
	}
	later, stopLater := b.Await(fingerprintOf("a"))
	defer stopLater()
	<-later
}

// Crashes that this instance observed are written to the store and deleted once they
// don't count any more. Failed writes are returned in their order.
func TestEdits(t *testing.T) {
	var b Book
	_, more := b.Take()
	b.Died(crashOf("a", "t1"), SourceOwn, 1)
	<-more
	b.Died(crashOf("a", "t2"), SourcePeer, 1)
	edits, more := b.Take()
	assert.Equal(t, []Edit{{Death: crashOf("a", "t1")}}, edits, "crashes that a peer observed are written by the peer")
	b.RanWell(fingerprintOf("a"), 2)
	<-more
	b.Return(edits)
	edits, _ = b.Take()
	require.Len(t, edits, 2)
	assert.Equal(t, crashOf("a", "t1"), edits[0].Death)
	assert.Equal(t, []RowKey{rowOf("a", "t1").RowKey}, edits[1].Drop)
}

// Crashes are reported to peers once, and not once they don't count any more.
func TestSince(t *testing.T) {
	var b Book
	b.Died(crashOf("a", "t1"), SourceOwn, 1)
	b.Died(crashOf("b", "t1"), SourcePeer, 1)
	crashes, n := b.Since(0)
	assert.Equal(t, []Death{crashOf("a", "t1"), crashOf("b", "t1")}, crashes)
	crashes, _ = b.Since(n)
	assert.Empty(t, crashes)
	b.RanWell(fingerprintOf("a"), 2)
	crashes, _ = b.Since(0)
	assert.Equal(t, []Death{crashOf("b", "t1")}, crashes)
}

// One organisation sends thousands of poison requests. The records stay bounded,
// requests of another organisation stay quarantined, and each further request costs one
// target.
func TestManyPoisonRequests(t *testing.T) {
	var b Book
	for i := range minCrashThreshold {
		b.Died(crashOf("z", fmt.Sprint("z", i)), SourceOwn, 1)
	}
	crashed := 0
	const requests = 5000
	for n := range requests {
		name := fmt.Sprint("a", n)
		for i := 0; !b.Judge(fingerprintOf(name), 2).Condemned; i++ {
			b.Died(crashOf(name, fmt.Sprint(n, "-", i)), SourceOwn, 2)
			crashed++
		}
	}
	assert.True(t, b.Judge(fingerprintOf("z"), 3).Condemned)
	assert.LessOrEqual(t, len(b.suspects), maxSuspectsPerOrg+1)
	assert.LessOrEqual(t, crashed, requests+strictOrgQuarantines*minCrashThreshold)
	last := fmt.Sprint("a", requests-1)
	assert.True(t, b.Judge(fingerprintOf(last), 3).Condemned)
}

// Each change of a request's state is logged with its cause and counted.
func TestVerdictsAreLogged(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	b := Book{Log: zerolog.New(&log), Scope: scope}
	for i := range minCrashThreshold {
		b.Died(crashOf("a", fmt.Sprint("t", i)), SourceOwn, 1)
	}
	assert.Equal(t, minCrashThreshold, strings.Count(log.String(), "poison: target crashed as it began a request"))
	assert.Contains(t, log.String(), `"targets":["t0","t1","t2"]`)
	assert.Equal(t, 1, strings.Count(log.String(), "poison: request quarantined"))
	require.True(t, b.Claim(b.Judge(fingerprintOf("a"), 2).Trial, 9, 2))
	assert.Contains(t, log.String(), "poison: quarantined request is probed once")
	b.RanWell(fingerprintOf("a"), 3)
	assert.Contains(t, log.String(), `"cause":"ran well"`)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()] = c.Value()
	}
	assert.Equal(t, map[string]int64{"poison_deaths": 3, "poison_condemned": 1, "poison_trials": 1, "poison_cleared": 1}, counts)
}
