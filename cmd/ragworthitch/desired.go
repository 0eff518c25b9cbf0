package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/platform"
)

type desiredCmd struct{}

func (*desiredCmd) Name() string     { return "desired" }
func (*desiredCmd) Synopsis() string { return "validate files with desired states" }
func (*desiredCmd) Usage() string {
	return "desired FILE...\n\tValidate each file like an instance that applies it, and print a summary.\n"
}
func (*desiredCmd) SetFlags(*flag.FlagSet) {}

func (*desiredCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return fail(fmt.Errorf("desired: no file given"))
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		b, err := os.ReadFile(path)
		if err != nil {
			return fail(err)
		}
		d, err := platform.DecodeDesired(b, false)
		if err != nil {
			fmt.Fprintf(os.Stderr, "ragworthitch: %s: %v\n", path, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Printf("desired: %s is valid: version %d, %d routes, %d organisations\n", path, d.Version(), len(d.Routes()), len(d.Organisations()))
		printKeys(path, d)
	}
	return status
}

// printKeys points out a state in which no key is valid, and one in which calls need none.
func printKeys(path string, d *ragworthitch.DesiredState) {
	valid := slices.ContainsFunc(d.Organisations(), func(o ragworthitch.Organisation) bool { return len(o.Keys()) > 0 })
	switch {
	case !d.KeysRequired():
		fmt.Printf("desired: %s: no list of organisations: unless the settings require keys, calls need none\n", path)
	case !valid:
		fmt.Printf("desired: %s: no key is valid: only calls to public routes are allowed\n", path)
	}
}
