package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/soak"
)

type soakTargetCmd struct{}

func (*soakTargetCmd) Name() string     { return "soaktarget" }
func (*soakTargetCmd) Synopsis() string { return "run a model engine or plain service of a soak test" }
func (*soakTargetCmd) Usage() string {
	return "soaktarget CONFIG\n\tServe as a target; CONFIG is JSON. SIGTERM drains the target.\n"
}
func (*soakTargetCmd) SetFlags(*flag.FlagSet) {}

func (*soakTargetCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var config soak.TargetConfig
	if err := json.Unmarshal([]byte(f.Arg(0)), &config); err != nil {
		return fail(fmt.Errorf("soaktarget: config: %w", err))
	}
	if err := soak.RunTarget(ctx, config); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
