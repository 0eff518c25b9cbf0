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
	keysRequired bool // calls need a key unless their route is public
}

func newTable(d *ragworthitch.DesiredState) *table {
	t := &table{state: d, routesByHost: map[string][]*ragworthitch.Route{},
		orgsByKey: map[string]*ragworthitch.Organisation{}, keysRequired: len(d.Organisations()) > 0}
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
	return t
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
