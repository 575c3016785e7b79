package main

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// scenario is a named variation of a run configuration.
type scenario struct {
	name        string
	description string
	apply       func(*runConfig)
}

// uniformScenario has no variation. The table of policies against load shows it, so writeScenarios leaves it out.
var uniformScenario = scenario{"alike", "all backend servers alike", func(*runConfig) {}}

// scenarios lists the variations in which the policies are compared. The backend server that differs is the first one, in the
// largest availability zone, unless the description says otherwise.
var scenarios = []scenario{
	{"cold", "one is added cold: a quarter of full speed, full speed after 10 s", func(cfg *runConfig) {
		cfg.nominalCapacity = true
		cfg.prepare = func(m *model) { m.servers[0].draining = true }
		cfg.onMeasureStart = func(m *model, cfg *runConfig) {
			s := m.servers[0]
			s.draining, s.rampStart, s.rampEnd = false, m.now, m.now+10*time.Second
			m.distributeBackendList()
		}
	}},
	{"draining", "one begins to drain; figures for the other 13", func(cfg *runConfig) {
		cfg.load *= 13.0 / 14
		cfg.onMeasureStart = func(m *model, cfg *runConfig) {
			m.servers[0].draining = true
			m.distributeBackendList()
		}
	}},
	{"lying-low", "one always reports no load", func(cfg *runConfig) { cfg.prepare = overrideLoad(reportNoLoad) }},
	{"lying-high", "one always reports 8 requests", func(cfg *runConfig) { cfg.prepare = overrideLoad(reportHighLoad) }},
	{"lagging", "one reports its load of 2 s ago", func(cfg *runConfig) { cfg.prepare = delayLoadReports }},
	{"half-speed", "one at half speed", func(cfg *runConfig) {
		cfg.prepare = func(m *model) { m.servers[0].speed = 0.5 }
	}},
	{"half-speed-small", "one at half speed in an availability zone of 4", func(cfg *runConfig) {
		cfg.prepare = func(m *model) { m.servers[len(m.servers)-1].speed = 0.5 }
	}},
	{"replaced", "the first 10 s after all balancers were replaced", func(cfg *runConfig) {
		cfg.measuredTime = 10 * time.Second
		cfg.onMeasureStart = func(m *model, cfg *runConfig) { m.replaceBalancers(cfg) }
	}},
	{"uneven", "5, 5 and 4 backend servers for 3, 2 and 2 balancers", func(cfg *runConfig) { cfg.serversPerZone = []int{5, 5, 4} }},
}

// reportNoLoad is the loadOverride of a backend server that always reports no load.
func reportNoLoad(l scheduler.Load) scheduler.Load {
	return scheduler.Load{Slots: l.Slots}
}

// reportHighLoad is the loadOverride of a backend server that always reports 8 requests and ten times its feeds.
func reportHighLoad(l scheduler.Load) scheduler.Load {
	return scheduler.Load{Running: slotsPerServer, Queued: 6, Slots: l.Slots, Feeds: 10 * l.Feeds}
}

// overrideLoad returns a prepare function that makes the first backend server report the load that override returns.
func overrideLoad(override func(scheduler.Load) scheduler.Load) func(*model) {
	return func(m *model) { m.servers[0].loadOverride = override }
}

// delayLoadReports makes the first backend server report its load of 2 s ago.
func delayLoadReports(m *model) {
	s, history := m.servers[0], []scheduler.Load(nil)
	const step, steps = 20 * time.Millisecond, 100
	m.scheduleEvery(step, func() {
		history = append(history, scheduler.Load{Running: s.running, Queued: len(s.queue), Slots: slotsPerServer, Feeds: s.openFeeds})
		history = history[max(0, len(history)-steps):]
	})
	s.loadOverride = func(l scheduler.Load) scheduler.Load {
		if len(history) == 0 {
			return l
		}
		return history[0]
	}
}

// distributeBackendList gives each balancer the current backend list, at a random time within 3 s.
func (m *model) distributeBackendList() {
	for _, b := range m.balancers {
		m.schedule(time.Duration(m.random.Int64N(int64(3*time.Second))), func() {
			if s, ok := b.placer.(*scheduler.Scheduler); ok {
				s.SetBackendServers(m.clock(), serviceName, m.configuredServers())
			}
		})
	}
}

// replaceBalancers replaces each balancer by a new process without any state. Requests in progress stay with the old processes.
func (m *model) replaceBalancers(cfg *runConfig) {
	cfg.seed++
	for i, b := range m.balancers {
		b.placer = cfg.makePlacer(m, i)
	}
}

// largeScenario has 100 balancers and 400 backend servers. Its measured part is too short for windows of 10 s.
var largeScenario = scenario{"large", "400 backend servers behind 100 balancers", func(cfg *runConfig) {
	cfg.serversPerZone, cfg.balancersPerZone = []int{136, 132, 132}, []int{34, 33, 33}
	cfg.warmUp, cfg.measuredTime, cfg.checkOtherZones = 2*time.Second, 4*time.Second, false
}}
