package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/platform"
)

type settingsCmd struct {
	processFlags
	listNames bool
	bootPath  string
}

func (*settingsCmd) Name() string     { return "settings" }
func (*settingsCmd) Synopsis() string { return "validate a settings file, or list its processes" }
func (*settingsCmd) Usage() string {
	return "settings -settings FILE [-names] | -boot FILE\n\tValidate the file; with -names print each process as ROLE NAME, one per line.\n" +
		"\tWith -boot validate a settings file of the platform instead.\n"
}
func (c *settingsCmd) SetFlags(f *flag.FlagSet) {
	c.register(f)
	f.BoolVar(&c.listNames, "names", false, "print the processes to start, one per line")
	f.StringVar(&c.bootPath, "boot", "", "platform settings file to validate")
}

func (c *settingsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.bootPath != "" {
		return checkPlatformSettings(c.bootPath)
	}
	cfg, err := c.loadSettings()
	if err != nil {
		return fail(err)
	}
	if !c.listNames {
		fmt.Printf("settings: %s is valid: %d zones, %d entries, %d targets\n", cfg.Deployment, len(cfg.Zones), len(cfg.Entries), len(cfg.Targets))
		return subcommands.ExitSuccess
	}
	for _, t := range cfg.Targets {
		fmt.Println(t.Kind, t.Name)
	}
	for _, e := range cfg.Entries {
		fmt.Println("entry", e.Name)
	}
	return subcommands.ExitSuccess
}

// checkPlatformSettings validates a settings file of the platform.
func checkPlatformSettings(path string) subcommands.ExitStatus {
	b, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	s, err := platform.ParseSettings(b)
	if err != nil {
		return fail(fmt.Errorf("%s: %w", path, err))
	}
	fmt.Printf("settings: %s is valid: instance %s in zone %s, callers at %s, store at %s\n", path, s.Node(), s.Zone(), s.CallerAddr(), s.Store())
	return subcommands.ExitSuccess
}
