package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/tests/bench/generator"
)

const (
	loadServers = 14
	loadSockets = 16
	// openAllowance is added to the time that opening all feeds takes at openRate.
	openAllowance = 10 * time.Second
)

// runLoad measures one balancer with growing numbers of open feeds, each level first without and then with new feeds.
func runLoad(o options, levels []int, churn float64) error {
	fmt.Printf("keepalives every 250 ms, one echo each, %.0f new feeds a second in the second line of a level, %s each, %d backend servers, seed %d, GOMAXPROCS %d\n\n",
		churn, o.duration, loadServers, o.seed, runtime.GOMAXPROCS(0))
	fmt.Println("| load | open feeds | keepalives/s | echoed | new feeds/s | cores | resident MB | platform calls/s | control bytes/s | ended or moved | silent for 3 s | refused | opens resent | batches dropped |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, feeds := range levels {
		if err := runLevel(o, feeds, churn); err != nil {
			return eris.Wrapf(err, "measure %d feeds", feeds)
		}
	}
	return nil
}

// runLevel measures a new system with one number of open feeds.
func runLevel(o options, feeds int, churn float64) error {
	echo, err := generator.StartEchoServers(loadServers, false)
	if err != nil {
		return err
	}
	defer echo.Stop()
	system, err := generator.StartSystem(o.binaryDir, echo)
	if err != nil {
		return err
	}
	defer system.Stop()
	load, err := generator.StartFeedLoad(generator.FeedLoadConfig{
		EntryAddress: system.EntryAddress, Sockets: loadSockets, Feeds: feeds, OpenRate: openRate, ChurnRate: churn, Seed: o.seed,
	})
	if err != nil {
		return err
	}
	defer load.Stop()
	if feeds > 0 {
		count := feeds / loadSockets * loadSockets
		if err := load.WaitOpen(count*99/100, time.Duration(float64(feeds)/openRate*float64(time.Second))+openAllowance); err != nil {
			fmt.Printf("| %d feeds | %v | | | | | | | | | | | | |\n", feeds, err)
			return nil
		}
	}
	time.Sleep(warmUpTime)
	if err := measureLoad(o, system, load, fmt.Sprintf("%d feeds", feeds)); err != nil || feeds == 0 {
		return err
	}
	load.StartChurn()
	return measureLoad(o, system, load, fmt.Sprintf("%d feeds, new ones", feeds))
}

// openRate is how many feeds a second are opened before the measurement.
const openRate = 10_000

// measureLoad observes a system under load for the duration of a measurement and prints one row of the table.
func measureLoad(o options, system *generator.System, load *generator.FeedLoad, name string) error {
	before, err := takeSnapshot(system, load)
	if err != nil {
		return err
	}
	time.Sleep(o.duration)
	after, err := takeSnapshot(system, load)
	if err != nil {
		return err
	}
	elapsed := after.at.Sub(before.at).Seconds()
	a, b := after.counts, before.counts
	echoed := 0.0
	if a.SentKeepalives > b.SentKeepalives {
		echoed = float64(a.EchoedKeepalives-b.EchoedKeepalives) / float64(a.SentKeepalives-b.SentKeepalives) * 100
	}
	fmt.Printf("| %s | %d | %.0f | %.2f%% | %.0f | %.2f | %d | %.1f | %.0f | %d | %d | %d | %d | %.0f |\n", name, a.OpenFeeds,
		float64(a.SentKeepalives-b.SentKeepalives)/elapsed, echoed, float64(a.OpenedFeeds-b.OpenedFeeds)/elapsed,
		(after.usage.CPUTime-before.usage.CPUTime).Seconds()/elapsed, after.usage.ResidentBytes>>20,
		float64(after.platformCalls-before.platformCalls)/elapsed,
		(after.metricSums[generator.ControlBytes]-before.metricSums[generator.ControlBytes])/elapsed,
		a.EndedFeeds+a.MovedFeeds, a.SilentFeeds, a.RefusedOpens-b.RefusedOpens, a.RetransmittedOpens-b.RetransmittedOpens,
		after.metricSums[generator.RingDrops]-before.metricSums[generator.RingDrops])
	return nil
}

// snapshot holds the counters of a system and its load at one time.
type snapshot struct {
	at            time.Time
	usage         generator.Usage
	counts        generator.FeedCounts
	platformCalls uint64
	metricSums    map[string]float64
}

func takeSnapshot(system *generator.System, load *generator.FeedLoad) (s snapshot, err error) {
	if s.usage, err = generator.ReadUsage(system.Daemon.Process.Pid); err != nil {
		return s, err
	}
	if s.platformCalls, err = system.PlatformCalls(); err != nil {
		return s, err
	}
	if s.metricSums, err = system.MetricSums(); err != nil {
		return s, err
	}
	s.counts, s.at = load.Counts(), time.Now()
	return s, nil
}
