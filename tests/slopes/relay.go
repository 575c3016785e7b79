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

// pair is a membership of two daemons of which the first one watches the platform.
type pair struct{ watcher, self, other netip.AddrPort }

// ZoneMembers returns the watcher only, so that it is chosen.
func (p pair) ZoneMembers() []netip.AddrPort { return []netip.AddrPort{p.watcher} }

// RandomPeers returns the other daemon.
func (p pair) RandomPeers(int) []netip.AddrPort { return []netip.AddrPort{p.other} }

// IsLive returns true.
func (p pair) IsLive(netip.AddrPort) bool { return true }

// measureRelay measures the bytes between two daemons for the whole settings and for a change of one backend server,
// by the size of the tree. Bytes are those of TCP payload in both directions, counted at the pulling daemon.
func measureRelay(seed uint64, out *table) error {
	out.row("services", "servers", "tree B", "whole sealed B", "delta sealed B", "change on the wire B", "processor/change (two daemons)", "delivered after")
	for _, size := range treeSizes {
		if err := measurePair(seed, size[0], size[1], out); err != nil {
			return err
		}
	}
	return nil
}

func measurePair(seed uint64, services, servers int, out *table) error {
	p := newPlatform()
	defer p.server.Close()
	vms := p.documents["vms"]
	delete(p.documents, "vms") // until the whole settings are counted
	before := treeOf(services, servers, -1)
	p.setSettings(1, before)
	first, second, stop, err := startPair(seed, p.server.URL)
	if err != nil {
		return err
	}
	if err := await(first, 1); err != nil {
		return err
	}
	if err := await(second, 1); err != nil {
		return err
	}
	served := first.Counts()
	p.set("vms", vms)
	for second.Versions().VMs.Revision == 0 {
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	whole := second.Counts()
	processor, started := processorTime(), time.Now()
	p.setSettings(2, treeOf(services, servers, servers/2))
	if err := await(second, 2); err != nil {
		return err
	}
	delivered := time.Since(started)
	time.Sleep(500 * time.Millisecond)
	delta := second.Counts()
	processor = processorTime() - processor
	if delta["deltas-in"] != 1 {
		return fmt.Errorf("%d servers: %d deltas pulled, want 1", servers, delta["deltas-in"])
	}
	out.row(services, servers, len(before), served["whole-bytes"]/max(1, served["wholes-served"]),
		first.Counts()["delta-bytes"], delta["bytes-in"]+delta["bytes-out"]-whole["bytes-in"]-whole["bytes-out"], processor, delivered)
	return stop()
}

func startPair(seed uint64, platform string) (first, second *relayer.Relayer, stop func() error, err error) {
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
	var running errgroup.Group
	stop = func() error {
		cancel()
		return running.Wait()
	}
	var list []*relayer.Relayer
	for i, url := range []string{platform, "http://127.0.0.1:1"} {
		r, err := relayer.New(relayer.Config{
			PlatformURL: url, AvailabilityZone: placeMeasured, Self: addresses[i], Listener: listeners[i], Seeds: addresses[:1], PollInterval: time.Hour,
			Members: pair{addresses[0], addresses[i], addresses[1-i]}, Random: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		if err != nil {
			return nil, nil, nil, err
		}
		list = append(list, r)
	}
	for _, r := range list {
		running.Go(func() error { return r.Run(ctx) })
		if r == list[0] {
			if err := await(r, 1); err != nil {
				return nil, nil, nil, err
			}
		}
	}
	return list[0], list[1], stop, nil
}

// await waits until r holds a revision of the settings.
func await(r *relayer.Relayer, revision uint64) error {
	for range 60_000 {
		if r.Versions().Settings.Revision >= revision {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("revision %d did not arrive within 60 s: %v", revision, r.Counts())
}

// measurePlatform measures the platform calls of one availability zone. Polls and waits run 20 times faster than by
// default; the scaled column divides by 20.
func measurePlatform(seed uint64, out *table) error {
	const faster = 20
	const span = 30 * time.Second
	out.row("daemons", "calls at start", "polls/s", "watches/s", "scaled calls/s")
	for _, size := range []int{50, 200, 420} {
		p := newPlatform()
		p.setSettings(1, treeOf(4, 18, -1))
		g, err := startFleet(fleetConfig{
			seed: seed, size: size, platform: p.server.URL, members: true, poll: relayer.DefaultPollInterval / faster, wait: relayer.DefaultLongPollTimeout / faster,
		})
		if err != nil {
			return err
		}
		time.Sleep(1500 * time.Millisecond)
		polls, watches := p.calls()
		start := polls + watches
		time.Sleep(3 * time.Second)
		polls, watches = p.calls()
		time.Sleep(span)
		morePolls, moreWatches := p.calls()
		if err := g.stop(); err != nil {
			return err
		}
		p.server.Close()
		pollRate, watchRate := float64(morePolls-polls)/span.Seconds(), float64(moreWatches-watches)/span.Seconds()
		out.row(size, start, pollRate, watchRate, (pollRate+watchRate)/faster)
	}
	return nil
}

const (
	spreadSize    = 420
	spreadChanges = 8
	spreadLimit   = 30 * time.Second
)

// measureSpread measures how long a change takes to reach all members of an availability zone, with real peer sockets
// and relayers, under loss of datagrams and TCP segments, and the processor time and bytes of the whole control side.
func measureSpread(loss float64) func(seed uint64, out *table) error {
	return func(seed uint64, out *table) error {
		out.row("loss", "median", "p99", "last daemon (median of changes)", "last daemon (worst)", "missing",
			"notices in", "repairs", "pulls", "pull failures", "relay B/change/daemon", "core ms/change/daemon",
			"idle processor % of a core")
		return spreadUnder(seed, loss, out)
	}
}

func spreadUnder(seed uint64, loss float64, out *table) error {
	p := newPlatform()
	defer p.server.Close()
	p.setSettings(1, treeOf(4, 18, -1))
	g, err := startFleet(fleetConfig{seed: seed, size: spreadSize, platform: p.server.URL, loss: loss})
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	idle := processorTime()
	time.Sleep(measure)
	idle = processorTime() - idle
	before, processor := g.sum(), time.Duration(0)
	var all, last []time.Duration
	missing := 0
	for i := range spreadChanges {
		revision := uint64(i + 2)
		started, used := time.Now(), processorTime()
		p.setSettings(revision, treeOf(4, 18, i))
		arrivals := g.awaitAll(revision, started)
		processor += processorTime() - used
		missing += spreadSize - len(arrivals)
		slices.Sort(arrivals)
		all = append(all, arrivals...)
		last = append(last, arrivals[len(arrivals)-1])
		time.Sleep(2 * time.Second)
	}
	after := g.sum()
	perChange := func(name string) float64 { return float64(after[name]-before[name]) / spreadChanges / spreadSize }
	slices.Sort(all)
	slices.Sort(last)
	out.row(loss, all[len(all)/2], all[len(all)*99/100], last[len(last)/2], last[len(last)-1], missing, perChange("notices-in"),
		perChange("repairs"), perChange("deltas-in")+perChange("wholes-in"), perChange("pull-failures"), perChange("bytes-out"),
		float64(processor.Microseconds())/1000/spreadChanges/spreadSize, 100*idle.Seconds()/measure.Seconds()/spreadSize)
	return g.stop()
}

// awaitAll waits until all daemons have the revision and returns how long each took.
func (g *group) awaitAll(revision uint64, started time.Time) []time.Duration {
	return g.awaitArrivals(started, func(d *daemon) time.Time { return d.arrived[revision] })
}

// awaitArrivals waits until all daemons have an arrival, at most for spreadLimit, and returns how long each took.
func (g *group) awaitArrivals(started time.Time, arrival func(*daemon) time.Time) []time.Duration {
	for {
		var arrivals []time.Duration
		for _, d := range g.daemons {
			d.mu.Lock()
			at := arrival(d)
			d.mu.Unlock()
			if !at.IsZero() {
				arrivals = append(arrivals, at.Sub(started))
			}
		}
		if len(arrivals) == len(g.daemons) || time.Since(started) > spreadLimit {
			return arrivals
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sum returns the counters of all relayers.
func (g *group) sum() map[string]uint64 {
	total := make(map[string]uint64)
	for _, d := range g.daemons {
		for name, n := range d.relayer.Counts() {
			total[name] += n
		}
	}
	return total
}
