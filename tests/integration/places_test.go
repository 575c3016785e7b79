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
	noChange := func(*harness.Tree) {}
	setPlaceDocuments := func(places ...string) func(*harness.Tree) {
		return func(t *harness.Tree) { t.PlaceDocuments = places }
	}

	// Guards against violations of guarantee G8: a change of a place document that does not reach every balancer in time,
	// including balancers cut off from the platform, and a document that returns to an earlier revision.
	It("are in force within 6 s everywhere, also in an availability zone that is cut off from the platform", func() {
		config := standardFleet(91)
		config.Balancers = []int{4, 4}
		c := startCluster(config)
		first, second := harness.Place(1), harness.Place(2)
		for _, place := range []string{first, second} {
			_, err := c.EditPlace(place, noChange)
			Expect(err).NotTo(HaveOccurred())
		}
		rootRevision, err := c.EditSettings(setPlaceDocuments(first, second))
		Expect(err).NotTo(HaveOccurred())
		expectDocumentInForce(c, "settings", rootRevision)
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
			publishedAt := time.Now()
			expectDocumentInForce(c, "settings-"+place, n)
			slowest = max(slowest, time.Since(publishedAt))
			last[place] = n
		}
		AddReportEntry("slowest change", slowest.String())
		for _, b := range c.Balancers() {
			s, err := b.Status()
			Expect(err).NotTo(HaveOccurred())
			Expect(s.BackendServers).To(HaveLen(10), b.Process.Name)
		}

		// The platform serves the first, stale revisions to all balancers, including those that were cut off and one that
		// joins.
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings-" + first: 1, "settings-" + second: 1}})).To(Succeed())
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		_, err = c.AddBalancer(2)
		Expect(err).NotTo(HaveOccurred())
		for range 2 {
			for place, n := range last {
				expectDocumentInForce(c, "settings-"+place, n)
			}
			sleep(2 * time.Second)
		}
	})

	// Guards against feeds or requests that fail because the settings of a place move from the root document to a document of
	// their own and back, and against a root document that comes into force before the documents that it names exist.
	It("replace the settings of a place under load, and only once they exist", func() {
		c := startCluster(standardFleet(92))
		place := harness.Place(1)
		traffic := startTraffic(c, standardLoad(92))
		before := c.LastRevision()
		waitingRevision, err := c.EditSettings(setPlaceDocuments(place))
		Expect(err).NotTo(HaveOccurred())
		sleep(3 * time.Second)
		for balancer, n := range settingsRevisions(c) {
			Expect(n).To(Equal(before), balancer)
		}
		for _, b := range c.Balancers() {
			Expect(auditOutcomes(b)).To(HaveKeyWithValue("waiting", 1), "one audit entry names the missing document")
		}
		_, err = c.EditPlace(place, noChange)
		Expect(err).NotTo(HaveOccurred())
		expectDocumentInForce(c, "settings", waitingRevision)
		sleep(2 * time.Second)
		restoredRevision, err := c.EditSettings(setPlaceDocuments())
		Expect(err).NotTo(HaveOccurred())
		expectDocumentInForce(c, "settings", restoredRevision)
		sleep(2 * time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
	})
})

// expectDocumentInForce waits at most propagationTimeout until a revision of a document is in force on all balancers.
func expectDocumentInForce(c *harness.Cluster, name string, revision uint64) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, b := range c.Balancers() {
			s, err := b.Status()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Documents).To(ContainElement(operator.Document{Name: name, Revision: revision, HeldRevision: revision}), b.Process.Name)
		}
	}).WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(Succeed())
}

// auditOutcomes counts the latest 100 audit entries of a balancer by outcome.
func auditOutcomes(b *harness.Balancer) map[string]int {
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
