// Command experiment compares variants of the routing policy under emulated
// workloads, without a network. It simulates each workload of a file with each of
// the given variants and prints a table, with -groups by priority and organisation, with
// -json as lines of JSON; with -plot it also draws the share of
// streams on time by second. With -goodput it draws the file that 'ragworthitch
// soak -goodput' wrote.
//
// Command experiment is separate from ragworthitch because of the size of its
// plotting library. Simulations run in real time, those of a workload concurrently.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"

	"github.com/ragworthitch/ragworthitch/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, out io.Writer) error {
	flags := flag.NewFlagSet("experiment", flag.ContinueOnError)
	workloadsFile := flags.String("loads", "experiment/testdata/loads.yaml", "YAML file with the workloads")
	variantList := flags.String("variants", "product,leastLoaded", "variants to compare: "+strings.Join(variantNames(), ", "))
	draws := flags.Int("draws", 3, "simulations of each workload, each with its own seed")
	workloadFilter := flags.String("only", "", "simulate only workloads whose name contains this text")
	groups := flags.Bool("groups", false, "print a table by priority and organisation")
	asJSON := flags.Bool("json", false, "print each result as a line of JSON, and no table")
	plotDir := flags.String("plot", "", "directory for an SVG file of each workload")
	goodputFile := flags.String("goodput", "", "draw this file of a soak test to an SVG file of the same name, and simulate nothing")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *goodputFile != "" {
		return plotGoodput(*goodputFile)
	}
	workloads, err := experiment.ReadWorkloads(*workloadsFile)
	if err != nil {
		return err
	}
	var variants []experiment.Variant
	for _, n := range strings.Split(*variantList, ",") {
		v, err := experiment.VariantByName(n)
		if err != nil {
			return err
		}
		variants = append(variants, v)
	}
	p := printer{out: out, groups: *groups, json: *asJSON}
	p.header()
	for _, w := range workloads {
		if !strings.Contains(w.Name, *workloadFilter) {
			continue
		}
		results, err := experiment.Compare(ctx, w, variants, max(*draws, 1))
		if err != nil {
			return err
		}
		for _, r := range results {
			if err := p.result(w.Name, r); err != nil {
				return err
			}
		}
		p.offline(w, max(*draws, 1))
		if *plotDir == "" {
			continue
		}
		if err := plotShares(filepath.Join(*plotDir, plotFileName(w.Name)), w.Name, results); err != nil {
			return err
		}
	}
	return nil
}

func variantNames() []string {
	var names []string
	for _, v := range experiment.Variants() {
		names = append(names, v.Name)
	}
	return names
}

// plotFileName returns the name of the SVG file for a workload.
func plotFileName(workload string) string {
	words := strings.FieldsFunc(strings.ToLower(workload), func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') })
	return strings.Join(words, "-") + ".svg"
}
