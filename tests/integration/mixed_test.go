package integration_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/harness"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

const (
	mixedSeed          = 61
	mixedShortDuration = 12 * time.Second
	mixedLongDuration  = time.Minute
	// meanFaultInterval is the mean time between two faults, short enough for several to be active at a time.
	meanFaultInterval = 700 * time.Millisecond
	// pauseDuration is long enough for the other balancers to declare a paused balancer dead.
	pauseDuration = 2 * time.Second
)

// faultInjector injects faults and makes planned changes in a random order that a seed determines.
type faultInjector struct {
	cluster    *harness.Cluster
	random     *rand.Rand
	linkFaults admin.FabricFaults
	resumeAt   map[*harness.Balancer]time.Time // paused balancers
	addedKeys  int                             // token keys that rotateTokenKey has added
}

// injectNext injects one random fault or change, and resumes the balancers whose pause is over.
func (f *faultInjector) injectNext() {
	choices := []func(){
		f.killBalancer, f.pauseBalancer, f.replaceBalancer, f.restartBackend, f.drainBackend, f.addBackend,
		f.editSettings, f.rotateTokenKey, f.degradeLinks, f.cutPlatform, f.setPlatformOutage, f.cutZones, f.clearFaults,
	}
	choices[f.random.IntN(len(choices))]()
	for b, at := range f.resumeAt {
		if time.Now().After(at) {
			b.Resume()
			delete(f.resumeAt, b)
		}
	}
}

// pickBalancer returns a random balancer that is neither paused nor leaving, or nil if fewer than two others would remain.
func (f *faultInjector) pickBalancer() *harness.Balancer {
	var list []*harness.Balancer
	for _, b := range activeBalancers(f.cluster) {
		if _, paused := f.resumeAt[b]; !paused {
			list = append(list, b)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[f.random.IntN(len(list))]
}

func (f *faultInjector) killBalancer() {
	if b := f.pickBalancer(); b != nil {
		b.Kill()
		_, err := b.WaitExit(5 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.cluster.RestartBalancer(b)).To(Succeed())
	}
}

func (f *faultInjector) pauseBalancer() {
	if b := f.pickBalancer(); b != nil {
		b.Pause()
		f.resumeAt[b] = time.Now().Add(pauseDuration)
	}
}

func (f *faultInjector) replaceBalancer() {
	if b := f.pickBalancer(); b != nil {
		_, err := f.cluster.ReplaceBalancer(b)
		Expect(err).NotTo(HaveOccurred())
	}
}

// pickBackend returns a random backend server of ovenwatch that runs and is not leaving, or nil if fewer than four others would
// remain for the load.
func (f *faultInjector) pickBackend() *harness.Backend {
	list := slices.DeleteFunc(f.cluster.Backends("ovenwatch"), func(b *harness.Backend) bool {
		return b.DeclaredLeaving() || !b.Running()
	})
	if len(list) < 5 {
		return nil
	}
	return list[f.random.IntN(len(list))]
}

// restartBackend kills a backend server without draining it and restarts it at the same address.
func (f *faultInjector) restartBackend() {
	if b := f.pickBackend(); b != nil {
		_, err := f.cluster.ReassignBackend(b, "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
	}
}

func (f *faultInjector) drainBackend() {
	if b := f.pickBackend(); b != nil {
		Expect(f.cluster.MarkLeavingInSettings(b)).To(Succeed())
		Expect(b.Drain()).To(Succeed())
	}
}

func (f *faultInjector) addBackend() {
	if len(f.cluster.Backends("ovenwatch")) < 12 {
		_, err := f.cluster.AddBackend("ovenwatch", 1+f.random.IntN(2))
		Expect(err).NotTo(HaveOccurred())
	}
}

func (f *faultInjector) editSettings() {
	slots := 2 + f.random.IntN(3)
	_, err := f.cluster.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": slots} })
	Expect(err).NotTo(HaveOccurred())
}

func (f *faultInjector) rotateTokenKey() {
	f.addedKeys++
	_, err := f.cluster.EditSettings(func(t *harness.Tree) {
		t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(10+f.addedKeys, harness.NewRandom(uint64(f.addedKeys))))
		t.SealWith = 10 + f.addedKeys
	})
	Expect(err).NotTo(HaveOccurred())
}

func (f *faultInjector) degradeLinks() {
	f.linkFaults.Caller = admin.LinkFaults{
		Loss: 0.05, Duplicate: 0.05, Reorder: 0.05, DelayMax: admin.Duration(5 * time.Millisecond),
	}
	f.linkFaults.Peer = admin.LinkFaults{Loss: 0.1, Duplicate: 0.1}
	Expect(f.cluster.SetFabricFaults(f.linkFaults)).To(Succeed())
}

func (f *faultInjector) cutPlatform() {
	f.linkFaults.CutPlatform = []int{1 + f.random.IntN(2)}
	Expect(f.cluster.SetFabricFaults(f.linkFaults)).To(Succeed())
}

func (f *faultInjector) setPlatformOutage() {
	Expect(f.cluster.SetPlatformFaults(admin.PlatformFaults{Outage: f.random.IntN(2) == 0})).To(Succeed())
}

func (f *faultInjector) cutZones() { Expect(f.cluster.CutZones(1, 2)).To(Succeed()) }

func (f *faultInjector) clearFaults() {
	f.linkFaults = admin.FabricFaults{}
	Expect(f.cluster.ClearLinkFaults()).To(Succeed())
	Expect(f.cluster.SetFabricFaults(f.linkFaults)).To(Succeed())
	Expect(f.cluster.SetPlatformFaults(admin.PlatformFaults{})).To(Succeed())
}

// stop resumes all paused balancers and removes all faults.
func (f *faultInjector) stop() {
	for b := range f.resumeAt {
		b.Resume()
	}
	f.clearFaults()
}

// leavingBalancers returns the balancers that are shutting down or have shut down.
func (f *faultInjector) leavingBalancers() []*harness.Balancer {
	var list []*harness.Balancer
	for _, b := range f.cluster.Balancers() {
		if b.IsLeaving() {
			list = append(list, b)
		}
	}
	return list
}

// Guards against violations of the guarantees that hold at any time, when faults overlap and recur. SOAK=1 (make soak)
// selects the long run.
var _ = Describe("mixed faults", func() {
	It("break no guarantee", func() {
		duration, seed := mixedShortDuration, uint64(mixedSeed)
		if os.Getenv("SOAK") != "" {
			duration = mixedLongDuration
		}
		c := startCluster(standardFleet(seed))
		traffic := startTraffic(c, standardLoad(seed))
		stopWatch := watchRevisions(c)
		injector := &faultInjector{cluster: c, random: rand.New(rand.NewPCG(seed, 1)), resumeAt: map[*harness.Balancer]time.Time{}}
		DeferCleanup(injector.stop)
		for end := time.Now().Add(duration); time.Now().Before(end); {
			injector.injectNext()
			sleep(time.Duration(injector.random.ExpFloat64() * float64(meanFaultInterval)))
		}
		injector.stop()
		// A balancer that has ended does not answer, so it must be removed from the cluster before expectSettingsInForce. Each
		// must have ended gracefully, whatever other faults occurred meanwhile.
		expectGracefulShutdown(c, injector.leavingBalancers())
		expectSettingsInForce(c, c.LastRevision())
		Expect(stopWatch()).To(BeEmpty(), "no balancer goes back to an earlier revision")

		records := traffic.Stop()
		t, err := c.Tally(records, "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("tally", fmt.Sprint(t, t.Violations))
		Expect(t.DuplicateRuns).To(BeZero(), fmt.Sprint(t.Violations))
		Expect(t.FalseNotRun).To(BeZero(), fmt.Sprint(t.Violations))
		Expect(t.WrongService+t.WrongAnswers).To(BeZero(), fmt.Sprint(t.Violations))
		for _, f := range records.Feeds {
			Expect(f.LostReadings+f.RepeatedReadings).To(BeZero(), f.Topic)
		}

		traffic = startTraffic(c, standardLoad(seed+1))
		sleep(2 * time.Second)
		t = stopTraffic(c, traffic)
		Expect(t.Violations).To(BeEmpty(), "the service has recovered from the faults")
	})
})
