package pace

import (
	"sync"
	"time"
)

const (
	// firstEventIntervals is the time to a first event besides the prefill, in event
	// intervals: the event itself and the wait until the prefill starts.
	firstEventIntervals = 2
	// spreadQuantile is the share of first events that arrive within Spread.
	spreadQuantile = 0.95
	// shortQuantile is the share of answers that are shorter than ShortAnswer.
	shortQuantile = 0.05
	// minSamples is the number of answers below which ShortAnswer is unknown.
	minSamples = 20
)

type (
	// Service holds the estimates of a service: of all its engines together and of
	// its streams. The zero value has none.
	Service struct {
		mu              sync.Mutex
		interval        quantile // usual event interval without other prefills, ms
		prefillPerToken quantile // prefill time of a token, in event intervals
		spread          quantile // actual over expected time to a first event
		prompt          quantile // tokens
		loadedInterval  quantile // mean event interval of an attempt, with other prefills, ms
		shortAnswer     quantile // length of a short answer, as a share of the maximum
		usualAnswer     quantile // length of a usual answer, as a share of the maximum
		probes          probes
	}

	// Pace is a snapshot of a service's estimates. Unknown values are 0.
	Pace struct {
		EventInterval  time.Duration // usual event interval without other prefills
		PrefillRatio   float64       // prefill time of a token, in event intervals
		Spread         float64       // actual over expected time to a first event, at spreadQuantile
		Prompt         float64       // usual length of a prompt, in tokens
		LoadedInterval time.Duration // mean event interval of an attempt, with other prefills
		ShortAnswer    float64       // length of a short answer, as a share of the maximum
		UsualAnswer    float64       // length of a usual answer, as a share of the maximum
	}
)

// Event adds the time between two events of an attempt without other prefills at
// the engine.
func (s *Service) Event(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interval.add(inMs(interval), 0.5, slowStep)
}

// EventInterval returns the usual event interval without other prefills at the engine;
// 0 if unknown. The result equals Pace().EventInterval and is cheaper to get.
func (s *Service) EventInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fromMs(s.interval.value())
}

// AddPrompt adds the length of a prompt, in tokens.
func (s *Service) AddPrompt(promptTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompt.add(float64(promptTokens), 0.5, slowStep)
}

// AddFirstEvent adds the time to a first event at an engine with the given event
// interval, after a prefill of the given number of tokens while no other prompt waited.
func (s *Service) AddFirstEvent(took time.Duration, tokens int, interval time.Duration) {
	if tokens <= 0 || interval <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillPerToken.add((float64(took)/float64(interval)-firstEventIntervals)/float64(tokens), 0.5, slowStep)
}

// AddWait adds the time until a first event arrived or the attempt was abandoned,
// and the expected time.
func (s *Service) AddWait(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spread.add(float64(took)/float64(expected), spreadQuantile, fastStep)
}

// AddAnswer adds a complete answer of events out of at most maxEvents. Its last attempt
// had attemptEvents events, with duration between the first and the last of them.
func (s *Service) AddAnswer(events, maxEvents int64, duration time.Duration, attemptEvents int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maxEvents > 0 {
		s.shortAnswer.add(float64(events)/float64(maxEvents), shortQuantile, slowStep)
		s.usualAnswer.add(float64(events)/float64(maxEvents), 0.5, slowStep)
	}
	if attemptEvents > 1 {
		s.loadedInterval.add(inMs(duration)/float64(attemptEvents-1), 0.5, slowStep)
	}
}

// Pace returns the current estimates.
func (s *Service) Pace() Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Pace{EventInterval: fromMs(s.interval.value()), PrefillRatio: s.prefillPerToken.value(), Spread: s.spread.value(), Prompt: s.prompt.value(), LoadedInterval: fromMs(s.loadedInterval.value())}
	p.UsualAnswer = s.usualAnswer.value()
	if s.shortAnswer.samples >= minSamples {
		p.ShortAnswer = s.shortAnswer.value()
	}
	return p
}

// PrefillTime returns the time of a prefill of the given number of tokens at an engine
// with the given event interval; 0 if unknown.
func (p Pace) PrefillTime(tokens int, interval time.Duration) time.Duration {
	return time.Duration(float64(tokens) * p.PrefillRatio * float64(interval))
}

// TimeToFirstEvent returns the expected time to the first event at an engine with the
// given event interval and number of prompt tokens to prefill; 0 if unknown.
func (p Pace) TimeToFirstEvent(tokens int, interval time.Duration) time.Duration {
	if p.PrefillRatio == 0 {
		return 0
	}
	return firstEventIntervals*interval + p.PrefillTime(tokens, interval)
}
