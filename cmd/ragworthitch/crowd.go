package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/ragworthitch/ragworthitch/crowd"
)

const maxCrowdClients = 1000

// crowdCmd sends clients that do not behave to a server on this machine.
type crowdCmd struct {
	crowd crowd.Crowd
	kind  string
	hold  time.Duration
}

func (*crowdCmd) Name() string { return "crowd" }
func (*crowdCmd) Synopsis() string {
	return "send clients that do not behave to a server on this machine"
}
func (*crowdCmd) Usage() string {
	return "crowd -addr HOST:PORT -kind KIND [-clients N] [-connections N] [-for DURATION] [-host NAME] [-path PATH]\n" +
		"\tKinds: " + fmt.Sprint(crowd.Kinds()) + "\n"
}

func (c *crowdCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.crowd.Server.Addr, "addr", "", "loopback address of the server")
	f.StringVar(&c.kind, "kind", "", "kind of clients")
	f.IntVar(&c.crowd.Clients, "clients", 50, "number of clients")
	f.IntVar(&c.crowd.Connections, "connections", 0, "connections that each client opens, as the server closes them; 0: 4")
	f.DurationVar(&c.hold, "for", 5*time.Second, "how long the clients stay")
	f.StringVar(&c.crowd.Server.Host, "host", "", "host of the requests; empty: the address")
	f.StringVar(&c.crowd.Server.Path, "path", "/", "path of the requests")
	f.IntVar(&c.crowd.Server.HeadBytes, "head", 16<<10, "size of a head that the server allows, in bytes")
	f.IntVar(&c.crowd.Server.BodyBytes, "body", 1<<20, "size of a body that the server allows, in bytes")
}

func (c *crowdCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.crowd.Kind = crowd.Kind(c.kind)
	if !slices.Contains(crowd.Kinds(), c.crowd.Kind) || c.crowd.Clients < 1 || c.crowd.Clients > maxCrowdClients {
		fail(fmt.Errorf("crowd: kind %q, %d clients (1 to %d)", c.kind, c.crowd.Clients, maxCrowdClients))
		return subcommands.ExitUsageError
	}
	ctx, cancel := context.WithTimeout(ctx, c.hold)
	defer cancel()
	run, err := c.crowd.Start(ctx)
	if err != nil {
		return fail(err)
	}
	<-ctx.Done()
	run.Stop()
	fmt.Printf("%d clients opened %d connections; the server closed %d\n", c.crowd.Clients, run.Opened(), run.Closed())
	return subcommands.ExitSuccess
}
