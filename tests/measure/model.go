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
	serviceName         = "ovenwatch"
	callerDelay         = time.Millisecond       // one-way delay between caller and balancer
	inZoneDelay         = 250 * time.Microsecond // one-way delay inside an availability zone
	meanServiceTime     = 8 * time.Millisecond   // mean of the exponentially distributed service time of a request
	attemptTimeout      = 250 * time.Millisecond // a balancer retries a request on another backend server after it
	callTimeout         = 500 * time.Millisecond // deadline of a call, counted from the caller's first packet
	defaultQueueLimit   = 32                     // requests that may wait in a backend server before it sheds load
	healthCheckInterval = time.Second            // between two health checks of one balancer and backend server
	affinityKeys        = 1000                   // number of distinct affinity keys, for rendezvous hashing
)

// epoch is the wall-clock time that placers are given at the start of a simulation.
var epoch = time.Unix(1_800_000_000, 0)

// placer chooses backend servers for one balancer. It is a scheduler or an oracle.
type placer interface {
	Place(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error)
	Observe(now time.Time, o scheduler.Observation)
}

// backendServer models a backend server.
type backendServer struct {
	address        netip.AddrPort
	zone           int
	speed          float64       // relative to a backend server with meanServiceTime
	rampEnd        time.Duration // when a cold backend server reaches its full speed
	rampStart      time.Duration // when a cold backend server starts, at a quarter of its full speed
	draining       bool
	dead           bool
	loadOverride   func(scheduler.Load) scheduler.Load        // turns the actual load into the reported one; nil: the actual load
	healthOverride func(*backendServer) scheduler.HealthState // returns the health state that checks find; nil: the actual one

	running   int // requests in slots
	queue     []*attempt
	inFlight  int // requests and feeds sent by balancers and not yet arrived; only oracles read it
	openFeeds int
	completed int // requests run so far
}

// slotsPerServer is the number of requests that a backend server runs at the same time.
const slotsPerServer = 2

// balancer models a balancer.
type balancer struct {
	zone   int
	placer placer
}

// call is one request of a caller.
type call struct {
	group          int
	createdAt      time.Duration
	deadline       time.Duration
	balancer       *balancer
	placer         placer // the process that first placed the call; it retries the call even when the balancer has been replaced
	triedServers   []netip.AddrPort
	attempts       int
	pendingAttempt *attempt // nil once the last attempt was answered, was refused or timed out
}

// attempt is one transmission of a call to a backend server, which may run it even after the balancer's timeout.
type attempt struct {
	*call
	server    *backendServer
	sentAt    time.Duration
	startedAt time.Duration
}

// model is the discrete-event model of callers, balancers and backend servers.
type model struct {
	now             time.Duration
	events          eventHeap
	lastSequence    uint64
	random          *rand.Rand
	servers         []*backendServer
	serverByAddress map[netip.AddrPort]*backendServer
	balancers       []*balancer
	groupShares     []float64 // share of offered load per caller group
	callRate        float64   // calls per second
	end             time.Duration
	queueLimit      int // requests that may wait in a backend server before it refuses more with cause shed
	linkFaults      linkFaults
	metrics         *metrics
}

// event is an action at a point of simulated time. Events at the same time run in the order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// schedule runs action after the delay d of simulated time.
func (m *model) schedule(d time.Duration, action func()) {
	m.lastSequence++
	heap.Push(&m.events, event{at: m.now + d, sequence: m.lastSequence, action: action})
}

// scheduleEvery runs action once in every interval of simulated time, from a random phase on.
func (m *model) scheduleEvery(interval time.Duration, action func()) {
	var repeat func()
	repeat = func() {
		action()
		m.schedule(interval, repeat)
	}
	m.schedule(time.Duration(m.random.Int64N(int64(interval))), repeat)
}

// runEvents processes events until the end of the simulation.
func (m *model) runEvents() {
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		if e.at > m.end {
			return
		}
		m.now = e.at
		e.action()
	}
}

// clock returns the simulated wall-clock time.
func (m *model) clock() time.Time { return epoch.Add(m.now) }

// linkDelay returns the one-way delay between two availability zones.
func linkDelay(from, to int) time.Duration {
	switch {
	case from == to:
		return inZoneDelay
	case from != 0 && to != 0:
		return 3 * time.Millisecond
	}
	return 4 * time.Millisecond
}

// scheduleNextCall schedules the next call of the Poisson arrivals, which schedules the one after it in turn.
func (m *model) scheduleNextCall() {
	m.schedule(time.Duration(m.random.ExpFloat64()/m.callRate*float64(time.Second)), func() {
		c := &call{createdAt: m.now, deadline: m.now + callTimeout, group: m.pickGroup()}
		c.balancer = m.balancers[m.random.IntN(len(m.balancers))]
		m.metrics.recordOffered(c)
		m.schedule(callerDelay, func() { m.place(c) })
		m.scheduleNextCall()
	})
}

// pickGroup returns a random caller group, weighted by the shares of offered load.
func (m *model) pickGroup() int {
	x := m.random.Float64()
	for i, share := range m.groupShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

// groupName returns the name of the caller group with index i: A, B, C.
func groupName(i int) string { return string(rune('A' + i)) }

// place lets the placer choose a backend server for c and sends an attempt there. A call that the placer refuses ends.
func (m *model) place(c *call) {
	w := scheduler.Work{
		Service: serviceName, Kind: scheduler.WorkRequest, CallerGroup: groupName(c.group), TriedServers: c.triedServers,
		Deadline: epoch.Add(c.deadline), AffinityKey: m.random.Uint64N(affinityKeys),
	}
	if c.attempts == 0 {
		c.placer = c.balancer.placer
	}
	placeFunc := c.placer.Place
	if c.attempts > 0 {
		placeFunc = c.placer.Retry
	}
	target, err := placeFunc(m.clock(), w)
	if err != nil {
		m.metrics.recordRefused(c)
		return
	}
	a := &attempt{call: c, server: m.serverByAddress[target], sentAt: m.now}
	c.triedServers = append(c.triedServers, target)
	c.attempts++
	c.pendingAttempt = a
	m.metrics.recordSend(a, m.now)
	m.observe(a, scheduler.Observation{Kind: scheduler.Sent})
	a.server.inFlight++
	m.deliver(a.balancer.zone, a.server.zone, func() { m.receive(a) }, func() { a.server.inFlight-- })
	m.schedule(attemptTimeout, func() {
		if a.markDone() {
			m.metrics.recordTimeout(c)
			m.observe(a, scheduler.Observation{Kind: scheduler.TimedOut, Latency: m.now - a.sentAt})
			m.retryOrFail(c)
		}
	})
}

// markDone marks the attempt as ended at the balancer. It returns false if the attempt ended before.
func (a *attempt) markDone() bool {
	if a.pendingAttempt != a {
		return false
	}
	a.pendingAttempt = nil
	return true
}

// observe passes an observation of an attempt to the placer of the balancer process that sent it.
func (m *model) observe(a *attempt, o scheduler.Observation) {
	o.Service, o.BackendServer, o.WorkKind = serviceName, a.server.address, scheduler.WorkRequest
	a.placer.Observe(m.clock(), o)
}

// retryOrFail places c again, or ends it with a failure after its deadline.
func (m *model) retryOrFail(c *call) {
	if m.now >= c.deadline {
		m.metrics.recordFailure(c)
		return
	}
	m.place(c)
}

// receive runs, queues or refuses an attempt that arrives at its backend server. A dead backend server drops it.
func (m *model) receive(a *attempt) {
	s := a.server
	s.inFlight--
	switch {
	case s.dead:
	case s.draining:
		m.refuse(a, framer.CauseDraining)
	case s.running == slotsPerServer && len(s.queue) >= m.queueLimit:
		m.refuse(a, framer.CauseShed)
	case s.running == slotsPerServer:
		s.queue = append(s.queue, a)
	default:
		m.startProcessing(a)
	}
}

// refuse sends a refusal with the reported load from the attempt's backend server to its balancer, which retries the call.
func (m *model) refuse(a *attempt, cause framer.Cause) {
	load := a.server.reportedLoad()
	m.deliver(a.server.zone, a.balancer.zone, func() {
		if a.markDone() {
			m.observe(a, scheduler.Observation{Kind: scheduler.Refused, Cause: cause, Load: load, HasLoad: true})
			m.retryOrFail(a.call)
		}
	}, nil)
}

// speedAt returns the speed at a time, which rises linearly from a quarter to the full one between rampStart and rampEnd.
func (s *backendServer) speedAt(now time.Duration) float64 {
	if now >= s.rampEnd {
		return s.speed
	}
	progress := float64(now-s.rampStart) / float64(s.rampEnd-s.rampStart)
	return s.speed * (0.25 + 0.75*max(0, progress))
}

// startProcessing runs an attempt in a free slot of its backend server.
func (m *model) startProcessing(a *attempt) {
	a.server.running++
	a.startedAt = m.now
	serviceTime := time.Duration(m.random.ExpFloat64() * float64(meanServiceTime) / a.server.speedAt(m.now))
	m.schedule(serviceTime, func() { m.finishProcessing(a) })
}

// finishProcessing frees the slot of an attempt, starts queued attempts in the free slots, and sends the answer. Queued
// attempts whose deadline is over are refused.
func (m *model) finishProcessing(a *attempt) {
	s := a.server
	s.running--
	s.completed++
	m.metrics.recordBusy(s, a.startedAt, m.now)
	for len(s.queue) > 0 && s.running < slotsPerServer {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if m.now >= next.deadline {
			m.refuse(next, framer.CauseExpired)
			continue
		}
		m.startProcessing(next)
	}
	if s.dead {
		return
	}
	load := s.reportedLoad()
	m.deliver(s.zone, a.balancer.zone, func() {
		if !a.markDone() {
			return
		}
		m.observe(a, scheduler.Observation{Kind: scheduler.Answered, Latency: m.now - a.sentAt, Load: load, HasLoad: true})
		m.schedule(callerDelay, func() { m.metrics.recordAnswer(a.call, m.now) })
	}, nil)
}

// reportedLoad returns the load that the backend server reports to balancers.
func (s *backendServer) reportedLoad() scheduler.Load {
	l := scheduler.Load{Running: s.running, Queued: len(s.queue), Slots: slotsPerServer, Feeds: s.openFeeds}
	if s.loadOverride != nil {
		return s.loadOverride(l)
	}
	return l
}

// reportedHealth returns the health state that a check finds.
func (s *backendServer) reportedHealth() scheduler.HealthState {
	switch {
	case s.healthOverride != nil:
		return s.healthOverride(s)
	case s.dead:
		return scheduler.HealthFailed
	case s.draining:
		return scheduler.HealthDraining
	}
	return scheduler.HealthLive
}

// startHealthChecks makes each balancer check the health of the backend servers in its own availability zone, or in all
// availability zones if otherZones is set.
func (m *model) startHealthChecks(otherZones bool) {
	for _, b := range m.balancers {
		for _, s := range m.servers {
			if !otherZones && s.zone != b.zone {
				continue
			}
			m.scheduleEvery(healthCheckInterval, func() {
				o := scheduler.Observation{
					Kind: scheduler.HealthChecked, Service: serviceName, BackendServer: s.address, Health: s.reportedHealth(),
				}
				if !m.roundTripSucceeds(b.zone, s.zone) {
					o.Health = scheduler.HealthFailed // the check timed out
				} else if !s.dead {
					o.Load, o.HasLoad = s.reportedLoad(), true
				}
				b.placer.Observe(m.clock(), o)
			})
		}
	}
}
