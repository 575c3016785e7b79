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
			feedCount, socketCount = 10_000, 8
			openRate               = 5_000.0 // opens a second before the measurement
			churn                  = 500.0
			measurementTime        = 4 * time.Second
			maxResident            = 256 << 20
		)
		echo, err := generator.StartEcho(14, false)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Stop)
		system, err := generator.StartSystem(binaries, echo)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(system.Stop)
		feedLoad, err := generator.StartFeeds(generator.FeedsConfig{
			Entry: system.Entry, Sockets: socketCount, Feeds: feedCount, OpenRate: openRate, Churn: churn, Seed: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(feedLoad.Stop)
		Expect(feedLoad.WaitOpen(feedCount, openTimeout)).To(Succeed())

		feedLoad.Renew()
		callsBefore, err := system.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		before := feedLoad.Count()
		sleep(measurementTime)
		after := feedLoad.Count()
		callsAfter, err := system.PlatformCalls()
		Expect(err).NotTo(HaveOccurred())
		usage, err := generator.ReadUsage(system.Daemon.Process.Pid)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("%+v, %+v\n", after, usage)

		Expect(after.Broken()).To(BeZero())
		Expect(after.Refused).To(BeZero())
		Expect(after.Malformed).To(BeZero())
		Expect(after.Foreign).To(BeZero())
		Expect(after.Opened - before.Opened).To(BeNumerically(">=", uint64(churn*measurementTime.Seconds()/2)))
		// Datagrams may be lost when other programs use the VM; feeds send them again.
		Expect(after.Echoed - before.Echoed).To(BeNumerically(">=", (after.Sent-before.Sent)*9/10))
		Expect(callsAfter-callsBefore).To(BeNumerically("<=", 4), "settings are watched, not polled for each feed")
		Expect(usage.Resident).To(BeNumerically("<", maxResident))
	})
})
