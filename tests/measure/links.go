package main

import (
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// linkFaults describes the faults of the links between balancers and backend servers, the same in both directions.
type linkFaults struct {
	lossRate       float64 // share of lost packets
	jitter         bool    // adds an exponentially distributed delay with the link's delay as its mean
	otherZonesOnly bool    // confines the faults to links between availability zones
}

// deliver sends a packet between two availability zones: it schedules arrived for its arrival or, if the packet is lost, lost
// for the time at which it would have arrived. lost may be nil.
func (m *model) deliver(from, to int, arrived, lost func()) {
	d := linkDelay(from, to)
	if m.linkFaults.lossRate == 0 && !m.linkFaults.jitter || m.linkFaults.otherZonesOnly && from == to {
		m.schedule(d, arrived)
		return
	}
	if m.linkFaults.jitter {
		d += time.Duration(m.random.ExpFloat64() * float64(d))
	}
	switch {
	case m.random.Float64() >= m.linkFaults.lossRate:
		m.schedule(d, arrived)
	case lost != nil:
		m.schedule(d, lost)
	}
}

// roundTripSucceeds reports whether neither a request nor its reply is lost between two availability zones.
func (m *model) roundTripSucceeds(from, to int) bool {
	if m.linkFaults.lossRate == 0 || m.linkFaults.otherZonesOnly && from == to {
		return true
	}
	deliveryRate := 1 - m.linkFaults.lossRate
	return m.random.Float64() < deliveryRate*deliveryRate
}

// linkCase is a named fault of the links.
type linkCase struct {
	name   string
	faults linkFaults
}

var linkCases = []linkCase{
	{"no loss, varying delay", linkFaults{jitter: true}},
	{"1% between availability zones", linkFaults{lossRate: 0.01, jitter: true, otherZonesOnly: true}},
	{"5% between availability zones", linkFaults{lossRate: 0.05, jitter: true, otherZonesOnly: true}},
	{"1% on all links", linkFaults{lossRate: 0.01, jitter: true}},
	{"5% on all links", linkFaults{lossRate: 0.05, jitter: true}},
}

// linkLoads are the loads for which there are targets.
var linkLoads = []float64{targetLoad, 1.0, 1.5}

// linkRun holds the figures of one run with faulty links.
type linkRun struct {
	figures
	timeouts  int
	ejections *ejections
}

// linkResult holds the runs of the default policy and of the oracle for one case at one load, one for each seed.
type linkResult struct {
	linkCase
	load             float64
	runs, oracleRuns [targetSeeds]linkRun
}

func startLinkRuns(g *errgroup.Group, seed uint64, cases []linkCase, loads []float64) []*linkResult {
	var results []*linkResult
	for _, c := range cases {
		for _, load := range loads {
			r := &linkResult{linkCase: c, load: load}
			results = append(results, r)
			for i := range targetSeeds {
				for policy, run := range map[string]*linkRun{defaultPolicy: &r.runs[i], oraclePolicy: &r.oracleRuns[i]} {
					cfg := defaultRunConfig(policy, load, seed+uint64(i))
					cfg.linkFaults = c.faults
					g.Go(func() error {
						*run = simulateLinks(cfg)
						return nil
					})
				}
			}
		}
	}
	return results
}

// simulateLinks runs a configuration with requests and counts the ejections.
func simulateLinks(cfg runConfig) linkRun {
	m := newModel(&cfg)
	sampled := m.sampleEjections(cfg.warmUp)
	m.startHealthChecks(cfg.checkOtherZones)
	m.scheduleNextCall()
	m.runEvents()
	return linkRun{figures: newFigures(cfg, m, m.metrics), timeouts: m.metrics.timeouts, ejections: sampled}
}

// linkMean returns the mean of a figure over the seeds.
func linkMean(runs *[targetSeeds]linkRun, figure func(*linkRun) float64) float64 {
	sum := 0.0
	for i := range runs {
		sum += figure(&runs[i])
	}
	return sum / targetSeeds
}

func linkGoodput(r *linkRun) float64 { return r.goodput }

// linkTargets compares the default policy with the oracle on links with the same faults, and its goodput at load 1.5 with that
// at load 1.0. The bounds are those of the targets without link faults.
func linkTargets(results []*linkResult) []target {
	var list []target
	goodputAtFullLoad := 0.0
	for _, r := range results {
		name := "links, " + r.name
		goodput := linkMean(&r.runs, linkGoodput)
		sends := linkMean(&r.runs, func(f *linkRun) float64 { return f.sendsPerCall })
		switch r.load {
		case targetLoad:
			ratio := func(f func(*linkRun) float64) float64 { return linkMean(&r.runs, f) / linkMean(&r.oracleRuns, f) }
			list = append(list,
				target{name + ": p50 over all-knowing", 1.25, ratio(func(f *linkRun) float64 { return f.p50 }), false},
				target{name + ": p99 over all-knowing", 1.12, ratio(func(f *linkRun) float64 { return f.p99 }), false},
				target{name + ": work max/mean per 10 s", 1.06, linkMean(&r.runs, func(f *linkRun) float64 { return f.maxToMean10s }), false},
			)
		case 1.0:
			goodputAtFullLoad = goodput
		default:
			list = append(list,
				target{name + ": goodput at load 1.5 over that at 1.0", 0.95, goodput / goodputAtFullLoad, true},
				target{name + ": sends per request at load 1.5", 1.1, sends, false},
			)
		}
	}
	return list
}

func writeLinks(w io.Writer, results []*linkResult) {
	fmt.Fprintf(w, "## Loss and varying delay between balancers and backend servers (mean of %d seeds)\n\n", targetSeeds)
	var rows [][]string
	for _, r := range results {
		for _, p := range []struct {
			name string
			runs *[targetSeeds]linkRun
		}{{defaultPolicy, &r.runs}, {oraclePolicy, &r.oracleRuns}} {
			cell := func(f func(*linkRun) float64, digits int) string { return formatNumber(linkMean(p.runs, f), digits) }
			rows = append(rows, []string{
				r.name, formatNumber(r.load, 1), p.name, cell(func(f *linkRun) float64 { return f.p50 }, 1),
				cell(func(f *linkRun) float64 { return f.p99 }, 1), cell(func(f *linkRun) float64 { return f.maxToMean10s }, 3),
				cell(linkGoodput, 0), formatPercent(linkMean(p.runs, func(f *linkRun) float64 { return f.shedRate })),
				cell(func(f *linkRun) float64 { return float64(f.failedCalls) }, 0),
				cell(func(f *linkRun) float64 { return float64(f.timeouts) }, 0),
				cell(func(f *linkRun) float64 { return f.sendsPerCall }, 3),
				cell(func(f *linkRun) float64 { return float64(f.ejections.liveEjections) }, 1),
				formatPercent(linkMean(p.runs, func(f *linkRun) float64 { return f.crossZoneShare })),
			})
		}
	}
	writeTable(w, "links|load|policy|p50 ms|p99 ms|max/mean 10 s|goodput/s|shed|failed|time-outs|sends/request|"+
		"ejections of live|cross-zone", rows)
}
