package settings

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
)

// check validates values and the references between parts of the file. Errors
// name the YAML path and line.
func (f *File) check(src []byte) error {
	c := validator{src: src}
	if f.Deployment == "" {
		c.fail("$.deployment", "missing deployment name")
	}
	if len(f.Zones) == 0 {
		c.fail("$.zones", "at least one zone is needed")
	}
	c.checkAddr("$.platform.listen", f.Platform.Listen)
	c.checkZone("$.platform.zone", f.Platform.Zone, f.Zones)
	for k, v := range map[string]int{
		"stallMs": f.Timeouts.StallMs, "heartbeatMs": f.Timeouts.HeartbeatMs,
		"leaseMs": f.Timeouts.LeaseMs, "shortMs": f.Timeouts.ShortMs,
		"retryAfterS": f.Timeouts.RetryAfterS, "refreshMs": f.Timeouts.RefreshMs,
		"drainMs": f.Timeouts.DrainMs,
	} {
		if v < 0 {
			c.fail("$.timeouts."+k, fmt.Sprintf("timeout must not be negative, have %d", v))
		}
	}
	if f.Timeouts.LeaseMs <= f.Timeouts.HeartbeatMs {
		c.fail("$.timeouts.leaseMs", "lease must be longer than the heartbeat")
	}
	for k, v := range map[string]int{"stepMs": f.Engine.StepMs, "batch": f.Engine.Batch, "cacheBlocks": f.Engine.CacheBlocks, "loadLagMs": f.Engine.LoadLagMs} {
		if v < 0 {
			c.fail("$.engine."+k, fmt.Sprintf("must not be negative, have %d", v))
		}
	}
	for k, v := range map[string]int{"memoryMB": f.Limits.MemoryMB, "descriptors": f.Limits.Descriptors} {
		if v < 0 {
			c.fail("$.limits."+k, fmt.Sprintf("must not be negative, have %d", v))
		}
	}
	models := map[string]bool{}
	for i, m := range f.Models {
		p := fmt.Sprintf("$.models[%d]", i)
		if m.Name == "" {
			c.fail(p+".name", "missing model name")
		}
		if models[m.Name] {
			c.fail(p+".name", fmt.Sprintf("model %q named twice", m.Name))
		}
		models[m.Name] = true
	}
	for i, o := range f.Orgs {
		p := fmt.Sprintf("$.orgs[%d]", i)
		if o.Name == "" {
			c.fail(p+".name", "missing organisation name")
		}
		for j, m := range o.Models {
			if !models[m] {
				c.fail(fmt.Sprintf("%s.models[%d]", p, j), fmt.Sprintf("model %q is not in models", m))
			}
		}
	}
	names := map[string]bool{}
	addrs := map[string]string{f.Platform.Listen: "$.platform.listen"}
	checkUnique := func(p, name, addr string) {
		if names[name] {
			c.fail(p+".name", fmt.Sprintf("name %q used twice", name))
		}
		names[name] = true
		if prev, ok := addrs[addr]; ok && addr != "" {
			c.fail(p, fmt.Sprintf("address %s already used at %s", addr, prev))
		}
		addrs[addr] = p
	}
	if len(f.Entries) == 0 {
		c.fail("$.entries", "at least one entry is needed")
	}
	for i, e := range f.Entries {
		p := fmt.Sprintf("$.entries[%d]", i)
		if e.Name == "" {
			c.fail(p+".name", "missing entry name")
		}
		c.checkZone(p+".zone", e.Zone, f.Zones)
		c.checkAddr(p+".listen", e.Listen)
		checkUnique(p, e.Name, e.Listen)
	}
	for i, t := range f.Targets {
		p := fmt.Sprintf("$.targets[%d]", i)
		if t.Name == "" {
			c.fail(p+".name", "missing target name")
		}
		if t.Kind != KindEngine && t.Kind != KindService {
			c.fail(p+".kind", fmt.Sprintf("kind must be %s or %s, have %q", KindEngine, KindService, t.Kind))
		}
		c.checkZone(p+".zone", t.Zone, f.Zones)
		c.checkAddr(p+".listen", t.Listen)
		c.checkAddr(p+".agent", t.Agent)
		checkUnique(p, t.Name, t.Listen)
		if prev, ok := addrs[t.Agent]; ok && t.Agent != "" {
			c.fail(p+".agent", fmt.Sprintf("address %s already used at %s", t.Agent, prev))
		}
		addrs[t.Agent] = p + ".agent"
		if t.Kind == KindEngine {
			if len(t.Models) == 0 {
				c.fail(p+".models", "an engine needs at least one model")
			}
			if t.Fencing != FencingRefuse && t.Fencing != FencingIgnore {
				c.fail(p+".fencing", fmt.Sprintf("fencing must be %s or %s, have %q", FencingRefuse, FencingIgnore, t.Fencing))
			}
		}
		for j, m := range t.Models {
			if !models[m] {
				c.fail(fmt.Sprintf("%s.models[%d]", p, j), fmt.Sprintf("model %q is not in models", m))
			}
		}
	}
	return c.err()
}

// validator collects the errors in the settings file src.
type validator struct {
	src  []byte
	errs []string
}

func (c *validator) fail(path, msg string) {
	c.errs = append(c.errs, fmt.Sprintf("%s%s: %s", strings.TrimPrefix(path, "$."), c.lineSuffix(path), msg))
}

// lineSuffix returns " (line N)" for a YAML path or its nearest parent that exists,
// or an empty string if there is none.
func (c *validator) lineSuffix(path string) string {
	for p := path; p != "$" && p != ""; {
		yp, err := yaml.PathString(p)
		if err == nil {
			if n, err := yp.ReadNode(bytes.NewReader(c.src)); err == nil && n != nil {
				return fmt.Sprintf(" (line %d)", n.GetToken().Position.Line)
			}
		}
		i := strings.LastIndexAny(p, ".[")
		if i <= 0 {
			break
		}
		p = p[:i]
	}
	return ""
}

func (c *validator) checkAddr(path, addr string) {
	if addr == "" {
		c.fail(path, "missing address")
		return
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		c.fail(path, fmt.Sprintf("address %q is not host:port", addr))
	}
}

func (c *validator) checkZone(path, z string, zones []string) {
	if z == "" {
		c.fail(path, "missing zone")
		return
	}
	if !slices.Contains(zones, z) {
		c.fail(path, fmt.Sprintf("zone %q is not in the deployment (zones: %s)", z, strings.Join(zones, ", ")))
	}
}

func (c *validator) err() error {
	if len(c.errs) == 0 {
		return nil
	}
	slices.Sort(c.errs)
	return fmt.Errorf("settings: %w:\n  %s", ErrInvalid, strings.Join(c.errs, "\n  "))
}
