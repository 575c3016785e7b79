package main

import (
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// shorten limits the measured part of a run to 20 s.
func shorten(cfg *runConfig) {
	cfg.measuredTime = min(cfg.measuredTime, 20*time.Second)
}

// TestRequestTargets guards against changes of the scheduler that raise latency far above that of the oracle or distribute
// work unevenly, also when a backend server is slow, reports a wrong load or drains. The runs are as long as those of the
// target table, because transients have more influence in shorter ones.
func TestRequestTargets(t *testing.T) {
	var g errgroup.Group
	g.SetLimit(4)
	results := startTargetRuns(&g, 1)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		for _, target := range requestTargets(r) {
			t.Logf("%s: %.3f, bound %.2f", target.name, target.measured, target.bound)
			if !target.met() {
				t.Errorf("%s is %.3f, bound %.2f", target.name, target.measured, target.bound)
			}
		}
	}
}

// TestFeedTargets guards against an uneven distribution of open feeds, also after the replacement of all balancers, when none
// has seen the opening of any feed.
func TestFeedTargets(t *testing.T) {
	var results []*feedTableResult
	for _, sc := range feedScenarios[:2] {
		results = append(results, &feedTableResult{sc.name, defaultPolicy, simulateFeeds(defaultPolicy, 1, sc)})
	}
	for _, target := range feedTargets(results) {
		if !target.met() {
			t.Errorf("%s is %.3f, bound %.2f", target.name, target.measured, target.bound)
		}
	}
}

// TestMixedAndLinkTargets guards against feeds that make the placement of requests uneven, and against lost packets that the
// scheduler mistakes for load or for dead backend servers.
func TestMixedAndLinkTargets(t *testing.T) {
	var g errgroup.Group
	g.SetLimit(4)
	mixed := startMixedRuns(&g, 1, mixedLoads[:1])
	links := startLinkRuns(&g, 1, linkCases[len(linkCases)-1:], linkLoads[:1])
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, target := range append(mixedTargets(mixed), linkTargets(links)...) {
		if !target.met() {
			t.Errorf("%s is %.3f, bound %.2f", target.name, target.measured, target.bound)
		}
	}
}

// TestLimitTargets guards against a loss of goodput and retry storms under overload, and against a caller group that takes
// capacity from the others by offering more than its share.
func TestLimitTargets(t *testing.T) {
	var g errgroup.Group
	g.SetLimit(4)
	loads := []*scenarioResult{{byPolicy: make([]figures, 1)}, {byPolicy: make([]figures, 1)}}
	for i, load := range []float64{1.0, 1.5} {
		cfg := defaultRunConfig(defaultPolicy, load, 1)
		shorten(&cfg)
		startRun(&g, cfg, &loads[i].byPolicy[0])
	}
	var fairShedding *mechanismResult
	for _, c := range comparisons() {
		if c.mechanism == "fair shedding" && c.load == fairSheddingLoad && c.enabled {
			fairShedding = &mechanismResult{comparison: c}
			cfg := defaultRunConfig(defaultPolicy, c.load, 1)
			c.apply(&cfg)
			shorten(&cfg)
			startRun(&g, cfg, &fairShedding.figures)
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, target := range limitTargets(loads, []*mechanismResult{fairShedding}) {
		if !target.met() {
			t.Errorf("%s is %.3f, bound %.2f", target.name, target.measured, target.bound)
		}
	}
}

// TestSeedRepeatsRun guards against figures that the same seed does not reproduce.
func TestSeedRepeatsRun(t *testing.T) {
	once := func() figures {
		cfg := defaultRunConfig(defaultPolicy, targetLoad, 7)
		cfg.warmUp, cfg.measuredTime = time.Second, 2*time.Second
		model, m := simulate(cfg)
		return newFigures(cfg, model, m)
	}
	a, b := once(), once()
	if m, n := strings.Join(a.cells(), " "), strings.Join(b.cells(), " "); m != n {
		t.Errorf("two runs with one seed differ:\n%s\n%s", m, n)
	}
}
