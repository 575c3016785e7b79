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
	// checkersPerServer is how many daemons of its availability zone check a backend server.
	checkersPerServer = 3
	// ejectBound is the time in which all daemons of a small availability zone eject a backend server that has failed:
	// three checks of it, lengthened to 1.5 s, the time-out of the last one, and a few datagrams.
	ejectBound = 12 * time.Second
	// settleTime is the time after which the balancers of a small cluster know each other.
	settleTime = 5 * time.Second
)

var _ = Describe("shared health checks", func() {
	// fleet is one availability zone, without traffic: only health checks can eject.
	fleet := func(seed uint64, balancers int) *harness.Cluster {
		c := start(harness.Config{
			Binaries: binaries, Seed: seed, Balancers: []int{balancers},
			Services: []harness.ServiceConfig{{Name: "ovenwatch", PerZone: []int{6}}},
		})
		sleep(settleTime)
		return c
	}

	// checkersOf returns the balancers that check a backend server.
	checkersOf := func(c *harness.Cluster, b *harness.Backend) []*harness.Balancer {
		GinkgoHelper()
		before, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		sleep(4 * time.Second)
		after, err := b.Ledger()
		Expect(err).NotTo(HaveOccurred())
		var list []*harness.Balancer
		for _, l := range c.Balancers() {
			if after.HealthChecks[l.EntryIP] > before.HealthChecks[l.EntryIP] {
				list = append(list, l)
			}
		}
		return list
	}

	// ejected returns how many of the balancers hold a backend server for ejected.
	ejected := func(list []*harness.Balancer, b *harness.Backend) func() int {
		return func() int {
			n := 0
			for _, l := range list {
				s, err := l.Status()
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

	// Guards against a daemon that does not hear of a failure which others see, and against checks that every daemon
	// makes of every backend server.
	It("ejects a killed backend server in daemons that do not check it", func() {
		c := fleet(61, 5)
		killed := c.Backends("ovenwatch")[0]
		Expect(checkersOf(c, killed)).To(HaveLen(checkersPerServer))
		Expect(killed.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejected(c.Balancers(), killed)).WithTimeout(ejectBound).WithPolling(poll).Should(Equal(5))
	})

	// Guards against one daemon whose checks all fail, for a reason of its own, taking backend servers out of use.
	It("ejects nothing when the checks of one balancer fail", func() {
		c := fleet(62, 4)
		server := c.Backends("ovenwatch")[0]
		cut := checkersOf(c, server)[0]
		for _, b := range c.Backends("ovenwatch")[:2] { // few enough not to count as a fault of the checks
			Expect(b.Inject(admin.BackendFaults{HealthCutPrefixes: []netip.Prefix{netip.PrefixFrom(cut.EntryIP, 32)}})).To(Succeed())
		}
		for _, b := range c.Backends("ovenwatch")[:2] {
			Consistently(ejected(c.Balancers(), b)).WithTimeout(ejectBound / 2).WithPolling(poll).Should(BeZero())
		}
		Expect(checkersOf(c, server)).To(ContainElement(cut), "a run in which it checks nothing shows nothing")
	})

	// Guards against a failure that goes unnoticed because one of the checkers is paused, or has been killed.
	It("ejects a killed backend server while a checker is paused or dead", func() {
		c := fleet(63, 4)
		first, second := c.Backends("ovenwatch")[0], c.Backends("ovenwatch")[1]
		paused := checkersOf(c, first)[0]
		others := slices.DeleteFunc(c.Balancers(), func(b *harness.Balancer) bool { return b == paused })
		paused.Pause()
		Expect(first.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejected(others, first)).WithTimeout(ejectBound).WithPolling(poll).Should(Equal(3))
		paused.Resume()
		Eventually(ejected(c.Balancers(), first)).WithTimeout(2 * ejectBound).WithPolling(poll).Should(Equal(4))

		killed := checkersOf(c, second)[0]
		others = slices.DeleteFunc(c.Balancers(), func(b *harness.Balancer) bool { return b == killed })
		killed.Kill()
		Expect(second.SaveLedgerAndKill()).To(Succeed())
		Eventually(ejected(others, second)).WithTimeout(ejectBound).WithPolling(poll).Should(Equal(3))
	})
})
