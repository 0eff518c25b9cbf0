// Package settings reads and checks the YAML settings of a deployment: its
// zones, models, organisations, the platform's address, the entry instances
// and the targets with the agent beside each.
//
// All processes of a deployment read the same file and look up their own
// addresses and zone by name. The whole file is validated first: an unknown
// key, a missing address, a zone not in the deployment or a negative timeout
// is an error that names the key and its line.
//
// References of the form ${NAME} are replaced by environment variables before
// parsing, so that tests can assign free ports.
package settings

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/ragworthitch/ragworthitch/downstream"
)

// Target kinds.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// How an engine treats a call with an old fencing number.
const (
	FencingRefuse = "refuse" // rejects the call
	FencingIgnore = "ignore" // runs the call
)

// The connections of clients may take clientConnShare of a process's descriptors, and
// minClientConns at least.
const (
	clientConnShare = 0.5
	minClientConns  = 8
)

var (
	// ErrInvalid is wrapped by all errors about the content of a file.
	ErrInvalid = errors.New("invalid settings")
	// ErrNotFound is returned when a name is not in the deployment.
	ErrNotFound = errors.New("not in the deployment")

	//go:embed defaults/*.yaml
	defaults embed.FS

	envRef = regexp.MustCompile(`\$\{([A-Za-z_][A-Za-z0-9_]*)\}`)
)

type (
	// File is the settings file of a deployment.
	File struct {
		Deployment string   `yaml:"deployment"`
		Zones      []string `yaml:"zones"`
		Platform   Platform `yaml:"platform"`
		Timeouts   Timeouts `yaml:"timeouts"`
		Engine     Engine   `yaml:"engine"`
		Models     []Model  `yaml:"models"`
		Orgs       []Org    `yaml:"orgs"`
		Entries    []Entry  `yaml:"entries"`
		Targets    []Target `yaml:"targets"`
		Log        Log      `yaml:"log"`
		Limits     Limits   `yaml:"limits"`

		// FaultInjection serves POST /debug/fault, with which whoever reaches a process can
		// end or disconnect it.
		FaultInjection bool `yaml:"faultInjection"`
	}

	// Platform is the address and zone of the table service and object store.
	Platform struct {
		Listen string `yaml:"listen"`
		Zone   string `yaml:"zone"`
	}

	// Timeouts are in milliseconds, except RetryAfterS in seconds.
	Timeouts struct {
		StallMs     int `yaml:"stallMs"`     // time without a token after which an attempt is abandoned
		HeartbeatMs int `yaml:"heartbeatMs"` // interval at which an agent renews its lease
		LeaseMs     int `yaml:"leaseMs"`     // time after which a lease expires unless renewed
		ShortMs     int `yaml:"shortMs"`     // deadline of a short call
		RetryAfterS int `yaml:"retryAfterS"` // retry delay in error responses
		RefreshMs   int `yaml:"refreshMs"`   // interval at which an entry instance rereads the targets
		DrainMs     int `yaml:"drainMs"`     // time after which a draining agent moves its running calls to other targets
	}

	// Engine configures the emulated engines.
	Engine struct {
		StepMs      int `yaml:"stepMs"`      // duration of a decode step of the batch
		Batch       int `yaml:"batch"`       // sequences that are decoded together
		CacheBlocks int `yaml:"cacheBlocks"` // size of the prefix cache, in prompts
		LoadLagMs   int `yaml:"loadLagMs"`   // age of the load reports
	}

	// Model is a model with the versions that are served.
	Model struct {
		Name     string   `yaml:"name"`
		Versions []string `yaml:"versions"`
	}

	// Org is an organisation and the models it may use.
	Org struct {
		Name   string   `yaml:"name"`
		Models []string `yaml:"models"`
		Large  bool     `yaml:"large"`
	}

	// Entry is an entry instance.
	Entry struct {
		Name   string `yaml:"name"`
		Zone   string `yaml:"zone"`
		Listen string `yaml:"listen"`
	}

	// Target is a model engine or a plain service, with the address of its agent.
	Target struct {
		Name    string   `yaml:"name"`
		Kind    string   `yaml:"kind"`
		Zone    string   `yaml:"zone"`
		Listen  string   `yaml:"listen"`
		Agent   string   `yaml:"agent"`
		Models  []string `yaml:"models"`
		Fencing string   `yaml:"fencing"`
	}

	// Limits are what each process of the deployment may hold.
	Limits struct {
		MemoryMB    int `yaml:"memoryMB"`    // memory, in MiB
		Descriptors int `yaml:"descriptors"` // open file descriptors
	}

	// Log configures the log output.
	Log struct {
		Level string `yaml:"level"`
	}
)

// Default returns the embedded settings of a named deployment ("rimac" or
// "tahrir").
func Default(name string) (*File, error) {
	b, err := defaults.ReadFile("defaults/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("settings: %w: no embedded deployment %q (have %s)", ErrNotFound, name, strings.Join(Names(), ", "))
	}
	return Parse(b)
}

// DefaultBytes returns the embedded YAML of a named deployment.
func DefaultBytes(name string) ([]byte, error) {
	return defaults.ReadFile("defaults/" + name + ".yaml")
}

// Names lists the embedded deployments.
func Names() []string {
	entries, _ := defaults.ReadDir("defaults")
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return names
}

// Load reads settings from a file path, or from an embedded deployment when
// path has the form "default:NAME".
func Load(path string) (*File, error) {
	if name, ok := strings.CutPrefix(path, "default:"); ok {
		return Default(name)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse decodes and checks a YAML settings file.
func Parse(b []byte) (*File, error) {
	b, err := expandEnv(b)
	if err != nil {
		return nil, err
	}
	var f File
	if err := unmarshal(b, &f); err != nil {
		return nil, err
	}
	f.fillDefaults()
	if err := f.check(b); err != nil {
		return nil, err
	}
	return &f, nil
}

// unmarshal decodes strictly. It turns panics of the YAML library on malformed
// input into errors.
func unmarshal(b []byte, f *File) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("settings: %w: invalid YAML: %v", ErrInvalid, r)
		}
	}()
	if err := yaml.UnmarshalWithOptions(b, f, yaml.Strict()); err != nil {
		return fmt.Errorf("settings: %w: %s", ErrInvalid, yaml.FormatError(err, false, true))
	}
	return nil
}

// expandEnv replaces references of the form ${NAME} by environment variables.
func expandEnv(b []byte) ([]byte, error) {
	var missing []string
	out := envRef.ReplaceAllFunc(b, func(m []byte) []byte {
		name := string(m[2 : len(m)-1])
		v, ok := os.LookupEnv(name)
		if !ok {
			missing = append(missing, name)
		}
		return []byte(v)
	})
	if len(missing) > 0 {
		return nil, fmt.Errorf("settings: %w: environment variable %s is not set", ErrInvalid, strings.Join(missing, ", "))
	}
	return out, nil
}

func (f *File) fillDefaults() {
	t := &f.Timeouts
	setDefault(&t.StallMs, 1000)
	setDefault(&t.HeartbeatMs, 250)
	setDefault(&t.LeaseMs, 1500)
	setDefault(&t.ShortMs, 3000)
	setDefault(&t.RetryAfterS, 2)
	setDefault(&t.RefreshMs, 250)
	setDefault(&t.DrainMs, 10000)
	e := &f.Engine
	setDefault(&e.StepMs, 10)
	setDefault(&e.Batch, 32)
	setDefault(&e.CacheBlocks, 256)
	setDefault(&e.LoadLagMs, 500)
	setDefault(&f.Limits.MemoryMB, 256)
	setDefault(&f.Limits.Descriptors, 4096)
	for i := range f.Targets {
		if f.Targets[i].Kind == KindEngine && f.Targets[i].Fencing == "" {
			f.Targets[i].Fencing = FencingRefuse
		}
	}
}

// setDefault replaces zero only; check rejects negative values.
func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// Entry returns the entry instance of a name.
func (f *File) Entry(name string) (Entry, error) {
	for _, e := range f.Entries {
		if e.Name == name {
			return e, nil
		}
	}
	return Entry{}, fmt.Errorf("settings: entry %q: %w", name, ErrNotFound)
}

// Target returns the target of a name.
func (f *File) Target(name string) (Target, error) {
	for _, t := range f.Targets {
		if t.Name == name {
			return t, nil
		}
	}
	return Target{}, fmt.Errorf("settings: target %q: %w", name, ErrNotFound)
}

// OrgAllows reports whether org may use model, or, if model is empty, whether
// org exists.
func (f *File) OrgAllows(org, model string) bool {
	for _, o := range f.Orgs {
		if o.Name == org {
			return model == "" || slices.Contains(o.Models, model)
		}
	}
	return false
}

// HasModel reports whether the deployment has a model.
func (f *File) HasModel(model string) bool {
	return slices.ContainsFunc(f.Models, func(m Model) bool { return m.Name == model })
}

// ClientMemory returns how many bytes clients may make a process hold.
func (l Limits) ClientMemory() int64 { return int64(downstream.MemoryShare * float64(l.bytes())) }

// HeapBytes returns the soft limit on the memory that the Go runtime uses, in bytes.
func (l Limits) HeapBytes() int64 { return int64(downstream.HeapShare * float64(l.bytes())) }

func (l Limits) bytes() int64 { return int64(l.MemoryMB) << 20 }

// ClientConns returns how many connections the clients of a process may have open.
func (l Limits) ClientConns() int {
	return max(minClientConns, int(clientConnShare*float64(l.Descriptors)))
}

// Ms converts milliseconds to a duration.
func Ms(v int) time.Duration { return time.Duration(v) * time.Millisecond }
