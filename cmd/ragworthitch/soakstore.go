package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/google/subcommands"
	"github.com/sourcegraph/conc/pool"

	"github.com/ragworthitch/ragworthitch/platform"
)

// loopbackPrefix is the start of the addresses that the processes of a soak test
// write to the store.
const loopbackPrefix = `"127.0.0.1:`

type soakStoreCmd struct{}

func (*soakStoreCmd) Name() string     { return "soakstore" }
func (*soakStoreCmd) Synopsis() string { return "run the store of a soak test" }
func (*soakStoreCmd) Usage() string {
	return "soakstore ADDRESS[=HOST]...\n\tServe the stand-in for the platform at each address, with the loopback host in rows replaced by HOST for its readers.\n"
}
func (*soakStoreCmd) SetFlags(*flag.FlagSet) {}

func (*soakStoreCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var standIn platform.StandIn
	p := pool.New().WithContext(ctx).WithCancelOnError()
	for _, arg := range f.Args() {
		addr, host, hasHost := strings.Cut(arg, "=")
		handler := standIn.Handler()
		if hasHost {
			handler = standIn.HandlerWithView(func(v []byte) []byte { return bytes.ReplaceAll(v, []byte(loopbackPrefix), []byte(`"`+host+":")) })
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return fail(err)
		}
		srv := &http.Server{Handler: handler}
		p.Go(func(context.Context) error { return srv.Serve(ln) })
		p.Go(func(ctx context.Context) error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	p.Go(standIn.ExpireTargets)
	fmt.Println("store: started")
	if err := p.Wait(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
