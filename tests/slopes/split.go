package main

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/routers/relayer"
)

// measuredPlace is the availability zone of the daemons. The measurements change its document.
const measuredPlace = "place-0"

// measuredDocument identifies the document of measuredPlace.
var measuredDocument = settings.DocumentID(settings.PlaceDocumentName(measuredPlace))

// followedPlaces is the number of places in the region of a daemon, whose documents it reads.
const followedPlaces = 3

// splitSizes are the numbers of services and backend servers of the whole fleet.
var splitSizes = [][2]int{{67, 200}, {667, 2000}, {3300, 9667}, {9900, 29000}}

// measureSplit measures the size of settings that are split into a root document and a document for each place, and the cost of
// the root and the documents of its region for a daemon: time, memory, and the garbage when the document of a place changes.
func measureSplit(_ uint64, out *table) error {
	out.addRow("services", "servers", "root B", "place B", "place vms B", "parse root", "parse place", "compose+view",
		"heap B", "garbage of a change B", "peak heap of a change B")
	for _, size := range splitSizes {
		services, servers := size[0], size[1]
		rootBytes := rootContent(services)
		var contents [][]byte
		for place := range followedPlaces {
			contents = append(contents, placeContent(services, servers, place, -1))
		}
		vmsBytes := vmsContent(servers/8/placeCount, servers/placeCount)
		heapBefore := heapBytes()
		root, err := settings.Parse("settings", 1, rootBytes)
		if err != nil {
			return err
		}
		var documents []*settings.PlaceDocument
		for place := range followedPlaces {
			d, err := parsePlace(place, contents[place])
			if err != nil {
				return err
			}
			documents = append(documents, d)
		}
		vms, err := fleet.Parse(1, vmsBytes)
		if err != nil {
			return err
		}
		build := func() *view.View {
			tree, _ := settings.Compose(root, documents)
			return view.New(tree, fleet.Merge(&fleet.List{}, []*fleet.List{vms, vms, vms}))
		}
		v := build()
		heap := heapBytes() - heapBefore
		change := func() {
			if documents[0], err = parsePlace(0, contents[0]); err == nil {
				v = build()
			}
		}
		parseRootTime := median(3, func() { _, _ = settings.Parse("settings", 1, rootBytes) })
		parsePlaceTime := median(3, func() { _, _ = parsePlace(0, contents[0]) })
		viewTime := median(3, func() { v = build() })
		garbage := allocatedBytes(change)
		peak := peakHeap(change) - heapBefore
		if err != nil {
			return err
		}
		out.addRow(services, servers, len(rootBytes), len(contents[0]), len(vmsBytes), parseRootTime, parsePlaceTime, viewTime,
			heap, garbage, peak)
		runtime.KeepAlive(v)
	}
	return nil
}

// parsePlace parses the settings document of a place.
func parsePlace(place int, content []byte) (*settings.PlaceDocument, error) {
	name := fmt.Sprint("place-", place)
	return settings.ParsePlaceDocument(settings.PlaceDocumentName(name), name, 1, content)
}

// peakHeap returns the largest heap and stack size while f runs, sampled every millisecond. The garbage collector runs with its
// default setting.
func peakHeap(f func()) float64 {
	runtime.GC()
	ctx, cancel := context.WithCancel(context.Background())
	var highest uint64
	var sampler errgroup.Group
	sampler.Go(func() error {
		for ctx.Err() == nil {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			highest = max(highest, m.HeapAlloc+m.StackInuse)
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	f()
	cancel()
	_ = sampler.Wait() // it returns no error
	return float64(highest)
}

// measureSplitRelay measures the bytes between two daemons for a change of one backend server in the document of a place, and
// the time until the view is delivered, by the size of the fleet.
func measureSplitRelay(seed uint64, out *table) error {
	out.addRow("services", "servers", "place B", "delta sealed B", "change on the wire B", "processor/change (two daemons)",
		"delivered after")
	for _, size := range splitSizes {
		if err := measureSplitPair(seed, size[0], size[1], out); err != nil {
			return err
		}
	}
	return nil
}

// setSplitDocuments sets the root document, and the settings and an empty VM list of each place, all with revision 1.
func (p *fakePlatform) setSplitDocuments(services, servers int) {
	p.setSettings(1, rootContent(services))
	for place := range placeCount {
		name := fmt.Sprint("place-", place)
		p.setDocument(settings.PlaceDocumentName(name), document{1, placeContent(services, servers, place, -1)})
		p.setDocument(fleet.PlaceDocumentName(name), document{1, []byte(`{"vms":[]}`)})
	}
}

// measureSplitPair measures one row of measureSplitRelay.
func measureSplitPair(seed uint64, services, servers int, out *table) error {
	platform := newFakePlatform()
	defer platform.server.Close()
	platform.setSplitDocuments(services, servers)
	first, second, stop, err := startRelayPair(seed, platform.server.URL)
	if err != nil {
		return err
	}
	for _, r := range []*relayer.Relayer{first, second} {
		if err := awaitPlace(r, 1); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // until the second daemon has all other documents too
	before := second.Counts()
	cpu, started := cpuTime(), time.Now()
	changed := placeContent(services, servers, 0, servers/2/placeCount*placeCount)
	platform.setDocument(settings.PlaceDocumentName(measuredPlace), document{2, changed})
	if err := awaitPlace(second, 2); err != nil {
		return err
	}
	deliveryDelay := time.Since(started)
	time.Sleep(500 * time.Millisecond)
	after := second.Counts()
	cpu = cpuTime() - cpu
	if n := after["deltas-in"] - before["deltas-in"]; n != 1 {
		return fmt.Errorf("%d backend servers: %d deltas pulled, want 1", servers, n)
	}
	out.addRow(services, servers, len(changed), first.Counts()["delta-bytes"],
		after["bytes-in"]+after["bytes-out"]-before["bytes-in"]-before["bytes-out"], cpu, deliveryDelay)
	return stop()
}

// awaitPlace waits until a revision of measuredDocument is in force in r.
func awaitPlace(r *relayer.Relayer, revision uint64) error {
	for range 60_000 {
		for _, d := range r.Documents() {
			if d.Name == settings.PlaceDocumentName(measuredPlace) && d.RevisionInForce >= revision {
				return nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("revision %d of the place document is not in force after 60 s, counters: %v", revision, r.Counts())
}

// measureSplitPropagation measures how long a change of the document of a place takes to reach all members of an availability
// zone, which follow eight documents. It also measures the messages and bytes of a change, and the heartbeats without changes.
func measureSplitPropagation(seed uint64, out *table) error {
	out.addRow("members", "median", "last (median of changes)", "last (worst)", "missing", "notices in", "pulls",
		"relay B/change/daemon", "core ms/change/daemon", "heartbeats sent B/s", "mean heartbeat B", "idle processor % of a core")
	for _, size := range []int{50, 200, 420} {
		if err := measureSplitPropagationFor(seed, size, out); err != nil {
			return err
		}
	}
	return nil
}

// measureSplitPropagationFor measures one row of measureSplitPropagation.
func measureSplitPropagationFor(seed uint64, size int, out *table) error {
	platform := newFakePlatform()
	defer platform.server.Close()
	platform.setSplitDocuments(4, 18)
	g, err := startFleet(fleetConfig{seed: seed, size: size, platformURL: platform.server.URL})
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	idleCPU, heartbeats := cpuTime(), g.sentTraffic()
	time.Sleep(measuredTime)
	idleCPU = cpuTime() - idleCPU
	datagrams, bytes := g.sentSince(heartbeats)
	before, cpu := g.relayerCounts(), time.Duration(0)
	var delays, lastDelays []time.Duration
	undelivered := 0
	for i := range changeCount {
		revision := uint64(i + 2)
		started, cpuBefore := time.Now(), cpuTime()
		platform.setDocument(settings.PlaceDocumentName(measuredPlace), document{revision, placeContent(4, 18, 0, i%2*placeCount)})
		changeDelays := g.awaitDeliveries(started, func(d *daemon) time.Time { return d.placeDeliveredAt[revision] })
		cpu += cpuTime() - cpuBefore
		undelivered += size - len(changeDelays)
		slices.Sort(changeDelays)
		delays, lastDelays = append(delays, changeDelays...), append(lastDelays, changeDelays[len(changeDelays)-1])
		time.Sleep(2 * time.Second)
	}
	after := g.relayerCounts()
	perChange := func(name string) float64 {
		return float64(after[name]-before[name]) / changeCount / float64(size)
	}
	slices.Sort(delays)
	slices.Sort(lastDelays)
	out.addRow(size, delays[len(delays)/2], lastDelays[len(lastDelays)/2], lastDelays[len(lastDelays)-1], undelivered,
		perChange("notices-in"), perChange("deltas-in")+perChange("wholes-in"), perChange("bytes-out"),
		float64(cpu.Microseconds())/1000/changeCount/float64(size), bytes/measuredTime.Seconds()/float64(size), bytes/datagrams,
		100*idleCPU.Seconds()/measuredTime.Seconds()/float64(size))
	return g.stop()
}

// sentSince returns the datagrams and bytes that all daemons have sent since sentTraffic returned before, with IP and UDP
// headers.
func (g *daemonGroup) sentSince(before map[packer.Kind]sentTraffic) (datagrams, bytes float64) {
	for k, now := range g.sentTraffic() {
		n := float64(now.SentDatagrams - before[k].SentDatagrams)
		datagrams += n
		bytes += float64(now.SentBytes-before[k].SentBytes) + headerSize*n
	}
	return datagrams, bytes
}
