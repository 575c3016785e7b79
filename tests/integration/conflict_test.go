package integration_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

var _ = Describe("two contents under one revision", func() {
	// Guards against violations of guarantee G8 when the platform serves two contents under one revision: a conflict that is
	// not reported, balancers that replace the accepted content or return to an earlier revision, and a conflict that
	// remains after the next revision.
	It("are refused and reported, and end with the next revision", func() {
		c := startCluster(standardFleet(36))
		server := c.Backends("recipecard")[0]
		traffic := startTraffic(c, standardLoad(36))
		stopWatch := watchRevisions(c)
		previousRevision := c.LastRevision()
		conflictRevision := previousRevision + 1
		// The first content is the current settings tree. In the second one, a backend server is leaving.
		firstContent := func(*harness.Tree) {}
		secondContent := func(t *harness.Tree) { setServerState(t, server, "leaving") }
		changeDefaults := func(t *harness.Tree) { t.Defaults = map[string]any{"connections": 1900} }
		// The zones cannot relay settings to each other until the balancers of each zone have accepted its own content.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutZones: [][2]int{{1, 2}}})).To(Succeed())
		Expect(c.PutSettingsForZone(1, conflictRevision, firstContent)).To(Succeed())
		Expect(c.PutSettingsForZone(2, conflictRevision, secondContent)).To(Succeed())
		expectSettingsInForce(c, conflictRevision)
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		expectContents := func() {
			GinkgoHelper()
			for _, balancer := range c.Balancers() {
				Expect(isLeaving(balancer, server)).To(Equal(balancer.Zone == 2), balancer.Process.Name)
			}
		}
		expectContents()

		// The digests in the heartbeats between the zones differ.
		for _, zone := range []int{1, 2} {
			Eventually(func() int { return len(balancersWithConflict(c, zone, conflictRevision, false)) }).
				WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(BeNumerically(">", 0), "availability zone %d", zone)
		}
		// The platform returns to the previous revision and then serves each zone the other zone's content with a further
		// change. The change is needed because a balancer reports each content only once, and the heartbeats have already
		// caused the reports on the unchanged contents.
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": previousRevision}})).To(Succeed())
		sleep(time.Second)
		Expect(c.PutSettingsForZone(1, conflictRevision, func(t *harness.Tree) { secondContent(t); changeDefaults(t) })).To(Succeed())
		Expect(c.PutSettingsForZone(2, conflictRevision, changeDefaults)).To(Succeed())
		Expect(c.SetPlatformFaults(admin.PlatformFaults{})).To(Succeed())
		for _, zone := range []int{1, 2} {
			Eventually(func() []string { return balancersWithConflict(c, zone, conflictRevision, true) }).
				WithTimeout(propagationTimeout).WithPolling(pollInterval).Should(HaveLen(2), "both balancers of a zone watch the platform")
		}
		expectContents()

		nextRevision, err := c.EditSettings(secondContent)
		Expect(err).NotTo(HaveOccurred())
		Expect(nextRevision).To(BeNumerically(">", conflictRevision))
		expectSettingsInForce(c, nextRevision)
		for _, balancer := range c.Balancers() {
			Expect(isLeaving(balancer, server)).To(BeTrue(), balancer.Process.Name)
		}
		sleep(time.Second)
		expectAllGuarantees(stopTraffic(c, traffic))
		Expect(stopWatch()).To(BeEmpty())
	})
})

// setServerState sets the state of a backend server in a settings tree.
func setServerState(t *harness.Tree, server *harness.Backend, state string) {
	t.EditGroups(harness.Place(server.Zone), server.Service, func(list []harness.TreeBackendServer) []harness.TreeBackendServer {
		for i := range list {
			if list[i].Address == server.Address.String() {
				list[i].State = state
			}
		}
		return list
	})
}

// isLeaving reports whether a balancer lists a backend server as leaving.
func isLeaving(balancer *harness.Balancer, server *harness.Backend) bool {
	GinkgoHelper()
	s, err := balancer.Status()
	Expect(err).NotTo(HaveOccurred())
	for _, entry := range s.BackendServers {
		if entry.Address == server.Address {
			return entry.State == "leaving"
		}
	}
	Fail(balancer.Process.Name + " does not list " + server.Address.String())
	return false
}

// balancersWithConflict returns the names of the balancers of an availability zone that have refused a second content of a
// revision according to their audit trail. fromPlatform selects contents that the platform served; otherwise those that a
// peer's heartbeat revealed.
func balancersWithConflict(c *harness.Cluster, zone int, revision uint64, fromPlatform bool) []string {
	GinkgoHelper()
	var names []string
	for _, balancer := range c.Balancers() {
		if balancer.Zone != zone {
			continue
		}
		entries, err := balancer.AuditTrail()
		Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			if e.Document == "settings" && e.Revision == revision && e.Outcome == auditor.Refused &&
				strings.HasPrefix(e.Cause, string(reviser.CauseContentConflict)) && (e.Source == "platform") == fromPlatform {
				names = append(names, balancer.Process.Name)
				break
			}
		}
	}
	return names
}
