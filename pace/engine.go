// Package pace estimates the speed of model engines from the events of their
// streams: the event interval, the time of a prefill and the length of answers. It
// has no built-in figures: estimates are 0 until there are samples.
//
// An engine that turns slow is slower in prefill and in generation alike. Each
// engine is therefore described by its event interval alone, of which every running
// stream yields samples, and prefill times follow from the interval by a ratio that
// all engines of a service share.
package pace

import (
	"math"
	"sync"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// sampleHalfLife is the time in which a sample of an engine loses half of its
	// weight against the service's usual interval.
	sampleHalfLife = 4 * time.Second
	// serviceWeight is the weight of the service's usual interval relative to one
	// fresh sample or report of the engine.
	serviceWeight = 0.15
	// maxSampleAge is the age from which a sample or report is ignored.
	maxSampleAge = 5 * sampleHalfLife
	// longestHalfLife is the time in which the longest event interval decays to
	// half.
	longestHalfLife = 3 * time.Second
	// maxReports limits the number of peers whose reports on an engine are kept.
	maxReports = 32
)

type (
	// Engine holds the estimates of one boot of a model engine. The zero value has
	// none.
	Engine struct {
		mu        sync.Mutex
		interval  quantile          // event interval without other prefills, ms
		sampledAt clock.Time        // time of the newest sample of interval
		longest   float64           // longest recent event interval, ms; decays
		longestAt clock.Time        // when longest was last updated
		reports   map[string]report // by instance
	}

	report struct {
		intervalMs float64
		at         clock.Time
	}
)

// Event adds the time between two events of an attempt. undisturbed says that no
// other prefill is known to have run at the engine between the two events.
func (e *Engine) Event(interval time.Duration, undisturbed bool, now clock.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.longest, e.longestAt = max(inMs(interval), e.decayedLongest(now)), now
	if undisturbed {
		e.interval.add(inMs(interval), 0.5, fastStep)
		e.sampledAt = now
	}
}

func (e *Engine) decayedLongest(now clock.Time) float64 {
	if e.longest == 0 {
		return 0
	}
	return e.longest * math.Exp2(-float64(now.Sub(e.longestAt))/float64(longestHalfLife))
}

// LongestInterval returns the longest recent event interval, which decays over time.
func (e *Engine) LongestInterval(now clock.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fromMs(e.decayedLongest(now))
}

// MeasuredInterval returns the event interval that this instance has measured; 0 without
// recent samples.
func (e *Engine) MeasuredInterval(now clock.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.interval.samples == 0 || now.Sub(e.sampledAt) > maxSampleAge {
		return 0
	}
	return fromMs(e.interval.value())
}

// AddReport adds a peer's report of the engine's event interval.
func (e *Engine) AddReport(node string, interval time.Duration, now clock.Time) {
	if interval <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reports == nil {
		e.reports = map[string]report{}
	}
	for peer, reported := range e.reports {
		if now.Sub(reported.at) > maxSampleAge || len(e.reports) >= maxReports {
			delete(e.reports, peer)
		}
	}
	e.reports[node] = report{intervalMs: inMs(interval), at: now}
}

// EventInterval returns the expected event interval without other prefills at the engine:
// the weighted geometric mean of own samples, peers' reports and the service's
// usual interval; 0 if all three are unknown.
func (e *Engine) EventInterval(usualInterval time.Duration, now clock.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum, weight := 0.0, 0.0
	add := func(ms, w float64) {
		if ms > 0 {
			sum += w * math.Log(ms)
			weight += w
		}
	}
	add(inMs(usualInterval), serviceWeight)
	if e.interval.samples > 0 {
		add(e.interval.value(), weightAt(now.Sub(e.sampledAt)))
	}
	for _, reported := range e.reports {
		add(reported.intervalMs, weightAt(now.Sub(reported.at)))
	}
	if weight == 0 {
		return 0
	}
	return fromMs(math.Exp(sum / weight))
}

// weightAt returns the weight of a sample or report of the given age: the weight
// halves every sampleHalfLife and is 0 beyond maxSampleAge.
func weightAt(age time.Duration) float64 {
	if age > maxSampleAge {
		return 0
	}
	return math.Exp2(-float64(age) / float64(sampleHalfLife))
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
