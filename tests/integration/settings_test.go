package integration_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("settings", func() {
	// Guards against changes that do not reach every balancer in time, and against a return to an earlier revision (guarantee
	// G8).
	It("are in force within 6 s over lossy links and without the platform, and never return to a lower revision", func() {
		config := standardFleet(31)
		config.Balancers = []int{4, 4}
		c := startCluster(config)
		lossyLinks := admin.LinkFaults{
			Loss: 0.2, Duplicate: 0.1, Reorder: 0.1,
			DelayMin: admin.Duration(time.Millisecond), DelayMax: admin.Duration(10 * time.Millisecond),
		}
		Expect(c.SetFabricFaults(admin.FabricFaults{Peer: lossyLinks, Platform: lossyLinks, CutPlatform: []int{2}})).To(Succeed())
		stopWatch := watchRevisions(c)
		var last uint64
		for round := range 4 {
			n, err := c.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": 2 + round} })
			Expect(err).NotTo(HaveOccurred())
			expectSettingsInForce(c, n)
			last = n
		}
		// The platform serves the first, stale revision to all balancers, including those that were cut off.
		Expect(c.SetFabricFaults(admin.FabricFaults{Peer: lossyLinks})).To(Succeed())
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": 1}})).To(Succeed())
		joined, err := c.AddBalancer(2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func(g Gomega) {
			s, err := joined.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.SettingsRevision).To(Equal(last))
		}).WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(Succeed())
		sleep(3 * time.Second)
		Expect(stopWatch()).To(BeEmpty())
	})

	// Guards against invalid settings that come into force.
	It("stay in force when the platform serves an invalid document", func() {
		c := startCluster(standardFleet(32))
		before := c.LastRevision()
		_, err := c.PutDocument("settings", 0, []byte("seal-with = 9\n"))
		Expect(err).NotTo(HaveOccurred())
		traffic := startTraffic(c, standardLoad(32))
		sleep(2 * time.Second)
		for name, n := range settingsRevisions(c) {
			Expect(n).To(Equal(before), name)
		}
		expectAllGuarantees(stopTraffic(c, traffic))
		n, err := c.EditSettings(func(*harness.Tree) {})
		Expect(err).NotTo(HaveOccurred())
		expectSettingsInForce(c, n)
	})

	// Guards against daemons that do not converge on the highest revision, or return to a lower one, when operators publish at
	// the same time while one daemon is paused, another starts without the platform, and the platform then serves stale
	// documents (guarantee G8).
	It("converge on the highest revision when operators publish concurrently", func() {
		c := startCluster(standardFleet(35))
		stopWatch := watchRevisions(c)
		paused := c.Balancers()[1]
		paused.Pause()
		var operators errgroup.Group
		for operator := range 2 {
			operators.Go(func() error {
				for n := range 5 {
					if _, err := c.EditSettings(func(t *harness.Tree) {
						t.Defaults = map[string]any{"slots": 2 + n, "connections": 2000 + operator}
					}); err != nil {
						return err
					}
				}
				return nil
			})
		}
		Expect(operators.Wait()).To(Succeed())
		last := c.LastRevision()
		Eventually(func(g Gomega) {
			for name, n := range settingsRevisions(c) {
				g.Expect(n).To(Equal(last), name)
			}
		}).WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(Succeed())

		Expect(c.SetPlatformFaults(admin.PlatformFaults{Outage: true})).To(Succeed())
		joined, err := c.AddBalancer(1)
		Expect(err).NotTo(HaveOccurred())
		s, err := joined.Status()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SettingsRevision).To(Equal(last), "it gets the highest revision from its peers")

		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": last - 3}})).To(Succeed())
		paused.Resume()
		expectSettingsInForce(c, last)
		sleep(2 * time.Second)
		expectSettingsInForce(c, last)
		Expect(stopWatch()).To(BeEmpty())
	})

	// Guards against duplicate runs, false not-run replies and lost readings during a partition between availability zones, and
	// against sides that do not converge after the partition has ended.
	It("converge after a partition of availability zones, without duplicate runs or lost readings", func() {
		c := startCluster(standardFleet(33))
		traffic := startTraffic(c, standardLoad(33))
		Expect(c.CutZones(1, 2)).To(Succeed())
		// Duplicates of an execute datagram reach both sides.
		Expect(c.SetFabricFaults(admin.FabricFaults{
			Caller: admin.LinkFaults{Duplicate: 0.3}, CutZones: [][2]int{{1, 2}}, CutPlatform: []int{2},
		})).To(Succeed())
		sleep(time.Second)
		n, err := c.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": 3} })
		Expect(err).NotTo(HaveOccurred())
		sleep(5 * time.Second)
		for _, b := range c.Balancers() {
			if s, err := b.Status(); b.Zone == 2 {
				Expect(err).NotTo(HaveOccurred())
				Expect(s.SettingsRevision).To(BeNumerically("<", n), "the second zone must be cut off completely")
			}
		}
		counters, err := c.FabricCounters()
		Expect(err).NotTo(HaveOccurred())
		Expect(counters.Counters["peer-connections-from-unknown-source"]).To(BeZero(), "the fabric cannot cut connections from unknown sources")
		// The second zone stays cut off from the platform, so that it can get the change only from the first zone.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutPlatform: []int{2}})).To(Succeed())
		expectSettingsInForce(c, n)
		Expect(c.ClearLinkFaults()).To(Succeed())
		records := traffic.Stop()
		t, err := c.Tally(records, "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("tally", t.String())
		Expect(t.DuplicateRuns).To(BeZero())
		Expect(t.FalseNotRun).To(BeZero())
		Expect(t.WrongService + t.WrongAnswers).To(BeZero())
		for _, f := range records.Feeds {
			Expect(f.LostReadings+f.RepeatedReadings).To(BeZero(), f.Topic)
		}

		traffic = startTraffic(c, standardLoad(34))
		sleep(2 * time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
	})
})

// watchRevisions records every settings revision in force that is lower than an earlier one of the same balancer or of its
// earlier processes. The returned function stops the watch and returns one line for each decrease.
func watchRevisions(c *harness.Cluster) func() []string {
	ctx, cancel := context.WithCancel(context.Background())
	var decreases []string
	var group errgroup.Group
	group.Go(func() error {
		highest := map[string]uint64{}
		for ctx.Err() == nil {
			for _, b := range c.Balancers() {
				s, err := b.Status()
				if err != nil || s.State == operator.Starting {
					continue // a restarted process has no settings yet and serves nothing
				}
				name, n := b.Process.Name, s.SettingsRevision
				if n < highest[name] {
					decreases = append(decreases, fmt.Sprintf("%s from %d to %d", name, highest[name], n))
				}
				highest[name] = max(highest[name], n)
			}
			sleep(pollInterval)
		}
		return nil
	})
	return func() []string {
		cancel()
		_ = group.Wait()
		return decreases
	}
}
