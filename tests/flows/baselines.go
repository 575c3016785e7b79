package main

import (
	"runtime"
	"time"
)

// splitMix64 is the finalizer of SplitMix64, used as a 64-bit hash.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvous chooses a candidate for a flow by rendezvous hashing: the one with the highest hash of flow and candidate. When a
// candidate is added or removed, only the flows that hash to it change their candidate.
func rendezvous(flowID uint64, candidates func(yield func(int) bool)) int {
	highest, chosen := uint64(0), none
	for c := range candidates {
		if score := splitMix64(flowID ^ splitMix64(uint64(c))); score >= highest {
			highest, chosen = score, c
		}
	}
	return chosen
}

// hashOption is option A: each packet goes to the backend server that the hash of the flow chooses in the balancer's current
// view.
type hashOption struct{ timeline *timeline }

func (o *hashOption) name() string                           { return "A hash on the current view" }
func (o *hashOption) viewUpdated(time.Duration, *balancer)   {}
func (o *hashOption) stop(time.Duration, *balancer)          {}
func (o *hashOption) tick(time.Duration)                     {}
func (o *hashOption) entryCount(*balancer) int               { return 0 }
func (o *hashOption) entrySize() int                         { return 0 }
func (o *hashOption) choose(b *balancer, id uint64) (to int) { return o.chooseAt(b.versionIndex, id) }
func (o *hashOption) chooseAt(versionIndex int, id uint64) int {
	v := &o.timeline.versions[versionIndex]
	return rendezvous(id, func(yield func(int) bool) {
		for s, accepting := range v.accepting {
			if accepting && !yield(s) {
				return
			}
		}
	})
}

func (o *hashOption) route(now time.Duration, b *balancer, f *flow) int {
	return serverIfReachable(now, b, o.choose(b, f.id))
}

// serverIfReachable returns the backend server, or none if the balancer can't reach it.
func serverIfReachable(now time.Duration, b *balancer, server int) int {
	if server == none || !areConnected(now, b.zone, zoneOfServer(server)) {
		return none
	}
	return server
}

// tableEntry is the entry of a flow in a flow table.
type tableEntry struct {
	server   int32
	lastUsed time.Duration
}

// entryIdleTimeout is the time after which an unused entry is removed.
const entryIdleTimeout = 30 * time.Second

// flowTables holds the flow table of each balancer, by its id.
type flowTables []map[uint64]tableEntry

func newFlowTables(t *timeline) flowTables {
	tables := make(flowTables, len(t.balancers))
	for i := range tables {
		tables[i] = map[uint64]tableEntry{}
	}
	return tables
}

func (t flowTables) entryCount(b *balancer) int { return len(t[b.id]) }

// expire removes idle entries once a second.
func (t flowTables) expire(now time.Duration) {
	if now%time.Second != 0 {
		return
	}
	for _, table := range t {
		for flowID, e := range table {
			if now-e.lastUsed > entryIdleTimeout {
				delete(table, flowID)
			}
		}
	}
}

// entrySize measures the memory of one entry in a table of 20,000 flows.
func (t flowTables) entrySize() int {
	const count = 20_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sample := map[uint64]tableEntry{}
	for i := range uint64(count) {
		sample[splitMix64(i)] = tableEntry{}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := int(after.HeapAlloc-before.HeapAlloc) / count
	runtime.KeepAlive(sample)
	return size
}

// tableOption is option B: as A, but each balancer records the backend server of each flow in a flow table of its own.
type tableOption struct {
	hashOption
	flowTables
}

func (o *tableOption) name() string               { return "B hash and a flow table in each balancer" }
func (o *tableOption) tick(now time.Duration)     { o.expire(now) }
func (o *tableOption) entryCount(b *balancer) int { return o.flowTables.entryCount(b) }
func (o *tableOption) entrySize() int             { return o.flowTables.entrySize() }
func (o *tableOption) lookup(b *balancer, f *flow) (tableEntry, bool) {
	entry, ok := o.flowTables[b.id][f.id]
	return entry, ok
}

func (o *tableOption) route(now time.Duration, b *balancer, f *flow) int {
	entry, ok := o.lookup(b, f)
	if !ok {
		entry.server = int32(o.choose(b, f.id))
	}
	entry.lastUsed = now
	o.flowTables[b.id][f.id] = entry
	return serverIfReachable(now, b, int(entry.server))
}

// ownerOption is option C: each flow has its table entry at one balancer, its owner, and the others forward the flow's packets
// to it. A balancer hands an entry over when a new view gives the flow another owner, and hands over all entries when its
// graceful shutdown begins.
type ownerOption struct {
	tableOption
	forwardedPackets int
}

func (o *ownerOption) name() string { return "C one owner for each flow" }

// owner returns the balancer that owns a flow in a version of the view, leaving out the balancer excluded.
func (o *ownerOption) owner(versionIndex int, flowID uint64, excluded int) int {
	v := &o.timeline.versions[versionIndex]
	return rendezvous(flowID, func(yield func(int) bool) {
		for _, candidate := range v.balancers {
			if candidate != excluded && !yield(candidate) {
				return
			}
		}
	})
}

func (o *ownerOption) viewUpdated(now time.Duration, b *balancer) { o.handOver(now, b, none, true) }

// stop hands all entries over. The balancer keeps copies, as balancers with a stale view still forward packets to it.
func (o *ownerOption) stop(now time.Duration, b *balancer) { o.handOver(now, b, b.id, false) }

// handOver copies the entries of a balancer to their owners in its view, leaving out the balancer excluded. With remove it
// deletes the copied entries, unless the graceful shutdown has begun.
func (o *ownerOption) handOver(now time.Duration, b *balancer, excluded int, remove bool) {
	for flowID, entry := range o.flowTables[b.id] {
		owner := o.owner(b.versionIndex, flowID, excluded)
		if owner == b.id || owner == none || !o.canReach(now, b, owner) {
			continue
		}
		if _, known := o.flowTables[owner][flowID]; !known {
			o.flowTables[owner][flowID] = entry
		}
		if remove && now < b.stopAt {
			delete(o.flowTables[b.id], flowID)
		}
	}
}

// canReach reports whether the balancer can forward to the one with the given id.
func (o *ownerOption) canReach(now time.Duration, b *balancer, id int) bool {
	target := o.timeline.balancers[id]
	return target.isAlive(now) && areConnected(now, b.zone, target.zone)
}

// route forwards a packet to the owner in the receiving balancer's view, and from there once more if that balancer's view gives
// the flow another owner.
func (o *ownerOption) route(now time.Duration, b *balancer, f *flow) int {
	for range 2 {
		if _, ok := o.lookup(b, f); ok {
			break
		}
		owner := o.owner(b.versionIndex, f.id, none)
		if owner == b.id {
			break
		}
		if !o.canReach(now, b, owner) {
			return none
		}
		b = o.timeline.balancers[owner]
		o.forwardedPackets++
	}
	return o.tableOption.route(now, b, f)
}
