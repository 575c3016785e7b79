package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// calmVisibleShare is the share of the responses on long flows whose acknowledgement is visible under calm load, as on the platform.
const calmVisibleShare = 0.2

// calmCase returns a deployment under calm load, with work times of which 3% are 7 times as long, and a load that swings by 55% in 15 s.
func calmCase(c overloadCase) overloadCase {
	c.slowFactor, c.burstFactor, c.tailShare, c.swing, c.visibleShare = 1, 1, 0.03, 0.55, calmVisibleShare
	c.endLoad = 60 * time.Second
	return c
}

// forEachCalmCase runs check for each deployment, number of daemons and seed.
func forEachCalmCase(t *testing.T, check func(g *WithT, c overloadCase, daemons int, seed uint64)) {
	sizes, seeds := []int{48}, uint64(1)
	if os.Getenv(fullRunVariable) != "" {
		sizes, seeds = []int{4, 27, 48}, overloadSeeds
	}
	for _, c := range overloadCases {
		for _, daemons := range sizes {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%s/%d/seed%d", c.name, daemons, seed+1), func(t *testing.T) { check(NewWithT(t), calmCase(c), daemons, seed+1) })
			}
		}
	}
}

// TestCalmNeverHeld guards against requests that are held, dropped or rejected, and against reports between daemons, although the load is
// a fifth of the capacity.
func TestCalmNeverHeld(t *testing.T) {
	t.Parallel()
	forEachCalmCase(t, func(g *WithT, c overloadCase, daemons int, seed uint64) {
		m := simulateOverload(c, c.generate(rand.New(rand.NewPCG(seed, 3))), daemons, seed, sharedPolicy())
		for z, zone := range m.daemons {
			for i, d := range zone {
				g.Expect(d.heldRequests()).To(BeZero(), "zone %d, daemon %d", z, i)
			}
		}
		g.Expect(m.reports).To(BeZero(), "reports sent")
	})
}

// TestFalseAlarm guards against a daemon with a slow link or processor whose reports make the other daemons of its zone hold requests.
func TestFalseAlarm(t *testing.T) {
	t.Parallel()
	forEachCalmCase(t, func(g *WithT, c overloadCase, daemons int, seed uint64) {
		c.endLoad, c.slowDaemonDelay = 20*time.Second, 500*time.Millisecond
		m := simulateOverload(c, c.generate(rand.New(rand.NewPCG(seed, 3))), daemons, seed, sharedPolicy())
		for z, zone := range m.daemons {
			for i, d := range zone {
				if z != 0 || i != 0 { // the slow daemon
					g.Expect(d.heldRequests()).To(BeZero(), "zone %d, daemon %d", z, i)
				}
			}
		}
		g.Expect(m.reports).NotTo(BeZero(), "reports of the slow daemon")
	})
}
