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

func requestOf(name string) Request {
	return Request{Fingerprint: fingerprintOf(name), Org: name[:1], Service: "llm"}
}

// crashOf returns a crash of a target, with a version and a number of recent successes
// if they are given.
func crashOf(name, target string, versionAndSuccesses ...string) Crash {
	c := Crash{Fingerprint: fingerprintOf(name), Boot: ragworthitch.NewBoot(target, 0), Org: name[:1], Service: "llm", Version: "v1"}
	if len(versionAndSuccesses) > 0 {
		c.Version = versionAndSuccesses[0]
	}
	if len(versionAndSuccesses) > 1 {
		c.RecentSuccesses, _ = strconv.Atoi(versionAndSuccesses[1])
	}
	return c
}

func TestTracker(t *testing.T) {
	type testCase struct {
		Name  string
		Steps []string
	}
	for _, c := range cases.Load[testCase](t, "testdata/tracker.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var tracker Tracker
			for _, s := range c.Steps {
				runStep(t, &tracker, s)
			}
		})
	}
}

// runStep runs a step of a case; testdata/tracker.yaml describes the steps.
func runStep(t *testing.T, tracker *Tracker, text string) {
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
	var st Status
	if len(args) > 0 {
		st = tracker.Status(requestOf(args[0]), now)
	}
	switch verb {
	case "crashed":
		tracker.RecordCrash(crashOf(args[0], args[1], args[2:]...), SourceOwn, now)
	case "lost":
		c := crashOf(args[0], args[1])
		c.Call, c.InOutage = args[2], true
		tracker.RecordCrash(c, SourceOwn, now)
	case "shared":
		c := crashOf(args[0], args[1])
		c.Call = args[0]
		tracker.RecordCrash(c, SourceOwn, now)
	case "waited":
		c := crashOf(args[0], args[1])
		c.Phase = Waiting
		tracker.RecordCrash(c, SourceOwn, now)
	case "reported":
		tracker.RecordCrash(crashOf(args[0], args[1], args[2:]...), SourcePeer, now)
	case "stored":
		tracker.ApplyRows([]Row{rowOf(args[0], args[1])}, now)
	case "deleted":
		var rows []Row
		for _, target := range args[1:] {
			rows = append(rows, Row{RowKey: rowOf(args[0], target).RowKey, Deleted: true})
		}
		tracker.ApplyRows(rows, now)
	case "snapshot", "waitedsnapshot":
		var rows []Row
		for i := 0; i < len(args); i += 2 {
			row := rowOf(args[i], args[i+1])
			if verb == "waitedsnapshot" {
				row.Crash.Phase = Waiting
			}
			rows = append(rows, row)
		}
		tracker.ApplySnapshot(rows, now)
	case "succeeded":
		times := 1
		if len(args) > 1 {
			times = n()
		}
		for range times {
			tracker.RecordSuccess(requestOf(args[0]), "v1", PastStart, now)
		}
	case "peersucceeded":
		tracker.RecordPeerSoundRuns([]SoundRun{{Part: fingerprintOf(args[0]), Service: "llm"}}, now)
	case "probed":
		tracker.ApplyRows([]Row{{RowKey: RowKey{Fingerprint: fingerprintOf(args[0])}, Probes: n(), Version: 7}}, now)
	case "claimed", "unclaimed":
		assert.Equal(t, verb == "claimed", tracker.ClaimProbes([]Probe{{Fingerprint: fingerprintOf(args[0]), Count: n()}}, 7, now), text)
	case "expire":
		tracker.Expire(now)
	case "untracked":
		assert.Equal(t, Status{}, st, text)
	case "suspected":
		assert.Equal(t, Status{Crashes: n()}, st, text)
	case "quarantined":
		wait, err := time.ParseDuration(args[1])
		require.NoError(t, err, text)
		assert.True(t, st.Quarantined, text)
		assert.Equal(t, wait, st.Wait, text)
	case "probe":
		assert.True(t, st.Quarantined, text)
		assert.Zero(t, st.Wait, text)
		assert.Equal(t, n(), st.Probes[0].Count, text)
	case "crashed-version", "other-version":
		assert.Equal(t, verb == "crashed-version", st.HasCrashed(args[1]), text)
	default:
		t.Fatalf("unknown step: %s", text)
	}
}

func rowOf(name, target string) Row {
	c := crashOf(name, target)
	return Row{RowKey: RowKey{Fingerprint: c.Fingerprint, Boot: c.Boot}, Crash: c, Version: 3}
}

// Waiters are woken when their request is quarantined, and only then.
func TestAwait(t *testing.T) {
	var tracker Tracker
	quarantined, stop := tracker.Await(requestOf("a"))
	defer stop()
	other, stopOther := tracker.Await(requestOf("b"))
	defer stopOther()
	for i := range minCrashThreshold {
		select {
		case <-quarantined:
			t.Fatalf("woken after %d crashes", i)
		default:
		}
		tracker.RecordCrash(crashOf("a", fmt.Sprint("t", i)), SourcePeer, 1)
	}
	<-quarantined
	select {
	case <-other:
		t.Fatal("a waiter of another request is woken")
	default:
	}
	later, stopLater := tracker.Await(requestOf("a"))
	defer stopLater()
	<-later
}

// Crashes that this instance observed are written to the store and deleted once they
// don't count any more. Failed writes are returned in their order.
func TestEdits(t *testing.T) {
	var tracker Tracker
	_, more := tracker.TakeEdits()
	tracker.RecordCrash(crashOf("a", "t1"), SourceOwn, 1)
	<-more
	tracker.RecordCrash(crashOf("a", "t2"), SourcePeer, 1)
	edits, more := tracker.TakeEdits()
	assert.Equal(t, []Edit{{Crash: crashOf("a", "t1")}}, edits, "crashes that a peer observed are written by the peer")
	tracker.RecordSuccess(requestOf("a"), "v1", PastStart, 2)
	<-more
	tracker.RequeueEdits(edits)
	edits, _ = tracker.TakeEdits()
	require.Len(t, edits, 2)
	assert.Equal(t, crashOf("a", "t1"), edits[0].Crash)
	assert.Equal(t, []RowKey{rowOf("a", "t1").RowKey}, edits[1].Drop)
}

// Crashes are reported to peers once, and not once they don't count any more.
func TestCrashesSince(t *testing.T) {
	var tracker Tracker
	tracker.RecordCrash(crashOf("a", "t1"), SourceOwn, 1)
	tracker.RecordCrash(crashOf("b", "t1"), SourcePeer, 1)
	crashes, n := tracker.CrashesSince(0, 2)
	assert.Equal(t, []Crash{crashOf("a", "t1"), crashOf("b", "t1")}, crashes)
	crashes, _ = tracker.CrashesSince(n, 2)
	assert.Empty(t, crashes)
	tracker.RecordSuccess(requestOf("a"), "v1", PastStart, 2)
	crashes, _ = tracker.CrashesSince(0, 2)
	assert.Equal(t, []Crash{crashOf("b", "t1")}, crashes)
}

// One organisation sends thousands of poison requests. The records stay bounded,
// requests of another organisation stay quarantined, and each further request costs one
// target.
func TestManyPoisonRequests(t *testing.T) {
	var tracker Tracker
	for i := range minCrashThreshold {
		tracker.RecordCrash(crashOf("z", fmt.Sprint("z", i)), SourceOwn, 1)
	}
	crashed := 0
	const requests = 5000
	for n := range requests {
		name := fmt.Sprint("a", n)
		for i := 0; !tracker.Status(requestOf(name), 2).Quarantined; i++ {
			tracker.RecordCrash(crashOf(name, fmt.Sprint(n, "-", i)), SourceOwn, 2)
			crashed++
		}
	}
	assert.True(t, tracker.Status(requestOf("z"), 3).Quarantined)
	assert.LessOrEqual(t, len(tracker.suspects), maxSuspectsPerOrg+1)
	assert.LessOrEqual(t, crashed, requests+strictOrgQuarantines*minCrashThreshold)
	last := fmt.Sprint("a", requests-1)
	assert.True(t, tracker.Status(requestOf(last), 3).Quarantined)
}

// Each change of a request's state is logged with its cause and counted.
func TestStatusChangesAreLogged(t *testing.T) {
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	tracker := Tracker{Log: zerolog.New(&log), Scope: scope}
	for i := range minCrashThreshold {
		tracker.RecordCrash(crashOf("a", fmt.Sprint("t", i)), SourceOwn, 1)
	}
	assert.Equal(t, minCrashThreshold, strings.Count(log.String(), "poison: target crashed under a request"))
	assert.Contains(t, log.String(), `"targets":["t0","t1","t2"]`)
	assert.Equal(t, 1, strings.Count(log.String(), "poison: request quarantined"))
	require.True(t, tracker.ClaimProbes(tracker.Status(requestOf("a"), 2).Probes, 9, 2))
	assert.Contains(t, log.String(), "poison: quarantined request is probed once")
	tracker.RecordSuccess(requestOf("a"), "v1", PastStart, 3)
	assert.Contains(t, log.String(), `"cause":"ran well"`)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()] = c.Value()
	}
	assert.Equal(t, map[string]int64{"poison_deaths": 3, "poison_condemned": 1, "poison_trials": 1, "poison_sound": 1, "poison_cleared": 1}, counts)
}

// Guards against views that carry each crash of each lost stream: a single crash with weak
// evidence is not reported, a second one reports both, and one with strong evidence goes at once.
func TestReportedCrashes(t *testing.T) {
	weak := func(name, target string) Crash {
		c := crashOf(name, target)
		c.Phase = Waiting
		return c
	}
	tests := []struct {
		name     string
		crashes  []Crash
		reported []int // after each crash, in all
	}{
		{"weak evidence", []Crash{weak("a", "t1"), weak("a", "t2"), weak("a", "t3")}, []int{0, 2, 3}},
		{"weak evidence of several requests", []Crash{weak("a", "t1"), weak("b", "t1"), weak("c", "t1")}, []int{0, 0, 0}},
		{"strong evidence", []Crash{crashOf("a", "t1"), weak("a", "t2")}, []int{1, 2}},
		{"strong evidence after weak", []Crash{weak("a", "t1"), crashOf("a", "t2")}, []int{0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var tracker Tracker
			for i, c := range tt.crashes {
				isNews := tracker.RecordCrash(c, SourceOwn, 1)
				before := 0
				if i > 0 {
					before = tt.reported[i-1]
				}
				got, _ := tracker.CrashesSince(0, 1)
				assert.Len(t, got, tt.reported[i])
				assert.Equal(t, tt.reported[i] > before, isNews)
			}
		})
	}
}

// Guards against a report to all peers for each stream that goes on elsewhere: its run clears a
// crash that no peer knows.
func TestRunAfterUnreportedCrashIsNoNews(t *testing.T) {
	tracker, now := &Tracker{}, clock.Time(time.Hour)
	r := Request{Fingerprint: fingerprintOf("a1"), Org: "a", Service: "llm", Parts: Parts([]string{"common"})}
	weak := Crash{Boot: ragworthitch.NewBoot("i-1", 1), Call: "c1", Version: "v1", Phase: Late, Ran: time.Second}
	assert.False(t, tracker.RecordOwnCrash(r, weak, now), "a single crash with weak evidence")
	now = now.Add(time.Second)
	assert.False(t, tracker.RecordSuccess(r, "v1", ToEnd, now))
	assert.False(t, tracker.RecordSoundRun(r, "v1", ToEnd, now))
	runs, _ := tracker.SoundRunsSince(0, now)
	assert.Empty(t, runs)
	crashes, _ := tracker.CrashesSince(0, now)
	assert.Empty(t, crashes)

	strong := Crash{Boot: ragworthitch.NewBoot("i-2", 1), Call: "c2", Version: "v1", Phase: Begun}
	assert.True(t, tracker.RecordOwnCrash(r, strong, now))
	assert.True(t, tracker.RecordSuccess(r, "v1", ToEnd, now.Add(time.Second)), "peers know the crash")
}

// Guards against a quarantined request that is probed later because of the last part of its
// prompt, which no other request has.
func TestLastPartDoesNotDelayProbe(t *testing.T) {
	var tracker Tracker
	r := Request{Fingerprint: fingerprintOf("a1"), Org: "a", Service: "llm", Parts: PromptParts(nil, "own")}
	for n := range minCrashThreshold {
		tracker.RecordOwnCrash(r, Crash{Boot: ragworthitch.NewBoot(fmt.Sprint("t", n), 0), Call: "c", Version: "v1"}, 1)
	}
	st := tracker.Status(r, 1)
	assert.Equal(t, firstProbeDelay, st.Wait)
	assert.Len(t, st.Probes, 1)
}
