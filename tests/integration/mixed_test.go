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
	mixedSeed  = 61
	mixedShort = 12 * time.Second
	mixedLong  = time.Minute
	// mixedStep is the mean time between two faults, so that several are in force at a time.
	mixedStep = 700 * time.Millisecond
	// pauseTime is long enough for the other balancers to declare a paused one dead.
	pauseTime = 2 * time.Second
)

// mixer draws faults and planned changes from a seed.
type mixer struct {
	cluster *harness.Cluster
	random  *rand.Rand
	links   admin.FabricFaults
	resume  map[*harness.Balancer]time.Time
	keys    int
}

func (m *mixer) step() {
	choices := []func(){
		m.kill, m.pause, m.replace, m.restart, m.drain, m.add, m.edit, m.rotate, m.lossy, m.cutPlatform, m.outage, m.cutZones, m.heal,
	}
	choices[m.random.IntN(len(choices))]()
	for b, at := range m.resume {
		if time.Now().After(at) {
			b.Resume()
			delete(m.resume, b)
		}
	}
}

// victim returns a running balancer that is neither paused nor leaving, as long as two others remain.
func (m *mixer) victim() *harness.Balancer {
	var list []*harness.Balancer
	for _, b := range running(m.cluster) {
		if _, paused := m.resume[b]; !paused {
			list = append(list, b)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

func (m *mixer) kill() {
	if b := m.victim(); b != nil {
		b.Kill()
		_, err := b.WaitExit(5 * time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(m.cluster.RestartBalancer(b)).To(Succeed())
	}
}

func (m *mixer) pause() {
	if b := m.victim(); b != nil {
		b.Pause()
		m.resume[b] = time.Now().Add(pauseTime)
	}
}

func (m *mixer) replace() {
	if b := m.victim(); b != nil {
		_, err := m.cluster.ReplaceBalancer(b)
		Expect(err).NotTo(HaveOccurred())
	}
}

// live returns a backend server of ovenwatch that runs and was not told to leave, as long as four others remain for the
// load.
func (m *mixer) live() *harness.Backend {
	list := slices.DeleteFunc(m.cluster.Backends("ovenwatch"), func(b *harness.Backend) bool {
		return b.DeclaredLeaving() || !b.Running()
	})
	if len(list) < 5 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

// restart ends a backend server without notice and starts it again at its address.
func (m *mixer) restart() {
	if b := m.live(); b != nil {
		_, err := m.cluster.ReassignBackend(b, "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
	}
}

func (m *mixer) drain() {
	if b := m.live(); b != nil {
		Expect(m.cluster.MarkLeavingInSettings(b)).To(Succeed())
		Expect(b.Drain()).To(Succeed())
	}
}

func (m *mixer) add() {
	if len(m.cluster.Backends("ovenwatch")) < 12 {
		_, err := m.cluster.AddBackend("ovenwatch", 1+m.random.IntN(2))
		Expect(err).NotTo(HaveOccurred())
	}
}

func (m *mixer) edit() {
	slots := 2 + m.random.IntN(3)
	_, err := m.cluster.EditSettings(func(t *harness.Tree) { t.Defaults = map[string]any{"slots": slots} })
	Expect(err).NotTo(HaveOccurred())
}

func (m *mixer) rotate() {
	m.keys++
	_, err := m.cluster.EditSettings(func(t *harness.Tree) {
		t.TokenKeys = append(t.TokenKeys, harness.NewTokenKey(10+m.keys, harness.NewRandom(uint64(m.keys))))
		t.SealWith = 10 + m.keys
	})
	Expect(err).NotTo(HaveOccurred())
}

func (m *mixer) lossy() {
	m.links.Caller = admin.LinkFaults{
		Loss: 0.05, Duplicate: 0.05, Reorder: 0.05, DelayMax: admin.Duration(5 * time.Millisecond),
	}
	m.links.Peer = admin.LinkFaults{Loss: 0.1, Duplicate: 0.1}
	Expect(m.cluster.SetFabricFaults(m.links)).To(Succeed())
}

func (m *mixer) cutPlatform() {
	m.links.CutPlatform = []int{1 + m.random.IntN(2)}
	Expect(m.cluster.SetFabricFaults(m.links)).To(Succeed())
}

func (m *mixer) outage() {
	Expect(m.cluster.SetPlatformFaults(admin.PlatformFaults{Outage: m.random.IntN(2) == 0})).To(Succeed())
}

func (m *mixer) cutZones() { Expect(m.cluster.CutZones(1, 2)).To(Succeed()) }

func (m *mixer) heal() {
	m.links = admin.FabricFaults{}
	Expect(m.cluster.ClearLinkFaults()).To(Succeed())
	Expect(m.cluster.SetFabricFaults(m.links)).To(Succeed())
	Expect(m.cluster.SetPlatformFaults(admin.PlatformFaults{})).To(Succeed())
}

// end resumes and heals everything.
func (m *mixer) end() {
	for b := range m.resume {
		b.Resume()
	}
	m.heal()
}

// leaving returns the balancers that were told to leave.
func (m *mixer) leaving() []*harness.Balancer {
	var list []*harness.Balancer
	for _, b := range m.cluster.Balancers() {
		if b.IsLeaving() {
			list = append(list, b)
		}
	}
	return list
}

// Guards all guarantees that hold at any time against faults that come together and twice. The long form runs with
// SOAK=1 (make soak).
var _ = Describe("mixed faults", func() {
	It("break no guarantee", func() {
		length, seed := mixedShort, uint64(mixedSeed)
		if os.Getenv("SOAK") != "" {
			length = mixedLong
		}
		c := start(standard(seed))
		traffic := drive(c, load(seed))
		watch := watchRevisions(c)
		m := &mixer{cluster: c, random: rand.New(rand.NewPCG(seed, 1)), resume: map[*harness.Balancer]time.Time{}}
		DeferCleanup(m.end)
		for end := time.Now().Add(length); time.Now().Before(end); {
			m.step()
			sleep(time.Duration(m.random.ExpFloat64() * float64(mixedStep)))
		}
		m.end()
		// A balancer that ended does not answer; each of them must have ended gracefully, whatever else failed meanwhile.
		expectGracefulEnd(c, m.leaving())
		expectInForce(c, c.LastRevision())
		Expect(watch()).To(BeEmpty(), "no balancer goes back to an earlier revision")

		records := traffic.Stop()
		t, err := c.Tally(records, "ovenwatch")
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("tally", fmt.Sprint(t, t.Faults))
		Expect(t.DuplicateRuns).To(BeZero(), fmt.Sprint(t.Faults))
		Expect(t.FalseNotRun).To(BeZero(), fmt.Sprint(t.Faults))
		Expect(t.WrongService+t.WrongAnswers).To(BeZero(), fmt.Sprint(t.Faults))
		for _, f := range records.Feeds {
			Expect(f.LostReadings+f.RepeatedReadings).To(BeZero(), f.Topic)
		}

		traffic = drive(c, load(seed+1))
		sleep(2 * time.Second)
		t = finish(c, traffic)
		Expect(t.Faults).To(BeEmpty(), "the service is whole again after the faults")
	})
})
