package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// minReturnScore is the bound of target 1 of docs/design/hard-load.md for windows of a fault at the end of the day.
const minReturnScore = 0.80

// forEachReturn runs a case of a return with the order of before and with the start-up queue and the limit.
func forEachReturn(t *testing.T, caseName string, check func(g *WithT, c *overloadCase, specs []spec, before, after *overloadModel)) {
	sizes, seeds := []int{27}, uint64(1)
	if os.Getenv(fullRunVariable) != "" {
		sizes, seeds = []int{4, 27, 48}, overloadSeeds
	}
	for _, c := range outageCases() {
		for seed := uint64(1); seed <= seeds && c.name == caseName; seed++ {
			specs := c.generate(rand.New(rand.NewPCG(seed, 3)))
			for _, daemons := range sizes {
				t.Run(fmt.Sprintf("%s/%d/seed%d", c.name, daemons, seed), func(t *testing.T) {
					before := simulateOverload(c, specs, daemons, seed, steerer.AdmissionConfig{})
					changed := c
					changed.outage.startPolicy = startPolicy{queue: true, limit: true}
					check(NewWithT(t), &changed, specs, before, simulateOverload(changed, specs, daemons, seed, steerer.AdmissionConfig{}))
				})
			}
		}
	}
}

// returnValue returns the value of the requests sent in the 2 s from the return, and of those that ended in them, as shares of the best ones.
func (m *overloadModel) returnValue(specs []spec) (started, ended float64) {
	r := m.overloadCase.returnScore(specs, m.outcomes)
	return r.started.value / r.best[0], r.ended.value / r.best[1]
}

// TestReturn guards against new requests that are late after a loss of all daemons although the capacity suffices, and against requests of
// the type unsafe that run twice.
func TestReturn(t *testing.T) {
	t.Parallel()
	forEachReturn(t, "newsroom-return", func(g *WithT, c *overloadCase, specs []spec, before, after *overloadModel) {
		started, _ := after.returnValue(specs)
		g.Expect(started).To(BeNumerically(">=", minReturnScore), "value of the requests sent in the 2 s from the return")
		expectSingleRuns(g, c, specs, after)
	})
}

// TestReturnWithoutStore guards against packets that wait for the store and are then handled in an order that is no better than that of
// arrival, and against queues of backend servers that they fill.
func TestReturnWithoutStore(t *testing.T) {
	t.Parallel()
	forEachReturn(t, "newsroom-return-no-store", func(g *WithT, c *overloadCase, specs []spec, before, after *overloadModel) {
		startedBefore, _ := before.returnValue(specs)
		started, _ := after.returnValue(specs)
		g.Expect(started).To(BeNumerically(">", startedBefore), "value of the requests sent in the 2 s from the return")
		g.Expect(after.rejected).To(BeNumerically("<", before.rejected), "attempts that ended in 503")
		expectSingleRuns(g, c, specs, after)
	})
}

func expectSingleRuns(g *WithT, c *overloadCase, specs []spec, m *overloadModel) {
	g.Expect(m.resets).To(BeZero(), "resets of flows")
	for i, runs := range m.runs {
		if c.classes[specs[i].class].unsafe {
			g.Expect(runs).To(BeNumerically("<=", 1), "request %d", i)
		}
	}
}

// TestReturnAtHighLoad guards against full queues of backend servers that are busy to a half when all daemons return, whether or not the
// daemons know each other at once.
func TestReturnAtHighLoad(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		for _, s.membersDelay = range []time.Duration{0, membersDelay} {
			for seed := uint64(1); seed <= 2 && s.name == "outage-fresh"; seed++ {
				t.Run(fmt.Sprintf("members after %v/seed%d", s.membersDelay, seed), func(t *testing.T) {
					g := NewWithT(t)
					before, after := simulate(s, seed, newSteererPolicy), simulate(s, seed, newStartLimitPolicy)
					g.Expect(float64(after.shedRequests)).To(BeNumerically("<=", maxRejectedShare*float64(before.shedRequests)), "attempts that ended in 503")
					g.Expect(after.windowScores[int(s.outageAt/scoreWindow)+1]).To(BeNumerically(">=", minReturnScore), "window that follows the return")
				})
			}
		}
	}
}

// TestStartLimitWithoutNeed guards against a limit that changes a return in which the backend servers have room.
func TestStartLimitWithoutNeed(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		if s.name == "outage" {
			NewWithT(t).Expect(simulate(s, 1, newStartLimitPolicy).windowScores).To(Equal(simulate(s, 1, newSteererPolicy).windowScores))
		}
	}
}
