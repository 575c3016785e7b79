package integration_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
)

// lossConfirmation is how long the entry of a backend server must be missing before its idle flows are reset.
const lossConfirmation = 2500 * time.Millisecond

// deploy starts a small deployment of direct-return daemons that ends with the spec. No spec allows a violation: a packet
// that is altered or reaches another service, a flow at a backend server that has left, or, while nothing but planned work
// happens, a reset of an open flow.
func deploy() *deployment.Deployment {
	d, err := deployment.Start(deployment.Config{Binaries: binaries, Zones: 2, DaemonsPerZone: 2, BackendsPerZone: 3, FlowsPerService: 15})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		d.Stop()
		if CurrentSpecReport().Failed() {
			AddReportEntry("logs", d.LogDirectory())
			return
		}
		d.RemoveLogs()
		Expect(d.Violations.List()).To(BeEmpty())
	})
	d.ForbidResets.Store(true)
	Eventually(func() int { return d.Outcomes().Answered }).WithTimeout(openTimeout).Should(BeNumerically(">", 100))
	return d
}

var _ = Describe("direct return", func() {
	// Guards against requests that a planned stop of daemons loses or resets, and against a stop that does not end.
	It("loses no request while daemons are stopped and started in turn", func() {
		d := deploy()
		before := d.Outcomes()
		for _, x := range d.Daemons {
			x.Terminate()
			code, err := x.WaitExit(deployment.GracePeriod)
			Expect(err).NotTo(HaveOccurred())
			Expect(code).To(Equal(0))
			Expect(d.StartDaemon(x)).To(Succeed())
			Expect(d.WaitReady(len(d.Daemons))).To(Succeed())
		}
		after := d.Outcomes()
		Expect(after.Answered - before.Answered).To(BeNumerically(">", 300))
		Expect(after.Failed + after.Unopened + after.Resets).To(BeZero())
	})

	// Guards against flows that depend on the memory of a daemon: all are killed at once and start again.
	It("goes on with open flows after all daemons were killed", func() {
		d := deploy()
		for _, x := range d.Daemons {
			x.Kill()
		}
		for _, x := range d.Daemons {
			_, err := x.WaitExit(time.Second)
			Expect(err).NotTo(HaveOccurred())
			Expect(d.StartDaemon(x)).To(Succeed())
		}
		sleep(2 * time.Second)
		after := d.Outcomes()
		Expect(after.Resets).To(BeZero())
		sleep(2 * time.Second)
		Expect(d.Outcomes().Answered - after.Answered).To(BeNumerically(">", 200))
		Expect(d.Outcomes().Failed).To(BeZero())
	})

	// Guards against new flows at a backend server that leaves, against flows that wait for a crashed one until their
	// deadline, and against new flows that still go there. A caller can reset or lose a flow after the crash only if that flow
	// was open at the crashed backend server; flows that were idle there are reset once its entry has been missing for the
	// confirmation.
	It("gives a leaving or crashed backend server no new flows", func() {
		d := deploy()
		ovens := d.Backends("ovenwatch")
		d.Drain(ovens[0])
		sleep(time.Second)
		opened := ovens[0].OpenedFlows()
		sleep(deployment.LeavingBound)
		Expect(ovens[0].OpenedFlows()).To(Equal(opened))
		d.ForbidResets.Store(false)
		before := d.Outcomes()
		lostBefore := len(d.LostFlows())
		open := d.Crash(ovens[1])
		crash := time.Now()
		Expect(open).NotTo(BeEmpty())
		sleep(deployment.LeavingBound)
		after := d.Outcomes()
		Expect(after.Failed-before.Failed).To(BeNumerically("<=", 2), "the others are reset before their deadline")
		sleep(lossConfirmation)
		for _, caller := range d.LostFlows()[lostBefore:] {
			Expect(open).To(HaveKey(caller), "a flow that was not open at the crashed backend server is lost")
		}
		Expect(d.CountOpenFlows(open)).To(BeZero(), "flows that were open at the crashed backend server are reset")
		Expect(ovens[1].LastOpeningPacket()).To(BeTemporally("<=", crash.Add(deployment.LeavingBound)), "no new flow is placed there")
		Expect(d.Outcomes().Failed-before.Failed).To(BeNumerically("<=", 3), "one more may meet its deadline after the bound")
	})

	// Guards against a change that waits for a watch which went silent as the store dropped its history, and against open
	// flows of a removed route that go on.
	It("puts a configuration in force although the watches are silent", func() {
		d := deploy()
		d.ForbidResets.Store(false)
		d.Store.SuppressWatchEvents(true)
		d.PublishConfiguration(deployment.Routes()[:1]) // recipecard is gone
		d.Store.Compact()
		sleep(deployment.ConfigurationBound)
		before, _, _ := d.Callers[1].Outcomes()
		sleep(time.Second)
		after, _, _ := d.Callers[1].Outcomes()
		Expect(after.Answered).To(Equal(before.Answered))
		Expect(after.Unopened).To(BeNumerically(">", before.Unopened), "new flows are refused at once")
	})

	// Guards against daemons that stop serving while the store is away, or call it without pause.
	It("serves while the store fails in each way", func() {
		d := deploy()
		for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.ConnectionReset, platformtest.NoResponse} {
			before := d.Outcomes()
			calls := sum(d.Store.CallCounts())
			d.Store.SetFault(fault)
			sleep(2 * time.Second)
			after := d.Outcomes()
			Expect(after.Answered - before.Answered).To(BeNumerically(">", 200))
			Expect(after.Failed + after.Unopened + after.Resets).To(BeZero())
			Expect(sum(d.Store.CallCounts())-calls).To(BeNumerically("<", 80), "calls of 4 daemons in 2 s")
		}
		d.Store.SetFault(platformtest.NoFault)
		d.PublishConfiguration(deployment.Routes()[:1])
		d.ForbidResets.Store(false)
		Eventually(func() int { n, _, _ := d.Callers[1].Outcomes(); return n.Unopened + n.Resets }).
			WithTimeout(deployment.ConfigurationBound).Should(BeNumerically(">", 0))
	})

	// Guards against a signal to read the settings that ends the process, and against broken settings in force.
	It("reads its settings again", func() {
		d := deploy()
		x := d.Daemons[0]
		content, err := os.ReadFile(x.SettingsFile())
		Expect(err).NotTo(HaveOccurred())
		log := func() string {
			b, err := os.ReadFile(x.LogFile)
			Expect(err).NotTo(HaveOccurred())
			return string(b)
		}
		Expect(os.WriteFile(x.SettingsFile(), []byte("name = 1"), 0o600)).To(Succeed())
		x.Hangup()
		Eventually(log).WithTimeout(openTimeout).Should(ContainSubstring("changed settings are invalid"))
		changed := strings.Replace(string(content), "seeds = [", `seeds = ["127.0.0.1:9", `, 1)
		Expect(os.WriteFile(x.SettingsFile(), []byte(changed), 0o600)).To(Succeed())
		x.Hangup()
		Eventually(log).WithTimeout(openTimeout).Should(ContainSubstring("changed settings are in force"))
		Expect(x.Running()).To(BeTrue())
	})

	// Guards against promises that hold under one fault and break under several: a short run of the fault soak.
	It("keeps its promises under overlapping faults", func() {
		command := exec.Command(filepath.Join(binaries, "soak"), "-binaries", binaries, "-seed", "1", "-length", "8s", "-report", GinkgoT().TempDir())
		out, err := command.CombinedOutput()
		AddReportEntry("soak", string(out))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against flows that are reset because a paused daemon reads its socket late.
	It("resets no flow after a daemon was paused", func() {
		d := deploy()
		d.Daemons[0].Pause()
		sleep(pauseTime)
		d.Daemons[0].Resume()
		sleep(3 * time.Second)
		Expect(d.Outcomes().Resets).To(BeZero())
	})
})

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
