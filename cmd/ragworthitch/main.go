// Command ragworthitch runs the processes of the serving system, one for each
// subcommand: the entry instance (serve, entry), the agent of a target (agent),
// and the stand-ins for the platform, the model engines and the plain services.
// Further subcommands are tools that check files, replay a load, run a soak test
// and read logs.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() { os.Exit(run()) }

func run() int {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.CommandsCommand(), "")
	subcommands.Register(&platformCmd{}, "processes")
	subcommands.Register(&engineCmd{}, "processes")
	subcommands.Register(&serviceCmd{}, "processes")
	subcommands.Register(&agentCmd{}, "processes")
	subcommands.Register(&entryCmd{}, "processes")
	subcommands.Register(&serveCmd{}, "processes")
	subcommands.Register(&loadCmd{}, "tools")
	subcommands.Register(&settingsCmd{}, "tools")
	subcommands.Register(&desiredCmd{}, "tools")
	subcommands.Register(&timelineCmd{}, "tools")
	subcommands.Register(&soakCmd{}, "tools")
	subcommands.Register(&rolloutCmd{}, "tools")
	subcommands.Register(&rehearseCmd{}, "tools")
	subcommands.Register(&crowdCmd{}, "tools")
	subcommands.Register(&soakStoreCmd{}, "processes of a soak test")
	subcommands.Register(&soakTargetCmd{}, "processes of a soak test")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
