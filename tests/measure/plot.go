package main

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// writePlot plots the imbalance of each policy against load and writes the plot to file. Imbalance is max/mean of work per
// backend server in windows of 1 s.
func writePlot(file string, results []*scenarioResult) error {
	p := plot.New()
	p.Title.Text = "Imbalance against load (7 balancers, 14 backend servers)"
	p.X.Label.Text = "load (share of capacity)"
	p.Y.Label.Text = "max/mean of work per backend server and 1 s"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var lines []any
	for i, policy := range policies {
		points := make(plotter.XYs, 0, len(results))
		for _, r := range results {
			points = append(points, plotter.XY{X: r.byPolicy[i].load, Y: r.byPolicy[i].maxToMean1s})
		}
		lines = append(lines, policy, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(18*vg.Centimeter, 12*vg.Centimeter, file)
}
