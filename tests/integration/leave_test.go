package integration_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// Guards against new work on a leaving backend server later than 3 s after the documents say so (G6). The backend
// server itself is not told, so that its own refusals cannot hide a late placement.
var _ = Describe("a leaving backend server", func() {
	leave := func(fleet harness.Config, before func(*harness.Cluster), declare func(*harness.Cluster, *harness.Backend), after func(*harness.Cluster)) {
		c := start(fleet)
		config := load(fleet.Seed)
		// Requests whose deadline outlasts a pause wait in the sockets of paused balancers and are placed when they resume.
		config.Requests = append(config.Requests, harness.RequestLoad{
			Service: "ovenwatch", Rate: 100, Idempotent: true, Timeout: 15 * time.Second,
		})
		traffic := drive(c, config)
		sleep(time.Second)
		b := c.Backends("ovenwatch")[5] // in the second availability zone
		before(c)
		declare(c, b)
		after(c)
		sleep(leaveBound + 2*time.Second)
		late, err := b.WorkAfterGrace(leaveBound)
		Expect(err).NotTo(HaveOccurred())
		Expect(late).To(BeEmpty())
		t := finish(c, traffic)
		Expect(t.Faults).To(BeEmpty())
		Expect(t.Failures()).To(BeZero())
	}
	none := func(*harness.Cluster) {}
	bySettings := func(c *harness.Cluster, b *harness.Backend) { Expect(c.MarkLeavingInSettings(b)).To(Succeed()) }
	byVMs := func(c *harness.Cluster, b *harness.Backend) { Expect(c.MarkLeavingInVMList(b)).To(Succeed()) }

	It("gets no new work after 3 s when the settings say so", func() { leave(standard(21), none, bySettings, none) })

	It("gets no new work after 3 s when the VM list says so", func() { leave(standard(22), none, byVMs, none) })

	It("gets no new work after 3 s when its availability zone is cut off from the platform", func() {
		leave(standard(23), func(c *harness.Cluster) {
			Expect(c.SetFabricFaults(admin.FabricFaults{CutPlatform: []int{2}})).To(Succeed())
		}, bySettings, none)
	})

	It("gets no new work after 3 s when the platform goes down right after the change", func() {
		leave(standard(24), func(c *harness.Cluster) {
			// Only one balancer can read the change, so that the others depend on their peers.
			var cut []netip.Prefix
			for _, b := range c.Balancers()[1:] {
				cut = append(cut, netip.PrefixFrom(b.EntryIP, b.EntryIP.BitLen()))
			}
			Expect(c.SetPlatformFaults(admin.PlatformFaults{CutPrefixes: cut})).To(Succeed())
		}, bySettings, func(c *harness.Cluster) {
			Eventually(func() int {
				n := 0
				for _, revision := range revisions(c) {
					if revision >= c.LastRevision() {
						n++
					}
				}
				return n
			}).WithTimeout(leaveBound).WithPolling(5 * time.Millisecond).Should(BeNumerically(">", 0))
			Expect(c.SetPlatformFaults(admin.PlatformFaults{Outage: true})).To(Succeed())
		})
	})

	It("gets no new work after 3 s from a balancer that pauses and resumes with an old view", func() {
		var paused []*harness.Balancer
		leave(standard(25), func(c *harness.Cluster) {
			for _, b := range c.Balancers()[1:] {
				b.Pause()
				paused = append(paused, b)
			}
		}, bySettings, func(*harness.Cluster) {
			sleep(leaveBound + time.Second)
			for _, b := range paused {
				b.Resume()
			}
		})
	})
})
