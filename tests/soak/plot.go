package main

import (
	"fmt"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotResults draws the number of answers in each second of all runs.
func plotResults(file string, results []*runResult) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "second", "answers"
	for i, r := range results {
		points := make(plotter.XYs, len(r.answersPerSecond))
		for second, answers := range r.answersPerSecond {
			points[second] = plotter.XY{X: float64(second), Y: float64(answers)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot the answers")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		if len(results) <= 6 {
			p.Legend.Add(fmt.Sprint("seed ", r.seed), line)
		}
	}
	return eris.Wrap(p.Save(20*vg.Centimeter, 10*vg.Centimeter, file), "write the plot")
}
