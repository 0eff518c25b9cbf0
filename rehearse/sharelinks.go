package rehearse

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ragworthitch/ragworthitch/fairshare"
	"github.com/ragworthitch/ragworthitch/route"
)

const (
	// Peers and timeouts as in package exchange.
	sharePeers    = 24
	linkInterval  = 300 * time.Millisecond
	redialTime    = 300 * time.Millisecond
	viewLossTime  = 2500 * time.Millisecond
	viewLost      = 500 // once in so many, and its link with it
	viewDuplicate = 10  // once in so many
)

type (
	// shareLink sends views to a peer.
	shareLink struct {
		to      int
		receive *shareState   // of the peer
		whole   bool          // the peer was sent what was reported
		closed  bool          // for good
		openAt  time.Duration // no views before
		okAt    time.Duration // when both ends were last connected
		lastAt  int           // step at which the last view arrives
		opened  int           // how often it was opened
	}

	// shareView is a report on its way.
	shareView struct {
		from   *fleetInstance
		link   *shareLink
		opened int // of the link
		usage  []fairshare.Usage
	}
)

// connected reports whether views reach an instance, or leave it.
func (in *fleetInstance) connected() bool { return in.up && in.freezes == 0 && in.cuts == 0 }

// endLinks closes the links of instances that were killed.
func (s *shares) endLinks() {
	for i, in := range s.instances {
		var st *shareState
		if in.up {
			st = in.shares()
		}
		if last := s.states[i]; last != nil && last != st {
			for _, l := range last.links {
				in.closeLink(l)
			}
		}
		s.states[i] = st
	}
}

// report sends an instance's usage to its peers if it has changed.
func (s *shares) report(in *fleetInstance) {
	if !in.up {
		return
	}
	st := in.shares()
	changed := false
	if in.connected() {
		s.selectPeers(in, st)
		changed = st.updateReport()
	}
	for _, l := range st.links {
		s.sendView(in, l, changed)
	}
}

// updateReport reports whether peers have to be told of changes.
func (st *shareState) updateReport() bool {
	n := st.tracker.Changes()
	if n == st.changes {
		return false
	}
	st.changes = n
	own := st.tracker.Own()
	if !fairshare.Differs(own, st.reported) {
		return false
	}
	st.reported = own
	return true
}

// sendView sends what an instance reports on a link that is open. A lost view is a lost link,
// which the two ends open again.
func (s *shares) sendView(in *fleetInstance, l *shareLink, changed bool) {
	peer := s.instances[l.to]
	if !in.connected() || !peer.connected() {
		if l.whole && s.now-l.okAt >= viewLossTime {
			s.reopen(in, l)
		}
		return
	}
	l.okAt = s.now
	switch {
	case l.receive != peer.shares():
		l.receive = peer.shares()
		s.reopen(in, l)
		return
	case s.now < l.openAt, l.whole && !changed:
		return
	case s.rng.IntN(viewLost) == 0:
		s.reopen(in, l)
		return
	}
	l.whole = true
	copies := 1
	if s.rng.IntN(viewDuplicate) == 0 {
		copies = 2
	}
	for range copies {
		l.lastAt = max(l.lastAt, stepOf(s.now)+1, stepOf(s.now+min(s.lag(), maxReportLag)))
		s.views[l.lastAt] = append(s.views[l.lastAt], shareView{from: in, link: l, opened: l.opened, usage: in.shares().reported})
	}
}

// reopen closes a link, and opens it again after redialTime.
func (s *shares) reopen(in *fleetInstance, l *shareLink) {
	in.closeLink(l)
	l.closed, l.whole, l.openAt = false, false, s.now+redialTime
	l.opened++
}

// closeLink lets the receiver of an instance's views forget it.
func (in *fleetInstance) closeLink(l *shareLink) {
	l.closed = true
	l.receive.tracker.ForgetPeer(in.name)
}

// deliverViews applies the reports that arrive.
func (s *shares) deliverViews() {
	step := stepOf(s.now)
	for _, v := range s.views[step] {
		if peer := s.instances[v.link.to]; peer.connected() && peer.shares() == v.link.receive && !v.link.closed && v.opened == v.link.opened {
			v.link.receive.tracker.SetPeer(v.from.name, v.usage)
		}
	}
	delete(s.views, step)
}

// selectPeers opens and closes links as the list of instances changes.
func (s *shares) selectPeers(in *fleetInstance, st *shareState) {
	if s.now-st.linkedAt < linkInterval || in.list.Version == st.version {
		return
	}
	st.linkedAt, st.version = s.now, in.list.Version
	selected := map[int]bool{}
	for _, j := range closest(in) {
		selected[j] = true
	}
	st.links = slices.DeleteFunc(st.links, func(l *shareLink) bool {
		if selected[l.to] {
			delete(selected, l.to)
			return false
		}
		in.closeLink(l)
		return true
	})
	for _, j := range slices.Sorted(maps.Keys(selected)) {
		if s.instances[j].up {
			st.links = append(st.links, &shareLink{to: j, receive: s.instances[j].shares(), openAt: s.now, okAt: s.now})
		} else {
			st.version = 0 // tried again
		}
	}
}

// closest returns the sharePeers instances that an instance selects by rendezvous hashing.
func closest(in *fleetInstance) []int {
	type ranked struct {
		j    int
		rank uint64
	}
	var all []ranked
	key := route.Key(in.name)
	for j, known := range in.knows {
		if known {
			all = append(all, ranked{j, route.Rendezvous(key, instanceName(j))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	var out []int
	for _, r := range all[:min(len(all), sharePeers)] {
		out = append(out, r.j)
	}
	return out
}
