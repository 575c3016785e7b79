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
	// openSlack is the time that the opens may take beyond their rate.
	openSlack = 10 * time.Second
)

// runLoad measures one balancer with growing numbers of open feeds, at rest and with new feeds.
func runLoad(o options, levels []int, churn float64) error {
	fmt.Printf("keepalives every 250 ms, one echo each, %.0f new feeds a second in the second line of a level, %s each, %d backend servers, seed %d, GOMAXPROCS %d\n\n",
		churn, o.seconds, loadServers, o.seed, runtime.GOMAXPROCS(0))
	fmt.Println("| load | open feeds | keepalives/s | echoed | new feeds/s | cores | resident MB | platform calls/s | control bytes/s | ended or moved | silent for 3 s | refused | opens resent | batches dropped |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, feeds := range levels {
		if err := runLevel(o, feeds, churn); err != nil {
			return eris.Wrapf(err, "%d feeds", feeds)
		}
	}
	return nil
}

func runLevel(o options, feeds int, churn float64) error {
	e, err := generator.StartEchoServers(loadServers, false)
	if err != nil {
		return err
	}
	defer e.Stop()
	s, err := generator.StartSystem(o.binaries, e)
	if err != nil {
		return err
	}
	defer s.Stop()
	l, err := generator.StartFeedLoad(generator.FeedLoadConfig{
		EntryAddress: s.EntryAddress, Sockets: loadSockets, Feeds: feeds, OpenRate: openRate, ChurnRate: churn, Seed: o.seed,
	})
	if err != nil {
		return err
	}
	defer l.Stop()
	if feeds > 0 {
		count := feeds / loadSockets * loadSockets
		if err := l.WaitOpen(count*99/100, time.Duration(float64(feeds)/openRate*float64(time.Second))+openSlack); err != nil {
			fmt.Printf("| %d feeds | %v | | | | | | | | | | | | |\n", feeds, err)
			return nil
		}
	}
	time.Sleep(warmUp)
	if err := observe(o, s, l, fmt.Sprintf("%d feeds", feeds)); err != nil || feeds == 0 {
		return err
	}
	l.StartChurn()
	return observe(o, s, l, fmt.Sprintf("%d feeds, new ones", feeds))
}

// openRate is how many feeds are opened a second before the measurement.
const openRate = 10_000

func observe(o options, s *generator.System, l *generator.FeedLoad, name string) error {
	before, err := take(s, l)
	if err != nil {
		return err
	}
	time.Sleep(o.seconds)
	after, err := take(s, l)
	if err != nil {
		return err
	}
	took := after.at.Sub(before.at).Seconds()
	a, b := after.count, before.count
	echoed := 0.0
	if a.SentKeepalives > b.SentKeepalives {
		echoed = float64(a.EchoedKeepalives-b.EchoedKeepalives) / float64(a.SentKeepalives-b.SentKeepalives) * 100
	}
	fmt.Printf("| %s | %d | %.0f | %.2f%% | %.0f | %.2f | %d | %.1f | %.0f | %d | %d | %d | %d | %.0f |\n", name, a.OpenFeeds,
		float64(a.SentKeepalives-b.SentKeepalives)/took, echoed, float64(a.OpenedFeeds-b.OpenedFeeds)/took,
		(after.usage.CPUTime-before.usage.CPUTime).Seconds()/took, after.usage.ResidentBytes>>20,
		float64(after.calls-before.calls)/took, (after.sums[generator.ControlBytes]-before.sums[generator.ControlBytes])/took,
		a.EndedFeeds+a.MovedFeeds, a.SilentFeeds, a.RefusedOpens-b.RefusedOpens, a.RetransmittedOpens-b.RetransmittedOpens, after.sums[generator.RingDrops]-before.sums[generator.RingDrops])
	return nil
}

// moment is the state of a run at one time.
type moment struct {
	at    time.Time
	usage generator.Usage
	count generator.FeedLoadCounts
	calls uint64
	sums  map[string]float64
}

func take(s *generator.System, l *generator.FeedLoad) (m moment, err error) {
	if m.usage, err = generator.ReadUsage(s.Daemon.Process.Pid); err != nil {
		return m, err
	}
	if m.calls, err = s.PlatformCalls(); err != nil {
		return m, err
	}
	if m.sums, err = s.MetricSums(); err != nil {
		return m, err
	}
	m.count, m.at = l.Counts(), time.Now()
	return m, nil
}
