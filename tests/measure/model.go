package main

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

const (
	serviceName  = "ovenwatch"
	callerDelay  = time.Millisecond       // one way between caller and balancer
	nearDelay    = 250 * time.Microsecond // one way inside an availability zone
	meanService  = 8 * time.Millisecond   // of the exponential service time
	sendTimeout  = 250 * time.Millisecond // after which a balancer sends a request to another backend server
	callDeadline = 500 * time.Millisecond // from the caller's first packet
	queueLimit   = 32                     // requests that wait in a backend server before it refuses, unless a setup says otherwise
	pollInterval = time.Second            // of health checks
	keys         = 1000                   // of requests, for rendezvous hashing
)

// epoch is the model's time zero as the decision code sees it.
var epoch = time.Unix(1_800_000_000, 0)

// placer is the decision code of one balancer: a scheduler or the all-knowing lower bound.
type placer interface {
	Place(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Observe(now time.Time, o scheduler.Observation)
}

// fakeServer models a backend server.
type fakeServer struct {
	address   netip.AddrPort
	zone      int
	speed     float64
	rampEnd   time.Duration // a cold backend server reaches full speed then
	rampStart time.Duration
	draining  bool
	dead      bool
	lie       func(scheduler.Load) scheduler.Load
	health    func(*fakeServer) scheduler.HealthState // nil: the truth

	running  int
	queue    []*attempt
	inFlight int // sent by balancers and not yet arrived; only the all-knowing bound reads it
	feeds    int
	served   int
}

const slots = 2

// fakeBalancer models a balancer.
type fakeBalancer struct {
	zone   int
	placer placer
}

// call is one request of a caller.
type call struct {
	group    int
	created  time.Duration
	deadline time.Duration
	balancer *fakeBalancer
	placer   placer // the process that sent it, which stays when the balancer is replaced
	tried    []netip.AddrPort
	attempts int
	current  *attempt // nil once the last one was answered, refused or given up
}

// attempt is one send of a call. A backend server may run it although the balancer has given it up.
type attempt struct {
	*call
	server *fakeServer
	sent   time.Duration
	start  time.Duration
}

// model is the discrete-event model of callers, balancers and backend servers.
type model struct {
	now       time.Duration
	events    events
	sequence  uint64
	random    *rand.Rand
	servers   []*fakeServer
	byAddress map[netip.AddrPort]*fakeServer
	balancers []*fakeBalancer
	groups    []float64 // share of offered load per caller group
	rate      float64   // calls per second
	end       time.Duration
	queue     int // requests that wait in a backend server before it refuses with cause shed
	links     links
	out       *metrics
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// after schedules run.
func (m *model) after(d time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.sequence, run: run})
}

// every schedules run repeatedly, the first time at a random phase.
func (m *model) every(interval time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		m.after(interval, again)
	}
	m.after(time.Duration(m.random.Int64N(int64(interval))), again)
}

// run processes events until the end of the model.
func (m *model) run() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > m.end {
			return
		}
		m.now = e.at
		e.run()
	}
}

func (m *model) clock() time.Time { return epoch.Add(m.now) }

// delay returns the one-way delay between two availability zones.
func delay(a, b int) time.Duration {
	switch {
	case a == b:
		return nearDelay
	case a != 0 && b != 0:
		return 3 * time.Millisecond
	}
	return 4 * time.Millisecond
}

// arrivals schedules the next call.
func (m *model) arrivals() {
	m.after(time.Duration(m.random.ExpFloat64()/m.rate*float64(time.Second)), func() {
		c := &call{created: m.now, deadline: m.now + callDeadline, group: m.pickGroup()}
		c.balancer = m.balancers[m.random.IntN(len(m.balancers))]
		m.out.offered(c)
		m.after(callerDelay, func() { m.place(c) })
		m.arrivals()
	})
}

func (m *model) pickGroup() int {
	x := m.random.Float64()
	for i, share := range m.groups {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

func groupName(i int) string { return string(rune('A' + i)) }

func (m *model) place(c *call) {
	w := scheduler.Work{
		Service: serviceName, Kind: scheduler.WorkRequest, CallerGroup: groupName(c.group), TriedServers: c.tried,
		Deadline: epoch.Add(c.deadline), AffinityKey: m.random.Uint64N(keys),
	}
	if c.attempts == 0 {
		c.placer = c.balancer.placer
	}
	choose := c.placer.Place
	if c.attempts > 0 {
		choose = c.placer.Retry
	}
	target, err := choose(m.clock(), w)
	if err != nil {
		m.out.refused(c)
		return
	}
	a := &attempt{call: c, server: m.byAddress[target], sent: m.now}
	c.tried = append(c.tried, target)
	c.attempts++
	c.current = a
	m.out.sent(a, m.now)
	m.observe(a, scheduler.Observation{Kind: scheduler.Sent})
	a.server.inFlight++
	m.deliver(a.balancer.zone, a.server.zone, func() { m.reach(a) }, func() { a.server.inFlight-- })
	m.after(sendTimeout, func() {
		if a.settle() {
			m.out.timedOut(c)
			m.observe(a, scheduler.Observation{Kind: scheduler.TimedOut, Latency: m.now - a.sent})
			m.again(c)
		}
	})
}

// settle ends the attempt for the balancer. It returns false when the balancer has ended it before.
func (a *attempt) settle() bool {
	if a.current != a {
		return false
	}
	a.current = nil
	return true
}

// observe reports an observation of an attempt to the balancer process that sent it.
func (m *model) observe(a *attempt, o scheduler.Observation) {
	o.Service, o.BackendServer, o.WorkKind = serviceName, a.server.address, scheduler.WorkRequest
	a.placer.Observe(m.clock(), o)
}

// again retries c or ends it.
func (m *model) again(c *call) {
	if m.now >= c.deadline {
		m.out.failed(c)
		return
	}
	m.place(c)
}

// reach is the arrival of an attempt at its backend server.
func (m *model) reach(a *attempt) {
	s := a.server
	s.inFlight--
	switch {
	case s.dead:
	case s.draining:
		m.refuse(a, framer.CauseDraining)
	case s.running == slots && len(s.queue) >= m.queue:
		m.refuse(a, framer.CauseShed)
	case s.running == slots:
		s.queue = append(s.queue, a)
	default:
		m.begin(a)
	}
}

func (m *model) refuse(a *attempt, cause framer.Cause) {
	load := a.server.load()
	m.deliver(a.server.zone, a.balancer.zone, func() {
		if a.settle() {
			m.observe(a, scheduler.Observation{Kind: scheduler.Refused, Cause: cause, Load: load, HasLoad: true})
			m.again(a.call)
		}
	}, nil)
}

// speedAt returns a backend server's speed at a time.
func (s *fakeServer) speedAt(now time.Duration) float64 {
	if now >= s.rampEnd {
		return s.speed
	}
	done := float64(now-s.rampStart) / float64(s.rampEnd-s.rampStart)
	return s.speed * (0.25 + 0.75*max(0, done))
}

// begin runs an attempt on a free slot.
func (m *model) begin(a *attempt) {
	a.server.running++
	a.start = m.now
	took := time.Duration(m.random.ExpFloat64() * float64(meanService) / a.server.speedAt(m.now))
	m.after(took, func() { m.finish(a) })
}

// finish ends an attempt on its backend server and starts the next one in the queue.
func (m *model) finish(a *attempt) {
	s := a.server
	s.running--
	s.served++
	m.out.busy(s, a.start, m.now)
	for len(s.queue) > 0 && s.running < slots {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if m.now >= next.deadline {
			m.refuse(next, framer.CauseExpired)
			continue
		}
		m.begin(next)
	}
	if s.dead {
		return
	}
	load := s.load()
	m.deliver(s.zone, a.balancer.zone, func() {
		if !a.settle() {
			return
		}
		m.observe(a, scheduler.Observation{Kind: scheduler.Answered, Latency: m.now - a.sent, Load: load, HasLoad: true})
		m.after(callerDelay, func() { m.out.answered(a.call, m.now) })
	}, nil)
}

// load returns what the backend server reports.
func (s *fakeServer) load() scheduler.Load {
	l := scheduler.Load{Running: s.running, Queued: len(s.queue), Slots: slots, Feeds: s.feeds}
	if s.lie != nil {
		return s.lie(l)
	}
	return l
}

// state returns what the health endpoint says.
func (s *fakeServer) state() scheduler.HealthState {
	switch {
	case s.health != nil:
		return s.health(s)
	case s.dead:
		return scheduler.HealthFailed
	case s.draining:
		return scheduler.HealthDraining
	}
	return scheduler.HealthLive
}

// poll lets each balancer check the health of the backend servers of an availability zone set.
func (m *model) poll(far bool) {
	for _, b := range m.balancers {
		for _, s := range m.servers {
			if !far && s.zone != b.zone {
				continue
			}
			m.every(pollInterval, func() {
				o := scheduler.Observation{
					Kind: scheduler.HealthChecked, Service: serviceName, BackendServer: s.address, Health: s.state(),
				}
				if !m.passes(b.zone, s.zone) {
					o.Health = scheduler.HealthFailed // the check timed out
				} else if !s.dead {
					o.Load, o.HasLoad = s.load(), true
				}
				b.placer.Observe(m.clock(), o)
			})
		}
	}
}
