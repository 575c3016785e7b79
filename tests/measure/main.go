// Command measure compares the placement policies of services/scheduler in a discrete-event model of callers, balancers
// and backend servers, and prints the tables of docs/measurements.md. Two runs with the same seed give the same figures.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// parallelRuns limits the number of simultaneous simulations. They are CPU-bound, and the limit leaves cores free for other
// processes.
const parallelRuns = 8

func main() {
	seed := flag.Uint64("seed", 1, "seed of all random choices")
	plot := flag.String("plot", "", "also write the plot of imbalance against load to this SVG file")
	flag.Parse()
	if err := run(os.Stdout, *seed, *plot); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

// run executes all simulations and writes the tables to w. It also writes the plot if a file name is given.
func run(w io.Writer, seed uint64, plot string) error {
	started := time.Now()
	var g errgroup.Group
	g.SetLimit(parallelRuns)
	r := results{
		scenarios: startScenarioRuns(&g, seed), byLoad: startLoadRuns(&g, seed), mechanisms: startMechanismRuns(&g, seed),
		health: startHealthRuns(&g, seed), feeds: startFeedRuns(&g, seed), targets: startTargetRuns(&g, seed),
		mixed: startMixedRuns(&g, seed, mixedLoads), links: startLinkRuns(&g, seed, linkCases, linkLoads),
	}
	if err := g.Wait(); err != nil {
		return err
	}
	writeTargets(w, &r)
	writeLoads(w, r.byLoad)
	writeScenarios(w, r.scenarios)
	writeFeeds(w, r.feeds)
	writeMechanisms(w, r.mechanisms)
	writeHealth(w, r.health)
	writeMixed(w, r.mixed)
	writeLinks(w, r.links)
	fmt.Fprintf(os.Stderr, "measured in %.0f s\n", time.Since(started).Seconds())
	if plot == "" {
		return nil
	}
	return writePlot(plot, r.byLoad)
}
