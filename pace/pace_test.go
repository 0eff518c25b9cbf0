package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/rwtest/cases"
)

const (
	start        = clock.Time(time.Hour)
	promptTokens = 5000
)

// engineKind holds the true figures of a kind of engine.
type engineKind struct {
	Name      string
	GapMs     float64 `yaml:"gapMs"`     // event interval
	ReadPerMs float64 `yaml:"readPerMs"` // prompt tokens that a prefill processes in 1 ms
	FirstMs   float64 `yaml:"firstMs"`   // rest of the time to a first event
}

// timeToFirstEvent returns the time to a first event after a prefill of the given number
// of tokens.
func (k engineKind) timeToFirstEvent(tokens int) time.Duration {
	return fromMs(float64(tokens)/k.ReadPerMs + k.FirstMs + k.GapMs)
}

// feedEvents feeds events to an engine and its service and returns the time of the
// last event.
func feedEvents(e *Engine, s *Service, from clock.Time, interval time.Duration, events int) clock.Time {
	for range events {
		from = from.Add(interval)
		e.Event(interval, true, from)
		s.Event(interval)
	}
	return from
}

// Guards against estimates that depend on the kind of engine.
func TestLearnsEngineKinds(t *testing.T) {
	for _, k := range cases.Load[engineKind](t, "testdata/engines.yaml") {
		t.Run(k.Name, func(t *testing.T) {
			var e Engine
			var s Service
			assert.Zero(t, s.Pace().TimeToFirstEvent(promptTokens, e.EventInterval(0, start)), "an estimate without samples")
			now := start
			for range 3 {
				s.AddPrompt(promptTokens)
				now = feedEvents(&e, &s, now, fromMs(k.GapMs), 40)
				s.AddFirstEvent(k.timeToFirstEvent(promptTokens), promptTokens, e.MeasuredInterval(now))
			}
			p := s.Pace()
			interval := e.EventInterval(p.EventInterval, now)
			assert.InEpsilon(t, k.GapMs, inMs(interval), 0.1)
			assert.InEpsilon(t, promptTokens, p.Prompt, 0.01)
			for _, tokens := range []int{promptTokens, 4 * promptTokens} {
				assert.InEpsilon(t, inMs(k.timeToFirstEvent(tokens)), inMs(p.TimeToFirstEvent(tokens, interval)), 0.1, "%d tokens", tokens)
			}
		})
	}
}

// Guards against noticing a slow engine late, against treating a recovered engine
// as slow, and against effects on other engines.
func TestEngineTurnsSlow(t *testing.T) {
	var e, other Engine
	var s Service
	interval := 30 * time.Millisecond
	now := feedEvents(&e, &s, start, interval, 100)
	feedEvents(&other, &s, start, interval, 100)
	now = feedEvents(&e, &s, now, 5*interval/2, 14) // one second
	assert.Greater(t, e.EventInterval(interval, now), 3*interval/2)
	now = feedEvents(&e, &s, now, 5*interval/2, 14)
	assert.InEpsilon(t, inMs(5*interval/2), inMs(e.EventInterval(interval, now)), 0.25)
	assert.InEpsilon(t, inMs(interval), inMs(other.EventInterval(interval, now)), 0.01)
	assert.InEpsilon(t, inMs(interval), inMs(e.EventInterval(interval, now.Add(2*maxSampleAge))), 0.01)
}

// Guards against taking a retransmission, after which events arrive all at once,
// for a slow engine.
func TestLostPackets(t *testing.T) {
	var e Engine
	var s Service
	interval := 30 * time.Millisecond
	now := feedEvents(&e, &s, start, interval, 100)
	for range 10 { // one packet in 30 is lost
		now = feedEvents(&e, &s, now, interval, 22)
		now = feedEvents(&e, &s, now, 230*time.Millisecond, 1)
		now = feedEvents(&e, &s, now, 500*time.Microsecond, 7)
	}
	assert.InEpsilon(t, inMs(interval), inMs(e.EventInterval(interval, now)), 0.3)
	assert.GreaterOrEqual(t, e.LongestInterval(now), 200*time.Millisecond, "the longest interval has to include the pause")
}

// Guards against ignored, lasting or unbounded reports of peers.
func TestReports(t *testing.T) {
	var e Engine
	usual := 30 * time.Millisecond
	e.AddReport("n2", 75*time.Millisecond, start)
	e.AddReport("n3", 0, start)
	atOnce := e.EventInterval(usual, start)
	assert.InEpsilon(t, 66, inMs(atOnce), 0.1)
	later := e.EventInterval(usual, start.Add(2*sampleHalfLife))
	assert.Less(t, later, atOnce)
	assert.Equal(t, usual, e.EventInterval(usual, start.Add(2*maxSampleAge)))
	for i := range 10 * maxReports {
		e.AddReport(string(rune('a'+i)), usual, start)
	}
	assert.LessOrEqual(t, len(e.reports), maxReports+1)
}

// Guards against abandoning attempts while all engines are loaded: the waits of
// abandoned attempts have to raise Spread too.
func TestSpreadFollowsLoad(t *testing.T) {
	var s Service
	for range 50 {
		s.AddWait(time.Second, time.Second)
	}
	assert.InEpsilon(t, 1, s.Pace().Spread, 0.1)
	for range 60 {
		s.AddWait(4*time.Second, time.Second)
	}
	assert.Greater(t, s.Pace().Spread, 3.0)
	for range 300 {
		s.AddWait(time.Second, time.Second)
	}
	assert.Less(t, s.Pace().Spread, 2.0)
}

// Guards against an estimate of short answers from a handful of samples.
func TestAnswerLengths(t *testing.T) {
	var s Service
	s.AddAnswer(130, 180, 4*time.Second, 130)
	p := s.Pace()
	assert.Zero(t, p.ShortAnswer)
	assert.InEpsilon(t, 130.0/180, p.UsualAnswer, 0.01)
	assert.InEpsilon(t, 31, inMs(p.LoadedInterval), 0.01)
	for n := range 200 {
		s.AddAnswer(int64(100+n%61), 180, 4*time.Second, 130)
	}
	p = s.Pace()
	require.NotZero(t, p.ShortAnswer)
	assert.Less(t, p.ShortAnswer, 0.62)
	assert.InEpsilon(t, 130.0/180, p.UsualAnswer, 0.1)
}

// Guards against estimates from invalid samples.
func TestInvalidSamples(t *testing.T) {
	var s Service
	var e Engine
	s.AddFirstEvent(time.Second, 0, time.Millisecond)
	s.AddFirstEvent(time.Second, 100, 0)
	s.AddFirstEvent(time.Millisecond, 100, time.Second) // less than two event intervals
	s.AddWait(time.Second, 0)
	s.AddAnswer(10, 0, 0, 1)
	s.AddPrompt(0)
	e.Event(0, true, start)
	assert.Equal(t, Pace{}, s.Pace())
	assert.Zero(t, e.MeasuredInterval(start))
}
