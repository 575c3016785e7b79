package main

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// The bounds of calm days: busiest/mean of the backend servers, and moved flow openings for each request.
const (
	maxImbalance  = 1.20
	maxMovedShare = 0.02
)

// TestCalmPlacement guards against calm load that is spread less evenly over the backend servers than the target allows, and against
// moved flow openings beyond their budget, in zones of 4, 27 and 48 daemons.
func TestCalmPlacement(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var group errgroup.Group
	group.SetLimit(2)
	var cases []scenario
	for _, s := range placementScenarios() {
		if strings.HasSuffix(s.name, "calm") {
			cases = append(cases, s)
		}
	}
	results := make([]result, len(cases))
	for i := range cases {
		group.Go(func() error { results[i] = simulate(cases[i], 1, newWholePolicy); return nil })
	}
	g.Expect(group.Wait()).To(Succeed())
	for i, r := range results {
		g.Expect(r.imbalance).To(BeNumerically("<=", maxImbalance), "%s, busiest/mean", cases[i].name)
		g.Expect(r.movedShare()).To(BeNumerically("<=", maxMovedShare), "%s, moved openings", cases[i].name)
		g.Expect(r.falseResets).To(BeZero(), cases[i].name)
	}
}

// TestSlowPlacement guards against digests that do not help: in a zone of 48 daemons at 0.3 slow backend servers, requests with a flow each
// must be late less often than under the policy of today.
func TestSlowPlacement(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	for _, s := range placementScenarios() {
		if s.name != "single requests, 48 daemons, 0.3 slow" {
			continue
		}
		today, whole := simulate(s, 1, newSteererPolicy), simulate(s, 1, newWholePolicy)
		g.Expect(whole.lateRequests).To(BeNumerically("<", today.lateRequests))
		g.Expect(whole.slowRequests).To(BeNumerically("<", today.slowRequests))
		g.Expect(whole.falseResets).To(BeZero())
		perSecond := float64(whole.placementResult.digests) / float64(s.daemonsPerZone) / s.duration.Seconds()
		g.Expect(perSecond).To(BeNumerically("<=", 1))
	}
}
