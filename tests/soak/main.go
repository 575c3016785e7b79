// Command soak runs the daemons of direct server return as real processes on loopback and injects faults from outside, which are
// drawn from a seed and overlap: daemons are stopped, killed and paused, backend servers drain and crash, the configuration
// store fails in each way, compacts its history, stops responding and is restored from an older copy, and the configuration changes. The links to daemons and to
// the store lose, duplicate, delay and block packets or reset connections, some in one direction only. Meanwhile callers and
// backend servers check the guarantees, such as that no request runs twice. The report is a Markdown page with a plot.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

func main() {
	o := options{}
	flag.StringVar(&o.binaryDir, "binaries", "bin", "directory with the built programs")
	flag.StringVar(&o.reportDir, "report", "out/soak", "directory for the report")
	flag.Uint64Var(&o.firstSeed, "seed", 1, "first seed; 0 derives it from the time")
	flag.IntVar(&o.runs, "runs", 1, "number of runs, with consecutive seeds")
	flag.BoolVar(&o.runRegressions, "regressions", false, "run the seeds that failed in the past instead")
	flag.DurationVar(&o.runDuration, "length", 20*time.Second, "length of a run")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

type options struct {
	binaryDir, reportDir string
	firstSeed            uint64
	runs                 int
	runRegressions       bool
	runDuration          time.Duration
}

// seeds returns the seeds to run, each with whether link faults are drawn.
func (o *options) seeds() []regression {
	if o.runRegressions {
		return regressions
	}
	list := make([]regression, o.runs)
	for i := range list {
		list[i] = regression{seed: o.firstSeed + uint64(i), linkFaults: true}
	}
	return list
}

func run(o options) error {
	if o.firstSeed == 0 {
		o.firstSeed = uint64(time.Now().UnixNano())
	}
	var results []*runResult
	violations := 0
	for _, c := range o.seeds() {
		r, err := runSeed(o, c.seed, c.linkFaults)
		if err != nil {
			return err
		}
		results = append(results, r)
		fmt.Println(r.summary())
		for _, v := range r.violations {
			violations++
			fmt.Println("  broken guarantee:", v)
		}
	}
	if err := os.MkdirAll(o.reportDir, 0o755); err != nil {
		return eris.Wrap(err, "create the directory for the report")
	}
	if err := plotResults(filepath.Join(o.reportDir, "soak.svg"), results); err != nil {
		return err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Fault soak\n\n%d runs of %s, with the seeds below. With -seed a run draws the same faults again; the scheduling of the processes may differ.\n\n![answers per second](soak.svg)\n\n", len(results), o.runDuration)
	page.WriteString("| seed | faults | answered | late | failed | unopened | resets | broken guarantees |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&page, "| %d | %d | %d | %d | %d | %d | %d | %s |\n", r.seed, len(r.faults), r.callerCounts.Answered, r.callerCounts.Late, r.callerCounts.Failed,
			r.callerCounts.Unopened, r.callerCounts.Resets, strings.Join(r.violations, "; "))
	}
	if err := os.WriteFile(filepath.Join(o.reportDir, "soak.md"), []byte(page.String()), 0o644); err != nil {
		return eris.Wrap(err, "write the report")
	}
	if violations > 0 {
		return eris.Errorf("%d violations of guarantees: run the seed again and read the logs that the run names", violations)
	}
	return nil
}
