package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

type settingsCmd struct {
	part
	names bool
}

func (*settingsCmd) Name() string     { return "settings" }
func (*settingsCmd) Synopsis() string { return "check a settings file, or list its parts" }
func (*settingsCmd) Usage() string {
	return "settings -settings FILE [-names]\n\tCheck the file; with -names print each part as ROLE NAME, one a line.\n"
}
func (c *settingsCmd) SetFlags(f *flag.FlagSet) {
	c.flags(f)
	f.BoolVar(&c.names, "names", false, "print the parts to start, one a line")
}

func (c *settingsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
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
