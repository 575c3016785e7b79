package integration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("the whole path", func() {
	// Guards against incompatible addresses, codecs, tokens or settings of the processes.
	It("serves feeds and requests without faults", func() {
		c := startCluster(standardFleet(1))
		traffic := startTraffic(c, standardLoad(1))
		sleep(3 * time.Second)
		t := stopTraffic(c, traffic)
		expectAllGuarantees(t)
		Expect(t.OpenedFeeds).To(Equal(standardLoadFeeds))
	})

	// Guards against wrong or mixed answers, lost parts of answers and lost readings when callers' packets are lost,
	// duplicated or reordered. Without fetch datagrams about one request in twenty lacks a part of its answer.
	It("delivers complete answers over lossy links", func() {
		c := startCluster(standardFleet(2))
		Expect(c.SetFabricFaults(admin.FabricFaults{Caller: admin.LinkFaults{
			Loss: 0.05, Duplicate: 0.1, Reorder: 0.1, DelayMax: admin.Duration(5 * time.Millisecond),
		}})).To(Succeed())
		traffic := startTraffic(c, standardLoad(2))
		sleep(5 * time.Second)
		t := stopTraffic(c, traffic)
		Expect(t.Violations).To(BeEmpty())
		Expect(t.Failures()).To(BeZero())
		Expect(t.Answered).To(BeNumerically(">=", t.Requests*99/100))
	})

	// Guards against too many balancers of an availability zone that watch the platform, which would exceed its read budget in
	// a large fleet. Each change ends the long poll of each watcher, so the number of calls shows the number of watchers.
	It("reads the platform rarely", func() {
		config := standardFleet(3)
		config.Balancers = []int{5, 5}
		c := startCluster(config)
		before, err := c.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		const (
			observationTime = 5 * time.Second
			changeCount     = 4
		)
		for n := range changeCount {
			_, err := c.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": 2 + n} })
			Expect(err).NotTo(HaveOccurred())
			sleep(observationTime / changeCount)
		}
		after, err := c.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("calls", after.Total-before.Total)
		// 2,000 calls a second for 3,800 daemons leave about one call in two seconds to each.
		Expect(after.Total - before.Total).To(BeNumerically("<=", uint64(10*observationTime/(2*time.Second))))
	})
})
