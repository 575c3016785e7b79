// Command replay plays loads that days on the platform showed against the pure decision code, in simulated time and with a
// small model of backend servers, and compares it with a baseline: a table of tags, the least own open flows in the own zone
// and nothing else.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// cases are the loads. Times are those of isbc-grid unless the name says otherwise.
var cases = []load{
	{name: "calm", shown: "busiest/mean 1.24 with the relay", users: 90, pause: 700 * time.Millisecond, work: 22 * time.Millisecond, deadline: 2 * time.Second,
		aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second},
	{name: "dark", shown: "trouble-2, second 24: window at 0.90", users: 90, pause: 700 * time.Millisecond, work: 22 * time.Millisecond, deadline: 2 * time.Second,
		aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, crash: 4, crashAt: 10 * time.Second},
	{name: "crash", shown: "trouble-3, second 10: window at 0.70", users: 90, pause: 700 * time.Millisecond, work: 22 * time.Millisecond, deadline: 2 * time.Second,
		aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, crash: 4, resets: true, crashAt: 10 * time.Second},
	{name: "one-left", shown: "zones with 1 or 2 backend servers", users: 60, pause: 700 * time.Millisecond, work: 22 * time.Millisecond, deadline: 2 * time.Second,
		aim: 150 * time.Millisecond, backends: []int{1, 5, 5}, length: 30 * time.Second},
	{name: "slow", shown: "backend servers at a quarter of their speed", users: 90, pause: 700 * time.Millisecond, work: 22 * time.Millisecond, deadline: 2 * time.Second,
		aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, slow: 2},
	{name: "outage", shown: "scale-2, second 41: windows at 0.63 and 1,100 answers of 503", users: 120, pause: 700 * time.Millisecond, work: 22 * time.Millisecond,
		deadline: 2 * time.Second, aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, outageAt: 10 * time.Second, outage: 1200 * time.Millisecond},
	{name: "heavy", shown: "isbc-grid at 4.5 times the calm load: 0.93 of the worth, 2,400 answers of 503", users: 264, pause: 700 * time.Millisecond, work: 22 * time.Millisecond,
		deadline: 2 * time.Second, aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second},
	{name: "mute", shown: "benammar-lb-grown, 20% of the backend servers leave 60% of their requests unanswered: 0.92 of the worth", users: 90, pause: 700 * time.Millisecond,
		work: 15 * time.Millisecond, deadline: 1500 * time.Millisecond, aim: 400 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, mute: 3, crashAt: 5 * time.Second},
	{name: "dark-benammar", shown: "benammar-lb trouble-2, second 24: window at 0.88", users: 90, pause: 700 * time.Millisecond, work: 15 * time.Millisecond,
		deadline: 500 * time.Millisecond, aim: 120 * time.Millisecond, backends: []int{5, 5, 4}, length: 30 * time.Second, crash: 4, crashAt: 10 * time.Second},
	{name: "outage-fresh", shown: "etxeberria-telar scale-2, second 41: windows at 0.58 and 0.41", rate: 147, work: 32 * time.Millisecond,
		deadline: 2500 * time.Millisecond, aim: 150 * time.Millisecond, backends: []int{5, 5, 4}, length: 20 * time.Second, outageAt: 10 * time.Second, outage: 1900 * time.Millisecond},
	{name: "dark-large", shown: "isbc-grid-large trouble-3, second 6: 120 of 480 dark, 386 requests of 8 s late", users: 810, pause: 1600 * time.Millisecond, work: 24 * time.Millisecond,
		deadline: 3 * time.Second, aim: 400 * time.Millisecond, backends: []int{96}, daemons: 60, fresh: 0.1, length: 20 * time.Second, crash: 24, crashAt: 10 * time.Second},
	{name: "dark-grown", shown: "benammar-lb-grown inc-35ab: 183 requests failed in 4 s", users: 270, pause: 700 * time.Millisecond, work: 17 * time.Millisecond,
		deadline: 1500 * time.Millisecond, aim: 400 * time.Millisecond, backends: []int{40}, daemons: 23, fresh: 0.1, length: 20 * time.Second, crash: 8, crashAt: 10 * time.Second},
}

func main() {
	only := flag.String("case", "", "one case instead of all")
	seed := flag.Uint64("seed", 1, "seed")
	out := flag.String("out", "out/replay", "directory of the plots")
	flag.Parse()
	if err := run(*only, *seed, *out); err != nil {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

func run(only string, seed uint64, out string) error {
	if err := os.MkdirAll(out, 0o755); err != nil {
		return eris.Wrap(err, "directory of the plots")
	}
	fmt.Println("| case | policy | answered | late | failed | shed | p50 ms | p99 ms | worst 2 s | busiest/mean | last new flow after a death ms, median and longest | false resets |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, l := range cases {
		if only != "" && only != l.name {
			continue
		}
		baseline, current := play(l, seed, newBaseline), play(l, seed, newSteerer)
		printOutcome(l.name, "baseline", baseline)
		printOutcome(l.name, "steerer", current)
		if err := draw(filepath.Join(out, l.name+".svg"), l, baseline, current); err != nil {
			return err
		}
	}
	return nil
}

func printOutcome(name, policy string, o outcome) {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	fmt.Printf("| %s | %s | %d | %d | %d | %d | %.1f | %.1f | %.3f | %.2f | %.0f, %.0f | %d |\n", name, policy, o.answered, o.late, o.failed, o.shed, ms(o.p50), ms(o.p99), o.worst, o.imbalance,
		ms(o.lastPlaced), ms(o.lastPlacedMost), o.falseResets)
}

func newSteerer(zone int, random *rand.Rand) policy {
	return steerer.New(steerer.Config{AvailabilityZone: zoneName(zone), Random: random})
}

// baseline places by own open flows alone: it learns nothing from packets that are repeated or not followed.
type baseline struct {
	*steerer.Steerer
}

func newBaseline(zone int, random *rand.Rand) policy {
	return baseline{steerer.New(steerer.Config{AvailabilityZone: zoneName(zone), Random: random, IgnoreObservations: true})}
}

func (baseline) TakeLostFlows(time.Time) []steerer.LostFlow { return nil }
func (baseline) TakeFindings(time.Time) []steerer.Finding   { return nil }
func (baseline) AddFinding(time.Time, steerer.Finding) bool { return false }

func draw(file string, l load, outcomes ...outcome) error {
	p := plot.New()
	p.Title.Text = l.name + ": " + l.shown
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "second", "worth of each 2 s", 0, 1.02
	for i, o := range outcomes {
		points := make(plotter.XYs, len(o.windows))
		for w, share := range o.windows {
			points[w] = plotter.XY{X: float64(w) * window.Seconds(), Y: share}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot a case")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add([]string{"baseline", "steerer"}[i], line)
	}
	return eris.Wrap(p.Save(18*vg.Centimeter, 9*vg.Centimeter, file), "write a plot")
}
