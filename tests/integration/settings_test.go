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
	// Guards against changes that do not reach every balancer in time, and against a return to an earlier revision (G8).
	It("are in force within 6 s over lossy links and without the platform, and never lower after", func() {
		config := standard(31)
		config.Balancers = []int{4, 4}
		c := start(config)
		lossy := admin.LinkFaults{
			Loss: 0.2, Duplicate: 0.1, Reorder: 0.1,
			DelayMin: admin.Duration(time.Millisecond), DelayMax: admin.Duration(10 * time.Millisecond),
		}
		Expect(c.SetFabricFaults(admin.FabricFaults{Peer: lossy, Platform: lossy, CutPlatform: []int{2}})).To(Succeed())
		watch := watchRevisions(c)
		var last uint64
		for round := range 4 {
			n, err := c.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": 2 + round} })
			Expect(err).NotTo(HaveOccurred())
			expectInForce(c, n)
			last = n
		}
		// A stale platform serves the first revision, also to those that were cut off.
		Expect(c.SetFabricFaults(admin.FabricFaults{Peer: lossy})).To(Succeed())
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": 1}})).To(Succeed())
		joined, err := c.AddBalancer(2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func(g Gomega) {
			s, err := joined.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.SettingsRevision).To(Equal(last))
		}).WithTimeout(settingsBound).WithPolling(poll).Should(Succeed())
		sleep(3 * time.Second)
		Expect(watch()).To(BeEmpty())
	})

	// Guards against settings that are applied although they are wrong.
	It("stay in force when the platform serves an invalid document", func() {
		c := start(standard(32))
		before := c.LastRevision()
		_, err := c.PutDocument("settings", 0, []byte("seal-with = 9\n"))
		Expect(err).NotTo(HaveOccurred())
		traffic := drive(c, load(32))
		sleep(2 * time.Second)
		for name, n := range revisions(c) {
			Expect(n).To(Equal(before), name)
		}
		expectClean(finish(c, traffic))
		n, err := c.EditSettings(func(*harness.Tree) {})
		Expect(err).NotTo(HaveOccurred())
		expectInForce(c, n)
	})

	// Guards against daemons that end on different revisions, or that go back, when operators publish at the same time
	// while one daemon is paused, another starts without the platform, and the platform then serves old documents (G8).
	It("end on the highest revision when operators publish in a race", func() {
		c := start(standard(35))
		watch := watchRevisions(c)
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
			for name, n := range revisions(c) {
				g.Expect(n).To(Equal(last), name)
			}
		}).WithTimeout(settingsBound).WithPolling(poll).Should(Succeed())

		Expect(c.SetPlatformFaults(admin.PlatformFaults{Outage: true})).To(Succeed())
		joined, err := c.AddBalancer(1)
		Expect(err).NotTo(HaveOccurred())
		s, err := joined.Status()
		Expect(err).NotTo(HaveOccurred())
		Expect(s.SettingsRevision).To(Equal(last), "peers gave it the highest revision")

		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": last - 3}})).To(Succeed())
		paused.Resume()
		expectInForce(c, last)
		sleep(2 * time.Second)
		expectInForce(c, last)
		Expect(watch()).To(BeEmpty())
	})

	// Guards against doubled runs, false promises and lost readings when the availability zones lose each other, and
	// against sides that stay apart after the cut has ended.
	It("converge after a partition of availability zones, which doubles and loses nothing", func() {
		c := start(standard(33))
		traffic := drive(c, load(33))
		Expect(c.CutZones(1, 2)).To(Succeed())
		// Copies of an execute reach both sides.
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
				Expect(s.SettingsRevision).To(BeNumerically("<", n), "the cut is not complete")
			}
		}
		counters, err := c.FabricCounters()
		Expect(err).NotTo(HaveOccurred())
		Expect(counters.Counters["peer-connections-from-unknown-source"]).To(BeZero(), "the fabric cannot cut these")
		// The platform stays cut off from the second zone, which then has the change only from the first one.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutPlatform: []int{2}})).To(Succeed())
		expectInForce(c, n)
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

		traffic = drive(c, load(34))
		sleep(2 * time.Second)
		expectClean(finish(c, traffic))
	})
})

// watchRevisions records every settings revision in force that is lower than an earlier one of the same balancer, also
// of its earlier processes. The
// returned function ends the watch and returns what it saw.
func watchRevisions(c *harness.Cluster) func() []string {
	ctx, cancel := context.WithCancel(context.Background())
	var lowered []string
	var group errgroup.Group
	group.Go(func() error {
		highest := map[string]uint64{}
		for ctx.Err() == nil {
			for _, b := range c.Balancers() {
				s, err := b.Status()
				if err != nil || s.State == operator.Starting {
					continue // a process that starts again has no settings yet and serves nothing
				}
				name, n := b.Process.Name, s.SettingsRevision
				if n < highest[name] {
					lowered = append(lowered, fmt.Sprintf("%s from %d to %d", name, highest[name], n))
				}
				highest[name] = max(highest[name], n)
			}
			sleep(poll)
		}
		return nil
	})
	return func() []string {
		cancel()
		_ = group.Wait()
		return lowered
	}
}
