package main

import (
	"math"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// offLimits turns shedding by expected wait off.
var offLimits = scheduler.Limits{SoftWait: time.Hour, HardWait: time.Hour}

// comparison is a mechanism that is measured with and without itself.
type comparison struct {
	mechanism string
	setting   string
	load      float64
	on        bool
	vary      func(*setup)
}

// comparisons lists the limit mechanisms, each off and then on.
func comparisons() []comparison {
	var list []comparison
	add := func(mechanism, setting string, load float64, base, off func(*setup)) {
		both := func(u *setup) {
			base(u)
			off(u)
		}
		list = append(list, comparison{mechanism, setting, load, false, both}, comparison{mechanism, setting, load, true, base})
	}
	nothing := func(*setup) {}
	unlimited := func(u *setup) { u.limits = offLimits }
	for _, load := range []float64{1.0, 1.5} {
		add("concurrency limit", "backend servers queue up to 400", load, func(u *setup) { u.queue = 400 }, unlimited)
	}
	add("retry budget", "no concurrency limit, backend servers queue 2", 1.5, func(u *setup) {
		u.limits, u.queue = offLimits, 2
	}, func(u *setup) { u.limits.RetryBudget = 100 })
	add("fair shedding", "A offers 10 times its share, the others theirs", fairLoad, func(u *setup) {
		u.groups = []float64{10, 1, 1, 1}
	}, func(u *setup) {
		u.limits.SoftWait, u.limits.HardWait = scheduler.DefaultHardWait, scheduler.DefaultHardWait
	})
	add("fair shedding", "A offers 10 times its share, the others 3 times", 4.75, func(u *setup) {
		u.groups = []float64{10, 3, 3, 3}
	}, func(u *setup) {
		u.limits.SoftWait, u.limits.HardWait = scheduler.DefaultHardWait, scheduler.DefaultHardWait
	})
	spillOff := func(u *setup) { u.noSpill, u.pollFar = true, false }
	add("zone spill", "5, 5 and 4 backend servers for 3, 2 and 2 balancers", 0.8, func(u *setup) {
		u.servers = []int{5, 5, 4}
	}, spillOff)
	add("zone spill", "all alike", 0.8, nothing, spillOff)
	add("zone spill", "availability zone c loses 2 of 4 for the middle 10 s", 0.8, func(u *setup) {
		u.load *= 12.0 / 14
		u.atMeasure = func(m *model, _ *setup) {
			m.after(10*time.Second, func() { m.drain(true, 12, 13) })
			m.after(20*time.Second, func() { m.drain(false, 12, 13) })
		}
	}, spillOff)
	return list
}

// drain lets backend servers leave or return.
func (m *model) drain(leave bool, servers ...int) {
	for _, i := range servers {
		m.servers[i].draining = leave
	}
	m.announce()
}

// healthCase is a fault that ejection meets.
type healthCase struct {
	name string
	load float64
	vary func(*setup)
}

var healthCases = []healthCase{
	{"one dies", 0.8, func(u *setup) { u.atMeasure = func(m *model, _ *setup) { m.servers[0].die() } }},
	{"one dies, checks see it after 10 s", 0.8, func(u *setup) {
		u.atMeasure = func(m *model, _ *setup) {
			m.servers[0].die()
			m.servers[0].health = says(scheduler.HealthLive)
			m.after(10*time.Second, func() { m.servers[0].health = nil })
		}
	}},
	{"checks see a live one dead", 0.8, func(u *setup) {
		u.atMeasure = func(m *model, _ *setup) { m.servers[0].health = says(scheduler.HealthFailed) }
	}},
	{"checks see all dead", 0.8, func(u *setup) {
		u.atMeasure = func(m *model, _ *setup) {
			for _, s := range m.servers {
				s.health = says(scheduler.HealthFailed)
			}
		}
	}},
	{"one dies and returns every 2 s", 0.8, func(u *setup) {
		u.atMeasure = func(m *model, _ *setup) { m.flap(m.servers[0]) }
	}},
	{"availability zone c dies", 0.55, func(u *setup) {
		u.atMeasure = func(m *model, _ *setup) {
			for _, s := range m.servers {
				if s.zone == 2 {
					s.die()
				}
			}
		}
	}},
}

func says(h scheduler.HealthState) func(*fakeServer) scheduler.HealthState {
	return func(*fakeServer) scheduler.HealthState { return h }
}

func (s *fakeServer) die() {
	s.dead, s.queue = true, nil
}

func (m *model) flap(s *fakeServer) {
	if s.dead {
		s.dead = false
	} else {
		s.die()
	}
	m.after(2*time.Second, func() { m.flap(s) })
}

// ejections follows the ejections of all balancers.
type ejections struct {
	dead, live int           // ejections of dead and of live backend servers, summed over balancers
	delay      time.Duration // from the fault to the first ejection of the first backend server, summed over balancers
	first      int           // balancers that contribute to delay
	own        time.Duration // as delay, for balancers of the backend server's availability zone
	ownFirst   int
	most       int // ejected backend servers at once in one balancer
}

// watch samples the state of all balancers every 50 ms.
func (m *model) watch(from time.Duration) *ejections {
	x := &ejections{}
	was := make(map[[2]int]bool)
	seen := make(map[int]bool)
	m.every(50*time.Millisecond, func() {
		for i, b := range m.balancers {
			s, ok := b.placer.(*scheduler.Scheduler)
			if !ok {
				continue
			}
			out := 0
			for k, status := range s.Status(m.clock(), serviceName) {
				key := [2]int{i, k}
				if status.Ejected {
					out++
				}
				if status.Ejected && !was[key] {
					if m.servers[k].dead {
						x.dead++
					} else {
						x.live++
					}
					if k == 0 && !seen[i] {
						seen[i] = true
						x.first++
						x.delay += m.now - from
						if b.zone == m.servers[k].zone {
							x.ownFirst++
							x.own += m.now - from
						}
					}
				}
				was[key] = status.Ejected
			}
			x.most = max(x.most, out)
		}
	})
	return x
}

// meanDelay returns the mean time to eject in milliseconds over all balancers, or NaN.
func (x *ejections) meanDelay() float64 { return meanMilliseconds(x.delay, x.first) }

// ownDelay returns the mean time to eject in milliseconds over the balancers of the availability zone, or NaN.
func (x *ejections) ownDelay() float64 { return meanMilliseconds(x.own, x.ownFirst) }

func meanMilliseconds(sum time.Duration, n int) float64 {
	if n == 0 {
		return math.NaN()
	}
	return float64(sum/time.Duration(n)) / float64(time.Millisecond)
}

// simulateHealth runs a health case with ejection on or off.
func simulateHealth(h healthCase, seed uint64, on bool) (*metrics, *ejections) {
	u := usual("least-loaded", h.load, seed)
	h.vary(&u)
	if !on {
		u.health.FailureThreshold = math.MaxInt
	}
	m := build(&u)
	x := m.watch(u.warmUp)
	m.poll(u.pollFar)
	m.arrivals()
	m.after(u.warmUp, func() { u.atMeasure(m, &u) })
	m.run()
	return m.out, x
}
