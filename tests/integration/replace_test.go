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
	// Guards against feeds that depend on one balancer (G1), against requests lost by a planned stop (G7), and against
	// a second run of a request that another balancer takes over (G5).
	It("replaces all balancers twice while backend servers drain and join", func() {
		c := start(standard(11))
		traffic := drive(c, load(11))
		var stopped []*harness.Balancer
		for round := range 2 {
			for i, old := range running(c) {
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
		expectGracefulEnd(c, stopped)
		t := finish(c, traffic)
		expectClean(t)
		Expect(t.Flows).To(Equal(loadFeeds))
	})

	// Guards against a planned stop that interrupts requests in progress (G7).
	It("answers the requests in progress at SIGTERM", func() {
		c := start(standard(12))
		traffic := drive(c, longRequests(12))
		sleep(2 * time.Second)
		old := c.Balancers()[0]
		Expect(c.ShutDownBalancer(old)).To(Succeed())
		sleep(2 * time.Second)
		expectGracefulEnd(c, []*harness.Balancer{old})
		expectClean(finish(c, traffic))
	})

	// Guards against a process that cannot be ended while it waits for its work, and against a planned stop that outlives
	// its grace time.
	It("ends at the second SIGTERM, or when the grace time is over", func() {
		config := standard(18)
		config.GracePeriod = 2 * time.Second
		c := start(config)
		traffic := drive(c, load(18)) // gate tokens stay valid for 10 s, beyond the grace time
		sleep(time.Second)
		first, second := c.Balancers()[0], c.Balancers()[1]
		Expect(c.ShutDownBalancer(first)).To(Succeed())
		began := time.Now()
		code, err := first.WaitExit(config.GracePeriod + 2*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero())
		Expect(time.Since(began)).To(BeNumerically(">=", config.GracePeriod))

		second.Terminate()
		sleep(200 * time.Millisecond)
		second.Terminate()
		code, err = second.WaitExit(time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).NotTo(BeZero(), "its work was interrupted")
		t := finish(c, traffic)
		Expect(t.DuplicateRuns + t.FalseNotRun + t.WrongService + t.WrongAnswers).To(BeZero())
	})

	// Guards against a time-out of an attempt that cancels and repeats a request which is still running.
	It("answers requests that run for long", func() {
		c := start(standard(17))
		traffic := drive(c, longRequests(17))
		sleep(5 * time.Second)
		expectClean(finish(c, traffic))
	})

	// Guards against flows and requests that break at a key rotation, because their tokens no longer open (G1).
	It("rotates the token keys", func() {
		c := start(standard(13))
		traffic := drive(c, load(13))
		first, err := c.EditSettings(func(t *harness.Tree) {
			t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(2, harness.NewRandom(13)))
		})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(c, first)
		second, err := c.EditSettings(func(t *harness.Tree) { t.SealWith = 2 })
		Expect(err).NotTo(HaveOccurred())
		expectInForce(c, second)
		sleep(6 * time.Second) // longer than a feed lasts whose packets are dropped
		expectClean(finish(c, traffic))

		// All flows of the old key have ended.
		third, err := c.EditSettings(func(t *harness.Tree) { t.TokenKeys = t.TokenKeys[1:] })
		Expect(err).NotTo(HaveOccurred())
		expectInForce(c, third)
		traffic = drive(c, load(14))
		sleep(time.Second)
		expectClean(finish(c, traffic))
	})

	// Guards against a rotation whose steps reach the balancers at different times: tokens of a key that some balancers
	// do not hold yet must not end flows.
	It("adds and uses a token key at once", func() {
		c := start(standard(15))
		traffic := drive(c, load(15))
		// The second zone learns of the key a second later, while packets of the new key reach all balancers.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutZones: [][2]int{{1, 2}}, CutPlatform: []int{2}})).To(Succeed())
		n, err := c.EditSettings(func(t *harness.Tree) {
			t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(2, harness.NewRandom(15)))
			t.SealWith = 2
		})
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() []uint64 { return slices.Collect(maps.Values(revisions(c))) }).
			WithTimeout(settingsBound).WithPolling(poll).Should(ContainElement(n))
		late, err := c.StartTraffic(harness.TrafficConfig{Seed: 16, Feeds: []harness.FeedLoad{{Service: "ovenwatch", Feeds: 10}}})
		Expect(err).NotTo(HaveOccurred())
		sleep(time.Second)
		Expect(revisions(c)).To(ContainElement(n-1), "some balancers do not hold the key yet")
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		expectInForce(c, n)
		sleep(2 * time.Second)
		expectClean(finish(c, traffic))
		t, err := c.Tally(late.Stop(), "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Faults).To(BeEmpty())
		Expect(t.UnopenedFeeds).To(BeZero())
	})

	// Guards against flows that are bound to the name of their group.
	It("renames a group", func() {
		c := start(standard(16))
		traffic := drive(c, load(16))
		n, err := c.EditSettings(func(t *harness.Tree) { t.RenameGroup(harness.Place(1), "ovenwatch", "main", "renamed") })
		Expect(err).NotTo(HaveOccurred())
		expectInForce(c, n)
		sleep(3 * time.Second)
		t := finish(c, traffic)
		expectClean(t)
		Expect(t.Moves).To(BeZero(), "a renamed group moves no feed")
	})
})

// longRequests is load whose requests run for 1 s. They need 6 of the 8 slots of recipecard.
func longRequests(seed uint64) harness.TrafficConfig {
	config := load(seed)
	for i, rate := range []float64{3, 3, 3} {
		r := &config.Requests[i]
		r.Rate, r.Options, r.Timeout = rate, ";work=1s", 10*time.Second
	}
	return config
}

// running returns the balancers that have not been told to leave.
func running(c *harness.Cluster) []*harness.Balancer {
	var list []*harness.Balancer
	for _, b := range c.Balancers() {
		if !b.IsLeaving() {
			list = append(list, b)
		}
	}
	return list
}

// expectGracefulEnd checks that terminated balancers end by themselves, soon after their gate tokens have expired.
func expectGracefulEnd(c *harness.Cluster, stopped []*harness.Balancer) {
	GinkgoHelper()
	for _, b := range stopped {
		code, err := b.WaitExit(tokenLifetime + 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(BeZero(), b.Process.Name)
		Expect(c.RemoveBalancer(b)).To(Succeed())
	}
}
