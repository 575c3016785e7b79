package integration_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("place documents", func() {
	none := func(*harness.Tree) {}
	name := func(places ...string) func(*harness.Tree) {
		return func(t *harness.Tree) { t.PlaceDocuments = places }
	}

	// Guards against a change of one place's document that does not reach every balancer in time, also one that is cut off
	// from the platform, and against a document that returns to an earlier revision (G8).
	It("are in force within 6 s everywhere, also in an availability zone that is cut off from the platform", func() {
		config := standard(91)
		config.Balancers = []int{4, 4}
		c := start(config)
		first, second := harness.Place(1), harness.Place(2)
		for _, place := range []string{first, second} {
			_, err := c.EditPlace(place, none)
			Expect(err).NotTo(HaveOccurred())
		}
		root, err := c.EditSettings(name(first, second))
		Expect(err).NotTo(HaveOccurred())
		expectDocument(c, "settings", root)
		Expect(c.SetFabricFaults(admin.FabricFaults{CutPlatform: []int{2}})).To(Succeed())
		var slowest time.Duration
		last := map[string]uint64{}
		for round := range 6 {
			place := []string{first, second}[round%2]
			n, err := c.EditPlace(place, func(t *harness.Tree) {
				t.EditGroups(place, "ovenwatch", func(servers []harness.TreeBackendServer) []harness.TreeBackendServer {
					servers[0].State = []string{"leaving", "live"}[round/2%2]
					return servers
				})
			})
			Expect(err).NotTo(HaveOccurred())
			began := time.Now()
			expectDocument(c, "settings-"+place, n)
			slowest = max(slowest, time.Since(began))
			last[place] = n
		}
		AddReportEntry("slowest change", slowest.String())
		for _, b := range c.Balancers() {
			s, err := b.Status()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.BackendServers).To(HaveLen(10), b.Process.Name)
		}

		// A stale platform serves the first revisions, also to those that were cut off, and to a balancer that joins.
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings-" + first: 1, "settings-" + second: 1}})).To(Succeed())
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		_, err = c.AddBalancer(2)
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			for place, n := range last {
				expectDocument(c, "settings-"+place, n)
			}
			sleep(2 * time.Second)
		}
	})

	// Guards against feeds or requests that end because a place moves from the root to a document of its own and back, and
	// against a root that is put in force before the documents that it names exist.
	It("take over a place under load, and only when they exist", func() {
		c := start(standard(92))
		place := harness.Place(1)
		traffic := drive(c, load(92))
		before := c.LastRevision()
		waiting, err := c.EditSettings(name(place))
		Expect(err).NotTo(HaveOccurred())
		sleep(3 * time.Second)
		for balancer, n := range revisions(c) {
			Expect(n).To(Equal(before), balancer)
		}
		for _, b := range c.Balancers() {
			Expect(outcomes(b)).To(HaveKeyWithValue("waiting", 1), "one audit entry names what is missing")
		}
		_, err = c.EditPlace(place, none)
		Expect(err).NotTo(HaveOccurred())
		expectDocument(c, "settings", waiting)
		sleep(2 * time.Second)
		joined, err := c.EditSettings(name())
		Expect(err).NotTo(HaveOccurred())
		expectDocument(c, "settings", joined)
		sleep(2 * time.Second)
		expectClean(finish(c, traffic))
	})
})

// expectDocument waits until a revision of a document is in force on all balancers, at most for the bound of G8.
func expectDocument(c *harness.Cluster, name string, revision uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, b := range c.Balancers() {
			s, err := b.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Documents).To(ContainElement(operator.Document{Name: name, Revision: revision, Held: revision}), b.Process.Name)
		}
	}).WithTimeout(settingsBound).WithPolling(poll).Should(Succeed())
}

// outcomes counts the audit entries of a balancer by outcome.
func outcomes(b *harness.Balancer) map[string]int {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	client, err := operator.Dial(ctx, b.OperatorAddress)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	entries, err := client.Audit(ctx, 100)
	Expect(err).NotTo(HaveOccurred())
	counts := map[string]int{}
	for _, e := range entries {
		counts[fmt.Sprint(e.Outcome)]++
	}
	return counts
}
