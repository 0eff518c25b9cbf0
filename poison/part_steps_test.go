package poison

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

// prompt returns a request that is new each time, with the given parts ("a+b/last").
func prompt(org, call, parts string) Request {
	shared, last, _ := strings.Cut(parts, "/")
	return Request{Fingerprint: Of(org, "POST", "h", call, nil), Parts: PromptParts(strings.Split(shared, "+"), last), Org: org, Service: "llm"}
}

func optional(args []string, n int, fallback string) string {
	if n < len(args) {
		return args[n]
	}
	return fallback
}

// TestPartSteps guards against sound parts that are stopped, and against parts that crash
// targets and aren't.
func TestPartSteps(t *testing.T) {
	type testCase struct {
		Name  string
		Steps []string
	}
	for _, c := range cases.Load[testCase](t, "testdata/part_steps.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			var tracker Tracker
			for _, s := range c.Steps {
				runPartStep(t, &tracker, s)
			}
		})
	}
}

// runPartStep runs a step of a case; testdata/part_steps.yaml describes the steps.
func runPartStep(t *testing.T, tracker *Tracker, text string) {
	f := strings.Fields(text)
	elapsed := parseDuration(t, f[0])
	now := clock.Time(time.Hour).Add(elapsed)
	verb, org, args := f[1], f[2], f[3:]
	parts := optional(args, 0, "")
	if verb == "crashed" || verb == "reported" {
		parts = args[2]
	}
	r := prompt(org, text, parts)
	st := tracker.Status(r, now)
	switch verb {
	case "crashed", "reported":
		recordPartCrash(tracker, verb, prompt(org, args[0], parts), args, now)
	case "sound":
		tracker.RecordSoundRun(r, optional(args, 1, "v1"), PastStart, now)
	case "peersound":
		var runs []SoundRun
		for _, p := range r.Parts {
			run := SoundRun{Part: p.Fingerprint, Service: "llm", Version: "v1", Age: parseDuration(t, args[1])}
			for _, target := range args[2:] {
				run.Boots = append(run.Boots, ragworthitch.NewBoot(target, 0))
			}
			runs = append(runs, run)
		}
		tracker.RecordPeerSoundRuns(runs, now)
	case "stored":
		p := r.Parts[0]
		c := Crash{Fingerprint: p.Fingerprint, Part: p.ID, Boot: ragworthitch.NewBoot(args[1], 0), Org: org, Service: "llm", Version: "v1"}
		tracker.ApplyRows([]Row{{RowKey: RowKey{Fingerprint: p.Fingerprint, Boot: c.Boot}, Crash: c, Version: 3}}, now)
	case "probed":
		assert.True(t, tracker.ClaimProbes(st.Probes, 7, now), text)
		assert.False(t, tracker.ClaimProbes(st.Probes, 7, now), "claimed twice: %s", text)
	case "expire":
		tracker.Expire(now)
	case "free":
		assert.False(t, st.Quarantined, text)
	case "capped":
		assert.True(t, st.Quarantined, text)
		assert.Empty(t, st.Probes, text)
	case "stopped", "unresolved":
		assert.True(t, st.Quarantined, text)
		assert.Equal(t, verb == "unresolved", st.Unresolved, text)
		assert.Equal(t, parseDuration(t, args[1]), st.Wait, text)
	case "soundat", "unsoundat":
		assert.Equal(t, verb == "soundat", tracker.SoundAt(r, args[1], now), text)
	default:
		t.Fatalf("unknown step: %s", text)
	}
}

func parseDuration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	require.NoError(t, err)
	return d
}

func recordPartCrash(tracker *Tracker, verb string, r Request, args []string, now clock.Time) {
	c := Crash{Boot: ragworthitch.NewBoot(args[1], 0), Call: args[0], Version: optional(args, 3, "v1")}
	if verb == "crashed" {
		tracker.RecordOwnCrash(r, c, now)
		return
	}
	c.Org, c.Service = r.Org, r.Service
	for _, p := range r.Parts {
		c.Fingerprint, c.Part = p.Fingerprint, p.ID
		tracker.RecordCrash(c, SourcePeer, now)
	}
}

// TestManyPartsAreBounded guards against callers that name parts without end: records and
// the time of a decision stay bounded, and a part that crashes targets is still found.
func TestManyPartsAreBounded(t *testing.T) {
	var tracker Tracker
	const parts, prompts = 64, 1600
	for n := range prompts {
		var ids []string
		for i := range parts {
			ids = append(ids, fmt.Sprint(n, "-", i))
		}
		r := prompt("o", fmt.Sprint(n), strings.Join(ids, "+"))
		tracker.RecordSoundRun(r, "v1", PastStart, 1)
		if n%50 == 0 {
			r.Parts = append(r.Parts, Parts([]string{"bad"})...)
			tracker.RecordOwnCrash(r, Crash{Boot: ragworthitch.NewBoot(fmt.Sprint("t", n), 0), Call: fmt.Sprint(n), Version: "v2"}, 2)
		}
	}
	assert.LessOrEqual(t, len(tracker.suspects), maxSuspectsPerOrg+1)
	assert.True(t, tracker.Status(prompt("o", "next", "bad"), 3).Quarantined)
	kept := 0
	for i := range tracker.soundRuns.last.shards {
		kept += len(tracker.soundRuns.last.shards[i].current)
	}
	assert.LessOrEqual(t, kept, windowShards*maxPerShard)
}

// TestStrictOrgSparesBystanders guards against sound requests of an organisation with many
// quarantined requests that are stopped because they were beside one of them.
func TestStrictOrgSparesBystanders(t *testing.T) {
	var tracker Tracker
	for n := range strictOrgQuarantines {
		for i := range minCrashThreshold {
			tracker.RecordCrash(crashOf(fmt.Sprint("o", n), fmt.Sprint(n, "-", i)), SourceOwn, 1)
		}
	}
	poisonous, bystander := crashOf("o-poison", "t1"), crashOf("o-sound", "t1")
	poisonous.Call, bystander.Call = "c1", "c2"
	tracker.RecordCrash(poisonous, SourceOwn, 2)
	tracker.RecordCrash(bystander, SourceOwn, 2)
	assert.False(t, tracker.Status(requestOf("o-sound"), 3).Quarantined)
	alone := crashOf("o-poison", "t2")
	alone.Call = "c3"
	tracker.RecordCrash(alone, SourceOwn, 3)
	assert.False(t, tracker.Status(requestOf("o-sound"), 3).Quarantined)
}

// BenchmarkRequestOnServedPath measures what suspects cost a request that is served.
func BenchmarkRequestOnServedPath(b *testing.B) {
	for _, suspects := range []int{0, 1, maxSuspects} {
		b.Run(fmt.Sprint(suspects, " suspects"), func(b *testing.B) {
			var tracker Tracker
			for n := range suspects {
				c := crashOf(fmt.Sprint("o", n), fmt.Sprint("t", n))
				c.Org = fmt.Sprint("o", n/100)
				tracker.RecordCrash(c, SourcePeer, 1)
			}
			r := prompt("o", "served", "a+b+c")
			for b.Loop() {
				tracker.Status(r, 2)
				tracker.RecordSuccess(r, "v1", PastStart, 2)
				tracker.RecordSoundRun(r, "v1", PastStart, 2)
			}
		})
	}
}

// Guards against views that grow too large to be sent, with reports of sound runs that name
// many crashed targets.
func TestReportsOfSoundRunsAreBounded(t *testing.T) {
	var tracker Tracker
	const runs, crashes = maxReportLog, maxClearedBoots + 8
	for n := range runs {
		r := Request{Fingerprint: fingerprintOf(fmt.Sprint("o", n)), Org: fmt.Sprint("o", n/maxSuspectsPerOrg), Service: "llm"}
		for i := range crashes {
			tracker.RecordOwnCrash(r, Crash{Boot: ragworthitch.NewBoot(fmt.Sprint(n, "-", i), 0), Call: "c", Version: "v1"}, 1)
		}
		require.True(t, tracker.RecordSuccess(r, "v1", PastStart, 2))
	}
	reports, _ := tracker.SoundRunsSince(0, 3)
	require.Len(t, reports, runs)
	boots := 0
	for _, r := range reports {
		assert.LessOrEqual(t, len(r.Boots), maxClearedBoots)
		boots += len(r.Boots)
	}
	assert.Equal(t, maxReportedBoots, boots)
}
