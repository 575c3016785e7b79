package main

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// Parts of the model, as the deployments state them.
const (
	hop        = time.Millisecond // between a caller and a daemon or backend server
	queue      = 8                // requests that wait at a backend server
	slots      = 2
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openGiveUp = 1400 * time.Millisecond
	tries      = 3
	window     = 2 * time.Second
	lateWorth  = 0.3
	maxMicros  = 60_000_000
	listDelay  = 2500 * time.Millisecond // until the entry of a dead backend server is gone
	muteShare  = 0.6                     // of the requests that a mute backend server never answers
)

var service = netip.MustParseAddrPort("198.18.0.1:443")

// policy decides about packets: the Steerer, or a baseline.
type policy interface {
	Steer(now time.Time, p *editor.Packet) steerer.Decision
	SetConfiguration(now time.Time, c *directory.Configuration)
	SetZoneDaemons(n int)
	SetBackendList(now time.Time, l *directory.BackendList)
	Sweep(now time.Time)
	TakeLostFlows(now time.Time) []steerer.LostFlow
	TakeFindings(now time.Time) []steerer.Finding
	AddFinding(now time.Time, f steerer.Finding) bool
}

// load is one case: what callers ask for and what happens.
type load struct {
	name, shown       string // what a day showed
	users             int    // in each zone, with one request at a time
	rate              int    // requests a second in each zone that come whether others are answered or not, a flow each
	pause, work       time.Duration
	deadline, aim     time.Duration
	backends          []int   // in each zone
	daemons           int     // in each zone; 0: 3
	fresh             float64 // share of the requests that open a flow of their own
	length            time.Duration
	slow              int           // backend servers at a quarter of their speed
	crash             int           // backend servers that die
	resets            bool          // their addresses reset callers
	mute              int           // backend servers that acknowledge requests and do not answer most of them, from crashAt on
	crashAt, outageAt time.Duration // 0: never
	outage            time.Duration
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// server is a backend server: it works on two requests at a time, queues some and rejects the rest.
type server struct {
	directory.BackendServer
	dead    bool
	died    time.Time
	placed  time.Time // when the newest flow was placed here
	mute    bool
	factor  float64
	busy    int
	waiting []func()
	served  int
}

// outcome is what a case showed under a policy.
type outcome struct {
	answered, late, failed, shed int
	worst, imbalance             float64
	p50, p99                     time.Duration
	lastPlaced                   time.Duration // from the death of a backend server to the last new flow there: the median
	lastPlacedMost               time.Duration // the longest
	falseResets                  int           // of flows at backend servers that live
	windows                      []float64
}

type model struct {
	load
	make    func(zone int, random *rand.Rand) policy
	now     time.Time
	began   time.Time
	events  events
	order   int
	random  *rand.Rand
	daemons [][]policy // of each zone
	servers []*server
	byID    map[directory.ServerID]*server
	down    bool
	port    uint16
	times   *hdrhistogram.Histogram
	result  outcome
	worth   map[int]float64
	owed    map[int]float64
}

func zoneName(z int) string { return string(rune('a' + z)) }

// play runs a case under a policy.
func play(l load, seed uint64, create func(zone int, random *rand.Rand) policy) outcome {
	m := &model{
		load: l, make: create, began: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 5)), times: hdrhistogram.New(1, maxMicros, 2),
		worth: map[int]float64{}, owed: map[int]float64{}, byID: map[directory.ServerID]*server{},
	}
	if m.load.daemons == 0 {
		m.load.daemons = 3
	}
	m.now = m.began
	for z, n := range l.backends {
		for range n {
			id := len(m.servers) + 1
			m.servers = append(m.servers, &server{factor: 1, BackendServer: directory.BackendServer{
				ID: directory.ServerID(id * 7919), Service: "s", AvailabilityZone: zoneName(z), Slots: slots, Incarnation: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80),
			}})
			added := m.servers[len(m.servers)-1]
			m.byID[added.ID] = added
		}
	}
	for i := range l.slow {
		m.servers[i].factor = 4
	}
	m.start()
	for z := range l.backends {
		if l.rate > 0 {
			m.after(0, func() { m.arrivals(z) })
		}
		for range l.users {
			m.after(time.Duration(m.random.Int64N(int64(l.pause))), func() { m.user(z) })
		}
	}
	m.faults()
	for z := range l.backends {
		m.tick(z)
	}
	for len(m.events) > 0 && m.events[0].at.Sub(m.began) < l.length {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.finish()
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.events, event{m.now.Add(d), m.order, do})
}

// start makes new daemons, which know no flow.
func (m *model) start() {
	m.daemons = nil
	for z := range m.backends {
		var zone []policy
		for range m.load.daemons {
			p := m.make(z, rand.New(rand.NewPCG(m.random.Uint64(), 1)))
			p.SetConfiguration(m.now, &directory.Configuration{Version: 1, Routes: []directory.Route{{Address: service, TargetLatency: m.aim, Shares: []directory.Share{{Service: "s", Weight: 1}}}}})
			p.SetZoneDaemons(m.load.daemons)
			zone = append(zone, p)
		}
		m.daemons = append(m.daemons, zone)
	}
	m.list()
}

func (m *model) list() {
	l := &directory.BackendList{Revision: uint64(m.order + 1)}
	for _, s := range m.servers {
		if !s.dead {
			l.Servers = append(l.Servers, s.BackendServer)
		}
	}
	for _, zone := range m.daemons {
		for _, p := range zone {
			p.SetBackendList(m.now, l)
		}
	}
}

func (m *model) faults() {
	if m.crashAt > 0 {
		m.after(m.crashAt, func() {
			for i := range m.crash {
				m.servers[i].dead, m.servers[i].died = true, m.now
			}
			for i := range m.mute {
				m.servers[i].mute = true
			}
			m.after(listDelay, m.list)
		})
	}
	if m.outageAt > 0 {
		m.after(m.outageAt, func() {
			m.down = true
			m.after(m.outage, func() { m.down = false; m.start() })
		})
	}
}

// tick does what a daemon does ten times a second: it shares findings in its zone.
func (m *model) tick(z int) {
	for i, p := range m.daemons[z] {
		p.Sweep(m.now)
		for _, f := range p.TakeFindings(m.now) {
			f.Origin = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(z), byte(i)}), 9)
			for j, other := range m.daemons[z] {
				if i != j {
					m.after(hop, func() { other.AddFinding(m.now, f) })
				}
			}
		}
		p.TakeLostFlows(m.now)
	}
	m.after(100*time.Millisecond, func() { m.tick(z) })
}

func (m *model) finish() outcome {
	r := &m.result
	r.worst = 1
	for w := range int(m.length/window) - 1 {
		share := 1.0
		if m.owed[w] > 0 {
			share = m.worth[w] / m.owed[w]
		}
		r.windows = append(r.windows, share)
		r.worst = min(r.worst, share)
	}
	most, sum, alive := 0, 0, 0
	for _, s := range m.servers {
		if !s.dead {
			most, sum, alive = max(most, s.served), sum+s.served, alive+1
		}
	}
	if sum > 0 {
		r.imbalance = float64(most) * float64(alive) / float64(sum)
	}
	var last []time.Duration
	for _, s := range m.servers {
		if s.dead {
			last = append(last, max(0, s.placed.Sub(s.died)))
		}
	}
	if len(last) > 0 {
		slices.Sort(last)
		r.lastPlaced, r.lastPlacedMost = last[len(last)/2], last[len(last)-1]
	}
	r.p50 = time.Duration(m.times.ValueAtQuantile(50)) * time.Microsecond
	r.p99 = time.Duration(m.times.ValueAtQuantile(99)) * time.Microsecond
	return *r
}
