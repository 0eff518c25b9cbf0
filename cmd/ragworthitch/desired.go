package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/platform"
)

type desiredCmd struct{}

func (*desiredCmd) Name() string     { return "desired" }
func (*desiredCmd) Synopsis() string { return "check desired states kept in version control" }
func (*desiredCmd) Usage() string {
	return "desired FILE...\n\tCheck each file as an instance would before it takes the state over; print what it holds.\n"
}
func (*desiredCmd) SetFlags(*flag.FlagSet) {}

func (*desiredCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("desired: name at least one file"))
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		b, err := os.ReadFile(path)
		if err != nil {
			return fail(err)
		}
		d, err := platform.DecodeDesired(b)
		if err != nil {
			fmt.Fprintf(os.Stderr, "ragworthitch: %s: %v\n", path, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Printf("desired: %s is valid: version %d, %d routes, %d organisations\n", path, d.Version(), len(d.Routes()), len(d.Organisations()))
	}
	return status
}
