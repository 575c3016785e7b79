// Command demo runs the whole system on loopback for about 20 s. It keeps feeds open and sends requests while every balancer is
// replaced once and a backend server drains, and prints what the callers and the backend servers recorded.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
)

const (
	feedCount     = 60
	ovenwatchRate = 60 // non-idempotent requests a second
	recipeRate    = 60 // idempotent requests a second
	// replacementInterval is the time before each replacement of a balancer.
	replacementInterval = 2 * time.Second
	// finalLoadTime is how long the load continues after the last replacement.
	finalLoadTime = 3 * time.Second
	// drainAfterReplacements is the number of replacements after which a backend server is drained.
	drainAfterReplacements = 3

	openTimeout = 10 * time.Second
)

// errInterrupted reports that a signal has stopped the demo.
var errInterrupted = eris.New("interrupted")

func main() {
	seed := flag.Uint64("seed", 1, "seed of the load, the fabric's choices and the service times")
	logs := flag.String("logs", "", "keep the logs and settings of all processes in this directory")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ok, err := run(ctx, *seed, *logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(ctx context.Context, seed uint64, logs string) (bool, error) {
	program, err := os.Executable()
	if err != nil {
		return false, eris.Wrap(err, "find the directory of the programs")
	}
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return false, eris.Wrap(err, "create the log directory")
		}
	}
	printProgress("starting 7 balancers and 18 backend servers in 2 availability zones, seed %d", seed)
	cluster, err := harness.Start(harness.Config{
		Binaries: filepath.Dir(program), Directory: logs, Seed: seed, Balancers: []int{4, 3},
		Services: []harness.ServiceConfig{
			{Name: "ovenwatch", PerZone: []int{7, 7}},
			{Name: "recipecard", PerZone: []int{2, 2}},
		},
	})
	if err != nil {
		return false, err
	}
	defer cluster.Stop()
	traffic, err := cluster.StartTraffic(harness.TrafficConfig{
		Seed:  seed,
		Feeds: []harness.FeedLoad{{Service: "ovenwatch", Feeds: feedCount}},
		Requests: []harness.RequestLoad{
			{Service: "ovenwatch", Rate: ovenwatchRate},
			{Service: "recipecard", Rate: recipeRate, Idempotent: true},
		},
	})
	if err != nil {
		return false, err
	}
	err = replaceBalancers(ctx, cluster, traffic)
	if eris.Is(err, errInterrupted) {
		return false, err
	}
	printProgress("stopping the load")
	records := traffic.Stop()
	if err != nil {
		return false, err
	}
	tally, err := cluster.Tally(records, "ovenwatch")
	if err != nil {
		return false, err
	}
	printReport(tally, records)
	return tally.Failures() == 0 && tally.OpenedFeeds == feedCount && tally.Answered > 0, nil
}

// replaceBalancers replaces every balancer once and drains one backend server meanwhile.
func replaceBalancers(ctx context.Context, cluster *harness.Cluster, traffic *harness.Traffic) error {
	if err := traffic.WaitFeeds(feedCount, openTimeout); err != nil {
		return err
	}
	printProgress("%d feeds are open", feedCount)
	for i, old := range cluster.Balancers() {
		if err := wait(ctx, replacementInterval); err != nil {
			return err
		}
		started := time.Now()
		b, err := cluster.ReplaceBalancer(old)
		if err != nil {
			return err
		}
		p := traffic.Progress()
		printProgress("%s replaced %s in %d ms; readings %d, requests %d, answered %d",
			b.Process.Name, old.Process.Name, time.Since(started).Milliseconds(), p.Readings, p.Requests, p.Answered)
		if i+1 == drainAfterReplacements {
			if err := drainBackend(cluster); err != nil {
				return err
			}
		}
	}
	return wait(ctx, finalLoadTime)
}

func drainBackend(cluster *harness.Cluster) error {
	backend := cluster.Backends("ovenwatch")[0]
	printProgress("draining %s", backend.Process.Name)
	if err := cluster.MarkLeavingInSettings(backend); err != nil {
		return err
	}
	return backend.Drain()
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errInterrupted
	case <-time.After(d):
		return nil
	}
}

var startTime = time.Now()

// printProgress prints a line with the time since the start.
func printProgress(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(startTime).Seconds(), fmt.Sprintf(format, args...))
}

// printReport prints the first violations and the counts of the run.
func printReport(tally *harness.Tally, records harness.Records) {
	const maxViolations = 20
	for _, violation := range tally.Violations[:min(len(tally.Violations), maxViolations)] {
		fmt.Println("  violation:", violation)
	}
	rows := []struct {
		name  string
		value any
	}{
		{"feeds open", tally.OpenedFeeds}, {"feeds not opened", tally.UnopenedFeeds}, {"feeds broken", tally.BrokenFeeds}, {"moves by move datagram", tally.Moves},
		{"longest gap in a feed", longestGap(records)}, {"requests", tally.Requests}, {"  answered", tally.Answered},
		{"  not run", tally.NotRun}, {"  unknown", tally.Unknown}, {"  failed (idempotent)", tally.Failed},
		{"answers to another call", tally.WrongAnswers}, {"run twice", tally.DuplicateRuns}, {"not-run, but ran", tally.FalseNotRun},
		{"wrong service", tally.WrongService}, {"imbalance (max/mean)", fmt.Sprintf("%.2f", tally.Imbalance)},
		{"longest delay of the load", tally.MaxScheduleDelay.Round(time.Millisecond)},
	}
	for _, r := range rows {
		fmt.Printf("  %-26s %v\n", r.name, r.value)
	}
	fmt.Println("demo:", tally)
}

// longestGap returns the longest time between two readings of a feed.
func longestGap(records harness.Records) time.Duration {
	var longest time.Duration
	for _, f := range records.Feeds {
		longest = max(longest, f.LongestGap)
	}
	return longest.Round(time.Millisecond)
}
