package main

import (
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"
)

// target is a bound for a figure together with its measured value.
type target struct {
	name     string
	bound    float64
	measured float64
	atLeast  bool // bound is a lower bound, otherwise an upper one
}

func (t *target) met() bool {
	if t.atLeast {
		return t.measured >= t.bound
	}
	return t.measured <= t.bound
}

// targetSeeds is the number of seeds over which the figures of request targets are averaged, because p99 of a single run
// varies by about 2% from seed to seed.
const targetSeeds = 3

// targetRuns holds the runs of the default policy and of the oracle in one scenario, one for each seed.
type targetRuns struct {
	scenario
	runs, oracleRuns [targetSeeds]figures
}

// startTargetRuns starts the runs of all request targets.
func startTargetRuns(g *errgroup.Group, seed uint64) []*targetRuns {
	var results []*targetRuns
	for _, s := range append([]scenario{uniformScenario}, scenarios...) {
		r := &targetRuns{scenario: s}
		results = append(results, r)
		for i := range targetSeeds {
			for policy, result := range map[string]*figures{defaultPolicy: &r.runs[i], oraclePolicy: &r.oracleRuns[i]} {
				cfg := defaultRunConfig(policy, targetLoad, seed+uint64(i))
				s.apply(&cfg)
				startRun(g, cfg, result)
			}
		}
	}
	return results
}

// meanFigure returns the mean of a figure over the seeds.
func meanFigure(runs [targetSeeds]figures, figure func(*figures) float64) float64 {
	sum := 0.0
	for i := range runs {
		sum += figure(&runs[i])
	}
	return sum / targetSeeds
}

// requestTargets compares the default policy with the oracle in one scenario. The bound of the imbalance is higher where a
// backend server is slow or reports a wrong load.
func requestTargets(r *targetRuns) []target {
	workBound := 1.06
	switch r.name {
	case "half-speed", "half-speed-small", "lying-low", "lying-high", "lagging":
		workBound = 1.10
	}
	p50 := func(f *figures) float64 { return f.p50 }
	p99 := func(f *figures) float64 { return f.p99 }
	return []target{
		{r.name + ": p50 over all-knowing", 1.25, meanFigure(r.runs, p50) / meanFigure(r.oracleRuns, p50), false},
		{r.name + ": p99 over all-knowing", 1.12, meanFigure(r.runs, p99) / meanFigure(r.oracleRuns, p99), false},
		{r.name + ": work max/mean per 10 s", workBound, meanFigure(r.runs, func(f *figures) float64 { return f.maxToMean10s }), false},
	}
}

// largeTargets compares only the latency in the large scenario, whose measured part is too short for windows of 10 s.
func largeTargets(r *scenarioResult) []target {
	byDefault, byOracle := r.forPolicy(defaultPolicy), r.forPolicy(oraclePolicy)
	return []target{
		{r.name + ": p50 over all-knowing (one seed)", 1.25, byDefault.p50 / byOracle.p50, false},
		{r.name + ": p99 over all-knowing (one seed)", 1.12, byDefault.p99 / byOracle.p99, false},
	}
}

// feedTargets returns the targets for the balance of open feeds without a fault and after the replacement of all balancers.
func feedTargets(results []*feedTableResult) []target {
	var list []target
	for _, r := range results {
		if r.policy == defaultPolicy && (r.scenario == "alike" || r.scenario == "all balancers replaced") {
			list = append(list, target{"open feeds, " + r.scenario + ": max/mean", 1.06, r.meanImbalance, false})
		}
	}
	return list
}

// fairSheddingLoad is the load when one of four caller groups offers 10 times its fair share of the capacity, a quarter, and
// the three others offer theirs: (10 + 3) / 4.
const fairSheddingLoad = 3.25

// limitTargets returns the targets under overload, which concern goodput, sends per request and the shares of caller groups.
func limitTargets(byLoad []*scenarioResult, mechanisms []*mechanismResult) []target {
	fullLoad, overload := resultAtLoad(byLoad, 1.0).forPolicy(defaultPolicy), resultAtLoad(byLoad, 1.5).forPolicy(defaultPolicy)
	list := []target{
		{"goodput at load 1.5 over that at 1.0", 0.95, overload.goodput / fullLoad.goodput, true},
		{"sends per request at load 1.5", 1.1, overload.sendsPerCall, false},
	}
	for _, r := range mechanisms {
		if r.mechanism == "fair shedding" && r.load == fairSheddingLoad && r.enabled {
			for i, answered := range r.figures.groupAnswered[1:] {
				list = append(list, target{"share of group " + groupName(i+1) + " beside one that offers 10 times its share", 0.95,
					answered, true})
			}
		}
	}
	return list
}

// results holds the results of all runs.
type results struct {
	targets           []*targetRuns
	byLoad, scenarios []*scenarioResult
	mechanisms        []*mechanismResult
	health            []*healthResult
	feeds             []*feedTableResult
	mixed             []*mixedResult
	links             []*linkResult
}

func writeTargets(w io.Writer, r *results) {
	fmt.Fprintf(w, "## Targets (policy %s, load %.1f unless said otherwise, mean of %d seeds for requests)\n\n",
		defaultPolicy, targetLoad, targetSeeds)
	var list []target
	for _, t := range r.targets {
		list = append(list, requestTargets(t)...)
	}
	list = append(list, largeTargets(r.scenarios[len(r.scenarios)-1])...)
	list = append(list, feedTargets(r.feeds)...)
	list = append(list, limitTargets(r.byLoad, r.mechanisms)...)
	list = append(list, mixedTargets(r.mixed)...)
	list = append(list, linkTargets(r.links)...)
	var rows [][]string
	for i := range list {
		t := &list[i]
		result, sign := "met", "at most "
		if t.atLeast {
			sign = "at least "
		}
		if !t.met() {
			result = fmt.Sprintf("missed by %.1f%%", 100*max(t.measured/t.bound-1, 1-t.measured/t.bound))
		}
		rows = append(rows, []string{t.name, sign + formatNumber(t.bound, 2), formatNumber(t.measured, 3), result})
	}
	writeTable(w, "target|bound|measured|result", rows)
}
