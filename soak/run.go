package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

const (
	// maxShrinkRuns bounds the search for a smaller plan.
	maxShrinkRuns      = 12
	maxShownViolations = 20
)

type (
	// Runner executes plans and reports on them.
	Runner struct {
		Program string // path of the ragworthitch binary
		Dir     string // for logs and records; empty: a temporary folder
		Out     io.Writer
	}

	// Report is the result of an execution.
	Report struct {
		Plan       Plan
		Dir        string
		History    History
		Violations []Violation
	}

	// Goodput is the data of a plot, as WriteGoodput encodes it.
	Goodput struct {
		Name   string  `json:"name"`
		Calls  []int   `json:"calls"`  // sent in each second
		Served []int   `json:"served"` // of Calls
		Faults []Fault `json:"faults"`
	}
)

// Run executes a plan and checks the history.
func (r Runner) Run(ctx context.Context, plan Plan) (Report, error) {
	dir, err := r.createDir(plan)
	if err != nil {
		return Report{}, err
	}
	h, err := Execute(ctx, r.Program, dir, plan)
	if err != nil {
		return Report{}, fmt.Errorf("%w (seed %d, logs in %s)", err, plan.Seed, dir)
	}
	report := Report{Plan: plan, Dir: dir, History: h, Violations: Check(h)}
	report.print(r.Out)
	if len(report.Violations) == 0 && r.Dir == "" {
		return report, os.RemoveAll(dir)
	}
	return report, report.save()
}

func (r Runner) createDir(plan Plan) (string, error) {
	if r.Dir == "" {
		return os.MkdirTemp("", fmt.Sprintf("soak-%d-", plan.Seed))
	}
	if err := os.MkdirAll(r.Dir, 0o755); err != nil {
		return "", err
	}
	return os.MkdirTemp(r.Dir, fmt.Sprintf("%d-", plan.Seed))
}

// Shrink searches for a smaller plan that violates the same rule. It leaves out halves of
// the faults, then quarters and so on. Executions of the same plan differ, so faults
// without effect in one execution may still matter.
func (r Runner) Shrink(ctx context.Context, plan Plan, first Report) Plan {
	rule := first.Violations[0].Rule
	runs := 0
	for chunk := (len(plan.Faults) + 1) / 2; chunk > 0; chunk /= 2 {
		for i := 0; i < len(plan.Faults) && runs < maxShrinkRuns; {
			smaller := plan.without(i, min(i+chunk, len(plan.Faults)))
			runs++
			report, err := r.Run(ctx, smaller)
			if err == nil && report.violates(rule) {
				plan = smaller
				continue
			}
			i += chunk
		}
	}
	fmt.Fprintf(r.Out, "shrunk to %d faults that violate %s:\n", len(plan.Faults), rule)
	Print(r.Out, plan)
	return plan
}

func (r Report) violates(rule string) bool {
	for _, v := range r.Violations {
		if v.Rule == rule {
			return true
		}
	}
	return false
}

// Print prints a plan.
func Print(w io.Writer, p Plan) {
	fmt.Fprintf(w, "seed %d, size %s, %d s, %d faults and changes\n", p.Seed, p.Size, p.Seconds, len(p.Faults))
	for _, f := range p.Faults {
		fmt.Fprintln(w, " ", f)
	}
}

// print prints a summary and the violations.
func (r Report) print(w io.Writer) {
	served, total, streams := 0, 0, 0
	for _, c := range r.History.Calls {
		if !c.mustBeServed() {
			continue
		}
		total++
		if c.served() {
			served++
		}
		if c.Kind == CallStream {
			streams++
		}
	}
	fmt.Fprintf(w, "seed %d, size %s, %d s: %d faults, %d versions, %d of %d calls served (%d streams), %d violations\n", r.Plan.Seed, r.Plan.Size,
		r.Plan.Seconds, len(r.History.Faults), len(r.History.Changes), served, total, streams, len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	fmt.Fprintln(w, "  logs and records:", r.Dir)
	for i, v := range r.Violations {
		if i == maxShownViolations {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %6.2f s %-8s %s\n", seconds(v.At-r.History.StartedAt), v.Rule, v.Text)
	}
}

// save writes the calls and the plan to the folder of the logs.
func (r Report) save() error {
	if err := r.Plan.Write(filepath.Join(r.Dir, "plan.yaml")); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(r.Dir, "calls.jsonl"))
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, c := range r.History.Calls {
		if err := enc.Encode(c); err != nil {
			return err
		}
	}
	return nil
}

// WriteGoodput writes the data of a plot of calls and faults.
func (r Report) WriteGoodput(file string) error {
	g := Goodput{Name: fmt.Sprintf("seed %d, size %s", r.Plan.Seed, r.Plan.Size), Calls: make([]int, r.Plan.Seconds+1),
		Served: make([]int, r.Plan.Seconds+1)}
	for _, c := range r.History.Calls {
		second := int((c.SentAt - r.History.StartedAt) / int64(time.Second))
		if !c.mustBeServed() || second >= len(g.Calls) {
			continue
		}
		g.Calls[second]++
		if c.served() {
			g.Served[second]++
		}
	}
	for _, f := range r.Plan.Faults {
		if f.Kind != KindChange {
			g.Faults = append(g.Faults, f)
		}
	}
	b, err := json.MarshalIndent(g, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o644)
}
