package soak

import (
	"cmp"
	"fmt"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	nodeCallers = "callers"
	nodeStore   = "store"
	nodeEntry   = "entry"
	nodeEngine  = "engine"
	nodeService = "service"

	host          = "soak.example"
	pathStream    = "/stream/"
	pathSafe      = "/look/"
	pathUnsafe    = "/pay/"
	serviceLLM    = "llm"
	serviceApp    = "app"
	model         = "m"
	orgFixed      = "taller"
	orgRotating   = "molino"
	keyFixed      = "key-fixed"
	activeRoutes  = 3 // number of latest versions whose routes exist
	activeKeys    = 2 // number of latest versions whose keys are valid
	streamTimeout = 8 * time.Second
	plainTimeout  = 3 * time.Second
	streamEvents  = 60
	promptTokens  = 800

	// Bounds in the instances' settings.
	configDelay   = 2 * time.Second // until a new version is in force
	revokeDelay   = 5 * time.Second // until a removed key is rejected
	gracePeriod   = 6 * time.Second // from SIGTERM to the exit
	memoryLimitMB = 200
)

// zones are assigned to the nodes in turn.
var zones = []string{"norte", "sur", "este"}

func (s Size) zoneOf(n int) string { return zones[n%s.zoneCount()] }

func (s Size) zoneCount() int { return cmp.Or(s.Zones, len(zones)) }

// entryLinkHost returns the loopback address on which the outgoing links of the nth
// instance listen. Instances of a zone share these links, because they exchange rows of
// the store, which contain the addresses of links. A shared link has the name of the
// zone's first instance.
func (s Size) entryLinkHost(n int) string { return fmt.Sprintf("127.0.%d.1", n%s.zoneCount()+1) }

// zoneFirsts returns the first instance of each zone, whose outgoing links the zone
// shares.
func (x *execution) zoneFirsts() []*entry { return x.entries[:min(len(x.entries), x.size.zoneCount())] }

const (
	processHost    = "127.0.0.1"   // where the processes listen
	callerLinkHost = "127.0.200.1" // where callers reach the instances
	targetLinkHost = "127.0.201.1" // where targets reach the store
)

const (
	retryBudgetWindow  = 10 * time.Second
	defaultBudgetRatio = 0.8
	defaultBudgetExtra = 150
	defaultMaxAttempts = 4
	canaryShare        = 0.1
)

// Deployment is a part of a plan. What it leaves out is as Size says, or a default.
type Deployment struct {
	Entries     int      `yaml:"entries,omitempty"`
	Engines     int      `yaml:"engines,omitempty"`
	Services    int      `yaml:"services,omitempty"`
	Callers     int      `yaml:"callers,omitempty"`
	Zones       int      `yaml:"zones,omitempty"`
	MaxAttempts *int     `yaml:"maxAttempts,omitempty"` // of all routes
	BudgetRatio *float64 `yaml:"budgetRatio,omitempty"` // retry budget in the instances' settings
	BudgetExtra *float64 `yaml:"budgetExtra,omitempty"`
	// FirstEventMs is the time of an engine to the head of an answer; 0: firstEventTime.
	FirstEventMs int `yaml:"firstEventMs,omitempty"`
}

func (d Deployment) maxAttempts() int     { return valueOr(d.MaxAttempts, defaultMaxAttempts) }
func (d Deployment) budgetRatio() float64 { return valueOr(d.BudgetRatio, defaultBudgetRatio) }
func (d Deployment) budgetExtra() float64 { return valueOr(d.BudgetExtra, defaultBudgetExtra) }

func (d Deployment) firstEvent() time.Duration {
	return cmp.Or(time.Duration(d.FirstEventMs)*time.Millisecond, firstEventTime)
}

func valueOr[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

// settingsOf returns the settings of the nth instance. The instance reaches the store through its
// link, and gets rows from it with addresses of links in place of those of targets and
// peers.
func (x *execution) settingsOf(e *entry, n int) platform.Settings {
	return platform.NewSettings(platform.SettingsParams{Node: e.name, Zone: x.size.zoneOf(n), CallerAddr: e.callerAddr, ReadinessAddr: e.readyAddr, Internal: e.internalAddr,
		Store: x.size.entryLinkHost(n) + portSuffix(e.storeAddr), Memory: memoryLimitMB << 20, Descriptors: maxOpenFiles,
		Bounds: platform.Bounds{Config: configDelay, Drain: drainPeriod, CanaryShare: canaryShare, Revoke: revokeDelay, Grace: gracePeriod, BudgetRatio: x.plan.Deployment.budgetRatio(), BudgetWindow: retryBudgetWindow, BudgetExtra: x.plan.Deployment.budgetExtra()}})
}

// desiredState returns a version of the desired state: the fixed routes, and the routes
// and keys of the latest versions. Without keys it has a list of organisations with none.
func desiredState(version, maxAttempts int, withKeys bool) ([]byte, error) {
	route := func(name, prefix string, kind ragworthitch.CallKind, service string, timeout time.Duration) ragworthitch.RouteParams {
		return ragworthitch.RouteParams{Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: timeout, Objective: timeout / 4, MaxAttempts: maxAttempts, Priority: 1,
			Shares: []ragworthitch.Share{{Service: service, Weight: 1}}}
	}
	stream := route("streams", pathStream, ragworthitch.CallStream, serviceLLM, streamTimeout)
	stream.Resumable, stream.Sticky, stream.IntervalObjective = true, true, 700*time.Millisecond
	routes := []ragworthitch.Route{ragworthitch.NewRoute(stream),
		ragworthitch.NewRoute(route("looks", pathSafe, ragworthitch.CallSafe, serviceApp, plainTimeout)),
		ragworthitch.NewRoute(route("payments", pathUnsafe, ragworthitch.CallUnsafe, serviceApp, plainTimeout))}
	for v := max(1, version-activeRoutes+1); v <= version; v++ {
		routes = append(routes, ragworthitch.NewRoute(route(fmt.Sprint("version-", v), routePath(v), ragworthitch.CallSafe, serviceApp, plainTimeout)))
	}
	var keys []string
	for v := max(1, version-activeKeys+1); v <= version; v++ {
		keys = append(keys, keyOf(v))
	}
	var orgs []ragworthitch.Organisation
	if withKeys {
		orgs = append(orgs, ragworthitch.NewOrganisation(orgFixed, []string{keyFixed}, 1), ragworthitch.NewOrganisation(orgRotating, keys, 1))
	}
	d, err := ragworthitch.NewDesiredState(ragworthitch.DesiredParams{Version: int64(version), Routes: routes, Orgs: orgs, KeysRequired: true,
		Services: []ragworthitch.Service{
			ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceLLM, HealthPath: platform.HealthPath, MaxConns: 400,
				Engine: &ragworthitch.Engine{Slots: targetSlots, KVTokens: 55000, CanMigrate: true, CanReplicate: true, TokensPerEvent: 1, ReplicaExpiry: replicaExpiry}}),
			ragworthitch.NewService(ragworthitch.ServiceParams{Name: serviceApp, HealthPath: platform.HealthPath, MaxConns: 400})},
		Limits: ragworthitch.Limits{HeaderBytes: headLimit, BodyBytes: bodyLimit, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}})
	if err != nil {
		return nil, err
	}
	return platform.EncodeDesired(d)
}

func routePath(version int) string { return fmt.Sprintf("/version-%d/", version) }
func keyOf(version int) string     { return fmt.Sprint("key-of-", version) }
