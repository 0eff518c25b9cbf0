package main

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/ragworthitch/ragworthitch/soak"
)

const (
	faultSpacing   = 0.04 // distance of the faults' lines, in units of the y axis
	faultLineWidth = vg.Length(2)
)

var faultColour = color.RGBA{R: 190, G: 60, B: 40, A: 255}

// plotGoodput draws the share of calls served in each second of a soak test, and
// above the curve a line for the duration of each fault.
func plotGoodput(file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var goodput soak.Goodput
	if err := json.Unmarshal(b, &goodput); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	p := plot.New()
	p.Title.Text = goodput.Name
	p.X.Label.Text = "second"
	p.Y.Label.Text = "share of calls served; above, the faults"
	p.Y.Min, p.Y.Max = 0, 1.1+faultSpacing*float64(len(goodput.Faults))
	var served plotter.XYs
	for s, calls := range goodput.Calls {
		if calls > 0 {
			served = append(served, plotter.XY{X: float64(s), Y: float64(goodput.Served[s]) / float64(calls)})
		}
	}
	if err := plotutil.AddLinePoints(p, served); err != nil {
		return err
	}
	for i, f := range goodput.Faults {
		y := 1.1 + faultSpacing*float64(i)
		line, err := plotter.NewLine(plotter.XYs{{X: f.At().Seconds(), Y: y}, {X: f.At().Seconds() + f.Duration().Seconds(), Y: y}})
		if err != nil {
			return err
		}
		line.Color, line.Width = faultColour, faultLineWidth
		p.Add(line)
	}
	return p.Save(plotWidth, 2*plotHeight, strings.TrimSuffix(file, ".json")+".svg")
}
