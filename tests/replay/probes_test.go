package main

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLoadedOnlyServer guards against resets of the flows of a live backend server that is the only one of its zone: it acknowledges requests
// with their answers, which are late under load, and no other backend server of the zone has answered by which a probe could be judged.
func TestLoadedOnlyServer(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := scenario{
		usersPerZone: 16, thinkTime: 500 * time.Millisecond, serviceTime: 120 * time.Millisecond, deadline: 2500 * time.Millisecond,
		targetLatency: 500 * time.Millisecond, backendsPerZone: []int{1, 1, 1}, duration: 60 * time.Second,
	}
	for seed := range uint64(12) {
		r := simulate(s, seed, newWholePolicy)
		g.Expect(r.answeredRequests).To(BeNumerically(">", 1000), "seed %d", seed)
		g.Expect(r.falseResets).To(BeZero(), "seed %d", seed)
	}
}
