package main

import (
	"runtime"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/differ"
)

// treeSizes are the numbers of services and backend servers of the measured settings trees, up to the target size of the fleet.
// The fourth is the share of one of nine availability zones at the target size.
var treeSizes = [][2]int{{4, 18}, {67, 200}, {667, 2000}, {3300, 3222}, {9900, 29000}}

// measureTrees measures the size of documents, and the time and memory that a daemon needs to apply a change of one line.
func measureTrees(_ uint64, out *table) error {
	out.addRow("services", "servers", "tree B", "vms B", "parse", "vms parse", "view", "delta", "apply", "tree heap B",
		"view heap B", "parse garbage B", "parse+view B")
	for _, size := range treeSizes {
		services, servers := size[0], size[1]
		before, after := settingsContent(services, servers, -1), settingsContent(services, servers, servers/2)
		vmsBytes := vmsContent(servers/8, servers)
		tree, err := settings.Parse("settings", 1, before)
		if err != nil {
			return err
		}
		vms, err := fleet.Parse(1, vmsBytes)
		if err != nil {
			return err
		}
		runs := 5
		if servers > 10000 {
			runs = 3
		}
		parseTime := median(runs, func() { _, _ = settings.Parse("settings", 1, before) })
		parseVMsTime := median(runs, func() { _, _ = fleet.Parse(1, vmsBytes) })
		viewTime := median(runs, func() { view.New(tree, vms) })
		deltaTime := median(runs, func() { differ.Compute(before, after) })
		delta := differ.Compute(before, after)
		applyTime := median(runs, func() { _, _ = differ.Apply(before, delta, 8<<20) })
		heapBefore := heapBytes()
		parsed, err := settings.Parse("settings", 1, before)
		if err != nil {
			return err
		}
		withTree := heapBytes()
		v := view.New(parsed, vms)
		withView := heapBytes()
		runtime.KeepAlive(v)
		garbage := allocatedBytes(func() { _, _ = settings.Parse("settings", 1, before) })
		// The sum of all allocations is an upper bound of the peak. It is reached if the garbage collector does not run meanwhile.
		peak := allocatedBytes(func() { _, _ = newView(services, servers) }) -
			allocatedBytes(func() { settingsContent(services, servers, -1) })
		out.addRow(services, servers, len(before), len(vmsBytes), parseTime, parseVMsTime, viewTime, deltaTime, applyTime,
			withTree-heapBefore, withView-withTree, garbage, peak)
	}
	return nil
}

// allocatedBytes returns the bytes that f allocates on the heap.
func allocatedBytes(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// measureMemory measures the memory of a view, first for a growing number of services and then of backend servers, and the
// memory of the listening sockets, one for each service address.
func measureMemory(_ uint64, out *table) error {
	out.addRow("services", "servers", "tree+view B")
	for _, size := range [][2]int{{100, 9}, {1000, 9}, {9900, 9}, {9, 200}, {9, 2000}, {9, 29000}} {
		heapBefore := heapBytes()
		v, err := newView(size[0], size[1])
		if err != nil {
			return err
		}
		out.addRow(size[0], size[1], heapBytes()-heapBefore)
		runtime.KeepAlive(v)
	}
	return measureSockets(out)
}

// newView returns the view of generated settings without a VM list.
func newView(services, servers int) (*view.View, error) {
	tree, err := settings.Parse("settings", 1, settingsContent(services, servers, -1))
	if err != nil {
		return nil, err
	}
	return view.New(tree, nil), nil
}
