package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/crowd"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	crowdsPerPlan    = 2
	crowdClients     = 60
	crowdConnections = 200 // of each client
	meanCrowdTime    = 3 * time.Second

	headLimit = 16 << 10 // of the desired state, in bytes
	bodyLimit = 1 << 20
)

// drawCrowds draws crowds of clients that end by the time end.
func drawCrowds(rng *rand.Rand, s Size, end time.Duration) (out []Fault) {
	kinds := crowd.Kinds()
	for range crowdsPerPlan {
		at := startMargin + time.Duration(rng.Int64N(int64(end-startMargin)))
		length := min(time.Second+time.Duration(rng.Int64N(int64(2*meanCrowdTime))), end-at)
		out = append(out, Fault{Kind: KindCrowd, AtMs: int(at.Milliseconds()), ForMs: max(1, int(length.Milliseconds())),
			From: fmt.Sprint(nodeEntry, rng.IntN(s.Entries)), Clients: kinds[rng.IntN(len(kinds))]})
	}
	return out
}

// sendCrowd sends a crowd to an instance for the fault's duration. No request of the crowd is
// run: requests that are whole have no route.
func (x *execution) sendCrowd(ctx context.Context, f Fault) error {
	for _, e := range x.entries {
		if e.name != f.From {
			continue
		}
		header := http.Header{}
		platform.CallHeaders{Key: keyFixed, RemainingTime: plainTimeout}.Set(header)
		path := pathSafe + "crowd"
		if f.Clients == crowd.SentAhead || f.Clients == crowd.SlowReaders {
			path = "/nowhere/crowd"
		}
		run, err := crowd.Crowd{Kind: f.Clients, Clients: crowdClients, Connections: crowdConnections, Unfinished: true,
			Server: crowd.Server{Addr: e.callerAddr, Host: host, Path: path, Header: header, IDHeader: platform.RequestIDHeader, HeadBytes: headLimit, BodyBytes: bodyLimit}}.Start(ctx)
		if err != nil {
			return err
		}
		defer run.Stop()
		clock.Sleep(ctx, f.Duration())
		return nil
	}
	return fmt.Errorf("%w: no instance %q", ErrInvalidPlan, f.From)
}
