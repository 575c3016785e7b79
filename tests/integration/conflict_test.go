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
	// Guards against a platform fault that nobody reports, against balancers that replace the content which they accepted
	// by the other one or go back to an earlier revision, and against a conflict that outlasts the next revision (G8).
	It("are refused and reported, and end with the next revision", func() {
		c := start(standard(36))
		b := c.Backends("recipecard")[0]
		traffic := drive(c, load(36))
		watch := watchRevisions(c)
		old := c.LastRevision()
		twofold := old + 1
		// The first content is the tree as it is. The second one says that a backend server is leaving.
		first := func(*harness.Tree) {}
		second := func(t *harness.Tree) { setState(t, b, "leaving") }
		changed := func(t *harness.Tree) { t.Defaults = map[string]any{"connections": 1900} }
		// The zones cannot relay to each other until each has taken its own content.
		Expect(c.SetFabricFaults(admin.FabricFaults{CutZones: [][2]int{{1, 2}}})).To(Succeed())
		Expect(c.PutSettingsForZone(1, twofold, first)).To(Succeed())
		Expect(c.PutSettingsForZone(2, twofold, second)).To(Succeed())
		expectInForce(c, twofold)
		Expect(c.SetFabricFaults(admin.FabricFaults{})).To(Succeed())
		expectContents := func() {
			GinkgoHelper()
			for _, l := range c.Balancers() {
				Expect(leaves(l, b)).To(Equal(l.Zone == 2), l.Process.Name)
			}
		}
		expectContents()

		// Heartbeats between the zones show that the digests differ.
		for _, zone := range []int{1, 2} {
			Eventually(func() int { return len(conflicts(c, zone, twofold, false)) }).
				WithTimeout(settingsBound).WithPolling(poll).Should(BeNumerically(">", 0), "availability zone %d", zone)
		}
		// The platform goes back and then serves each watcher nearly what the other zone holds. The other content itself
		// is reported only once, and the heartbeats have caused that.
		Expect(c.SetPlatformFaults(admin.PlatformFaults{StaleRevision: map[string]uint64{"settings": old}})).To(Succeed())
		sleep(time.Second)
		Expect(c.PutSettingsForZone(1, twofold, func(t *harness.Tree) { second(t); changed(t) })).To(Succeed())
		Expect(c.PutSettingsForZone(2, twofold, changed)).To(Succeed())
		Expect(c.SetPlatformFaults(admin.PlatformFaults{})).To(Succeed())
		for _, zone := range []int{1, 2} {
			Eventually(func() []string { return conflicts(c, zone, twofold, true) }).
				WithTimeout(settingsBound).WithPolling(poll).Should(HaveLen(2), "both balancers of a zone watch the platform")
		}
		expectContents()

		next, err := c.EditSettings(second)
		Expect(err).NotTo(HaveOccurred())
		Expect(next).To(BeNumerically(">", twofold))
		expectInForce(c, next)
		for _, l := range c.Balancers() {
			Expect(leaves(l, b)).To(BeTrue(), l.Process.Name)
		}
		sleep(time.Second)
		expectClean(finish(c, traffic))
		Expect(watch()).To(BeEmpty())
	})
})

// setState sets the state of a backend server in a settings tree.
func setState(t *harness.Tree, b *harness.Backend, state string) {
	t.EditGroups(harness.Place(b.Zone), b.Service, func(list []harness.TreeBackendServer) []harness.TreeBackendServer {
		for i := range list {
			if list[i].Address == b.Address.String() {
				list[i].State = state
			}
		}
		return list
	})
}

// leaves reports whether a backend server is leaving in the view of a balancer.
func leaves(l *harness.Balancer, b *harness.Backend) bool {
	GinkgoHelper()
	s, err := l.Status()
	Expect(err).NotTo(HaveOccurred())
	for _, server := range s.BackendServers {
		if server.Address == b.Address {
			return server.State == "leaving"
		}
	}
	Fail(l.Process.Name + " does not list " + b.Address.String())
	return false
}

// conflicts returns the balancers of an availability zone whose audit trail has a refused second content of a revision,
// as a peer's heartbeat showed it or as the platform sent it.
func conflicts(c *harness.Cluster, zone int, revision uint64, fromPlatform bool) []string {
	GinkgoHelper()
	var names []string
	for _, l := range c.Balancers() {
		if l.Zone != zone {
			continue
		}
		entries, err := l.AuditTrail()
		Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			if e.Document == "settings" && e.Revision == revision && e.Outcome == auditor.Refused &&
				strings.HasPrefix(e.Cause, string(reviser.CauseContentConflict)) && (e.Source == "platform") == fromPlatform {
				names = append(names, l.Process.Name)
				break
			}
		}
	}
	return names
}
