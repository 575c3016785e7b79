package integration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("the whole path", func() {
	// Guards against processes that do not fit together: addresses, codecs, tokens, settings.
	It("carries feeds and requests without faults", func() {
		c := start(standard(1))
		traffic := drive(c, load(1))
		sleep(3 * time.Second)
		t := finish(c, traffic)
		expectClean(t)
		Expect(t.Flows).To(Equal(loadFeeds))
	})

	// Guards against wrong or mixed answers, lost parts of answers and lost readings when callers' packets are lost,
	// doubled or reordered. Without fetch about one request in twenty lacks a part of its answer.
	It("delivers complete answers over bad links", func() {
		c := start(standard(2))
		Expect(c.SetFabricFaults(admin.FabricFaults{Caller: admin.LinkFaults{
			Loss: 0.05, Duplicate: 0.1, Reorder: 0.1, DelayMax: admin.Duration(5 * time.Millisecond),
		}})).To(Succeed())
		traffic := drive(c, load(2))
		sleep(5 * time.Second)
		t := finish(c, traffic)
		Expect(t.Faults).To(BeEmpty())
		Expect(t.Failures()).To(BeZero())
		Expect(t.Answered).To(BeNumerically(">=", t.Requests*99/100))
	})

	// Guards against many watchers per availability zone, which exceed the platform's read budget in a large fleet. Each
	// change ends the waiting call of each watcher, so the calls after changes show how many there are.
	It("reads the platform rarely", func() {
		config := standard(3)
		config.Balancers = []int{5, 5}
		c := start(config)
		before, err := c.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		const (
			watched = 5 * time.Second
			changes = 4
		)
		for n := range changes {
			_, err := c.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": 2 + n} })
			Expect(err).NotTo(HaveOccurred())
			sleep(watched / changes)
		}
		after, err := c.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("calls", after.Total-before.Total)
		// 2,000 calls a second for 3,800 daemons leave about one call in two seconds to each.
		Expect(after.Total - before.Total).To(BeNumerically("<=", uint64(10*watched/(2*time.Second))))
	})
})
