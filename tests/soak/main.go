// Command soak runs direct-return daemons as real processes on loopback and injects faults from outside, drawn from a
// seed: daemons are stopped, killed and paused, backend servers drain and crash, the store fails in each way, loses its history
// and goes silent, the configuration changes, and links to daemons and to the store lose, double, delay, reset, cut one way and
// silence what they carry. Callers and backend servers check the promises meanwhile. Faults come in
// series and overlap. The report is a Markdown page with a plot.
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
	flag.StringVar(&o.binaries, "binaries", "bin", "directory with the built programs")
	flag.StringVar(&o.report, "report", "out/soak", "directory of the report")
	flag.Uint64Var(&o.seed, "seed", 1, "first seed; 0 takes fresh ones")
	flag.IntVar(&o.runs, "runs", 1, "number of runs, with consecutive seeds")
	flag.BoolVar(&o.regressions, "regressions", false, "run the seeds that failed once instead")
	flag.DurationVar(&o.length, "length", 20*time.Second, "length of a run")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

type options struct {
	binaries, report string
	seed             uint64
	runs             int
	regressions      bool
	length           time.Duration
}

// cases returns the seeds to run, and whether links are disturbed.
func (o *options) cases() []regression {
	if o.regressions {
		return regressions
	}
	list := make([]regression, o.runs)
	for i := range list {
		list[i] = regression{seed: o.seed + uint64(i), links: true}
	}
	return list
}

func run(o options) error {
	if o.seed == 0 {
		o.seed = uint64(time.Now().UnixNano())
	}
	var results []*result
	violated := 0
	for _, c := range o.cases() {
		r, err := soak(o, c.seed, c.links)
		if err != nil {
			return err
		}
		results = append(results, r)
		fmt.Println(r.line())
		for _, v := range r.violations {
			violated++
			fmt.Println("  broken:", v)
		}
	}
	if err := os.MkdirAll(o.report, 0o755); err != nil {
		return eris.Wrap(err, "directory of the report")
	}
	if err := plotResults(filepath.Join(o.report, "soak.svg"), results); err != nil {
		return err
	}
	var page strings.Builder
	fmt.Fprintf(&page, "# Fault soak\n\n%d runs of %s, with the seeds below. A run repeats with -seed; the order of events inside it is the machine's.\n\n![answers per second](soak.svg)\n\n", len(results), o.length)
	page.WriteString("| seed | faults | answered | late | failed | unopened | resets | broken promises |\n|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&page, "| %d | %d | %d | %d | %d | %d | %d | %s |\n", r.seed, len(r.faults), r.counts.Answered, r.counts.Late, r.counts.Failed,
			r.counts.Unopened, r.counts.Resets, strings.Join(r.violations, "; "))
	}
	if err := os.WriteFile(filepath.Join(o.report, "soak.md"), []byte(page.String()), 0o644); err != nil {
		return eris.Wrap(err, "write the report")
	}
	if violated > 0 {
		return eris.Errorf("%d promises broken: run the seed again and read the logs that it names", violated)
	}
	return nil
}
