package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/ragworthitch/ragworthitch/emulator"
	"github.com/ragworthitch/ragworthitch/experiment"
)

const (
	tableHeader = `| load | variant | streams | on time | worst 3 s | late | failed | first event p50, p99 ms | pause p99 ms | tokens read again | preempted | handed over | two engines at once | over 400 ms, longest ms |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`
	groupHeader = `| load | variant | streams of | asked | in time | late | rejected | failed | mean wait ms | in vain: preempted | cancelled as silent | engine lost | caller gone | after first event |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`
)

type (
	// printer prints results.
	printer struct {
		out          io.Writer
		groups, json bool
	}

	// resultJSON is a result in JSON.
	resultJSON struct {
		Load          string      `json:"load"`
		Variant       string      `json:"variant"`
		Streams       int         `json:"streams"`
		Share         float64     `json:"share"`
		WeightedShare float64     `json:"weightedShare"`
		WorstShare    float64     `json:"worstShare"`
		PrefillTokens int         `json:"prefillTokens"`
		Preemptions   int         `json:"preemptions"`
		Priorities    []groupJSON `json:"priorities"`
		Orgs          []groupJSON `json:"orgs,omitempty"`
		Settled       groupJSON   `json:"enginesBack"`
		Overlaps      overlapJSON `json:"overlaps"`
	}

	// overlapJSON is an emulator.Overlaps in JSON.
	overlapJSON struct {
		Handovers int   `json:"handovers"`
		Streams   int   `json:"streams"`
		TooLong   int   `json:"tooLong"`
		LongestMs int64 `json:"longestMs"`
	}

	// groupJSON is an experiment.Group in JSON.
	groupJSON struct {
		Name       string         `json:"name"`
		Asked      int            `json:"asked"`
		InTime     int            `json:"inTime"`
		Late       int            `json:"late"`
		Rejected   int            `json:"rejected"`
		Failed     int            `json:"failed"`
		MeanWaitMs int64          `json:"meanWaitMs"`
		VainTokens map[string]int `json:"vainTokens"` // by reason
	}
)

// header prints the header of the table.
func (p printer) header() {
	switch {
	case p.json:
	case p.groups:
		fmt.Fprintln(p.out, groupHeader)
	default:
		fmt.Fprintln(p.out, tableHeader)
	}
}

// result prints the result of a workload.
func (p printer) result(workload string, r experiment.Result) error {
	switch {
	case p.json:
		return writeJSON(p.out, workload, r)
	case p.groups:
		for _, row := range groupRows(workload, r) {
			fmt.Fprintln(p.out, row)
		}
	default:
		fmt.Fprintln(p.out, tableRow(workload, r))
	}
	return nil
}

func tableRow(workload string, r experiment.Result) string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("| %s | %s | %d | %.3f | %.2f | %d | %d | %d, %d | %d | %d | %d | %d | %d | %d, %d |", workload, r.Variant, r.Streams, r.Share(), r.WorstShare,
		r.Late, r.Failed, ms(r.TimeToFirst.P50), ms(r.TimeToFirst.P99), ms(r.LongestInterval.P99), r.RepeatedPrefill, r.Preemptions,
		r.Overlaps.Handovers, r.Overlaps.Streams, r.Overlaps.TooLong, ms(r.Overlaps.Longest))
}

// offline prints what the offline scheduler has in time, for comparison.
func (p printer) offline(w experiment.Workload, draws int) {
	if !p.groups || p.json {
		return
	}
	for _, g := range experiment.OfflineGroups(w, draws) {
		fmt.Fprintln(p.out, groupRow(w.Name, "offline", "priority "+g.Name, g))
	}
}

// groupRows returns the rows of a result's priorities and organisations. Small
// organisations share a row.
func groupRows(workload string, r experiment.Result) []string {
	var rows []string
	for _, g := range r.Priorities {
		rows = append(rows, groupRow(workload, r.Variant, "priority "+g.Name, g))
	}
	if r.Settled.Asked > 0 {
		rows = append(rows, groupRow(workload, r.Variant, "engines back", r.Settled))
	}
	if len(r.Orgs) == 0 {
		return rows
	}
	if large, ok := r.LargeOrg(); ok {
		rows = append(rows, groupRow(workload, r.Variant, "large organisation", large))
	}
	return append(rows, groupRow(workload, r.Variant, "other organisations", r.OtherOrgs()))
}

func groupRow(workload, variant, name string, g experiment.Group) string {
	return fmt.Sprintf("| %s | %s | %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |", workload, variant, name,
		g.Asked, g.InTime, g.Late, g.Rejected, g.Failed, g.MeanWait().Milliseconds(),
		g.Vain[emulator.Preempted], g.Vain[emulator.CancelledSilent], g.Vain[emulator.EngineLost], g.Vain[emulator.CallerGone], g.Vain[emulator.AfterFirstEvent])
}

// writeJSON writes a result as one line of JSON.
func writeJSON(out io.Writer, workload string, r experiment.Result) error {
	return json.NewEncoder(out).Encode(resultJSON{Load: workload, Variant: r.Variant, Streams: r.Streams, Share: r.Share(), WeightedShare: r.WeightedShare(),
		WorstShare: r.WorstShare, PrefillTokens: r.PrefillTokens, Preemptions: r.Preemptions, Priorities: encodeGroups(r.Priorities), Orgs: encodeGroups(r.Orgs), Settled: encodeGroup(r.Settled),
		Overlaps: overlapJSON{Handovers: r.Overlaps.Handovers, Streams: r.Overlaps.Streams, TooLong: r.Overlaps.TooLong, LongestMs: r.Overlaps.Longest.Milliseconds()}})
}

func encodeGroups(groups []experiment.Group) []groupJSON {
	var out []groupJSON
	for _, g := range groups {
		out = append(out, encodeGroup(g))
	}
	return out
}

func encodeGroup(g experiment.Group) groupJSON {
	vain := map[string]int{}
	for _, reason := range emulator.VainReasons() {
		vain[reason.String()] = g.Vain[reason]
	}
	return groupJSON{Name: g.Name, Asked: g.Asked, InTime: g.InTime, Late: g.Late, Rejected: g.Rejected, Failed: g.Failed,
		MeanWaitMs: g.MeanWait().Milliseconds(), VainTokens: vain}
}
