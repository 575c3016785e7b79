package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// TestSpilloverRule guards against a rule of spillover that does not help a zone that has too few fast backend servers, that sends more than a
// tenth of the new flows to other zones on calm load, under a swing of 0.55 or while clients move, that makes new flows alternate between
// zones, or after which they do not return within 5 s of the recovery. No flow of a live backend server may be reset.
func TestSpilloverRule(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const calm, moves, slow = "newsroom, 27 daemons, calm", "newsroom, 27 daemons, swing, moves", "newsroom, 27 daemons, half slow, triple load"
	var group errgroup.Group
	group.SetLimit(2)
	results := map[string]*result{calm: {}, moves: {}, slow: {}}
	var today result
	for _, s := range spilloverScenarios() {
		r := results[s.name]
		if r == nil {
			continue
		}
		group.Go(func() error { *r = simulate(s, 1, newSpilloverPolicy); return nil })
		if s.name == slow {
			group.Go(func() error { today = simulate(s, 1, newWholePolicy); return nil })
		}
	}
	g.Expect(group.Wait()).To(Succeed())
	for name, r := range results {
		g.Expect(r.answeredRequests).NotTo(BeZero(), name)
		g.Expect(r.alternations).To(BeNumerically("<=", 2), name) // there and back
		g.Expect(r.returnsAfter).To(BeNumerically("<=", 5*time.Second), name)
	}
	for _, name := range []string{calm, moves} {
		g.Expect(results[name].crossedShare).To(BeNumerically("<=", 0.1), name)
		g.Expect(results[name].falseResets).To(BeZero(), name)
	}
	g.Expect(results[slow].lateRequests).To(BeNumerically("<", today.lateRequests))
	g.Expect(results[slow].failedRequests).To(BeNumerically("<", today.failedRequests))
	t.Run("resets", func(t *testing.T) { NewWithT(t).Expect(results[slow].falseResets).To(BeZero()) })
}
