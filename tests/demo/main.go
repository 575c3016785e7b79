// Command demo runs the whole system on loopback for about 20 s: it keeps feeds and requests going while every balancer
// is replaced once and a backend server drains, and prints what the callers and the backend servers recorded.
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
	feeds         = 60
	ovenwatchRate = 60 // non-idempotent requests a second
	recipeRate    = 60 // idempotent requests a second
	// step is the time between the replacements of two balancers.
	step = 2 * time.Second
	// tailTime is how long the load goes on after the last replacement.
	tailTime = 3 * time.Second
	// drainAfter is the number of replacements after which the backend server drains.
	drainAfter = 3

	openTimeout = 10 * time.Second
)

// errInterrupted reports that the user has stopped the demo.
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
		return false, eris.Wrap(err, "find the programs")
	}
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return false, eris.Wrap(err, "make the log directory")
		}
	}
	say("starting 7 balancers and 18 backend servers in 2 availability zones, seed %d", seed)
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
		Feeds: []harness.FeedLoad{{Service: "ovenwatch", Feeds: feeds}},
		Requests: []harness.RequestLoad{
			{Service: "ovenwatch", Rate: ovenwatchRate},
			{Service: "recipecard", Rate: recipeRate, Idempotent: true},
		},
	})
	if err != nil {
		return false, err
	}
	err = drive(ctx, cluster, traffic)
	if eris.Is(err, errInterrupted) {
		return false, err
	}
	say("stopping the load")
	records := traffic.Stop()
	if err != nil {
		return false, err
	}
	tally, err := cluster.Tally(records, "ovenwatch")
	if err != nil {
		return false, err
	}
	report(tally, records)
	return tally.Failures() == 0 && tally.Flows == feeds && tally.Answered > 0, nil
}

// drive replaces every balancer once and drains one backend server.
func drive(ctx context.Context, cluster *harness.Cluster, traffic *harness.Traffic) error {
	if err := traffic.WaitFeeds(feeds, openTimeout); err != nil {
		return err
	}
	say("%d feeds are open", feeds)
	for i, old := range cluster.Balancers() {
		if err := pause(ctx, step); err != nil {
			return err
		}
		started := time.Now()
		b, err := cluster.ReplaceBalancer(old)
		if err != nil {
			return err
		}
		p := traffic.Progress()
		say("%s took over from %s in %d ms; readings %d, requests %d, answered %d",
			b.Process.Name, old.Process.Name, time.Since(started).Milliseconds(), p.Readings, p.Requests, p.Answered)
		if i+1 == drainAfter {
			if err := drain(cluster); err != nil {
				return err
			}
		}
	}
	return pause(ctx, tailTime)
}

func drain(cluster *harness.Cluster) error {
	b := cluster.Backends("ovenwatch")[0]
	say("%s drains", b.Process.Name)
	if err := cluster.MarkLeavingInSettings(b); err != nil {
		return err
	}
	return b.Drain()
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return errInterrupted
	case <-time.After(d):
		return nil
	}
}

var begun = time.Now()

func say(format string, args ...any) {
	fmt.Printf("%5.1fs  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

func report(t *harness.Tally, records harness.Records) {
	const shown = 20
	for _, line := range t.Faults[:min(len(t.Faults), shown)] {
		fmt.Println("  fault:", line)
	}
	rows := []struct {
		name  string
		value any
	}{
		{"feeds open", t.Flows}, {"feeds not opened", t.UnopenedFeeds}, {"feeds broken", t.BrokenFlows}, {"moves by hint", t.Moves},
		{"longest gap in a feed", longestGap(records)}, {"requests", t.Requests}, {"  answered", t.Answered},
		{"  not run", t.NotRun}, {"  unknown", t.Unknown}, {"  failed (idempotent)", t.Failed},
		{"answers to another call", t.WrongAnswers}, {"run twice", t.DuplicateRuns}, {"not-run, but ran", t.FalseNotRun},
		{"wrong service", t.WrongService}, {"imbalance (max/mean)", fmt.Sprintf("%.2f", t.Imbalance)},
		{"longest delay of the load", t.MaxScheduleDelay.Round(time.Millisecond)},
	}
	for _, r := range rows {
		fmt.Printf("  %-26s %v\n", r.name, r.value)
	}
	fmt.Println("demo:", t)
}

func longestGap(records harness.Records) time.Duration {
	var longest time.Duration
	for _, f := range records.Feeds {
		longest = max(longest, f.LongestGap)
	}
	return longest.Round(time.Millisecond)
}
