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

// printOf is the fingerprint of a request with a name.
func printOf(name string) Fingerprint { return Of(name[:1], "POST", "h", "/"+name, nil) }

// deathOf is a death of a target, with a version if one is told.
func deathOf(name, target string, version ...string) Death {
	d := Death{Print: printOf(name), Boot: ragworthitch.NewBoot(target, 0), Org: name[:1], Service: "llm", Version: "v1"}
	if len(version) > 0 {
		d.Version = version[0]
	}
	if len(version) > 1 {
		d.Well, _ = strconv.Atoi(version[1])
	}
	return d
}

func TestBook(t *testing.T) {
	type bookCase struct {
		Name  string
		Steps []string
	}
	for _, c := range cases.Load[bookCase](t, "testdata/book.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var b Book
			for _, s := range c.Steps {
				step(t, &b, s)
			}
		})
	}
}

// step plays one step of a case.
func step(t *testing.T, b *Book, text string) {
	f := strings.Fields(text)
	at, err := time.ParseDuration(f[0])
	require.NoError(t, err, text)
	now := clock.Time(time.Hour).Add(at)
	what, args := f[1], f[2:]
	n := func() int {
		v, err := strconv.Atoi(args[1])
		require.NoError(t, err, text)
		return v
	}
	var v Verdict
	if len(args) > 0 {
		v = b.Judge(printOf(args[0]), now)
	}
	switch what {
	case "died":
		b.Died(deathOf(args[0], args[1], args[2:]...), SourceOwn, now)
	case "lost":
		d := deathOf(args[0], args[1])
		d.Call, d.Together = args[2], true
		b.Died(d, SourceOwn, now)
	case "told":
		b.Died(deathOf(args[0], args[1], args[2:]...), SourcePeer, now)
	case "kept":
		b.Change([]Row{rowOf(args[0], args[1])}, now)
	case "dropped":
		var rows []Row
		for _, target := range args[1:] {
			rows = append(rows, Row{RowKey: rowOf(args[0], target).RowKey, Gone: true})
		}
		b.Change(rows, now)
	case "whole":
		var rows []Row
		for i := 0; i < len(args); i += 2 {
			rows = append(rows, rowOf(args[i], args[i+1]))
		}
		b.Replace(rows, now)
	case "ran":
		times := 1
		if len(args) > 1 {
			times = n()
		}
		for range times {
			b.RanWell(printOf(args[0]), now)
		}
	case "tried":
		b.Change([]Row{{RowKey: RowKey{Print: printOf(args[0])}, Trials: n(), Version: 7}}, now)
	case "claimed", "unclaimed":
		assert.Equal(t, what == "claimed", b.Claim(Trial{Print: printOf(args[0]), Count: n()}, 7, now), text)
	case "forget":
		b.Forget(now)
	case "free":
		assert.Equal(t, Verdict{}, v, text)
	case "suspect":
		assert.Equal(t, Verdict{Deaths: n()}, v, text)
	case "condemned":
		wait, err := time.ParseDuration(args[1])
		require.NoError(t, err, text)
		assert.True(t, v.Condemned, text)
		assert.Equal(t, wait, v.Wait, text)
	case "trial":
		assert.True(t, v.Condemned, text)
		assert.Zero(t, v.Wait, text)
		assert.Equal(t, n(), v.Trial.Count, text)
	case "ran-version", "new-version":
		assert.Equal(t, what == "ran-version", v.Ran(args[1]), text)
	default:
		t.Fatalf("unknown step: %s", text)
	}
}

func rowOf(name, target string) Row {
	d := deathOf(name, target)
	return Row{RowKey: RowKey{Print: d.Print, Boot: d.Boot}, Death: d, Version: 3}
}

// Runs that wait are woken when their request is condemned, and only then.
func TestAwait(t *testing.T) {
	var b Book
	condemned, stop := b.Await(printOf("a"))
	defer stop()
	other, stopOther := b.Await(printOf("b"))
	defer stopOther()
	for i := range deathsNeeded {
		select {
		case <-condemned:
			t.Fatalf("woken after %d deaths", i)
		default:
		}
		b.Died(deathOf("a", fmt.Sprint("t", i)), SourcePeer, 1)
	}
	<-condemned
	select {
	case <-other:
		t.Fatal("another request's run is woken")
	default:
	}
	later, stopLater := b.Await(printOf("a"))
	defer stopLater()
	<-later
}

// What an instance saw is to be kept in the store, and to be dropped when it does
// not count any more; what could not be written is given back in its order.
func TestEdits(t *testing.T) {
	var b Book
	_, more := b.Take()
	b.Died(deathOf("a", "t1"), SourceOwn, 1)
	<-more
	b.Died(deathOf("a", "t2"), SourcePeer, 1)
	edits, more := b.Take()
	assert.Equal(t, []Edit{{Death: deathOf("a", "t1")}}, edits, "what others saw they keep")
	b.RanWell(printOf("a"), 2)
	<-more
	b.Return(edits)
	edits, _ = b.Take()
	require.Len(t, edits, 2)
	assert.Equal(t, deathOf("a", "t1"), edits[0].Death)
	assert.Equal(t, []RowKey{rowOf("a", "t1").RowKey}, edits[1].Drop)
}

// Deaths are told on to others once, and not when they don't count any more.
func TestSince(t *testing.T) {
	var b Book
	b.Died(deathOf("a", "t1"), SourceOwn, 1)
	b.Died(deathOf("b", "t1"), SourcePeer, 1)
	news, n := b.Since(0)
	assert.Equal(t, []Death{deathOf("a", "t1"), deathOf("b", "t1")}, news)
	news, _ = b.Since(n)
	assert.Empty(t, news)
	b.RanWell(printOf("a"), 2)
	news, _ = b.Since(0)
	assert.Equal(t, []Death{deathOf("b", "t1")}, news)
}

// The load: one caller sends thousands of different requests, each of which crashes
// whatever runs it, and another one a few. What is remembered stays bounded, the
// other's verdict stands, and the flood costs a target for each request in the end.
func TestFloodOfDeadlyRequests(t *testing.T) {
	var b Book
	for i := range deathsNeeded {
		b.Died(deathOf("z", fmt.Sprint("z", i)), SourceOwn, 1)
	}
	crashed := 0
	const requests = 5000
	for n := range requests {
		name := fmt.Sprint("a", n)
		for i := 0; !b.Judge(printOf(name), 2).Condemned; i++ {
			b.Died(deathOf(name, fmt.Sprint(n, "-", i)), SourceOwn, 2)
			crashed++
		}
	}
	assert.True(t, b.Judge(printOf("z"), 3).Condemned)
	assert.LessOrEqual(t, len(b.suspects), maxOfOrg+1)
	assert.LessOrEqual(t, crashed, requests+manyOfOrg*deathsNeeded)
	last := fmt.Sprint("a", requests-1)
	assert.True(t, b.Judge(printOf(last), 3).Condemned)
}

// Each verdict, and each change of one, has a line that says what decided it, and is
// counted.
func TestVerdictsAreLogged(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	b := Book{Log: zerolog.New(&log), Scope: scope}
	for i := range deathsNeeded {
		b.Died(deathOf("a", fmt.Sprint("t", i)), SourceOwn, 1)
	}
	assert.Equal(t, deathsNeeded, strings.Count(log.String(), "poison: target crashed as it began a request"))
	assert.Contains(t, log.String(), `"targets":["t0","t1","t2"]`)
	assert.Equal(t, 1, strings.Count(log.String(), "poison: request condemned"))
	require.True(t, b.Claim(b.Judge(printOf("a"), 2).Trial, 9, 2))
	assert.Contains(t, log.String(), "poison: request is tried once")
	b.RanWell(printOf("a"), 3)
	assert.Contains(t, log.String(), `"cause":"ran well"`)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()] = c.Value()
	}
	assert.Equal(t, map[string]int64{"poison_deaths": 3, "poison_condemned": 1, "poison_trials": 1, "poison_cleared": 1}, counts)
}
