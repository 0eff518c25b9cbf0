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
	part
	names bool
	boot  string
}

func (*settingsCmd) Name() string     { return "settings" }
func (*settingsCmd) Synopsis() string { return "check a settings file, or list its parts" }
func (*settingsCmd) Usage() string {
	return "settings -settings FILE [-names] | -boot FILE\n\tCheck the file; with -names print each part as ROLE NAME, one a line.\n" +
		"\tWith -boot check a settings file of the platform instead.\n"
}
func (c *settingsCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.BoolVar(&c.names, "names", false, "print the parts to start, one a line")
	f.StringVar(&c.boot, "boot", "", "the platform's settings file")
}

func (c *settingsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.boot != "" {
		return checkBoot(c.boot)
	}
	cfg, err := c.load()
	if err != nil {
		return fail(err)
	}
	if !c.names {
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

// checkBoot checks a settings file of the platform.
func checkBoot(path string) subcommands.ExitStatus {
	b, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	boot, err := platform.ParseBoot(b)
	if err != nil {
		return fail(fmt.Errorf("%s: %w", path, err))
	}
	fmt.Printf("settings: %s is valid: instance %s in zone %s, callers at %s, store at %s\n", path, boot.Node(), boot.Zone(), boot.Front(), boot.Store())
	return subcommands.ExitSuccess
}
