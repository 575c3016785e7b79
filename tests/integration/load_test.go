package integration_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/bench/generator"
)

var _ = Describe("many feeds", func() {
	// Guards against state, control traffic or work for each open feed, and against feeds that break, change their backend
	// server or are refused when many are open and many new ones come.
	It("holds 10,000 open feeds while 500 new ones a second come", func() {
		const (
			feeds, sockets = 10_000, 8
			rate           = 5_000.0 // opens a second before the measurement
			churn          = 500.0
			measured       = 4 * time.Second
			mostResident   = 256 << 20
		)
		echo, err := generator.StartEchoServers(14, false)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Stop)
		system, err := generator.StartSystem(binaries, echo)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(system.Stop)
		load, err := generator.StartFeedLoad(generator.FeedLoadConfig{
			EntryAddress: system.EntryAddress, Sockets: sockets, Feeds: feeds, OpenRate: rate, ChurnRate: churn, Seed: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(load.Stop)
		Expect(load.WaitOpen(feeds, openTimeout)).To(Succeed())

		load.StartChurn()
		calls, err := system.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		before := load.Counts()
		sleep(measured)
		after := load.Counts()
		later, err := system.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		usage, err := generator.ReadUsage(system.Daemon.Process.Pid)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%+v, %+v\n", after, usage)

		Expect(after.BrokenFeeds()).To(BeZero())
		Expect(after.RefusedOpens).To(BeZero())
		Expect(after.MalformedDatagrams).To(BeZero())
		Expect(after.UnknownFlowDatagrams).To(BeZero())
		Expect(after.OpenedFeeds - before.OpenedFeeds).To(BeNumerically(">=", uint64(churn*measured.Seconds()/2)))
		// Datagrams may be lost when other programs use the VM; feeds send them again.
		Expect(after.EchoedKeepalives - before.EchoedKeepalives).To(BeNumerically(">=", (after.SentKeepalives-before.SentKeepalives)*9/10))
		Expect(later-calls).To(BeNumerically("<=", 4), "settings are watched, not polled for each feed")
		Expect(usage.ResidentBytes).To(BeNumerically("<", mostResident))
	})
})
