package main

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// mixedLoads are the loads of requests in runs with feeds.
var mixedLoads = []float64{targetLoad, 1.5}

// mixedScenarios are the feed scenarios that are also run with requests on the same backend servers.
var mixedScenarios = feedScenarios[:2]

// mixedRun holds the figures of one run with feeds and requests.
type mixedRun struct {
	figures
	meanFeedImbalance, worstFeedImbalance float64
}

// mixedResult holds the runs of the default policy and of the oracle for one scenario at one load, one for each seed.
type mixedResult struct {
	feedScenario
	load             float64
	runs, oracleRuns [targetSeeds]mixedRun
	requestsAlone    [targetSeeds]figures    // the same requests without feeds
	feedsAlone       [targetSeeds]feedResult // the same feeds without requests
}

func startMixedRuns(g *errgroup.Group, seed uint64, loads []float64) []*mixedResult {
	var results []*mixedResult
	for _, load := range loads {
		for _, sc := range mixedScenarios {
			r := &mixedResult{feedScenario: sc, load: load}
			results = append(results, r)
			for i := range targetSeeds {
				runSeed := seed + uint64(i)
				for policy, run := range map[string]*mixedRun{defaultPolicy: &r.runs[i], oraclePolicy: &r.oracleRuns[i]} {
					g.Go(func() error {
						*run = simulateMixed(policy, load, runSeed, sc)
						return nil
					})
				}
				startRun(g, defaultRunConfig(defaultPolicy, load, runSeed), &r.requestsAlone[i])
				g.Go(func() error {
					r.feedsAlone[i] = simulateFeeds(defaultPolicy, runSeed, sc)
					return nil
				})
			}
		}
	}
	return results
}

// mixedOracle places feeds and requests with exact knowledge.
type mixedOracle struct {
	oracle
	feeds feedOracle
}

// Place implements placer.
func (o *mixedOracle) Place(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	if w.Kind == scheduler.WorkFeed {
		return o.feeds.Place(now, w)
	}
	return o.oracle.Place(now, w)
}

// Retry implements placer.
func (o *mixedOracle) Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	return o.Place(now, w)
}

// simulateMixed runs a feed scenario together with requests. Both start and are measured at the same time.
func simulateMixed(policy string, load float64, seed uint64, sc feedScenario) mixedRun {
	cfg := defaultRunConfig(policy, load, seed)
	cfg.warmUp, cfg.measuredTime, cfg.prepare = feedWarmUp, feedMeasuredTime, sc.prepare
	if policy == oraclePolicy {
		cfg.makePlacer = func(m *model, i int) placer {
			o := oracle{model: m, zone: m.balancers[i].zone}
			return &mixedOracle{o, feedOracle{o}}
		}
	}
	base := newModel(&cfg)
	m := &feedModel{model: base}
	for i := range feedCount {
		m.schedule(feedRampUp*time.Duration(i)/feedCount, func() { m.openFeed(0) })
	}
	m.startHealthChecks(cfg.checkOtherZones)
	m.scheduleNextCall()
	m.schedule(cfg.warmUp, func() { sc.onMeasureStart(m, &cfg) })
	var r mixedRun
	samples := 0.0
	var sample func()
	sample = func() {
		imbalance := m.feedImbalance()
		samples++
		r.meanFeedImbalance += imbalance
		r.worstFeedImbalance = max(r.worstFeedImbalance, imbalance)
		m.schedule(100*time.Millisecond, sample)
	}
	m.schedule(cfg.warmUp, sample)
	m.runEvents()
	r.meanFeedImbalance /= samples
	r.figures = newFigures(cfg, base, base.metrics)
	return r
}

// mixedMean returns the mean of a figure over the seeds.
func mixedMean(runs *[targetSeeds]mixedRun, figure func(*mixedRun) float64) float64 {
	sum := 0.0
	for i := range runs {
		sum += figure(&runs[i])
	}
	return sum / targetSeeds
}

// mixedTargets applies the targets for feeds alone and for requests alone to runs with both.
func mixedTargets(results []*mixedResult) []target {
	var list []target
	for _, r := range results {
		name := fmt.Sprintf("feeds beside requests at load %.1f, %s", r.load, r.name)
		list = append(list, target{name + ": open feeds max/mean", 1.06,
			mixedMean(&r.runs, func(f *mixedRun) float64 { return f.meanFeedImbalance }), false})
		if r.load == targetLoad {
			ratio := func(f func(*mixedRun) float64) float64 { return mixedMean(&r.runs, f) / mixedMean(&r.oracleRuns, f) }
			list = append(list,
				target{name + ": p50 over all-knowing", 1.25, ratio(func(f *mixedRun) float64 { return f.p50 }), false},
				target{name + ": p99 over all-knowing", 1.12, ratio(func(f *mixedRun) float64 { return f.p99 }), false},
				target{name + ": work max/mean per 10 s", 1.06,
					mixedMean(&r.runs, func(f *mixedRun) float64 { return f.maxToMean10s }), false})
		}
	}
	return list
}

func writeMixed(w io.Writer, results []*mixedResult) {
	fmt.Fprintf(w, "## %d feeds and requests on the same backend servers (mean of %d seeds)\n\n", feedCount, targetSeeds)
	var rows [][]string
	add := func(r *mixedResult, condition string, f figures, meanImbalance, worstImbalance string) {
		row := []string{r.name, formatNumber(r.load, 1), condition, meanImbalance, worstImbalance}
		rows = append(rows, append(row, formatNumber(f.p50, 1), formatNumber(f.p99, 1), formatNumber(f.maxToMean10s, 3),
			formatNumber(f.goodput, 0), formatPercent(f.shedRate), formatPercent(f.crossZoneShare)))
	}
	for _, r := range results {
		for _, variant := range []struct {
			name string
			runs *[targetSeeds]mixedRun
		}{{"together", &r.runs}, {"together, all-knowing", &r.oracleRuns}} {
			var perSeed [targetSeeds]figures
			for i := range perSeed {
				perSeed[i] = variant.runs[i].figures
			}
			add(r, variant.name, meanFigures(perSeed),
				formatNumber(mixedMean(variant.runs, func(f *mixedRun) float64 { return f.meanFeedImbalance }), 3),
				formatNumber(mixedMean(variant.runs, func(f *mixedRun) float64 { return f.worstFeedImbalance }), 3))
		}
		var meanImbalance, worstImbalance float64
		for _, f := range r.feedsAlone {
			meanImbalance += f.meanImbalance / targetSeeds
			worstImbalance += f.worstImbalance / targetSeeds
		}
		add(r, "each alone", meanFigures(r.requestsAlone), formatNumber(meanImbalance, 3), formatNumber(worstImbalance, 3))
	}
	writeTable(w, "feeds|load of requests|what|open feeds max/mean|worst|p50 ms|p99 ms|max/mean 10 s|goodput/s|shed|cross-zone",
		rows)
}

// meanFigures returns the means over the seeds of the figures that writeMixed shows.
func meanFigures(runs [targetSeeds]figures) figures {
	var mean figures
	for _, field := range []struct {
		to *float64
		of func(*figures) float64
	}{
		{&mean.p50, func(f *figures) float64 { return f.p50 }},
		{&mean.p99, func(f *figures) float64 { return f.p99 }},
		{&mean.maxToMean10s, func(f *figures) float64 { return f.maxToMean10s }},
		{&mean.goodput, func(f *figures) float64 { return f.goodput }},
		{&mean.shedRate, func(f *figures) float64 { return f.shedRate }},
		{&mean.crossZoneShare, func(f *figures) float64 { return f.crossZoneShare }},
	} {
		*field.to = meanFigure(runs, field.of)
	}
	return mean
}
