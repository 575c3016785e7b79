package integration_test

import (
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("planned changes", func() {
	// Guards against feeds that depend on one balancer (guarantee G1), against requests lost in a graceful shutdown (G7), and
	// against a second run of a request that is retransmitted through another balancer (G5).
	It("replaces all balancers twice while backend servers drain and join", func() {
		c := startCluster(standardFleet(11))
		traffic := startTraffic(c, standardLoad(11))
		var stopped []*harness.Balancer
		for round := range 2 {
			for i, old := range activeBalancers(c) {
				_, err := c.ReplaceBalancer(old)
				Expect(err).NotTo(HaveOccurred())
				stopped = append(stopped, old)
				switch i {
				case 1:
					leaving := c.Backends("ovenwatch")[round]
					Expect(c.MarkLeavingInSettings(leaving)).To(Succeed())
					Expect(leaving.Drain()).To(Succeed())
				case 2:
					_, err := c.AddBackend("ovenwatch", 1+round)
					Expect(err).NotTo(HaveOccurred())
				}
				sleep(time.Second)
			}
		}
		expectGracefulShutdown(c, stopped)
		t := stopTraffic(c, traffic)
		expectAllGuarantees(t)
		Expect(t.OpenedFeeds).To(Equal(standardLoadFeeds))
	})

	// Guards against a graceful shutdown that interrupts requests in progress (guarantee G7).
	It("answers the requests in progress at SIGTERM", func() {
		c := startCluster(standardFleet(12))
		traffic := startTraffic(c, longRequestLoad(12))
		sleep(2 * time.Second)
		old := c.Balancers()[0]
		Expect(c.ShutDownBalancer(old)).To(Succeed())
		sleep(2 * time.Second)
		expectGracefulShutdown(c, []*harness.Balancer{old})
		expectAllGuarantees(stopTraffic(c, traffic))
	})

	// Guards against a process that cannot be ended while it drains, against one whose drain a repeated SIGTERM cuts short, and against a
	// graceful shutdown that exceeds its grace period.
	It("ends at the second SIGINT, or when the grace period is over", func() {
		config := standardFleet(18)
		config.GracePeriod = 2 * time.Second
		c := startCluster(config)
		traffic := startTraffic(c, standardLoad(18)) // gate tokens stay valid for 10 s, longer than the grace period
		sleep(time.Second)
		first, second := c.Balancers()[0], c.Balancers()[1]
		Expect(c.ShutDownBalancer(first)).To(Succeed())
		began := time.Now()
		sleep(200 * time.Millisecond)
		first.Terminate()
		code, err := first.WaitExit(config.GracePeriod + 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
		Expect(time.Since(began)).To(BeNumerically(">=", config.GracePeriod))

		second.Interrupt()
		sleep(200 * time.Millisecond)
		second.Interrupt()
		code, err = second.WaitExit(time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).NotTo(BeZero(), "an interrupted shutdown must exit with an error")
		t := stopTraffic(c, traffic)
		Expect(t.DuplicateRuns + t.FalseNotRun + t.WrongService + t.WrongAnswers).To(BeZero())
	})

	// Guards against an attempt timeout that cancels and retries a request which is still running.
	It("answers long-running requests", func() {
		c := startCluster(standardFleet(17))
		traffic := startTraffic(c, longRequestLoad(17))
		sleep(5 * time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
	})

	// Guards against flows and requests that fail at a key rotation because their tokens can no longer be decrypted (guarantee
	// G1).
	It("rotates the token keys", func() {
		c := startCluster(standardFleet(13))
		traffic := startTraffic(c, standardLoad(13))
		addRevision, err := c.EditSettings(func(t *harness.Tree) {
			t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(2, harness.NewRandom(13)))
		})
		Expect(err).NotTo(HaveOccurred())
		expectSettingsInForce(c, addRevision)
		switchRevision, err := c.EditSettings(func(t *harness.Tree) { t.SealWith = 2 })
		Expect(err).NotTo(HaveOccurred())
		expectSettingsInForce(c, switchRevision)
		sleep(6 * time.Second) // longer than a feed stays open while its packets are dropped
		expectAllGuarantees(stopTraffic(c, traffic))

		// All flows with tokens of the old key have ended.
		removeRevision, err := c.EditSettings(func(t *harness.Tree) { t.TokenKeys = t.TokenKeys[1:] })
		Expect(err).NotTo(HaveOccurred())
		expectSettingsInForce(c, removeRevision)
		traffic = startTraffic(c, standardLoad(14))
		sleep(time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
	})

	// Guards against flows that end because their tokens use a new key that some balancers have not received yet.
	It("adds a token key and uses it in the same revision", func() {
		c := startCluster(standardFleet(15))
		traffic := startTraffic(c, standardLoad(15))
		// The second zone gets the key a second later, while packets with tokens of the new key reach all balancers.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutZones: [][2]int{{1, 2}}, CutPlatform: []int{2}})).To(Succeed())
		n, err := c.EditSettings(func(t *harness.Tree) {
			t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(2, harness.NewRandom(15)))
			t.SealWith = 2
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() []uint64 { return slices.Collect(maps.Values(settingsRevisions(c))) }).
			WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(ContainElement(n))
		lateTraffic, err := c.StartTraffic(harness.TrafficConfig{Seed: 16, Feeds: []harness.FeedLoad{{Service: "ovenwatch", Feeds: 10}}})
		Expect(err).NotTo(HaveOccurred())
		sleep(time.Second)
		Expect(settingsRevisions(c)).To(ContainElement(n-1), "some balancers must not have the key yet")
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		expectSettingsInForce(c, n)
		sleep(2 * time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
		t, err := c.Tally(lateTraffic.Stop(), "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Violations).To(BeEmpty())
		Expect(t.UnopenedFeeds).To(BeZero())
	})

	// Guards against flows that depend on the name of the group of their backend server.
	It("renames a group", func() {
		c := startCluster(standardFleet(16))
		traffic := startTraffic(c, standardLoad(16))
		n, err := c.EditSettings(func(t *harness.Tree) { t.RenameGroup(harness.Place(1), "ovenwatch", "main", "renamed") })
		Expect(err).NotTo(HaveOccurred())
		expectSettingsInForce(c, n)
		sleep(3 * time.Second)
		t := stopTraffic(c, traffic)
		expectAllGuarantees(t)
		Expect(t.Moves).To(BeZero(), "a renamed group moves no feed")
	})
})

// longRequestLoad returns standardLoad with requests that run for 1 s each. They occupy 6 of the 8 slots of recipecard.
func longRequestLoad(seed uint64) harness.TrafficConfig {
	config := standardLoad(seed)
	for i, rate := range []float64{3, 3, 3} {
		r := &config.Requests[i]
		r.Rate, r.Options, r.Timeout = rate, ";work=1s", 10*time.Second
	}
	return config
}

// activeBalancers returns the balancers that are not shutting down.
func activeBalancers(c *harness.Cluster) []*harness.Balancer {
	var list []*harness.Balancer
	for _, b := range c.Balancers() {
		if !b.IsLeaving() {
			list = append(list, b)
		}
	}
	return list
}

// expectGracefulShutdown checks that balancers that received a SIGTERM exit without an error within 10 s after their gate tokens
// have expired, and removes them from the cluster.
func expectGracefulShutdown(c *harness.Cluster, stopped []*harness.Balancer) {
	GinkgoHelper()
	for _, b := range stopped {
		code, err := b.WaitExit(tokenLifetime + 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), b.Process.Name)
		Expect(c.RemoveBalancer(b)).To(Succeed())
	}
}
