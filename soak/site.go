package soak

import (
	"fmt"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	partCallers = "callers"
	partStore   = "store"
	partEntry   = "entry"
	partEngine  = "engine"
	partService = "service"

	host         = "soak.example"
	pathStream   = "/stream/"
	pathSafe     = "/look/"
	pathUnsafe   = "/pay/"
	serviceLLM   = "llm"
	serviceApp   = "app"
	model        = "m"
	orgFixed     = "taller"
	orgChanging  = "molino"
	keyFixed     = "key-fixed"
	routesKept   = 3 // routes of so many versions stand
	keysKept     = 2 // keys of so many versions are good
	streamLimit  = 8 * time.Second
	plainLimit   = 3 * time.Second
	streamEvents = 60
	streamPrompt = 800

	// Bounds that the instances are started with.
	configTime = 2 * time.Second // a new version is in force
	revokeTime = 5 * time.Second // a removed key is refused
	graceTime  = 6 * time.Second // from SIGTERM to the end
	memoryMB   = 200
)

// zones are the parts' availability zones, in turn.
var zones = []string{"norte", "sur", "este"}

func zoneOf(n int) string { return zones[n%len(zones)] }

// entryHost is the loopback address at which everything is reached by the nth
// instance: its links listen there. Instances of a zone have the same one, since
// they tell each other what they have read of the store: a way from one of them to
// a target, or to another instance, is that of all, and bears the first one's name.
func entryHost(n int) string { return fmt.Sprintf("127.0.%d.1", n%len(zones)+1) }

// firsts are the first instances of all zones, whose ways are those of all.
func (p *play) firsts() []*entry { return p.entries[:min(len(p.entries), len(zones))] }

const (
	plainHost   = "127.0.0.1"   // where the parts themselves listen
	callersHost = "127.0.200.1" // where callers reach the instances
	targetsHost = "127.0.201.1" // where targets reach the store
)

// budgets of repeats are the operator's usual ones.
const (
	budgetRatio = 0.8
	budgetExtra = 150
	budgetSpan  = 10 * time.Second
)

// settings are an instance's. The instance reaches the store by its own relay,
// and the store tells it of targets and other instances by addresses of its
// relays.
func (e *entry) settings(n int) platform.Boot {
	return platform.NewBoot(platform.BootParams{Node: e.name, Zone: zoneOf(n), Front: e.front, Ready: e.ready, Internal: e.internal,
		Store: entryHost(n) + port(e.store), Memory: memoryMB << 20,
		Bounds: platform.Bounds{Config: configTime, Revoke: revokeTime, Grace: graceTime, BudgetRatio: budgetRatio, BudgetSpan: budgetSpan, BudgetExtra: budgetExtra}})
}

// desiredState is the operator's state of a version: the fixed routes, one for
// each of the last versions, and a key of each.
func desiredState(version int) ([]byte, error) {
	route := func(name, prefix string, kind ragworthitch.CallKind, service string, limit time.Duration) ragworthitch.RouteParams {
		return ragworthitch.RouteParams{Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: limit, Target: limit / 4, MaxTargets: 4, Priority: 1,
			Shares: []ragworthitch.Share{{Service: service, Weight: 1}}}
	}
	stream := route("streams", pathStream, ragworthitch.CallStream, serviceLLM, streamLimit)
	stream.Resumable, stream.Sticky, stream.GapTarget = true, true, 700*time.Millisecond
	routes := []ragworthitch.Route{ragworthitch.NewRoute(stream),
		ragworthitch.NewRoute(route("looks", pathSafe, ragworthitch.CallSafe, serviceApp, plainLimit)),
		ragworthitch.NewRoute(route("payments", pathUnsafe, ragworthitch.CallUnsafe, serviceApp, plainLimit))}
	for v := max(1, version-routesKept+1); v <= version; v++ {
		routes = append(routes, ragworthitch.NewRoute(route(fmt.Sprint("version-", v), routePath(v), ragworthitch.CallSafe, serviceApp, plainLimit)))
	}
	var keys []string
	for v := max(1, version-keysKept+1); v <= version; v++ {
		keys = append(keys, keyOf(v))
	}
	d, err := ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: int64(version), Routes: routes,
		Services: []ragworthitch.Service{
			ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceLLM, HealthPath: pathHealth, MaxConns: 400,
				Engine: &ragworthitch.Engine{Slots: targetSlots, KVTokens: 55000, Moves: true, Backups: true, Stride: 1, CopyExpiry: copyKept}}),
			ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceApp, HealthPath: pathHealth, MaxConns: 400})},
		Limits: ragworthitch.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second},
		Orgs: []ragworthitch.Organisation{ragworthitch.NewOrganisation(orgFixed, []string{keyFixed}, 1),
			ragworthitch.NewOrganisation(orgChanging, keys, 1)}})
	if err != nil {
		return nil, err
	}
	return platform.EncodeDesired(d)
}

func routePath(version int) string { return fmt.Sprintf("/version-%d/", version) }
func keyOf(version int) string     { return fmt.Sprint("key-of-", version) }
