package main

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// runConfig describes one simulation.
type runConfig struct {
	policy           string
	load             float64 // offered load as a share of the capacity of all backend servers
	seed             uint64
	serversPerZone   []int         // number of backend servers in each availability zone
	balancersPerZone []int         // number of balancers in each availability zone
	warmUp           time.Duration // simulated time before the measured part
	measuredTime     time.Duration // simulated time whose calls count
	groupLoads       []float64     // relative offered load of each caller group; nil: four equal groups
	limits           scheduler.Limits
	health           scheduler.Health
	nominalCapacity  bool                     // load refers to the capacity with every backend server at speed 1
	checkOtherZones  bool                     // balancers check the health of backend servers in other availability zones too
	prepare          func(*model)             // called before the simulation; may be nil
	onMeasureStart   func(*model, *runConfig) // called at the end of the warm-up; may be nil
	makePlacer       func(*model, int) placer // returns the placer of the balancer with the given index; nil: the one of policy
	noSpillOver      bool                     // makes other availability zones too distant for any placement
	linkFaults       linkFaults
	queueLimit       int // requests that may wait in a backend server; 0: defaultQueueLimit
}

// defaultRunConfig returns the configuration with 7 balancers and 14 backend servers in 3 availability zones, with two
// backend servers for each balancer in each of them.
func defaultRunConfig(policy string, load float64, seed uint64) runConfig {
	return runConfig{
		policy: policy, load: load, seed: seed, serversPerZone: []int{6, 4, 4}, balancersPerZone: []int{3, 2, 2},
		warmUp: 5 * time.Second, measuredTime: 30 * time.Second, checkOtherZones: true,
	}
}

// zoneName returns the name of the availability zone with index i: a, b, c.
func zoneName(i int) string { return string(rune('a' + i)) }

// newModel returns the model of a configuration. It sets makePlacer of the configuration if it is nil.
func newModel(cfg *runConfig) *model {
	m := &model{
		random: rand.New(rand.NewPCG(cfg.seed, 7)), serverByAddress: make(map[netip.AddrPort]*backendServer),
		end: cfg.warmUp + cfg.measuredTime + time.Second, groupShares: cfg.groupLoads, queueLimit: cfg.queueLimit,
		linkFaults: cfg.linkFaults,
	}
	if m.queueLimit == 0 {
		m.queueLimit = defaultQueueLimit
	}
	if m.groupShares == nil {
		m.groupShares = []float64{1, 1, 1, 1}
	}
	m.groupShares = normalize(m.groupShares)
	for zone, n := range cfg.serversPerZone {
		for range n {
			i := len(m.servers)
			s := &backendServer{
				address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
				zone:    zone, speed: 1,
			}
			m.servers = append(m.servers, s)
			m.serverByAddress[s.address] = s
		}
	}
	for zone, n := range cfg.balancersPerZone {
		for range n {
			m.balancers = append(m.balancers, &balancer{zone: zone})
		}
	}
	if cfg.prepare != nil {
		cfg.prepare(m)
	}
	if cfg.makePlacer == nil {
		cfg.makePlacer = cfg.newDefaultPlacer
	}
	for i, b := range m.balancers {
		b.placer = cfg.makePlacer(m, i)
	}
	m.metrics = newMetrics(cfg.warmUp, cfg.warmUp+cfg.measuredTime, m.servers, len(m.groupShares))
	totalSpeed := 0.0
	for _, s := range m.servers {
		if cfg.nominalCapacity {
			totalSpeed++
		} else {
			totalSpeed += s.speed
		}
	}
	m.callRate = cfg.load * totalSpeed * slotsPerServer / meanServiceTime.Seconds()
	return m
}

// normalize returns the weights scaled to a sum of 1.
func normalize(weights []float64) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	shares := make([]float64, len(weights))
	for i, w := range weights {
		shares[i] = w / sum
	}
	return shares
}

// configuredServers returns the backend servers in the form in which the scheduler gets them from the settings.
func (m *model) configuredServers() []scheduler.BackendServer {
	list := make([]scheduler.BackendServer, 0, len(m.servers))
	for _, s := range m.servers {
		list = append(list, scheduler.BackendServer{
			Address: s.address, AvailabilityZone: zoneName(s.zone), Slots: slotsPerServer, Connections: 2000, Leaving: s.draining,
		})
	}
	return list
}

// newDefaultPlacer returns the placer of balancer i: a scheduler with the policy of the configuration, or the oracle.
func (cfg *runConfig) newDefaultPlacer(m *model, i int) placer {
	zone := m.balancers[i].zone
	if cfg.policy == oraclePolicy {
		return &oracle{model: m, zone: zone}
	}
	policy, err := scheduler.ParsePolicy(cfg.policy)
	if err != nil {
		panic(err)
	}
	delays := make(map[string]time.Duration)
	for z := range cfg.serversPerZone {
		delays[zoneName(z)] = linkDelay(zone, z)
		if cfg.noSpillOver {
			delays[zoneName(z)] = time.Hour
		}
	}
	sched := scheduler.New(scheduler.Config{
		AvailabilityZone: zoneName(zone), ZoneDelays: delays, Policy: policy, Limits: cfg.limits, Health: cfg.health,
		Random: rand.New(rand.NewPCG(cfg.seed, uint64(1000+i))),
	})
	sched.SetBackendServers(m.clock(), serviceName, m.configuredServers())
	return sched
}

// simulate runs a configuration with requests and without feeds.
func simulate(cfg runConfig) (*model, *metrics) {
	m := newModel(&cfg)
	m.startHealthChecks(cfg.checkOtherZones)
	m.scheduleNextCall()
	if cfg.onMeasureStart != nil {
		m.schedule(cfg.warmUp, func() { cfg.onMeasureStart(m, &cfg) })
	}
	m.runEvents()
	return m, m.metrics
}
