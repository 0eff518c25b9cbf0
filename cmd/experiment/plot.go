package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/ragworthitch/ragworthitch/experiment"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// plotShares draws the share of streams on time by the second of their start, one
// line per variant.
func plotShares(file, title string, results []experiment.Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "begun in second"
	p.Y.Label.Text = "share on time"
	p.Y.Min, p.Y.Max = 0, 1.05
	var series []any
	for _, r := range results {
		var xy plotter.XYs
		for s, share := range r.ShareBySecond {
			if share >= 0 { // -1: no stream began in this second
				xy = append(xy, plotter.XY{X: float64(s), Y: share})
			}
		}
		series = append(series, r.Variant, xy)
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return err
	}
	p.Legend.Top = false
	return p.Save(plotWidth, plotHeight, file)
}
