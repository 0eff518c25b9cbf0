package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	maxGatherDuration = 8 * time.Second
	// gatherShare of the new connections go to the instance of a KindGather fault.
	gatherShare = 0.85

	maxUndelimitedDuration = 20 * time.Second
	pathUndelimited        = "/soak/undelimited" // answers without a length; parameter ms
)

// drawGather draws two instances that get most new connections, one after the other.
func (d *planDrawer) drawGather(end time.Duration) []Fault {
	var out []Fault
	for range 2 {
		at := startMargin + d.drawDuration((end-startMargin)/4)
		f := Fault{Kind: KindGather, AtMs: int(at.Milliseconds()), ForMs: int(min(end-at, d.drawDuration(maxGatherDuration/2)).Milliseconds())}
		d.drawEntry(&f)
		out = append(out, f)
	}
	return out
}

// drawUndelimited draws one target in three that answers without a length.
func (d *planDrawer) drawUndelimited(end time.Duration) []Fault {
	at := startMargin + d.drawDuration((end-startMargin)/4)
	f := Fault{Kind: KindUndelimited, AtMs: int(at.Milliseconds()), ForMs: int(min(end-at, maxUndelimitedDuration).Milliseconds())}
	var out []Fault
	for _, t := range d.size.targets() {
		if d.rng.IntN(3) == 0 {
			f.From = t.name
			out = append(out, f)
		}
	}
	return out
}

// gather makes most new connections go to an instance for the duration of the fault.
func (x *execution) gather(ctx context.Context, f Fault) {
	for n, e := range x.entries {
		if e.name == f.From {
			x.balancer.setGathering(n)
		}
	}
	clock.Sleep(ctx, f.Duration())
	x.balancer.setGathering(noGathering)
}

// endWithConnections makes a target answer without a length for the duration of the fault.
// The request is not retried, as in loseAnswers.
func (x *execution) endWithConnections(ctx context.Context, t *target, f Fault) error {
	resp, err := x.operator.http.Post(fmt.Sprintf("http://%s%s?ms=%d", t.currentConfig().Listen, pathUndelimited, f.ForMs), "", nil)
	if err == nil {
		resp.Body.Close()
	}
	clock.Sleep(ctx, f.Duration())
	return nil
}

// answerWithoutLength serves pathUndelimited.
func (t *Target) answerWithoutLength(_ http.ResponseWriter, r *http.Request) {
	t.standIn.SetFraming(platform.EndsWithConnection)
	time.AfterFunc(time.Duration(mustAtoi(r.FormValue("ms")))*time.Millisecond, func() { t.standIn.SetFraming("") })
}
