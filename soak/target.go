package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragworthitch/ragworthitch"
	"github.com/ragworthitch/ragworthitch/clock"
	"github.com/ragworthitch/ragworthitch/platform"
)

const (
	targetSlots     = 16
	plainAnswerTime = 80 * time.Millisecond
	firstEventTime  = 100 * time.Millisecond
	eventInterval   = 25 * time.Millisecond
	replicaInterval = 100 * time.Millisecond
	replicaTimeout  = 300 * time.Millisecond // for the request to the replica target
	replicaExpiry   = 4 * time.Second        // as in the desired state
	// drainPeriod is how long a target serves at least after its row says that it is
	// draining. It runs for drainExtra longer, to record calls that should not arrive.
	drainPeriod = 2 * time.Second
	drainExtra  = 4 * time.Second
	// lateRowDelay is how long after the removal of its row a target's late write is
	// performed.
	lateRowDelay = 1500 * time.Millisecond

	pathReplica     = "/soak/copy"  // keeps a replica; parameters call, events
	pathLoseAnswers = "/soak/loses" // loses answers; parameter ms
	pathRateLimit   = "/soak/limit" // names a rate limit; parameters ms, rate
	pathStandStill  = "/soak/still" // sends nothing; parameter ms
)

type (
	// TargetConfig configures the process of a target.
	TargetConfig struct {
		ID      string `json:"id"`
		Node    string `json:"slot"` // name in the plan; ids change
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Listen  string `json:"listen"`
		Store   string `json:"store"`
		Records string `json:"records"` // file that records are appended to
		StepMs  int    `json:"stepMs"`  // clock step

		// Unannounced targets leave without a row that says that they are draining: their row is
		// removed. The store performs one of their heartbeats after that.
		Unannounced bool `json:"unannounced"`

		FirstEvent time.Duration `json:"firstEvent"` // of an engine
	}

	// Target is a model engine or a plain service in its own process: the platform's
	// stand-in, which also writes its row to the store, sends replicas to other targets
	// and records every attempt.
	Target struct {
		cfg         TargetConfig
		records     *os.File
		http        http.Client
		bootTimeMs  int64
		rowSequence atomic.Int64
		standIn     platform.TargetStandIn

		endlessUntil   atomic.Int64 // clock.Time until which answers have no end
		endlessAnswers atomic.Int64 // so far
	}
)

// RunTarget runs a target until ctx ends, and then drains it.
func RunTarget(ctx context.Context, cfg TargetConfig) error {
	f, err := os.OpenFile(cfg.Records, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	t := &Target{cfg: cfg, records: f, http: http.Client{Timeout: platform.TargetHeartbeat},
		bootTimeMs: time.Now().Add(time.Duration(cfg.StepMs) * time.Millisecond).UnixMilli()}
	t.standIn = platform.TargetStandIn{ID: cfg.ID, Events: streamEvents, EventInterval: eventInterval, FirstEventDelay: cfg.FirstEvent, Listen: cfg.Listen,
		Peers: &platform.Peers{SendReplica: t.sendReplica}, Work: answerGenerator(cfg.ID), OnRun: t.recordAttempt, OnArrival: t.recordArrival, OnBackoff: t.recordBackoff, Mux: t.extraHandler(), TakeOver: t.takeOver,
		CrashTrigger: platform.CrashTrigger{Matches: func(c platform.ReceivedCall) bool { return isPoison(c) }, Moment: crashMoment, BeforeCrash: t.recordCrash,
			OnCrash: func(platform.ReceivedCall) { os.Exit(crashExitCode) }}}
	if cfg.Service != serviceLLM {
		t.standIn.FirstEventDelay = plainAnswerTime
	}
	if _, err := t.standIn.Start(); err != nil {
		return err
	}
	t.writeRecord(Record{Kind: RecordBooted})
	fmt.Println("target: started")
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go watchStalls(running, t.recordStall)
	t.heartbeat(ctx)
	var end time.Time
	if t.cfg.Unannounced {
		end = t.leaveUnannounced()
	} else {
		t.standIn.SayDraining()
		end = t.recordDraining(func() error { return t.writeRow(true) })
	}
	time.Sleep(time.Until(end.Add(drainPeriod + drainExtra)))
	return nil
}

// recordDraining makes a change of the row that says that the target leaves, until the store has
// acknowledged it, and records that. It returns the time of the acknowledgement.
func (t *Target) recordDraining(change func() error) time.Time {
	for change() != nil {
		time.Sleep(replicaInterval)
	}
	t.writeRecord(Record{Kind: RecordDraining})
	return time.Now()
}

// leaveUnannounced removes the row, and writes an earlier one after it as the store does that
// performs a write late. It returns the time of the removal.
func (t *Target) leaveUnannounced() time.Time {
	removedAt := t.recordDraining(func() error {
		return platform.ExternalRow{Table: platform.TableTargets, Key: t.cfg.ID, Deleted: true}.Send(&t.http, t.cfg.Store)
	})
	time.Sleep(lateRowDelay)
	if err := t.putRow(t.rowSequence.Load(), false); err != nil {
		fmt.Println("target: late row not written:", err)
	}
	return removedAt
}

// heartbeat writes the target's row at intervals until ctx ends. A failed write is only
// logged, because the next one follows.
func (t *Target) heartbeat(ctx context.Context) {
	for {
		if err := t.writeRow(false); err != nil {
			fmt.Println("target: row not written:", err)
		}
		if !clock.Sleep(ctx, platform.TargetHeartbeat) {
			return
		}
	}
}

func (t *Target) writeRow(draining bool) error { return t.putRow(t.rowSequence.Add(1), draining) }

// putRow writes the row with a sequence number.
func (t *Target) putRow(sequence int64, draining bool) error {
	b, err := platform.EncodeTarget(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.cfg.ID, Started: t.bootTimeMs, Service: t.cfg.Service,
		Address: t.cfg.Listen, Zone: t.cfg.Zone, Slots: targetSlots, Draining: draining, Sequence: sequence}))
	if err != nil {
		return err
	}
	return platform.ExternalRow{Table: platform.TableTargets, Key: t.cfg.ID, Value: b}.Send(&t.http, t.cfg.Store)
}

// recordCrash records the crash for a poison request. It does so before the crash, as the
// calls that the crash ends may end at once.
//
// At the moments that a plan names the process just ends, so that its system closes the
// connections.
func (t *Target) recordCrash(c platform.ReceivedCall) {
	t.writeRecord(Record{Kind: RecordCrashed, PoisonPart: hasPoisonPart(c)})
	if crashMoment(c) != platform.CrashAfterHead {
		os.Exit(crashExitCode)
	}
}

func (t *Target) recordAttempt(attempt platform.RunEvent) {
	record := Record{Kind: RecordStarted, Call: attempt.Call, Path: attempt.Path, Org: attempt.Org, KeyPassed: attempt.KeyForwarded, ResumeOffset: attempt.ResumeOffset}
	switch {
	case attempt.Ended:
		record.Kind = RecordEnded
	case attempt.Stopped:
		record.Kind = RecordStopped
	}
	t.writeRecord(record)
}

// writeRecord appends a record in one write, so that a kill doesn't lose it.
func (t *Target) writeRecord(r Record) {
	r.Target, r.Node, r.Service, r.At = t.cfg.ID, t.cfg.Node, t.cfg.Service, time.Now().UnixNano()
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a missing record would hide a violation
	}
	if _, err := t.records.Write(append(b, '\n')); err != nil {
		panic(err)
	}
}

// extraHandler serves the soak's requests other than calls.
func (t *Target) extraHandler() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc(pathReplica, func(_ http.ResponseWriter, r *http.Request) {
		t.standIn.KeepReplica(r.FormValue("call"), mustAtoi(r.FormValue("events")))
	})
	mux.HandleFunc(pathLoseAnswers, func(_ http.ResponseWriter, r *http.Request) {
		t.standIn.SetFault(platform.FaultLoseAnswer)
		time.AfterFunc(time.Duration(mustAtoi(r.FormValue("ms")))*time.Millisecond, func() { t.standIn.SetFault("") })
	})
	mux.HandleFunc(pathRateLimit, t.nameRateLimit)
	mux.HandleFunc(pathUndelimited, t.answerWithoutLength)
	mux.HandleFunc(pathEndless, t.startEndless)
	mux.HandleFunc(pathBackoff, t.startBackoffs)
	mux.HandleFunc(pathStandStill, func(_ http.ResponseWriter, r *http.Request) {
		t.standIn.StandStill(time.Duration(mustAtoi(r.FormValue("ms"))) * time.Millisecond)
	})
	mux.HandleFunc(pathDraining, func(http.ResponseWriter, *http.Request) { t.standIn.SayDraining() })
	return mux
}

// mustAtoi parses a number that the soak itself sent.
func mustAtoi(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

// sendReplica sends a replica to the target at an address that an instance named.
func (t *Target) sendReplica(addr, call string, events int) {
	if events%int(replicaInterval/eventInterval) != 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), replicaTimeout)
		defer cancel()
		_, port, _ := net.SplitHostPort(addr) // an invalid address gets an empty port, and the request fails
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%s%s?call=%s&events=%d", processHost, port, pathReplica, call, events), nil)
		if err != nil {
			return
		}
		if resp, err := t.http.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
}

// answerGenerator is the id of a target and generates the answers of that target.
type answerGenerator string

// Events yields the stream's subject for each event, without end. The stand-in appends the
// number of the event, which gives eventText.
func (answerGenerator) Events(_ context.Context, call string, after int) iter.Seq[string] {
	return func(yield func(string) bool) {
		for yield(subjectOf(call)) {
		}
	}
}

// Answer returns a plain answer.
func (a answerGenerator) Answer(_ context.Context, call string) (string, error) {
	return plainAnswer(call, string(a)), nil
}

// plainAnswer returns the expected answer of a target to a plain call.
func plainAnswer(call, target string) string { return "answer to " + call + " by " + target }

// eventText returns the text of a stream's nth event, the same at every target.
func eventText(subject string, n int) string { return fmt.Sprintf("%s/%d", subject, n) }

// subjectOf returns the subject of a stream, the last part of a call's id.
func subjectOf(call string) string { return call[strings.LastIndexByte(call, '.')+1:] }
