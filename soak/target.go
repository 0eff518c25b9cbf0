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
	targetSlots = 16
	plainTime   = 80 * time.Millisecond
	firstTime   = 100 * time.Millisecond
	eventGap    = 25 * time.Millisecond
	copyEvery   = 100 * time.Millisecond
	copyTime    = 300 * time.Millisecond // a call to the peer that keeps a copy
	copyKept    = 4 * time.Second        // as the operator's state says
	// drainTime is how long a target serves at least once its entry says that
	// it leaves, and drainLonger how long it goes on after that, for calls that
	// should not come.
	drainTime   = 2 * time.Second
	drainLonger = 4 * time.Second

	pathCopy   = "/soak/copy"  // keeps a copy: call, events
	pathLoses  = "/soak/loses" // loses answers for so many ms
	pathHealth = "/health"
)

type (
	// TargetConfig is what a target's process is started with.
	TargetConfig struct {
		ID      string `json:"id"`
		Slot    string `json:"slot"` // its place in the plan; ids change
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Listen  string `json:"listen"`
		Store   string `json:"store"`
		Records string `json:"records"` // file that its records are added to
		StepMs  int    `json:"stepMs"`  // of its clock
	}

	// Target is a model engine or a plain service, run as its own process: the
	// platform's stand-in, with an entry in the store, copies at other
	// processes, and a record of every run.
	Target struct {
		cfg      TargetConfig
		records  *os.File
		http     http.Client
		born     int64
		sequence atomic.Int64
		stand    platform.TargetStandIn
	}
)

// RunTarget runs a target until ctx ends, and then for as long as it drains.
func RunTarget(ctx context.Context, cfg TargetConfig) error {
	f, err := os.OpenFile(cfg.Records, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	t := &Target{cfg: cfg, records: f, http: http.Client{Timeout: platform.TargetHeartbeat},
		born: time.Now().Add(time.Duration(cfg.StepMs) * time.Millisecond).UnixMilli()}
	t.stand = platform.TargetStandIn{ID: cfg.ID, Events: streamEvents, Gap: eventGap, First: firstTime, Listen: cfg.Listen,
		Peers: &platform.Peers{Keep: t.sendCopy}, Work: answers(cfg.ID), Note: t.noteRun, Besides: t.besides(),
		Crashes: platform.Crashes{By: func(body []byte) bool { return string(body) == deadlyBody }, Done: t.crash}}
	if cfg.Service != serviceLLM {
		t.stand.First = plainTime
	}
	if _, err := t.stand.Start(); err != nil {
		return err
	}
	fmt.Println("target: started")
	t.beat(ctx)
	for t.writeEntry(true) != nil {
		time.Sleep(copyEvery)
	}
	t.note(Run{Kind: RunLeaving})
	time.Sleep(drainTime + drainLonger)
	return nil
}

// beat writes the target's entry until ctx ends. A beat that is lost is
// followed by another.
func (t *Target) beat(ctx context.Context) {
	for {
		if err := t.writeEntry(false); err != nil {
			fmt.Println("target: entry not written:", err)
		}
		if !clock.Sleep(ctx, platform.TargetHeartbeat) {
			return
		}
	}
}

func (t *Target) writeEntry(draining bool) error {
	b, err := platform.EncodeTarget(ragworthitch.NewTarget(ragworthitch.TargetParams{ID: t.cfg.ID, Started: t.born, Service: t.cfg.Service,
		Address: t.cfg.Listen, Zone: t.cfg.Zone, Slots: targetSlots, Draining: draining, Sequence: t.sequence.Add(1)}))
	if err != nil {
		return err
	}
	return platform.OthersRow{Table: platform.TableTargets, Key: t.cfg.ID, Value: b}.Send(&t.http, t.cfg.Store)
}

// crash ends the process, as a deadly request does.
func (t *Target) crash() {
	t.note(Run{Kind: RunCrashed})
	os.Exit(crashStatus)
}

func (t *Target) noteRun(n platform.RunNote) {
	r := Run{Kind: RunBegun, Call: n.Call, Path: n.Path, Org: n.Org, KeyPassed: n.KeyPassed, After: n.After}
	if n.Ended {
		r.Kind = RunEnded
	}
	t.note(r)
}

// note writes a record; the kernel keeps it if the process is killed.
func (t *Target) note(r Run) {
	r.Target, r.Slot, r.Service, r.At = t.cfg.ID, t.cfg.Slot, t.cfg.Service, time.Now().UnixNano()
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record that cannot be written would hide a fault
	}
	if _, err := t.records.Write(append(b, '\n')); err != nil {
		panic(err)
	}
}

// besides serves what targets of a soak are asked besides calls.
func (t *Target) besides() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc(pathHealth, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc(pathCopy, func(_ http.ResponseWriter, r *http.Request) {
		t.stand.KeepCopy(r.FormValue("call"), number(r.FormValue("events")))
	})
	mux.HandleFunc(pathLoses, func(_ http.ResponseWriter, r *http.Request) {
		t.stand.Misbehave(platform.FaultLoseAnswer)
		time.AfterFunc(time.Duration(number(r.FormValue("ms")))*time.Millisecond, func() { t.stand.Misbehave("") })
	})
	return mux
}

// number reads a figure that the play itself has sent.
func number(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic(err)
	}
	return n
}

// sendCopy has the target at an address, as the instances know it, keep a copy.
func (t *Target) sendCopy(addr, call string, events int) {
	if events%int(copyEvery/eventGap) != 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTime)
		defer cancel()
		_, p, _ := net.SplitHostPort(addr) // one that is none gets no copy
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%s%s?call=%s&events=%d", plainHost, p, pathCopy, call, events), nil)
		if err != nil {
			return
		}
		if resp, err := t.http.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
}

// answers are what a target with an id answers.
type answers string

// Events are the rest of the events of the stream that a call is about.
func (answers) Events(_ context.Context, call string, after int) iter.Seq[string] {
	return func(yield func(string) bool) {
		for yield(subjectOf(call)) {
		}
	}
}

// Answer is a plain answer.
func (a answers) Answer(_ context.Context, call string) (string, error) {
	return plainAnswer(call, string(a)), nil
}

// plainAnswer is a plain service's answer to a call.
func plainAnswer(call, target string) string { return "answer to " + call + " by " + target }

// eventText is the nth event of a subject's stream, wherever it is made.
func eventText(subject string, n int) string { return fmt.Sprintf("%s/%d", subject, n) }

// subjectOf is the subject of a stream, the last part of its calls' ids.
func subjectOf(call string) string { return call[strings.LastIndexByte(call, '.')+1:] }
