package ingress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/health"
	"github.com/ragworthitch/ragworthitch/poison"
	"github.com/ragworthitch/ragworthitch/registry"
)

const (
	// confirmTime is how long after a run ended early its target may be found to be
	// lost, for that to be a crash: a connection that it refuses tells within ms, one
	// that nothing answers after upstream.DialTimeout.
	confirmTime = 400 * time.Millisecond
	// condemnedText is the body of the answer to a request that is not run.
	condemnedText = "This request has crashed the targets that ran it, and is not run again for now (%s).\n"
)

// errCondemned ends runs whose request has been condemned before they had begun.
var errCondemned = errors.New("ingress: request condemned")

// admitted reports whether the call may be run, as far as is known of targets that
// crashed under it. If not, it is answered.
func (j *job) admitted(ctx context.Context) bool {
	v := j.h.crashes.Judge(j.print, clock.Now())
	if !v.Condemned {
		return true
	}
	if j.h.Leaving() || !j.tries(ctx, v) {
		j.condemn(v)
		return false
	}
	j.h.log.Info().Str("request", j.c.ID).Stringer("fingerprint", j.print).Int("trial", v.Trial.Count).Int("deaths", v.Deaths).
		Msg("ingress: condemned request tried once")
	return true
}

// tries takes a trial of a condemned request, if one is due: after a while, or where
// the service has targets of a version under which none has crashed.
func (j *job) tries(ctx context.Context, v poison.Verdict) bool {
	fresh := func(m *registry.Member) bool { return !v.Ran(m.Target().Version()) }
	if v.Wait > 0 {
		if !j.anyTakes(fresh) {
			return false
		}
		j.only = fresh
	}
	j.trial = j.h.claim(ctx, v.Trial)
	return j.trial
}

// anyTakes reports whether a target of some takes work.
func (j *job) anyTakes(of func(*registry.Member) bool) bool {
	now := clock.Now()
	for _, m := range j.h.targets.Service(j.service()) {
		if m.Takes(now) && of(m) {
			return true
		}
	}
	return false
}

// takes reports whether a target may get the call now.
func (j *job) takes(m *registry.Member, now clock.Time) bool {
	return m.Takes(now) && (j.only == nil || j.only(m))
}

// condemned reports whether the call's request has been condemned meanwhile.
func (j *job) condemned() (poison.Verdict, bool) {
	v := j.h.crashes.Judge(j.print, clock.Now())
	return v, v.Condemned && !j.trial
}

// condemn answers a call whose request is not run again. It has run before, at the
// targets that it crashed: nothing is promised, and its caller is told when another
// try could end otherwise.
func (j *job) condemn(v poison.Verdict) {
	j.h.stats.condemned.Inc(1)
	j.h.log.Warn().Str("request", j.c.ID).Stringer("fingerprint", j.print).Str("route", j.g.Route.Name()).Str("org", j.g.Org).
		Str("service", j.service()).Int("sends", j.sends).Int("deaths", v.Deaths).Dur("wait", v.Wait).Dur("after", clock.Now().Sub(j.c.Received)).
		Int("status", http.StatusInternalServerError).Msg("ingress: condemned request not run")
	text := fmt.Sprintf(condemnedText, j.print)
	h := j.w.Header()
	h.Set("Retry-After", strconv.Itoa(int(max(v.Wait, time.Second)/time.Second)))
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	j.w.WriteHeader(http.StatusInternalServerError)
	if _, err := j.w.Write([]byte(text)); err != nil {
		j.h.log.Info().Str("request", j.c.ID).Err(err).Msg("ingress: caller left before its answer")
	}
}

// ranWell notes that a target has run the call for long enough, or to an end.
func (j *job) ranWell() {
	if !j.well {
		j.well = true
		j.h.crashes.RanWell(j.print, clock.Now())
	}
}

// inquire asks a target that has lost a call of a plain service for a connection, and
// finds out whether the call may have crashed it.
func (j *job) inquire(m *registry.Member, begun clock.Time) {
	go j.probe(m, health.CauseRefused)
	j.h.guarded(j.c.ID, func() { j.blame(m, begun, 0) })
}

// blame finds out whether m crashed under a run of the call, which had begun at a
// moment and ended early, and whether that speaks against the request.
func (j *job) blame(m *registry.Member, begun clock.Time, made int) {
	s := poison.Sighting{Events: made, Leaving: j.leaves(m)}
	if !s.Counts() || !crashed(m, begun) {
		return
	}
	t := m.Target()
	s.Zone = j.askRound(m, func(o ragworthitch.Target) bool { return o.Zone() == t.Zone() })
	s.Service = j.askRound(m, func(o ragworthitch.Target) bool { return o.Service() == t.Service() })
	j.h.log.Info().Str("request", j.c.ID).Stringer("fingerprint", j.print).Str("target", t.ID()).Int("zoneAsked", s.Zone.Asked).Int("zoneLost", s.Zone.Lost).
		Int("serviceAsked", s.Service.Asked).Int("serviceLost", s.Service.Lost).Int("events", made).Bool("together", s.Together()).
		Msg("poison: target crashed under a young run")
	d := poison.Death{Print: j.print, Boot: t.Boot(), Call: j.c.ID, Org: j.g.Org, Service: j.service(), Version: t.Version(), Together: s.Together()}
	if j.h.crashes.Died(d, poison.SourceOwn, clock.Now()) {
		j.h.tell()
	}
}

// leaves reports whether m had said that it would end, or was taken away.
func (j *job) leaves(m *registry.Member) bool {
	t := m.Target()
	return t.Draining() || m.Life().Err() == nil && j.h.targets.Boot(t.Boot()) != m
}

// crashed waits for a target to be found lost, after a run there that had begun at a
// moment.
func crashed(m *registry.Member, begun clock.Time) bool {
	lost := m.Health().Lost()
	if at, ok := m.Health().FailedLately(clock.Now()); ok && at > begun || m.Life().Err() != nil {
		return true
	}
	select {
	case <-lost:
		return true
	case <-m.Life().Done():
		return true
	case <-time.After(confirmTime):
		return false
	}
}

// askRound asks some targets other than one that was lost for a connection each, to
// find out whether they were lost together. Those that were lost before say nothing,
// nor do those that crashed under a request themselves, or were sent this one.
func (j *job) askRound(lost *registry.Member, of func(ragworthitch.Target) bool) poison.Round {
	now := clock.Now()
	var others []*registry.Member
	for _, m := range j.h.targets.All() {
		t := m.Target()
		counts := m != lost && of(t) && !t.Draining() && !j.tried.has(m)
		if counts && !failedBefore(m, now) && !j.h.crashes.Blames(t.Boot()) {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	others = others[:min(len(others), poison.Neighbours)]
	answers := make(chan bool, len(others))
	for _, m := range others {
		go func() { answers <- j.serves(m, now) }()
	}
	r := poison.Round{Asked: len(others)}
	for range others {
		if !<-answers {
			r.Lost++
		}
	}
	return r
}

// failedBefore reports whether a target was lost before those that are lost now.
func failedBefore(m *registry.Member, now clock.Time) bool {
	at, ok := m.Health().FailedLately(now)
	return ok && now.Sub(at) >= poison.TogetherTime
}

// serves reports whether a target takes a connection, or, if it was found lost just
// now, that it does not.
func (j *job) serves(m *registry.Member, now clock.Time) bool {
	if _, ok := m.Health().FailedLately(now); ok {
		return false
	}
	err := j.h.send.Probe(context.Background(), m)
	if err != nil {
		j.failed(m, health.CauseRefused, err)
	}
	return err == nil
}
