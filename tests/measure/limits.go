package main

import (
	"math"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// noSheddingLimits disables load shedding by expected wait.
var noSheddingLimits = scheduler.Limits{SoftWait: time.Hour, HardWait: time.Hour}

// comparison is one run with a mechanism either enabled or disabled, under conditions in which the mechanism takes effect.
type comparison struct {
	mechanism string
	setting   string
	load      float64
	enabled   bool
	apply     func(*runConfig)
}

// comparisons returns two comparisons for each mechanism and setting: the mechanism disabled, then enabled.
func comparisons() []comparison {
	var list []comparison
	add := func(mechanism, setting string, load float64, base, disable func(*runConfig)) {
		disabled := func(cfg *runConfig) {
			base(cfg)
			disable(cfg)
		}
		list = append(list, comparison{mechanism, setting, load, false, disabled}, comparison{mechanism, setting, load, true, base})
	}
	noChange := func(*runConfig) {}
	withoutLimits := func(cfg *runConfig) { cfg.limits = noSheddingLimits }
	for _, load := range []float64{1.0, 1.5} {
		add("concurrency limit", "backend servers queue up to 400", load, func(cfg *runConfig) { cfg.queueLimit = 400 }, withoutLimits)
	}
	add("retry budget", "no concurrency limit, backend servers queue 2", 1.5, func(cfg *runConfig) {
		cfg.limits, cfg.queueLimit = noSheddingLimits, 2
	}, func(cfg *runConfig) { cfg.limits.RetryBudget = 100 })
	add("fair shedding", "A offers 10 times its share, the others theirs", fairSheddingLoad, func(cfg *runConfig) {
		cfg.groupLoads = []float64{10, 1, 1, 1}
	}, func(cfg *runConfig) {
		cfg.limits.SoftWait, cfg.limits.HardWait = scheduler.DefaultHardWait, scheduler.DefaultHardWait
	})
	add("fair shedding", "A offers 10 times its share, the others 3 times", 4.75, func(cfg *runConfig) {
		cfg.groupLoads = []float64{10, 3, 3, 3}
	}, func(cfg *runConfig) {
		cfg.limits.SoftWait, cfg.limits.HardWait = scheduler.DefaultHardWait, scheduler.DefaultHardWait
	})
	withoutSpillOver := func(cfg *runConfig) { cfg.noSpillOver, cfg.checkOtherZones = true, false }
	add("zone spill", "5, 5 and 4 backend servers for 3, 2 and 2 balancers", 0.8, func(cfg *runConfig) {
		cfg.serversPerZone = []int{5, 5, 4}
	}, withoutSpillOver)
	add("zone spill", "all alike", 0.8, noChange, withoutSpillOver)
	add("zone spill", "availability zone c loses 2 of 4 for the middle 10 s", 0.8, func(cfg *runConfig) {
		cfg.load *= 12.0 / 14
		cfg.onMeasureStart = func(m *model, _ *runConfig) {
			m.schedule(10*time.Second, func() { m.setDraining(true, 12, 13) })
			m.schedule(20*time.Second, func() { m.setDraining(false, 12, 13) })
		}
	}, withoutSpillOver)
	return list
}

// setDraining starts or ends the draining of the backend servers with the given indexes and distributes the changed list.
func (m *model) setDraining(draining bool, servers ...int) {
	for _, i := range servers {
		m.servers[i].draining = draining
	}
	m.distributeBackendList()
}

// healthCase is a fault of backend servers or of their health checks that outlier ejection has to handle.
type healthCase struct {
	name  string
	load  float64
	apply func(*runConfig)
}

// healthCases lists the faults, all of which begin at the end of the warm-up.
var healthCases = []healthCase{
	{"one dies", 0.8, func(cfg *runConfig) { cfg.onMeasureStart = func(m *model, _ *runConfig) { m.servers[0].crash() } }},
	{"one dies, checks see it after 10 s", 0.8, func(cfg *runConfig) {
		cfg.onMeasureStart = func(m *model, _ *runConfig) {
			m.servers[0].crash()
			m.servers[0].healthOverride = alwaysHealth(scheduler.HealthLive)
			m.schedule(10*time.Second, func() { m.servers[0].healthOverride = nil })
		}
	}},
	{"checks see a live one dead", 0.8, func(cfg *runConfig) {
		cfg.onMeasureStart = func(m *model, _ *runConfig) { m.servers[0].healthOverride = alwaysHealth(scheduler.HealthFailed) }
	}},
	{"checks see all dead", 0.8, func(cfg *runConfig) {
		cfg.onMeasureStart = func(m *model, _ *runConfig) {
			for _, s := range m.servers {
				s.healthOverride = alwaysHealth(scheduler.HealthFailed)
			}
		}
	}},
	{"one dies and returns every 2 s", 0.8, func(cfg *runConfig) {
		cfg.onMeasureStart = func(m *model, _ *runConfig) { m.flap(m.servers[0]) }
	}},
	{"availability zone c dies", 0.55, func(cfg *runConfig) {
		cfg.onMeasureStart = func(m *model, _ *runConfig) {
			for _, s := range m.servers {
				if s.zone == 2 {
					s.crash()
				}
			}
		}
	}},
}

// alwaysHealth returns a healthOverride that always gives h.
func alwaysHealth(h scheduler.HealthState) func(*backendServer) scheduler.HealthState {
	return func(*backendServer) scheduler.HealthState { return h }
}

// crash makes s stop answering and lose its queue.
func (s *backendServer) crash() {
	s.dead, s.queue = true, nil
}

// flap makes s crash and return alternately, every 2 s.
func (m *model) flap(s *backendServer) {
	if s.dead {
		s.dead = false
	} else {
		s.crash()
	}
	m.schedule(2*time.Second, func() { m.flap(s) })
}

// ejections counts the ejections by all balancers and measures the delay of those of the first backend server.
type ejections struct {
	deadEjections, liveEjections int           // ejections of dead and of live backend servers, summed over balancers
	delaySum                     time.Duration // from the fault to the first ejection of backend server 0, summed over balancers
	delayCount                   int           // number of balancers in delaySum
	ownZoneSum                   time.Duration // as delaySum, only balancers in the availability zone of backend server 0
	ownZoneCount                 int           // number of balancers in ownZoneSum
	maxEjected                   int           // most backend servers that one balancer had ejected at the same time
}

// sampleEjections samples the ejected backend servers of all balancers every 50 ms. Delays count from faultTime.
func (m *model) sampleEjections(faultTime time.Duration) *ejections {
	e := &ejections{}
	wasEjected := make(map[[2]int]bool)
	delayCounted := make(map[int]bool)
	m.scheduleEvery(50*time.Millisecond, func() {
		for i, b := range m.balancers {
			s, ok := b.placer.(*scheduler.Scheduler)
			if !ok {
				continue
			}
			ejected := 0
			for server, status := range s.Status(m.clock(), serviceName) {
				key := [2]int{i, server}
				if status.Ejected {
					ejected++
				}
				if status.Ejected && !wasEjected[key] {
					if m.servers[server].dead {
						e.deadEjections++
					} else {
						e.liveEjections++
					}
					if server == 0 && !delayCounted[i] {
						delayCounted[i] = true
						e.delayCount++
						e.delaySum += m.now - faultTime
						if b.zone == m.servers[server].zone {
							e.ownZoneCount++
							e.ownZoneSum += m.now - faultTime
						}
					}
				}
				wasEjected[key] = status.Ejected
			}
			e.maxEjected = max(e.maxEjected, ejected)
		}
	})
	return e
}

// meanDelay returns the mean time to eject backend server 0 in milliseconds over the balancers that ejected it, NaN if none did.
func (e *ejections) meanDelay() float64 { return meanMilliseconds(e.delaySum, e.delayCount) }

// meanOwnZoneDelay is meanDelay over the balancers in the availability zone of backend server 0.
func (e *ejections) meanOwnZoneDelay() float64 { return meanMilliseconds(e.ownZoneSum, e.ownZoneCount) }

// meanMilliseconds returns sum/n in milliseconds, NaN if n is 0.
func meanMilliseconds(sum time.Duration, n int) float64 {
	if n == 0 {
		return math.NaN()
	}
	return float64(sum/time.Duration(n)) / float64(time.Millisecond)
}

// simulateHealth runs a health case with outlier ejection on or off. An unreachable failure threshold turns it off.
func simulateHealth(c healthCase, seed uint64, ejection bool) (*metrics, *ejections) {
	cfg := defaultRunConfig("least-loaded", c.load, seed)
	c.apply(&cfg)
	if !ejection {
		cfg.health.FailureThreshold = math.MaxInt
	}
	m := newModel(&cfg)
	sampled := m.sampleEjections(cfg.warmUp)
	m.startHealthChecks(cfg.checkOtherZones)
	m.scheduleNextCall()
	m.schedule(cfg.warmUp, func() { cfg.onMeasureStart(m, &cfg) })
	m.runEvents()
	return m.metrics, sampled
}
