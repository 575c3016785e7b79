// Command soak runs the daemons of direct server return as real processes on loopback and injects faults from outside, which are
// drawn from a seed and overlap: daemons are stopped, killed and paused, backend servers drain and crash, the configuration
// store fails in each way, compacts its history, stops responding and is restored from an older copy, and the configuration changes. The links to daemons and to
// the store lose, duplicate, delay and block packets or reset connections, some in one direction only. With -ends, daemons also get signals in
// their first milliseconds and while they drain, start beside their predecessor, and read incomplete settings and odd inputs. No process
// may end but by a signal of the soak. With -moves, long flows move between daemons before backend servers crash. With -bursts, many callers come at a few backend servers. Meanwhile callers and
// backend servers check the guarantees, such as that no request runs twice. The report is a Markdown page with a plot.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

func main() {
	o := options{}
	flag.StringVar(&o.binaryDir, "binaries", "bin", "directory with the built programs")
	flag.StringVar(&o.reportDir, "report", "out/soak", "directory for the report")
	flag.Uint64Var(&o.firstSeed, "seed", 1, "first seed; 0 derives it from the time")
	flag.IntVar(&o.runs, "runs", 1, "number of runs, with consecutive seeds")
	flag.BoolVar(&o.runRegressions, "regressions", false, "run the seeds that failed in the past instead")
	flag.DurationVar(&o.runDuration, "length", 20*time.Second, "length of a run")
	flag.BoolVar(&o.processFaults, "ends", false, "also draw faults of starts, stops, settings and inputs, with the settings of the deploy template")
	flag.BoolVar(&o.moves, "moves", false, "keep flows open for long, and move flows to other daemons of the only zone and back before backend servers crash; ignores -daemons")
	flag.BoolVar(&o.bursts, "bursts", false, "let many callers come again and again at one loaded backend server a zone, without other faults; ignores -daemons")
	flag.BoolVar(&o.signalsAfterOutput, "signals-after-output", false, "with -ends, send early signals only once a process has written a line; before, SIGHUP ends any program")
	flag.IntVar(&o.daemons, "daemons", 6, "number of daemons in the 3 availability zones")
	flag.Float64Var(&o.share, "share", 0, "share of a core that each daemon gets, such as 0.088; 0 means no limit. Bounds of times are not checked then")
	flag.IntVar(&o.busy, "busy", 0, "number of busy goroutines beside the daemons")
	flag.Parse()
	if err := os.Setenv("GORACE", "halt_on_error=0 exitcode=0"); err != nil { // for daemons that are built with -race
		panic(err)
	}
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
	processFaults        bool
	moves, bursts        bool
	signalsAfterOutput   bool
	daemons, busy        int
	share                float64
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
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	for range o.busy {
		group.Go(func() error {
			for ctx.Err() == nil { // keeps a thread busy
			}
			return nil
		})
	}
	defer func() {
		stop()
		_ = group.Wait()
	}()
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
		for _, text := range r.observations {
			fmt.Println("  observed, not checked with a share of a core:", text)
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
