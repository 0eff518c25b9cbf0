package poison

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// deathsNeeded is how many targets have to have crashed under a request, at the
	// least, until it is condemned: as many as the platform bears.
	deathsNeeded = 3
	// ranWellShare bounds how many runs may have ended well of late, for each crash,
	// for a request that is condemned: one that many callers send all the time is at
	// every target that crashes.
	ranWellShare = 3
	// manyOfOrg is how many condemned requests of one organisation have its others
	// condemned at their first crash. Each different deadly request costs three
	// targets otherwise, and one caller could send thousands.
	manyOfOrg = 16
	// maxKept bounds the deaths of one request that are kept in the store.
	maxKept = 8
	// maxOfOrg and maxSuspects bound what is remembered of one organisation and of
	// all, some 500 bytes each: the oldest that is not condemned goes first, then the
	// oldest.
	maxOfOrg    = 128
	maxSuspects = 2048
	// forgetSuspect is how long crashes count against a request that is not condemned,
	// and forgetCondemned how long one that is condemned is remembered if it does not
	// come again, or its trials end badly.
	forgetSuspect   = 10 * time.Minute
	forgetCondemned = 24 * time.Hour
	// A condemned request is tried once after firstHold, and if that ends badly after
	// holdGrowth times as long, and so on. A wrong verdict is over within moments of
	// a caller's next try; a right one costs three targets more in the first hour.
	firstHold  = 30 * time.Second
	holdGrowth = 10
)

// Why a request is no suspect any more.
const (
	clearedRanWell   = "ran well"
	clearedElsewhere = "cleared by another instance"
	clearedForgotten = "forgotten"
	clearedRoom      = "no room"
)

// Where an instance knows a death from.
const (
	SourceOwn   Source = "own"   // it saw the run
	SourcePeer  Source = "peer"  // another instance told it
	SourceStore Source = "store" // it was kept there
)

type (
	// Source says where an instance knows a death from.
	Source string

	// Book is what one instance knows of requests that crash targets. The zero
	// value knows nothing and is ready to use.
	Book struct {
		Log   zerolog.Logger
		Scope tally.Scope // nil: nothing is counted
		// Dry has crashes noted and told, and no request condemned, for comparison.
		Dry bool

		size     atomic.Int32 // of suspects: most calls need not look further
		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		absolved map[Fingerprint]absolution
		waiting  map[Fingerprint]map[chan struct{}]bool // runs that end when their request is condemned
		news     newsLog
		edits    []Edit        // to be made in the store
		changed  chan struct{} // closed at the next edit; nil until asked for
		wells    wells
		losses   losses
	}

	// suspect is a request under which targets have crashed.
	suspect struct {
		print     Fingerprint
		org       string
		service   string
		deaths    map[ragworthitch.Boot]*death
		condemned bool
		enough    int   // deaths that were needed to condemn it
		trials    int   // made since it was condemned
		trialsRow int64 // version of the row of the store that counts them; 0: there is none
		changed   clock.Time
	}

	// death is what is known of one crash.
	death struct {
		Death
		at     clock.Time // when it became known
		own    bool       // this instance keeps it in the store
		kept   bool       // that is under way or done
		stored bool       // the store has it
	}

	// weighed is a suspect with the deaths that count.
	weighed struct {
		*suspect
		deaths []*death
	}

	// absolution is that a request has run well: the crashes from before don't count
	// any more, whoever tells them later.
	absolution struct {
		boots map[ragworthitch.Boot]bool
		at    clock.Time
	}

	// Verdict is what is known of a request that is to be run.
	Verdict struct {
		Deaths    int           // targets that have crashed under it
		Condemned bool          // it is not to be run
		Wait      time.Duration // until it may be tried
		Trial     Trial         // to be claimed for that
		versions  []string      // of the targets that crashed
	}

	// Trial is one try of a condemned request, which one instance may make.
	Trial struct {
		Print Fingerprint
		Count int   // of trials, this one included
		Row   int64 // version of the row that counts them, before it; 0: there is none
	}
)

// Ran reports whether a target with a version of the software has crashed under the
// request; a version that is not told is taken for one that has.
func (v Verdict) Ran(version string) bool {
	return version == "" || slices.Contains(v.versions, version)
}

// Judge is what is known of a request.
func (b *Book) Judge(f Fingerprint, now clock.Time) Verdict {
	if b.size.Load() == 0 {
		return Verdict{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[f]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Deaths: len(s.counted()), Condemned: s.condemned}
	if !s.condemned {
		return v
	}
	v.Wait = max(0, s.changed.Add(s.hold()).Sub(now))
	v.Trial = Trial{Print: f, Count: s.trials + 1, Row: s.trialsRow}
	for _, d := range s.deaths {
		v.versions = append(v.versions, d.Version)
	}
	return v
}

// hold is for how long a condemned request is not tried.
func (s *suspect) hold() time.Duration {
	d := firstHold
	for range s.trials {
		d = min(d*holdGrowth, forgetCondemned)
	}
	return d
}

// counted are the deaths that speak against a request: those of targets that were
// lost alone, and of those that were lost with others if several of them were running
// it, for different callers or tries. A failure of a zone strikes one run of it.
func (s *suspect) counted() []*death {
	var out []*death
	for _, d := range s.deaths {
		if !d.Together || s.several(d) {
			out = append(out, d)
		}
	}
	return out
}

// several reports whether another try of the request lost another target at the time
// of a death.
func (s *suspect) several(d *death) bool {
	for _, o := range s.deaths {
		apart := max(d.at.Sub(o.at), o.at.Sub(d.at))
		if o.Boot != d.Boot && o.Call != d.Call && apart < TogetherTime {
			return true
		}
	}
	return false
}

// Blames reports whether the crash of a target is taken for the doing of a request.
func (b *Book) Blames(boot ragworthitch.Boot) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.suspects {
		if s.deaths[boot] != nil {
			return true
		}
	}
	return false
}

// Await returns a channel that is closed when a request is condemned, or if it is
// already, and what ends the waiting.
func (b *Book) Await(f Fingerprint) (condemned <-chan struct{}, stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ch := make(chan struct{})
	if s := b.suspects[f]; s != nil && s.condemned {
		close(ch)
		return ch, func() {}
	}
	if b.waiting == nil {
		b.waiting = map[Fingerprint]map[chan struct{}]bool{}
	}
	if b.waiting[f] == nil {
		b.waiting[f] = map[chan struct{}]bool{}
	}
	b.waiting[f][ch] = true
	return ch, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.waiting[f], ch)
		if len(b.waiting[f]) == 0 {
			delete(b.waiting, f)
		}
	}
}

// Died takes a death that this instance saw or was told of, and reports whether it
// is news.
func (b *Book) Died(d Death, from Source, now clock.Time) bool {
	if from == SourceOwn {
		d.Well = b.wells.lately(d.Print, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.put(d, from, now) {
		return false
	}
	b.news.add(d)
	b.weigh(now)
	b.keep(b.suspects[d.Print])
	return true
}

// keep has the deaths that this instance saw, and that count, kept in the store;
// b.mu is held.
func (b *Book) keep(s *suspect) {
	for _, d := range s.counted() {
		if d.own && !d.kept && len(s.deaths) <= maxKept {
			d.kept = true
			b.edit(Edit{Death: d.Death})
		}
	}
}

// put notes a death, if it is news; b.mu is held.
func (b *Book) put(d Death, from Source, now clock.Time) bool {
	if b.absolved[d.Print].boots[d.Boot] {
		return false
	}
	s := b.suspects[d.Print]
	if s == nil {
		b.makeRoom(d.Org, from == SourceOwn)
		s = &suspect{print: d.Print, org: d.Org, service: d.Service, deaths: map[ragworthitch.Boot]*death{}}
		b.suspects[d.Print] = s
		b.size.Store(int32(len(b.suspects)))
	}
	if known := s.deaths[d.Boot]; known != nil {
		known.stored = known.stored || from == SourceStore
		return false
	}
	s.deaths[d.Boot] = &death{Death: d, at: now, own: from == SourceOwn, stored: from == SourceStore}
	s.changed = now
	b.count("poison_deaths")
	b.Log.Warn().Stringer("fingerprint", d.Print).Str("org", d.Org).Str("service", d.Service).Str("target", d.Boot.ID()).
		Str("call", d.Call).Str("targetVersion", d.Version).Bool("together", d.Together).Str("from", string(from)).Int("deaths", len(s.counted())).Msg("poison: target crashed as it began a request")
	return true
}

// RanWell notes that a run of a request has ended well, or has gone on for longer
// than one that crashes its target: what counted against it does not any more.
func (b *Book) RanWell(f Fingerprint, now clock.Time) {
	b.wells.note(f, now)
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[f]; s != nil {
		b.absolve(s, now)
		b.clear(s, clearedRanWell, true)
		b.weigh(now)
	}
}

// absolve remembers that a suspect's crashes don't count; b.mu is held.
func (b *Book) absolve(s *suspect, now clock.Time) {
	if b.absolved == nil || len(b.absolved) >= maxSuspects {
		b.absolved = map[Fingerprint]absolution{}
	}
	a := absolution{boots: b.absolved[s.print].boots, at: now}
	if a.boots == nil {
		a.boots = map[ragworthitch.Boot]bool{}
	}
	for boot := range s.deaths {
		a.boots[boot] = true
	}
	b.absolved[s.print] = a
}

// clear forgets a suspect, also in the store if drop is set; b.mu is held.
func (b *Book) clear(s *suspect, why string, drop bool) {
	delete(b.suspects, s.print)
	b.size.Store(int32(len(b.suspects)))
	if rows := s.rows(); drop && len(rows) > 0 {
		b.edit(Edit{Drop: rows})
	}
	if s.condemned {
		b.count("poison_cleared")
	}
	b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.deaths)).
		Bool("wasCondemned", s.condemned).Int("trials", s.trials).Str("cause", why).Msg("poison: request is no suspect any more")
}

// weigh decides which suspects are condemned. A death speaks against the request
// that has crashed most of those that were aboard; b.mu is held.
func (b *Book) weigh(now clock.Time) {
	var all []weighed
	condemned := map[string]int{} // by organisation
	blamed := map[ragworthitch.Boot]bool{}
	for _, s := range b.suspects {
		deaths := s.counted()
		all = append(all, weighed{s, deaths})
		if s.condemned {
			condemned[s.org]++
		}
		for _, d := range deaths {
			blamed[d.Boot] = true
		}
	}
	slices.SortFunc(all, func(x, y weighed) int {
		return cmp.Or(cmp.Compare(len(y.deaths), len(x.deaths)), slices.Compare(x.print[:], y.print[:]))
	})
	culprit := map[ragworthitch.Boot]int{} // how many targets the one has crashed that explains a death
	for _, s := range all {
		enough := needed(b.losses.rate(s.service, func(boot ragworthitch.Boot) bool { return blamed[boot] }, now))
		if condemned[s.org] >= manyOfOrg {
			enough = 1
		}
		if s.condemned {
			enough = min(enough, s.enough)
		}
		own := 0
		for _, d := range s.deaths {
			if culprit[d.Boot] <= len(s.deaths) {
				own++
			}
		}
		guilty := !b.Dry && own >= enough && b.wellOf(s.suspect, now) <= ranWellShare*len(s.deaths)
		if guilty {
			for _, d := range s.deaths {
				culprit[d.Boot] = max(culprit[d.Boot], len(s.deaths))
			}
		}
		b.set(s.suspect, guilty, now)
		s.enough = enough
	}
}

// wellOf is how many runs of a request have ended well of late, here or at an instance
// that saw a target crash under it.
func (b *Book) wellOf(s *suspect, now clock.Time) int {
	n := b.wells.lately(s.print, now)
	for _, d := range s.deaths {
		n = max(n, d.Well)
	}
	return n
}

// set condemns a suspect, or takes that back; b.mu is held.
func (b *Book) set(s *suspect, guilty bool, now clock.Time) {
	if guilty == s.condemned {
		return
	}
	s.condemned, s.changed = guilty, now
	if !guilty {
		b.count("poison_cleared")
		b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("deaths", len(s.deaths)).
			Int("ranWellLately", b.wellOf(s, now)).Msg("poison: request is not condemned any more")
		return
	}
	b.count("poison_condemned")
	b.Log.Warn().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Strs("targets", s.targets()).
		Int("ranWellLately", b.wellOf(s, now)).Int("trials", s.trials).Dur("hold", s.hold()).Msg("poison: request condemned")
	for ch := range b.waiting[s.print] {
		close(ch)
	}
	delete(b.waiting, s.print)
}

// targets are the ids of the targets whose crashes count.
func (s *suspect) targets() []string {
	var out []string
	for _, d := range s.counted() {
		out = append(out, d.Boot.ID())
	}
	slices.Sort(out)
	return out
}

// Claim takes a trial for this instance, unless another one has been made since the
// verdict: no other will be made for a while, however this one ends.
func (b *Book) Claim(t Trial, row int64, now clock.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[t.Print]
	if s == nil || s.trials >= t.Count {
		return false
	}
	b.tried(s, t.Count, row, now)
	return true
}

// tried notes a trial; b.mu is held.
func (b *Book) tried(s *suspect, count int, row int64, now clock.Time) {
	s.trials, s.trialsRow, s.changed = count, max(s.trialsRow, row), now
	b.count("poison_trials")
	b.Log.Info().Stringer("fingerprint", s.print).Str("org", s.org).Str("service", s.service).Int("trials", count).Dur("hold", s.hold()).
		Msg("poison: request is tried once")
}

// makeRoom forgets suspects until there is room for one of an organisation, also in
// the store if drop is set; b.mu is held.
func (b *Book) makeRoom(org string, drop bool) {
	if b.suspects == nil {
		b.suspects = map[Fingerprint]*suspect{}
	}
	ofOrg := 0
	for _, s := range b.suspects {
		if s.org == org {
			ofOrg++
		}
	}
	if ofOrg >= maxOfOrg {
		b.clear(b.oldest(func(s *suspect) bool { return s.org == org }), clearedRoom, drop)
	}
	if len(b.suspects) >= maxSuspects {
		b.clear(b.oldest(func(*suspect) bool { return true }), clearedRoom, drop)
	}
}

// oldest is the suspect that is forgotten first of some; b.mu is held.
func (b *Book) oldest(of func(*suspect) bool) *suspect {
	var out *suspect
	for _, s := range b.suspects {
		if of(s) && (out == nil || out.condemned && !s.condemned || out.condemned == s.condemned && s.changed < out.changed) {
			out = s
		}
	}
	return out
}

// Forget drops what is too old to count, also from the store.
func (b *Book) Forget(now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.suspects {
		age := forgetSuspect
		if s.condemned {
			age = forgetCondemned
		}
		if now.Sub(s.changed) > age {
			b.clear(s, clearedForgotten, true)
		}
	}
	for f, a := range b.absolved {
		if now.Sub(a.at) > forgetSuspect {
			delete(b.absolved, f)
		}
	}
}

func (b *Book) count(name string) {
	if b.Scope != nil {
		b.Scope.Counter(name).Inc(1)
	}
}
