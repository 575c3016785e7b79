package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
)

// pairMembership implements relayer.Members for two daemons. It makes the first one watch the platform.
type pairMembership struct{ watcher, self, other netip.AddrPort }

// ZoneMembers implements relayer.Members. It returns only the watcher, so that the relayers choose it.
func (p pairMembership) ZoneMembers() []netip.AddrPort { return []netip.AddrPort{p.watcher} }

// RandomPeers implements relayer.Members. It returns the other daemon.
func (p pairMembership) RandomPeers(int) []netip.AddrPort { return []netip.AddrPort{p.other} }

// IsLive implements relayer.Members.
func (p pairMembership) IsLive(netip.AddrPort) bool { return true }

// measureRelay measures the bytes between two daemons for a full sync of the settings and for a change of one backend server, by
// the size of the settings tree. It counts the TCP payload in both directions at the daemon that pulls.
func measureRelay(seed uint64, out *table) error {
	out.addRow("services", "servers", "tree B", "whole sealed B", "delta sealed B", "change on the wire B",
		"processor/change (two daemons)", "delivered after")
	for _, size := range treeSizes {
		if err := measureRelayPair(seed, size[0], size[1], out); err != nil {
			return err
		}
	}
	return nil
}

// measureRelayPair measures one row of measureRelay. The first daemon reads the platform, the second one pulls from the first.
func measureRelayPair(seed uint64, services, servers int, out *table) error {
	platform := newFakePlatform()
	defer platform.server.Close()
	vmsDocument := platform.documents["vms"]
	delete(platform.documents, "vms") // so that afterFullSync counts nothing but the settings
	content := settingsContent(services, servers, -1)
	platform.setSettings(1, content)
	first, second, stop, err := startRelayPair(seed, platform.server.URL)
	if err != nil {
		return err
	}
	if err := awaitRevision(first, 1); err != nil {
		return err
	}
	if err := awaitRevision(second, 1); err != nil {
		return err
	}
	afterFullSync := first.Counts()
	platform.setDocument("vms", vmsDocument)
	for second.Versions().VMs.Revision == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	beforeChange := second.Counts()
	cpu, started := cpuTime(), time.Now()
	platform.setSettings(2, settingsContent(services, servers, servers/2))
	if err := awaitRevision(second, 2); err != nil {
		return err
	}
	deliveryDelay := time.Since(started)
	time.Sleep(500 * time.Millisecond)
	afterChange := second.Counts()
	cpu = cpuTime() - cpu
	if afterChange["deltas-in"] != 1 {
		return fmt.Errorf("%d backend servers: %d deltas pulled, want 1", servers, afterChange["deltas-in"])
	}
	out.addRow(services, servers, len(content), afterFullSync["whole-bytes"]/max(1, afterFullSync["wholes-served"]),
		first.Counts()["delta-bytes"],
		afterChange["bytes-in"]+afterChange["bytes-out"]-beforeChange["bytes-in"]-beforeChange["bytes-out"], cpu, deliveryDelay)
	return stop()
}

// startRelayPair starts two relayers. The platform is out of reach of the second one, which pulls from the first.
func startRelayPair(seed uint64, platformURL string) (first, second *relayer.Relayer, stop func() error, err error) {
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, nil, err
		}
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	stop = func() error {
		cancel()
		return tasks.Wait()
	}
	var relayers []*relayer.Relayer
	for i, url := range []string{platformURL, "http://127.0.0.1:1"} {
		r, err := relayer.New(relayer.Config{
			PlatformURL: url, AvailabilityZone: measuredPlace, Self: addresses[i], Listener: listeners[i], Seeds: addresses[:1],
			PollInterval: time.Hour, Members: pairMembership{addresses[0], addresses[i], addresses[1-i]},
			Random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		if err != nil {
			return nil, nil, nil, err
		}
		relayers = append(relayers, r)
	}
	for _, r := range relayers {
		tasks.Go(func() error { return r.Run(ctx) })
		if r == relayers[0] {
			if err := awaitRevision(r, 1); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	return relayers[0], relayers[1], stop, nil
}

// awaitRevision waits until r holds the given revision of the settings or a higher one.
func awaitRevision(r *relayer.Relayer, revision uint64) error {
	for range 60_000 {
		if r.Versions().Settings.Revision >= revision {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("relayer does not hold revision %d of the settings after 60 s, counters: %v", revision, r.Counts())
}

// measurePlatform measures the rate of platform calls of one availability zone. The intervals of polls and the timeouts of
// watches are a 20th of the defaults; the column of scaled calls divides the rate by 20 again.
func measurePlatform(seed uint64, out *table) error {
	const speedUp = 20
	const span = 30 * time.Second
	out.addRow("daemons", "calls at start", "polls/s", "watches/s", "scaled calls/s")
	for _, size := range []int{50, 200, 420} {
		platform := newFakePlatform()
		platform.setSettings(1, settingsContent(4, 18, -1))
		g, err := startFleet(fleetConfig{
			seed: seed, size: size, platformURL: platform.server.URL, fixedMembership: true,
			pollInterval: relayer.DefaultPollInterval / speedUp, watchTimeout: relayer.DefaultLongPollTimeout / speedUp,
		})
		if err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		polls, watches := platform.callCounts()
		startCalls := polls + watches
		time.Sleep(3 * time.Second)
		polls, watches = platform.callCounts()
		time.Sleep(span)
		morePolls, moreWatches := platform.callCounts()
		if err := g.stop(); err != nil {
			return err
		}
		platform.server.Close()
		pollRate, watchRate := float64(morePolls-polls)/span.Seconds(), float64(moreWatches-watches)/span.Seconds()
		out.addRow(size, startCalls, pollRate, watchRate, (pollRate+watchRate)/speedUp)
	}
	return nil
}

const (
	daemonCount     = 420              // daemons in the measurement of propagation
	changeCount     = 8                // changes of a document in a measurement of propagation
	deliveryTimeout = 30 * time.Second // a change that a daemon has not received by then counts as missing
)

// measurePropagation returns the measurement of how long a change takes to reach all members of an availability zone, with
// real peer sockets and relayers, when the given share of datagrams and TCP segments is lost. It also covers CPU time and bytes
// of the whole control plane.
func measurePropagation(loss float64) func(seed uint64, out *table) error {
	return func(seed uint64, out *table) error {
		out.addRow("loss", "median", "p99", "last daemon (median of changes)", "last daemon (worst)", "missing",
			"notices in", "repairs", "pulls", "pull failures", "relay B/change/daemon", "core ms/change/daemon",
			"idle processor % of a core")
		return measurePropagationUnderLoss(seed, loss, out)
	}
}

// measurePropagationUnderLoss measures the only row of measurePropagation.
func measurePropagationUnderLoss(seed uint64, loss float64, out *table) error {
	platform := newFakePlatform()
	defer platform.server.Close()
	platform.setSettings(1, settingsContent(4, 18, -1))
	g, err := startFleet(fleetConfig{seed: seed, size: daemonCount, platformURL: platform.server.URL, lossRate: loss})
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	idleCPU := cpuTime()
	time.Sleep(measuredTime)
	idleCPU = cpuTime() - idleCPU
	before, cpu := g.relayerCounts(), time.Duration(0)
	var delays, lastDelays []time.Duration
	undelivered := 0
	for i := range changeCount {
		revision := uint64(i + 2)
		started, cpuBefore := time.Now(), cpuTime()
		platform.setSettings(revision, settingsContent(4, 18, i))
		changeDelays := g.awaitSettings(revision, started)
		cpu += cpuTime() - cpuBefore
		undelivered += daemonCount - len(changeDelays)
		slices.Sort(changeDelays)
		delays = append(delays, changeDelays...)
		lastDelays = append(lastDelays, changeDelays[len(changeDelays)-1])
		time.Sleep(2 * time.Second)
	}
	after := g.relayerCounts()
	perChange := func(name string) float64 { return float64(after[name]-before[name]) / changeCount / daemonCount }
	slices.Sort(delays)
	slices.Sort(lastDelays)
	out.addRow(loss, delays[len(delays)/2], delays[len(delays)*99/100], lastDelays[len(lastDelays)/2],
		lastDelays[len(lastDelays)-1], undelivered, perChange("notices-in"), perChange("repairs"),
		perChange("deltas-in")+perChange("wholes-in"), perChange("pull-failures"), perChange("bytes-out"),
		float64(cpu.Microseconds())/1000/changeCount/daemonCount, 100*idleCPU.Seconds()/measuredTime.Seconds()/daemonCount)
	return g.stop()
}

// awaitSettings waits until a revision of the settings is delivered at all daemons, at most for deliveryTimeout, and returns the
// delay of each delivery.
func (g *daemonGroup) awaitSettings(revision uint64, started time.Time) []time.Duration {
	return g.awaitDeliveries(started, func(d *daemon) time.Time { return d.settingsDeliveredAt[revision] })
}

// awaitDeliveries waits until deliveryTime returns a time for all daemons, at most for deliveryTimeout. It returns the delays
// from started to these times.
func (g *daemonGroup) awaitDeliveries(started time.Time, deliveryTime func(*daemon) time.Time) []time.Duration {
	for {
		var delays []time.Duration
		for _, d := range g.daemons {
			d.mu.Lock()
			delivered := deliveryTime(d)
			d.mu.Unlock()
			if !delivered.IsZero() {
				delays = append(delays, delivered.Sub(started))
			}
		}
		if len(delays) == len(g.daemons) || time.Since(started) > deliveryTimeout {
			return delays
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// relayerCounts returns the sums of the counters of all relayers.
func (g *daemonGroup) relayerCounts() map[string]uint64 {
	total := make(map[string]uint64)
	for _, d := range g.daemons {
		for name, n := range d.relayer.Counts() {
			total[name] += n
		}
	}
	return total
}
