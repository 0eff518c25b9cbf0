package desired

import (
	"cmp"
	"slices"
	"strings"

	"github.com/ragworthitch/ragworthitch"
)

// table is a desired state with indexes for look-ups.
type table struct {
	state        *ragworthitch.DesiredState
	routesByHost map[string][]*ragworthitch.Route // longest prefix first
	orgsByKey    map[string]*ragworthitch.Organisation
	// priorities holds those that streams to each service may have, the most urgent first.
	priorities map[string][]ragworthitch.Priority
}

func newTable(d *ragworthitch.DesiredState) *table {
	t := &table{state: d, routesByHost: map[string][]*ragworthitch.Route{},
		orgsByKey: map[string]*ragworthitch.Organisation{}, priorities: streamPriorities(d)}
	routes := d.Routes()
	for i := range routes {
		r := &routes[i]
		t.routesByHost[r.Host()] = append(t.routesByHost[r.Host()], r)
	}
	for _, rs := range t.routesByHost {
		slices.SortStableFunc(rs, func(a, b *ragworthitch.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	orgs := d.Organisations()
	for i := range orgs {
		for _, k := range orgs[i].Keys() {
			t.orgsByKey[k] = &orgs[i]
		}
	}
	delete(t.orgsByKey, "") // stands for a call without a key
	return t
}

// streamPriorities returns the priorities that streams to each service may have, the most
// urgent first.
func streamPriorities(d *ragworthitch.DesiredState) map[string][]ragworthitch.Priority {
	out := map[string][]ragworthitch.Priority{}
	add := func(service string, p ragworthitch.Priority) {
		if !slices.Contains(out[service], p) {
			out[service] = append(out[service], p)
		}
	}
	for _, r := range d.Routes() {
		if r.Kind() != ragworthitch.CallStream {
			continue
		}
		for _, share := range r.Shares() {
			if r.Public() || !d.KeysRequired() {
				add(share.Service, priorityOf(&r, nil))
				continue
			}
			for _, org := range d.Organisations() {
				add(share.Service, priorityOf(&r, &org))
			}
		}
	}
	for _, priorities := range out {
		slices.SortFunc(priorities, ragworthitch.Priority.Compare)
	}
	return out
}

// isDifferentiated reports whether routes for streams to the service differ in priority.
func (t *table) isDifferentiated(service string) bool {
	priorities := t.priorities[service]
	return slices.ContainsFunc(priorities, func(p ragworthitch.Priority) bool { return p.Route != priorities[0].Route })
}

// priorityOf returns the priority of an organisation's calls on a route; org is nil for
// calls without a key.
func priorityOf(r *ragworthitch.Route, org *ragworthitch.Organisation) ragworthitch.Priority {
	p := ragworthitch.Priority{Org: r.Priority(), Route: r.Priority()}
	if org != nil && org.Priority() >= 0 {
		p.Org = org.Priority()
	}
	return p
}

// route returns the route of the host with the longest prefix of path, or nil.
func (t *table) route(host, path string) *ragworthitch.Route {
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r
		}
	}
	return nil
}
