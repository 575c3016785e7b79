package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebelldyke/bluebelldyke/platform/platformtest"
	"github.com/bluebelldyke/bluebelldyke/tests/harness/deployment"
	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

const (
	// meanStep is the mean time between two faults. Most last longer, so that several are in force at a time.
	meanStep = 700 * time.Millisecond
	// recovery is the time after the last fault within which all must be served as before.
	recovery = 6 * time.Second
	// settled is how long the callers are watched after that.
	settled = 2 * time.Second
	// mostUnserved bounds what may fail after recovery: the deadline of a request of before may end then.
	mostUnserved = 2
	zones        = 3
	perZone      = 2
	backends     = 4
	flows        = 24
)

// result is what one run showed.
type result struct {
	seed       uint64
	faults     []string
	counts     direct.Counts
	perSecond  []int // answers
	violations []string
}

func (r *result) line() string {
	return fmt.Sprintf("seed %d: %d faults, answered %d, late %d, failed %d, unopened %d, resets %d, broken %d", r.seed, len(r.faults),
		r.counts.Answered, r.counts.Late, r.counts.Failed, r.counts.Unopened, r.counts.Resets, len(r.violations))
}

// mixer draws faults.
type mixer struct {
	*deployment.Deployment
	random *rand.Rand
	result *result
	later  []action // ends of faults
	down   map[*deployment.Daemon]bool
	// disturbed are the daemons with a fault on a link.
	disturbed map[*deployment.Daemon]bool
	links     bool // disturb links too
	err       error
}

// step is a fault that can be drawn.
type step struct {
	name string
	do   func()
}

type action struct {
	at time.Time
	do func()
}

// soak runs one seed.
func soak(o options, seed uint64, links bool) (*result, error) {
	d, err := deployment.Start(deployment.Config{Binaries: o.binaries, Zones: zones, DaemonsPerZone: perZone, BackendsPerZone: backends, FlowsPerService: flows})
	if err != nil {
		return nil, err
	}
	m := &mixer{
		Deployment: d, random: rand.New(rand.NewPCG(seed, 11)), result: &result{seed: seed}, down: map[*deployment.Daemon]bool{},
		disturbed: map[*deployment.Daemon]bool{}, links: links,
	}
	m.inject(o.length)
	m.recover()
	d.Stop()
	m.result.counts = d.Outcomes()
	m.result.violations = append(m.result.violations, d.Violations.List()...)
	for id, n := range d.DuplicateRuns() {
		m.result.violations = append(m.result.violations, fmt.Sprintf("request %d ran %d times", id, n))
	}
	if len(m.result.violations) > 0 {
		fmt.Println("  faults:", m.result.faults)
		fmt.Println("  logs:", d.LogDirectory())
	} else {
		d.RemoveLogs()
	}
	return m.result, m.err
}

func (m *mixer) inject(length time.Duration) {
	began := time.Now()
	next := began
	second := began
	answered := 0
	for time.Since(began) < length && m.err == nil {
		now := time.Now()
		if now.After(second) {
			total := m.Outcomes().Answered
			m.result.perSecond = append(m.result.perSecond, total-answered)
			answered, second = total, second.Add(time.Second)
		}
		m.due(now)
		if now.After(next) {
			m.step()
			next = now.Add(time.Duration(m.random.ExpFloat64() * float64(meanStep)))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// due ends the faults whose time has come.
func (m *mixer) due(now time.Time) {
	var rest []action
	for _, a := range m.later {
		if now.After(a.at) {
			a.do()
		} else {
			rest = append(rest, a)
		}
	}
	m.later = rest
}

func (m *mixer) after(least, most time.Duration, do func()) {
	m.later = append(m.later, action{time.Now().Add(least + time.Duration(m.random.Int64N(int64(most-least)))), do})
}

func (m *mixer) step() {
	steps := []step{
		{"stop", m.stop}, {"kill", m.kill}, {"kill-all", m.killAll}, {"pause", m.pause}, {"drain", m.drain}, {"crash", m.crash},
		{"store", m.store}, {"compact", m.compact}, {"configure", m.configure}, {"hangup", m.hangup},
	}
	if m.links {
		steps = append(steps, m.linkSteps()...)
	}
	s := steps[m.random.IntN(len(steps))]
	m.result.faults = append(m.result.faults, s.name)
	s.do()
}

// victim returns a daemon that runs undisturbed, nil when two or fewer would remain.
func (m *mixer) victim() *deployment.Daemon {
	var list []*deployment.Daemon
	for _, x := range m.Daemons {
		if !m.down[x] {
			list = append(list, x)
		}
	}
	if len(list) < 3 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

func (m *mixer) restart(x *deployment.Daemon) {
	if _, err := x.WaitExit(deployment.GracePeriod); err != nil {
		m.result.violations = append(m.result.violations, err.Error())
		x.Kill()
	}
	if err := m.StartDaemon(x); err != nil {
		m.err = err
	}
	delete(m.down, x)
}

func (m *mixer) stop() {
	if x := m.victim(); x != nil {
		m.down[x] = true
		x.Terminate()
		m.after(2*time.Second, 4*time.Second, func() { m.restart(x) })
	}
}

func (m *mixer) kill() {
	if x := m.victim(); x != nil {
		m.down[x] = true
		x.Kill()
		m.after(100*time.Millisecond, 2*time.Second, func() { m.restart(x) })
	}
}

func (m *mixer) killAll() {
	for _, x := range m.Daemons {
		if !m.down[x] {
			m.down[x] = true
			x.Kill()
			m.after(100*time.Millisecond, time.Second, func() { m.restart(x) })
		}
	}
}

func (m *mixer) pause() {
	if x := m.victim(); x != nil {
		m.down[x] = true
		x.Pause()
		m.after(500*time.Millisecond, 4*time.Second, func() {
			x.Resume()
			delete(m.down, x)
		})
	}
}

// backend returns a backend server of ovenwatch, nil when fewer than half would remain.
func (m *mixer) backend() *deployment.Backend {
	list := m.Backends("ovenwatch")
	if len(list) <= zones*backends/2 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}

func (m *mixer) replace(zone int) {
	if _, err := m.AddBackend("ovenwatch", zone); err != nil {
		m.err = err
	}
}

func (m *mixer) drain() {
	if b := m.backend(); b != nil {
		m.Drain(b)
		m.replace(m.random.IntN(zones))
		m.after(4*time.Second, 6*time.Second, func() { m.Crash(b) })
	}
}

func (m *mixer) crash() {
	if b := m.backend(); b != nil {
		m.Crash(b)
		zone := m.random.IntN(zones)
		m.after(time.Second, 4*time.Second, func() { m.replace(zone) })
	}
}

func (m *mixer) store() {
	faults := []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.ConnectionReset, platformtest.NoResponse}
	m.SetStoreFault(faults[m.random.IntN(len(faults))])
	m.after(time.Second, 5*time.Second, func() { m.SetStoreFault(platformtest.NoFault) })
}

func (m *mixer) compact() {
	m.Store.SuppressWatchEvents(true)
	m.PublishConfiguration(deployment.Routes())
	m.Store.Compact()
	m.after(time.Second, 2*time.Second, func() { m.Store.SuppressWatchEvents(false) })
}

func (m *mixer) configure() { m.PublishConfiguration(deployment.Routes()) }

func (m *mixer) hangup() {
	if x := m.victim(); x != nil {
		x.Hangup()
	}
}

// recover ends all faults and checks that all is served as before some seconds later.
func (m *mixer) recover() {
	for _, a := range m.later {
		a.do()
	}
	m.later = nil
	if m.err != nil {
		return
	}
	time.Sleep(recovery)
	before := m.Outcomes()
	time.Sleep(settled)
	after := m.Outcomes()
	if lost := after.Failed - before.Failed + after.Unopened - before.Unopened; lost > mostUnserved || after.Answered == before.Answered {
		m.result.violations = append(m.result.violations, fmt.Sprintf("%d requests unserved and %d answered in %s, %s after the last fault",
			lost, after.Answered-before.Answered, settled, recovery))
	}
	if n := m.Fabric.ReadyCount(); n != len(m.Daemons) {
		m.result.violations = append(m.result.violations, fmt.Sprintf("%d of %d daemons in rotation %s after the last fault", n, len(m.Daemons), recovery))
	}
}
