// Command experiment compares variants of the routing policy under emulated loads,
// without a network. It runs each load of a file with each of the given variants
// and prints a table; with -plot it also draws the share of streams on time by
// second. With -goodput it draws the file that 'ragworthitch soak -goodput'
// wrote.
//
// Command experiment is separate from ragworthitch because of the size of its
// plotting library. Loads run in real time, the variants of a load concurrently.
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
	"time"

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
	loadsFile := flags.String("loads", "experiment/testdata/loads.yaml", "YAML file with the loads")
	variantList := flags.String("variants", "product,leastLoaded", "variants to compare: "+strings.Join(variantNames(), ", "))
	draws := flags.Int("draws", 3, "runs of each load, each with its own seed")
	loadFilter := flags.String("only", "", "run only loads whose name contains this text")
	plotDir := flags.String("plot", "", "directory for an SVG file of each load")
	goodputFile := flags.String("goodput", "", "draw this file of a soak test to an SVG file of the same name, and run no load")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *goodputFile != "" {
		return plotGoodput(*goodputFile)
	}
	loads, err := experiment.ReadLoads(*loadsFile)
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
	fmt.Fprintln(out, tableHeader)
	for _, l := range loads {
		if !strings.Contains(l.Name, *loadFilter) {
			continue
		}
		results, err := experiment.Compare(ctx, l, variants, max(*draws, 1))
		if err != nil {
			return err
		}
		for _, r := range results {
			fmt.Fprintln(out, tableRow(l.Name, r))
		}
		if *plotDir == "" {
			continue
		}
		if err := plotShares(filepath.Join(*plotDir, plotFileName(l.Name)), l.Name, results); err != nil {
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

// plotFileName returns the name of the SVG file for a load.
func plotFileName(load string) string {
	words := strings.FieldsFunc(strings.ToLower(load), func(r rune) bool { return (r < 'a' || r > 'z') && (r < '0' || r > '9') })
	return strings.Join(words, "-") + ".svg"
}

const tableHeader = `| load | variant | streams | on time | worst 3 s | late | failed | first event p50, p99 ms | pause p99 ms | tokens read again | preempted |
|---|---|---|---|---|---|---|---|---|---|---|`

func tableRow(load string, r experiment.Result) string {
	ms := func(d time.Duration) int64 { return d.Milliseconds() }
	return fmt.Sprintf("| %s | %s | %d | %.3f | %.2f | %d | %d | %d, %d | %d | %d | %d |", load, r.Variant, r.Streams, r.Share(), r.Worst,
		r.Late, r.Failed, ms(r.First.P50), ms(r.First.P99), ms(r.Pause.P99), r.ReadAgain, r.Preempted)
}
