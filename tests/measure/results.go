package main

import (
	"math"

	"golang.org/x/sync/errgroup"
)

// policies lists the compared policies; the oracle, the lower bound for the others, comes last.
var policies = []string{
	"random", "round-robin", "two-choices", "two-choices-reported", "least-loaded", "rendezvous-bounded", oraclePolicy,
}

// defaultPolicy is the policy to which the targets apply.
const defaultPolicy = "least-loaded"

// figures holds the results of one run with requests.
type figures struct {
	policy                          string
	load                            float64
	maxToMean1s, cv1s               float64 // imbalance of work per backend server in windows of 1 s
	maxToMean10s, cv10s             float64 // imbalance of work per backend server in windows of 10 s
	p50, p99, p999                  float64 // latency percentiles in milliseconds
	shedRate, sendsPerCall, goodput float64
	failedCalls                     int
	crossZoneShare                  float64   // share of the sends that went to another availability zone
	crossZoneDeviation              float64   // see metrics.crossZoneDeviation
	groupAnswered                   []float64 // share of the offered calls of each caller group that were answered in time
	leastGroupShare                 float64   // see metrics.groupShareRange
	greatestGroupShare              float64
}

func newFigures(cfg runConfig, model *model, m *metrics) figures {
	f := figures{
		policy: cfg.policy, load: cfg.load, p50: m.percentile(50), p99: m.percentile(99), p999: m.percentile(99.9),
		shedRate: m.shedRate(), sendsPerCall: m.sendsPerCall(), goodput: m.goodput(), failedCalls: m.failedCalls,
		crossZoneShare: ratio(m.crossZoneSends, m.sends),
	}
	f.maxToMean1s, f.cv1s = m.imbalance(model.servers, 1)
	f.maxToMean10s, f.cv10s = m.imbalance(model.servers, 10)
	f.leastGroupShare, f.greatestGroupShare = m.groupShareRange()
	for i := range m.groupGood {
		f.groupAnswered = append(f.groupAnswered, ratio(m.groupGood[i], m.groupOffered[i]))
	}
	f.crossZoneDeviation = m.crossZoneDeviation()
	return f
}

// crossZoneDeviation returns the standard deviation of the share of cross-zone sends per second. It covers the second half of
// the measured part, in which the share has settled.
func (m *metrics) crossZoneDeviation() float64 {
	seconds := len(m.sendsPerSecond) - 1
	var sum, squares, count float64
	for i := seconds / 2; i < seconds; i++ {
		share := ratio(m.crossZonePerSecond[i], m.sendsPerSecond[i])
		sum += share
		squares += share * share
		count++
	}
	mean := sum / count
	return math.Sqrt(max(0, squares/count-mean*mean))
}

// scenarioResult holds the figures of all policies in a scenario, in the order of policies.
type scenarioResult struct {
	scenario
	byPolicy []figures
}

// forPolicy returns the figures of a policy.
func (r *scenarioResult) forPolicy(policy string) *figures {
	for i := range r.byPolicy {
		if r.byPolicy[i].policy == policy {
			return &r.byPolicy[i]
		}
	}
	return nil
}

// startRun starts one simulation with requests in g, which stores its figures in result.
func startRun(g *errgroup.Group, cfg runConfig, result *figures) {
	g.Go(func() error {
		model, m := simulate(cfg)
		*result = newFigures(cfg, model, m)
		result.load = cfg.load
		return nil
	})
}

// targetLoad is the load for which most targets are defined.
const targetLoad = 0.8

func startScenarioRuns(g *errgroup.Group, seed uint64) []*scenarioResult {
	// The largest model starts first, because it takes longest and the other runs use the remaining cores meanwhile.
	all := append([]scenario{largeScenario}, scenarios...)
	var results []*scenarioResult
	for _, s := range all {
		r := &scenarioResult{scenario: s, byPolicy: make([]figures, len(policies))}
		results = append(results, r)
		for i, p := range policies {
			cfg := defaultRunConfig(p, targetLoad, seed)
			s.apply(&cfg)
			startRun(g, cfg, &r.byPolicy[i])
		}
	}
	return append(results[1:], results[0])
}

// tableLoads are the loads in the table of policies against load; plotLoads are those in the plot and include them.
var (
	tableLoads = []float64{0.5, 0.8, 1.0, 1.5}
	plotLoads  = []float64{0.5, 0.65, 0.8, 0.9, 1.0, 1.5}
)

func startLoadRuns(g *errgroup.Group, seed uint64) []*scenarioResult {
	var results []*scenarioResult
	for _, load := range plotLoads {
		r := &scenarioResult{byPolicy: make([]figures, len(policies))}
		results = append(results, r)
		for i, p := range policies {
			startRun(g, defaultRunConfig(p, load, seed), &r.byPolicy[i])
		}
	}
	return results
}

// resultAtLoad returns the result for a load.
func resultAtLoad(results []*scenarioResult, load float64) *scenarioResult {
	for _, r := range results {
		if r.byPolicy[0].load == load {
			return r
		}
	}
	return nil
}

// mechanismResult holds the figures of one comparison.
type mechanismResult struct {
	comparison
	figures figures
}

func startMechanismRuns(g *errgroup.Group, seed uint64) []*mechanismResult {
	var results []*mechanismResult
	for _, c := range comparisons() {
		r := &mechanismResult{comparison: c}
		results = append(results, r)
		cfg := defaultRunConfig(defaultPolicy, c.load, seed)
		c.apply(&cfg)
		startRun(g, cfg, &r.figures)
	}
	return results
}

// healthResult holds the results of one health case with outlier ejection on or off.
type healthResult struct {
	healthCase
	ejection  bool
	metrics   *metrics
	ejections *ejections
}

func startHealthRuns(g *errgroup.Group, seed uint64) []*healthResult {
	var results []*healthResult
	for _, h := range healthCases {
		for _, ejection := range []bool{false, true} {
			r := &healthResult{healthCase: h, ejection: ejection}
			results = append(results, r)
			g.Go(func() error {
				r.metrics, r.ejections = simulateHealth(h, seed, ejection)
				return nil
			})
		}
	}
	return results
}

// feedTableResult holds the figures of one policy in a feed scenario.
type feedTableResult struct {
	scenario, policy string
	feedResult
}

func startFeedRuns(g *errgroup.Group, seed uint64) []*feedTableResult {
	var results []*feedTableResult
	for _, sc := range feedScenarios {
		for _, p := range policies {
			r := &feedTableResult{scenario: sc.name, policy: p}
			results = append(results, r)
			g.Go(func() error {
				r.feedResult = simulateFeeds(p, seed, sc)
				return nil
			})
		}
	}
	return results
}
