package integration_test

import (
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	// checkersPerServer is the number of daemons that check a backend server of their own availability zone.
	checkersPerServer = 3
	// ejectionTimeout is the time within which all daemons of a small availability zone eject a failed backend server. It
	// covers three checks at an interval lengthened to 1.5 s, the timeout of the last check, and a few datagrams.
	ejectionTimeout = 12 * time.Second
	// membershipConvergenceTime is the time after which all balancers of a small cluster have discovered each other.
	membershipConvergenceTime = 5 * time.Second
)

var _ = Describe("shared health checks", func() {
	// startFleet starts one availability zone without traffic, so that only health checks can eject a backend server.
	startFleet := func(seed uint64, balancers int) *harness.Cluster {
		c := startCluster(harness.Config{
			Binaries: binaries, Seed: seed, Balancers: []int{balancers},
			Services: []harness.ServiceConfig{{Name: "ovenwatch", PerZone: []int{6}}},
		})
		sleep(membershipConvergenceTime)
		return c
	}

	// checkersOf returns the balancers from which a backend server counts health checks within 4 s.
	checkersOf := func(c *harness.Cluster, b *harness.Backend) []*harness.Balancer {
		GinkgoHelper()
		before, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		sleep(4 * time.Second)
		after, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		var list []*harness.Balancer
		for _, balancer := range c.Balancers() {
			if after.HealthChecks[balancer.EntryIP] > before.HealthChecks[balancer.EntryIP] {
				list = append(list, balancer)
			}
		}
		return list
	}

	// ejectedCount returns a function that counts the balancers that have ejected a backend server.
	ejectedCount := func(list []*harness.Balancer, b *harness.Backend) func() int {
		return func() int {
			n := 0
			for _, balancer := range list {
				s, err := balancer.Status()
				if err != nil {
					continue
				}
				for _, e := range s.BackendServers {
					if e.Address == b.Address && e.Ejected {
						n++
					}
				}
			}
			return n
		}
	}

	// Guards against failures that are not announced to the daemons that do not check the backend server, and against
	// every daemon checking every backend server.
	It("ejects a killed backend server in daemons that do not check it", func() {
		c := startFleet(61, 5)
		killed := c.Backends("ovenwatch")[0]
		Expect(checkersOf(c, killed)).To(HaveLen(checkersPerServer))
		Expect(killed.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejectedCount(c.Balancers(), killed)).WithTimeout(ejectionTimeout).WithPolling(pollInterval).Should(Equal(5))
	})

	// Guards against ejections because of a single daemon whose checks fail for a local reason, such as a broken link.
	It("ejects nothing when the checks of one balancer fail", func() {
		c := startFleet(62, 4)
		server := c.Backends("ovenwatch")[0]
		isolated := checkersOf(c, server)[0]
		for _, b := range c.Backends("ovenwatch")[:2] { // few enough that the failures are not attributed to the checks themselves
			Expect(b.Inject(admin.BackendFaults{HealthCutPrefixes: []netip.Prefix{netip.PrefixFrom(isolated.EntryIP, 32)}})).To(Succeed())
		}
		for _, b := range c.Backends("ovenwatch")[:2] {
			Consistently(ejectedCount(c.Balancers(), b)).WithTimeout(ejectionTimeout / 2).WithPolling(pollInterval).Should(BeZero())
		}
		Expect(checkersOf(c, server)).To(ContainElement(isolated), "the isolated balancer must still be a checker")
	})

	// Guards against a failure that is not detected because one of the checkers is paused or has been killed.
	It("ejects a killed backend server while a checker is paused or dead", func() {
		c := startFleet(63, 4)
		first, second := c.Backends("ovenwatch")[0], c.Backends("ovenwatch")[1]
		paused := checkersOf(c, first)[0]
		others := slices.DeleteFunc(c.Balancers(), func(b *harness.Balancer) bool { return b == paused })
		paused.Pause()
		Expect(first.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejectedCount(others, first)).WithTimeout(ejectionTimeout).WithPolling(pollInterval).Should(Equal(3))
		paused.Resume()
		Eventually(ejectedCount(c.Balancers(), first)).WithTimeout(2 * ejectionTimeout).WithPolling(pollInterval).Should(Equal(4))

		killed := checkersOf(c, second)[0]
		others = slices.DeleteFunc(c.Balancers(), func(b *harness.Balancer) bool { return b == killed })
		killed.Kill()
		Expect(second.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejectedCount(others, second)).WithTimeout(ejectionTimeout).WithPolling(pollInterval).Should(Equal(3))
	})
})
