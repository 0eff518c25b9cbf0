package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/ragworthitch/ragworthitch/clock"
)

const (
	// maxRejected is the number of rejected versions that a status names. A version is
	// forgotten once so many others were rejected after it.
	maxRejected = 64
	// maxBadBefore is the number of bad answers from which a version is not tried again when
	// it is ordered anew. It is a fifth of those that the operator allows a version in all,
	// since instances learn late of the answers of others.
	maxBadBefore = 10
)

type (
	// Rejection says that a version gets no calls: its order was rolled back, withdrawn, or
	// replaced by another before it was completed.
	Rejection struct {
		Version string
		Order   int64 // the latest order that it was rejected with
		Bad     int   // bad answers that it has given with orders with which it was found bad, as far as known
	}

	// rejections holds the rejected versions of a service. They outlive the orders that they
	// were rejected with: the operator removes the targets of such a version only some time
	// later. The zero value holds none.
	rejections struct {
		byVersion map[string]Rejection // replaced when it changes, so that readers need no lock
	}

	// Versions tells the versions of a service apart during an order.
	Versions struct {
		to          string
		toInService bool // the new version was in service before the order
		rejected    map[string]Rejection
	}
)

// IsNew reports whether the service is being moved to the version.
func (v Versions) IsNew(version string) bool { return version == v.to }

// IsRejected reports whether the version gets no calls since an earlier order.
func (v Versions) IsRejected(version string) bool {
	_, ok := v.rejected[version]
	return ok && !v.IsNew(version)
}

// IsOld reports whether the version is one that the new version replaces.
func (v Versions) IsOld(version string) bool { return !v.IsNew(version) && !v.IsRejected(version) }

// add adds a rejection and reports whether the version was not rejected before.
func (r *rejections) add(j Rejection) bool {
	known, ok := r.byVersion[j.Version]
	if known.Order >= j.Order && known.Bad >= j.Bad {
		return false
	}
	j.Order, j.Bad = max(j.Order, known.Order), max(j.Bad, known.Bad)
	byVersion := maps.Clone(r.byVersion)
	if byVersion == nil {
		byVersion = map[string]Rejection{}
	}
	byVersion[j.Version] = j
	r.byVersion = byVersion
	return !ok
}

// remove removes a version unless it was rejected after the order, and reports whether it did.
func (r *rejections) remove(version string, order int64) bool {
	j, ok := r.byVersion[version]
	if !ok || j.Order > order {
		return false
	}
	r.byVersion = maps.Clone(r.byVersion)
	delete(r.byVersion, version)
	return true
}

// list returns the rejections by ascending order.
func (r *rejections) list() []Rejection {
	out := slices.Collect(maps.Values(r.byVersion))
	slices.SortFunc(out, func(a, b Rejection) int {
		return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// reject records that a version gets no calls any more. from says how this instance knows.
func (t *Tracker) reject(s *service, j Rejection, from string) {
	if j.Order == 0 || slices.Contains(s.inService, j.Version) || !s.rejected.add(j) {
		return
	}
	t.Log.Warn().Str("service", s.name).Str("version", j.Version).Int64("order", j.Order).Int("bad", j.Bad).Str("from", from).
		Msg("rollout: version gets no more calls")
	if list := s.rejected.list(); len(list) > maxRejected {
		t.readmit(s, list[0].Version, list[0].Order, "own: too many rejected versions")
	}
}

// readmit records that a version may get calls again, unless it was rejected after the order.
func (t *Tracker) readmit(s *service, version string, order int64, from string) {
	if !s.rejected.remove(version, order) {
		return
	}
	t.Log.Info().Str("service", s.name).Str("version", version).Int64("order", order).Str("from", from).
		Msg("rollout: version may get calls again")
}

// endEarlier records what the known order and status say of their versions once an order
// that is newer than they are is known.
func (t *Tracker) endEarlier(s *service, newer int64) {
	if s.status.Order != 0 && s.status.Order < newer {
		t.recordEnd(s, s.status)
	}
	if s.order.ID != 0 && s.order.ID < newer && s.order.ID > s.accountedOrder {
		t.reject(s, Rejection{Version: s.order.To, Order: s.order.ID, Bad: s.badAnswers()}, "own: order replaced")
	}
}

// badAnswers returns the number of bad answers of the new version, over all its orders with
// which it was found bad: a good version has some, too.
func (s *service) badAnswers() int {
	n := s.rejected.byVersion[s.order.To].Bad
	if !s.verdict.Bad {
		return n
	}
	for _, tally := range s.tallies {
		for g, c := range tally {
			if !g.New {
				continue
			}
			for _, bad := range c.Bad {
				n += bad
			}
		}
	}
	return n
}

// wasFoundBad reports whether the new version has given so many bad answers with earlier
// orders that it is not tried again.
func (s *service) wasFoundBad() bool {
	v := s.versions()
	return !v.toInService && v.rejected[v.to].Bad >= maxBadBefore
}

// recordEnd records the status that an order had when another replaced it: unless it was
// completed, its version gets no calls.
func (t *Tracker) recordEnd(s *service, st Status) {
	t.mergeVersions(s, st)
	s.accountedOrder = max(s.accountedOrder, st.Order)
	if st.State == Completed {
		return
	}
	j := Rejection{Version: st.To, Order: st.Order, Bad: st.Bad}
	if st.Order == s.order.ID {
		j.Bad = max(j.Bad, s.badAnswers())
	}
	t.reject(s, j, "status: "+st.State.String())
}

// mergeVersions takes over what a status says of versions. Its rejections are complete for all
// orders up to the one whose status it replaced; those of later orders that it lacks are kept.
func (t *Tracker) mergeVersions(s *service, st Status) {
	if st.Order >= s.status.Order {
		// An order that this instance has seen tells more than how long a version was there.
		s.inService = slices.DeleteFunc(slices.Clone(st.InService), func(version string) bool {
			return st.rejects(version) || s.rejected.byVersion[version].Order > st.Replaced
		})
	}
	for _, version := range s.inService {
		t.readmit(s, version, st.Order, "status: in service")
	}
	for _, j := range s.rejected.list() {
		if j.Order <= st.Replaced && !st.rejects(j.Version) {
			t.readmit(s, j.Version, j.Order, "status")
		}
	}
	for _, j := range st.Rejected {
		t.reject(s, j, "status")
	}
	s.accountedOrder = max(s.accountedOrder, st.Replaced)
	if st.State == Completed {
		s.inService = []string{st.To}
		t.readmit(s, st.To, st.Order, "status: completed")
	}
}

// inServiceDuring returns the versions that are in service when an order begins: those that
// were at the last one, and those that have been used as old ones for some time. Versions
// without targets are left out, so that they are judged when they come back.
func (s *service) inServiceDuring(present []string, now clock.Time) []string {
	var out []string
	for _, version := range present {
		if slices.Contains(s.inService, version) || s.wasThereBefore(version, now) {
			out = append(out, version)
		}
	}
	if to := s.order.To; slices.Contains(s.inService, to) {
		out = append(out, to)
	}
	slices.Sort(out)
	return out
}

// hasUnwrittenRejections reports whether the status in the store lacks a rejection.
func (s *service) hasUnwrittenRejections() bool {
	return slices.ContainsFunc(s.rejected.list(), func(j Rejection) bool {
		return j.Version != s.status.To && !s.status.rejects(j.Version)
	})
}

// rejects reports whether the status names the version as rejected.
func (st Status) rejects(version string) bool {
	return slices.ContainsFunc(st.Rejected, func(j Rejection) bool { return j.Version == version })
}

// wasThereBefore reports whether a version was discovered well before now. At the first order
// of all it is enough that it was discovered with the first version.
func (s *service) wasThereBefore(version string, now clock.Time) bool {
	since, seen := s.firstSeen[version]
	isInitial := since.Sub(s.firstSeen[s.firstVersion]) <= initialDiscovery
	return seen && (now.Sub(since) >= newVersionHold || isInitial && s.status.Row == 0)
}

// versions tells the versions apart.
func (s *service) versions() Versions {
	to := s.wantedVersion()
	return Versions{to: to, toInService: slices.Contains(s.inService, to), rejected: s.rejected.byVersion}
}
