// Package settings reads and checks the YAML settings of a deployment: its
// zones, models, organisations, the platform's address, the entry instances
// and the targets with the agent beside each.
//
// Every process of a deployment reads the same file and finds its own
// addresses and zone in it by name. A file is checked whole before anything
// starts: an unknown key, a missing address, a zone not in the deployment or
// a negative timeout is refused with an error that names the key and line.
//
// Values of the form ${NAME} are taken from the environment before parsing,
// so a test can hand out free ports.
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
)

// Target kinds.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Fencing behaviours of an engine.
const (
	FencingRefuse = "refuse"
	FencingIgnore = "ignore"
)

var (
	// ErrInvalid is wrapped by every error about the content of a file.
	ErrInvalid = errors.New("invalid settings")
	// ErrNotFound is returned when a name is not in the deployment.
	ErrNotFound = errors.New("not in the deployment")

	//go:embed defaults/*.yaml
	defaults embed.FS

	envRef = regexp.MustCompile(`\$\{([A-Za-z_][A-Za-z0-9_]*)\}`)
)

type (
	// File is a whole deployment as written in YAML.
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
	}

	// Platform is where the table service and object store listen.
	Platform struct {
		Listen string `yaml:"listen"`
		Zone   string `yaml:"zone"`
	}

	// Timeouts are in milliseconds, except RetryAfterS in seconds.
	Timeouts struct {
		StallMs     int `yaml:"stallMs"`
		HeartbeatMs int `yaml:"heartbeatMs"`
		LeaseMs     int `yaml:"leaseMs"`
		ShortMs     int `yaml:"shortMs"`
		RetryAfterS int `yaml:"retryAfterS"`
		RefreshMs   int `yaml:"refreshMs"`
		DrainMs     int `yaml:"drainMs"`
	}

	// Engine sets how the stand-in engines behave.
	Engine struct {
		StepMs      int `yaml:"stepMs"`
		Batch       int `yaml:"batch"`
		CacheBlocks int `yaml:"cacheBlocks"`
		LoadLagMs   int `yaml:"loadLagMs"`
	}

	// Model is a model name and the versions served.
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

	// Entry is one entry instance.
	Entry struct {
		Name   string `yaml:"name"`
		Zone   string `yaml:"zone"`
		Listen string `yaml:"listen"`
	}

	// Target is a model engine or plain service with its agent.
	Target struct {
		Name    string   `yaml:"name"`
		Kind    string   `yaml:"kind"`
		Zone    string   `yaml:"zone"`
		Listen  string   `yaml:"listen"`
		Agent   string   `yaml:"agent"`
		Models  []string `yaml:"models"`
		Fencing string   `yaml:"fencing"`
	}

	// Log sets the log output.
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
	ents, _ := defaults.ReadDir("defaults")
	var n []string
	for _, e := range ents {
		n = append(n, strings.TrimSuffix(e.Name(), ".yaml"))
	}
	return n
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

// unmarshal decodes strictly. The YAML library panics on some malformed
// input (found by FuzzParse: "zones: !00 " after a broken key); that is
// bad input, and gets an error like any other.
func unmarshal(b []byte, f *File) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("settings: %w: the YAML could not be parsed: %v", ErrInvalid, r)
		}
	}()
	if err := yaml.UnmarshalWithOptions(b, f, yaml.Strict()); err != nil {
		return fmt.Errorf("settings: %w: %s", ErrInvalid, yaml.FormatError(err, false, true))
	}
	return nil
}

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
	for i := range f.Targets {
		if f.Targets[i].Kind == KindEngine && f.Targets[i].Fencing == "" {
			f.Targets[i].Fencing = FencingRefuse
		}
	}
}

// setDefault sets an unset (zero) value; negative values are left for check
// to refuse.
func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// Entry finds an entry by name.
func (f *File) Entry(name string) (Entry, error) {
	for _, e := range f.Entries {
		if e.Name == name {
			return e, nil
		}
	}
	return Entry{}, fmt.Errorf("settings: entry %q: %w", name, ErrNotFound)
}

// Target finds a target by name.
func (f *File) Target(name string) (Target, error) {
	for _, t := range f.Targets {
		if t.Name == name {
			return t, nil
		}
	}
	return Target{}, fmt.Errorf("settings: target %q: %w", name, ErrNotFound)
}

// OrgAllows reports whether org may use model; an empty model asks only
// whether the organisation exists.
func (f *File) OrgAllows(org, model string) bool {
	for _, o := range f.Orgs {
		if o.Name == org {
			return model == "" || slices.Contains(o.Models, model)
		}
	}
	return false
}

// HasModel reports whether a model is in the deployment.
func (f *File) HasModel(model string) bool {
	return slices.ContainsFunc(f.Models, func(m Model) bool { return m.Name == model })
}

// Ms turns a millisecond setting into a duration.
func Ms(v int) time.Duration { return time.Duration(v) * time.Millisecond }
