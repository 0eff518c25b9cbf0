package desired

import (
	"cmp"
	"slices"
	"strings"

	"github.com/ragworthitch/ragworthitch"
)

// table is a desired state laid out for look-ups.
type table struct {
	state *ragworthitch.DesiredState
	hosts map[string][]*ragworthitch.Route // longest prefix first
	keys  map[string]*ragworthitch.Organisation
	keyed bool // calls need a key unless their route is public
}

func compile(d *ragworthitch.DesiredState) *table {
	t := &table{state: d, hosts: map[string][]*ragworthitch.Route{},
		keys: map[string]*ragworthitch.Organisation{}, keyed: len(d.Organisations()) > 0}
	routes := d.Routes()
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host()] = append(t.hosts[r.Host()], r)
	}
	for _, rs := range t.hosts {
		slices.SortStableFunc(rs, func(a, b *ragworthitch.Route) int {
			return cmp.Compare(len(b.Prefix()), len(a.Prefix()))
		})
	}
	orgs := d.Organisations()
	for i := range orgs {
		for _, k := range orgs[i].Keys() {
			t.keys[k] = &orgs[i]
		}
	}
	return t
}

// route finds the longest prefix of the host's routes that begins path.
func (t *table) route(host, path string) *ragworthitch.Route {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r
		}
	}
	return nil
}
