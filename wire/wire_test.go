package wire

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/poison"
)

func TestRoundTrip(t *testing.T) {
	for _, m := range []Message{
		{Type: TypeStart, RequestID: "r1", Attempt: 2, Fencing: 7, Model: "m", Prompt: "p q", MaxTokens: 9, Priority: 1, Seed: 3, Prefix: []string{"ta", "tb"}},
		{Type: TypeToken, RequestID: "r1", Attempt: 2, Offset: 41, Text: "t1f2e3"},
		{Type: TypeFail, RequestID: "r1", Attempt: 1, Reason: "stall", NotRun: true},
		{Type: TypeFail, RequestID: "r1", Attempt: 1, Reason: "target draining", NotRun: true, Draining: true},
		{Type: TypeLoad, Running: 12, Waiting: 3, AtMs: 1700000000000, Healthy: true, Fencing: 4},
		{Type: TypeCall, RequestID: "q", Op: "quote", Org: "o", IdempotencyKey: "k"},
	} {
		b, err := Encode(m)
		require.NoError(t, err)
		got, err := Decode(b)
		require.NoError(t, err)
		assert.Equal(t, m, got)
	}
}

func TestDecodeRejects(t *testing.T) {
	_, err := Decode([]byte{0xff, 0x00})
	assert.True(t, errors.Is(err, ErrBadFrame))
	b, _ := Encode(Message{Type: 99})
	_, err = Decode(b)
	assert.True(t, errors.Is(err, ErrBadFrame))
}

// BenchmarkToken measures the encoding, decoding and size of a token frame, without
// the WebSocket framing.
func BenchmarkToken(b *testing.B) {
	m := Message{Type: TypeToken, RequestID: "rimac-long-012", Attempt: 1, Offset: 812, Text: "t1f2e3"}
	var n int
	for b.Loop() {
		buf, _ := Encode(m)
		n = len(buf)
		if _, err := Decode(buf); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n), "bytes/frame")
}

// BenchmarkLoad measures the encoding, decoding and size of a load frame.
func BenchmarkLoad(b *testing.B) {
	m := Message{Type: TypeLoad, Running: 31, Waiting: 4, AtMs: 1700000000000, Healthy: true, Fencing: 12}
	var n int
	for b.Loop() {
		buf, _ := Encode(m)
		n = len(buf)
		if _, err := Decode(buf); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(n), "bytes/frame")
}

// Decode never panics on arbitrary frames, and a decoded message encodes to an equal
// one.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		{Type: TypeToken, RequestID: "r", Attempt: 1, Offset: 3, Text: "t"},
		{Type: TypeStart, Prefix: []string{"a"}, MaxTokens: 4},
	} {
		b, _ := Encode(m)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		m2, err := Decode(again)
		if err != nil {
			t.Fatal(err)
		}
		assert.Equal(t, m, m2)
	})
}

func TestViewRoundTrip(t *testing.T) {
	for _, v := range []View{
		{Node: "a"},
		{Node: "a", RateLimits: []RateLimit{{Target: ragworthitch.NewBoot("i-1", 1767312000123), InForce: true, Rate: 4.4, Age: 70 * time.Millisecond}, {Target: ragworthitch.NewBoot("i-2", 0)}}},
		{Node: "a", Loads: []TargetLoad{{Target: ragworthitch.NewBoot("i-1", 1767312000123), Prefill: 8200, YieldingPrefill: 300, Running: 3, Tokens: 27000, EventInterval: 29040 * time.Microsecond}, {Target: ragworthitch.NewBoot("i-2", 0)}},
			CacheLocations: []CacheLocation{{Subject: "5c1e", Engine: ragworthitch.NewBoot("i-1", 1767312000123)}},
			Crashes: []poison.Crash{{Fingerprint: poison.Of("o", "POST", "h", "/p", nil), Boot: ragworthitch.NewBoot("i-1", 1767312000123), Call: "c", InOutage: true, RecentSuccesses: 3, Org: "o", Service: "llm", Version: "v1"},
				{Fingerprint: poison.Parts([]string{"5c1e"})[0].Fingerprint, Part: "5c1e", Boot: ragworthitch.NewBoot("i-1", 1767312000123), Call: "c", Org: "o", Service: "llm", Version: "v1", SoundBefore: true, Age: 70 * time.Millisecond},
				{Fingerprint: poison.Of("o", "POST", "h", "/q", nil), Boot: ragworthitch.NewBoot("i-1", 0), Call: "d", Org: "o", Service: "llm", Version: "v1", Phase: poison.Waiting, Ran: 90 * time.Millisecond, Weight: 2.5, Verdict: true},
				{Fingerprint: poison.Parts([]string{"5c1e"})[0].Fingerprint, Part: "5c1e", Boot: ragworthitch.NewBoot("i-2", 0), Call: "d", Org: "o", Service: "llm", Version: "v1", Phase: poison.Late, Ran: 2 * time.Second, Progress: poison.Progress{Total: 7, Attempt: 3}, Furthest: poison.Progress{Total: 51, Attempt: 45}}},
			SoundRuns: []poison.SoundRun{{Part: poison.Parts([]string{"5c1e"})[0].Fingerprint, Service: "llm", Version: "v1", Age: 2 * time.Second, Extent: poison.ToEnd,
				Boots: []ragworthitch.Boot{ragworthitch.NewBoot("t1", 7)}}}},
	} {
		b, err := EncodeView(v)
		require.NoError(t, err)
		got, err := DecodeView(b)
		require.NoError(t, err)
		assert.Equal(t, v, got)
	}
	for _, r := range []rateLimitFrame{{R: math.NaN()}, {R: math.Inf(1)}, {R: -1}, {A: -1}, {A: math.MaxInt64}} {
		b, err := cbor.Marshal(viewFrame{N: "a", R: []rateLimitFrame{r}})
		require.NoError(t, err)
		_, err = DecodeView(b)
		require.ErrorIs(t, err, ErrBadFrame, "%+v", r)
	}
	print := make([]byte, len(poison.Fingerprint{}))
	for _, f := range []viewFrame{
		{Q: []partCrashFrame{{C: crashFrame{F: print}}}}, {W: []weakCrashFrame{{C: crashFrame{F: print}}}}, {W: []weakCrashFrame{{C: crashFrame{F: print}, H: 3}}}, {W: []weakCrashFrame{{C: crashFrame{F: print}, H: 1, R: -1}}}, {E: []int{0}}, {V: []evidenceFrame{{I: 1}}}, {D: []crashFrame{{F: print}}, V: []evidenceFrame{{W: -1}}}, {D: []crashFrame{{F: print}}, V: []evidenceFrame{{W: math.Inf(1)}}}, {D: []crashFrame{{F: print}}, V: []evidenceFrame{{W: math.NaN()}}}, {H: []progressFrame{{T: 1}}}, {W: []weakCrashFrame{{C: crashFrame{F: print}, H: 1}}, H: []progressFrame{{B: -1}}}, {Q: []partCrashFrame{{C: crashFrame{F: print}, P: "a", G: -1}}}, {Q: []partCrashFrame{{C: crashFrame{F: print[1:]}, P: "a"}}},
		{S: []soundRunFrame{{F: print[1:]}}}, {S: []soundRunFrame{{F: print, G: -1}}}, {S: []soundRunFrame{{F: print, G: math.MaxInt64}}},
	} {
		b, err := cbor.Marshal(f)
		require.NoError(t, err)
		_, err = DecodeView(b)
		require.ErrorIs(t, err, ErrBadFrame, "%+v", f)
	}
	short, err := cbor.Marshal(viewFrame{N: "a", D: []crashFrame{{F: []byte{1}, T: "i-1"}}})
	require.NoError(t, err)
	for _, b := range [][]byte{{0xff, 0x00}, short} {
		_, err := DecodeView(b)
		assert.True(t, errors.Is(err, ErrBadFrame))
	}
}
