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

// placeMeasured is the place of the daemons; it has the document that the measurements change.
const placeMeasured = "place-0"

var documentMeasured = settings.DocumentID(settings.PlaceDocumentName(placeMeasured))

// followedPlaces is the number of places in the region of a daemon.
const followedPlaces = 3

// splitSizes are the services and backend servers of the whole fleet.
var splitSizes = [][2]int{{67, 200}, {667, 2000}, {3300, 9667}, {9900, 29000}}

// measureSplit measures the size of split documents, and what a daemon spends on the root and the documents of its
// region: time, memory, and the garbage of a change of one place's document.
func measureSplit(_ uint64, out *table) error {
	out.row("services", "servers", "root B", "place B", "place vms B", "parse root", "parse place", "compose+view",
		"heap B", "garbage of a change B", "peak heap of a change B")
	for _, size := range splitSizes {
		services, servers := size[0], size[1]
		rootContent := rootOf(services)
		var contents [][]byte
		for p := range followedPlaces {
			contents = append(contents, placeOf(services, servers, p, -1))
		}
		list := listOf(servers/8/places, servers/places)
		base := heapBytes()
		root, err := settings.Parse("settings", 1, rootContent)
		if err != nil {
			return err
		}
		var documents []*settings.PlaceDocument
		for p := range followedPlaces {
			d, err := parsePlace(p, contents[p])
			if err != nil {
				return err
			}
			documents = append(documents, d)
		}
		vms, err := fleet.Parse(1, list)
		if err != nil {
			return err
		}
		build := func() *view.View {
			tree, _ := settings.Compose(root, documents)
			return view.New(tree, fleet.Merge(&fleet.List{}, []*fleet.List{vms, vms, vms}))
		}
		v := build()
		held := heapBytes() - base
		change := func() {
			if documents[0], err = parsePlace(0, contents[0]); err == nil {
				v = build()
			}
		}
		parseRoot := median(3, func() { _, _ = settings.Parse("settings", 1, rootContent) })
		parse := median(3, func() { _, _ = parsePlace(0, contents[0]) })
		viewed := median(3, func() { v = build() })
		garbage := allocated(change)
		peak := peakHeap(change) - base
		if err != nil {
			return err
		}
		out.row(services, servers, len(rootContent), len(contents[0]), len(list), parseRoot, parse, viewed, held, garbage, peak)
		runtime.KeepAlive(v)
	}
	return nil
}

func parsePlace(place int, content []byte) (*settings.PlaceDocument, error) {
	name := fmt.Sprint("place-", place)
	return settings.ParsePlaceDocument(settings.PlaceDocumentName(name), name, 1, content)
}

// peakHeap returns the highest heap that a sampler sees while f runs under the collector's default pace.
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

// measureSplitRelay measures the bytes between two daemons for a change of one backend server in the document of a place,
// and when the view is delivered, by the size of the fleet.
func measureSplitRelay(seed uint64, out *table) error {
	out.row("services", "servers", "place B", "delta sealed B", "change on the wire B", "processor/change (two daemons)", "delivered after")
	for _, size := range splitSizes {
		if err := measureSplitPair(seed, size[0], size[1], out); err != nil {
			return err
		}
	}
	return nil
}

func (p *platform) setSplit(services, servers int) {
	p.setSettings(1, rootOf(services))
	for place := range places {
		name := fmt.Sprint("place-", place)
		p.set(settings.PlaceDocumentName(name), document{1, placeOf(services, servers, place, -1)})
		p.set(fleet.PlaceDocumentName(name), document{1, []byte(`{"vms":[]}`)})
	}
}

func measureSplitPair(seed uint64, services, servers int, out *table) error {
	p := newPlatform()
	defer p.server.Close()
	p.setSplit(services, servers)
	first, second, stop, err := startPair(seed, p.server.URL)
	if err != nil {
		return err
	}
	for _, r := range []*relayer.Relayer{first, second} {
		if err := awaitPlace(r, 1); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // until it has all other documents
	before := second.Counts()
	processor, started := processorTime(), time.Now()
	changed := placeOf(services, servers, 0, servers/2/places*places)
	p.set(settings.PlaceDocumentName(placeMeasured), document{2, changed})
	if err := awaitPlace(second, 2); err != nil {
		return err
	}
	delivered := time.Since(started)
	time.Sleep(500 * time.Millisecond)
	after := second.Counts()
	processor = processorTime() - processor
	if n := after["deltas-in"] - before["deltas-in"]; n != 1 {
		return fmt.Errorf("%d servers: %d deltas pulled, want 1", servers, n)
	}
	out.row(services, servers, len(changed), first.Counts()["delta-bytes"],
		after["bytes-in"]+after["bytes-out"]-before["bytes-in"]-before["bytes-out"], processor, delivered)
	return stop()
}

// awaitPlace waits until r has put a revision of the document of placeMeasured in force.
func awaitPlace(r *relayer.Relayer, revision uint64) error {
	for range 60_000 {
		for _, d := range r.Documents() {
			if d.Name == settings.PlaceDocumentName(placeMeasured) && d.RevisionInForce >= revision {
				return nil
			}
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("revision %d did not arrive within 60 s: %v", revision, r.Counts())
}

// measureSplitSpread measures how long a change of the document of one place takes to reach all members of an
// availability zone that follow eight documents, the messages and bytes of it, and the heartbeats without changes.
func measureSplitSpread(seed uint64, out *table) error {
	out.row("members", "median", "last (median of changes)", "last (worst)", "missing", "notices in", "pulls", "relay B/change/daemon",
		"core ms/change/daemon", "heartbeats sent B/s", "mean heartbeat B", "idle processor % of a core")
	for _, size := range []int{50, 200, 420} {
		if err := splitSpread(seed, size, out); err != nil {
			return err
		}
	}
	return nil
}

func splitSpread(seed uint64, size int, out *table) error {
	p := newPlatform()
	defer p.server.Close()
	p.setSplit(4, 18)
	g, err := startFleet(fleetConfig{seed: seed, size: size, platform: p.server.URL})
	if err != nil {
		return err
	}
	time.Sleep(warmUp)
	idle, heartbeats := processorTime(), g.traffic()
	time.Sleep(measure)
	idle = processorTime() - idle
	datagrams, bytes := g.sentSince(heartbeats)
	before, processor := g.sum(), time.Duration(0)
	var all, last []time.Duration
	missing := 0
	for i := range spreadChanges {
		revision := uint64(i + 2)
		started, used := time.Now(), processorTime()
		p.set(settings.PlaceDocumentName(placeMeasured), document{revision, placeOf(4, 18, 0, i%2*places)})
		arrivals := g.awaitArrivals(started, func(d *daemon) time.Time { return d.arrivedPlace[revision] })
		processor += processorTime() - used
		missing += size - len(arrivals)
		slices.Sort(arrivals)
		all, last = append(all, arrivals...), append(last, arrivals[len(arrivals)-1])
		time.Sleep(2 * time.Second)
	}
	after := g.sum()
	perChange := func(name string) float64 {
		return float64(after[name]-before[name]) / spreadChanges / float64(size)
	}
	slices.Sort(all)
	slices.Sort(last)
	out.row(size, all[len(all)/2], last[len(last)/2], last[len(last)-1], missing, perChange("notices-in"),
		perChange("deltas-in")+perChange("wholes-in"), perChange("bytes-out"),
		float64(processor.Microseconds())/1000/spreadChanges/float64(size), bytes/measure.Seconds()/float64(size), bytes/datagrams,
		100*idle.Seconds()/measure.Seconds()/float64(size))
	return g.stop()
}

// sentSince returns the datagrams and bytes that all daemons sent since before, with IP and UDP headers.
func (g *group) sentSince(before map[packer.Kind]traffic) (datagrams, bytes float64) {
	for k, now := range g.traffic() {
		n := float64(now.SentDatagrams - before[k].SentDatagrams)
		datagrams += n
		bytes += float64(now.SentBytes-before[k].SentBytes) + headers*n
	}
	return datagrams, bytes
}
