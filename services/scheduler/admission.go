package scheduler

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/services/admitter"
)

// Admission configures the admission control of a service. Services whose backend servers share VMs compete for the processors
// of these VMs. While they have too little capacity, the requests of services with lower priorities are rejected, so that those
// with the highest priority meet their target latency.
type Admission struct {
	Priority int // 0 is the highest
	// TargetLatency is the time within which clients need an answer. A service without it takes no part in admission control.
	TargetLatency time.Duration
	Timeout       time.Duration // latest useful answer
}

// admission is the admission control of a pool: services whose backend servers share VMs.
type admission struct {
	*admitter.Admitter
	pool       []*service // with a target latency
	highest    int        // highest priority of the pool
	nextID     uint64
	advancedAt time.Time
	inFlight   share // this balancer's part of the requests in flight while priorities have no effect
	stall      stall
	salt       uint64 // see preferredServers; 0 until it is drawn
	slotsByVM  map[netip.Addr]int
	congested  bool // see updateCongestion
}

// share holds averages of two sums.
type share struct{ own, total, samples float64 }

// add adds a sample of both sums.
func (s *share) add(own, total float64) {
	s.samples = min(s.samples+1, shareSamples)
	s.own += (own - s.own) / s.samples
	s.total += (total - s.total) / s.samples
}

// part returns the part of the total that is the balancer's own.
func (s *share) part() float64 {
	if s.total <= minimumShareTotal {
		return 1
	}
	return s.own / s.total
}

const (
	// shareSamples is the number of samples that the averages of share cover. Samples are taken at most once in each refreshInterval, so
	// the averages cover about 25 s: one of 27 balancers has less than one request in flight at a time.
	shareSamples = 100
	// minimumShareTotal is the number of requests in flight below which a balancer assumes that all of them are its own.
	minimumShareTotal = 0.5
)

// updateAdmission determines the pools of services whose backend servers share VMs. A pool with one priority only has no
// admission control.
func (s *Scheduler) updateAdmission() {
	s.admissionOutdated = false
	names := slices.Sorted(maps.Keys(s.services))
	poolOf := map[netip.Addr]int{}
	pools := make([]int, len(names))
	for i, name := range names {
		pools[i] = i
		for _, b := range s.services[name].servers {
			other, known := poolOf[b.Address.Addr()]
			if !known {
				poolOf[b.Address.Addr()] = i
				continue
			}
			from, to := pools[i], pools[other]
			for j := range pools[:i+1] {
				if pools[j] == from {
					pools[j] = to
				}
			}
		}
	}
	for i := range names {
		var members []*service
		for j, name := range names {
			if sv := s.services[name]; pools[j] == i && sv.config.admission.TargetLatency > 0 {
				members = append(members, sv)
			}
			if pools[j] == i && s.services[name].config.admission.TargetLatency <= 0 {
				s.services[name].admission = nil
			}
		}
		setAdmission(members)
	}
}

// setAdmission sets the admission control of a pool. What was learned is kept if the services are the same.
func setAdmission(pool []*service) {
	priority := func(sv *service) int { return sv.config.admission.Priority }
	differs := func(sv *service) bool { return priority(sv) != priority(pool[0]) }
	if !slices.ContainsFunc(pool, differs) {
		for _, sv := range pool {
			sv.admission = nil
		}
		return
	}
	setNeighbors(pool)
	a := pool[0].admission
	if a == nil || !slices.Equal(a.pool, pool) {
		a = &admission{Admitter: admitter.New(admitter.Config{}), pool: pool, slotsByVM: map[netip.Addr]int{}}
	}
	a.highest = priority(pool[0])
	var classes []admitter.Class
	for _, sv := range pool {
		c := sv.config.admission
		if c.Timeout <= 0 {
			c.Timeout = c.TargetLatency
		}
		class := admitter.Class{Priority: c.Priority, TargetLatency: c.TargetLatency, Timeout: max(c.Timeout, c.TargetLatency)}
		sv.preferred = nil
		sv.admission, sv.classes = a, [2]int{len(classes), len(classes) + 1}
		classes = append(classes, class, class)
		a.highest = min(a.highest, c.Priority)
	}
	a.SetClasses(classes)
}

// neighbor is a backend server of another service on the same VM.
type neighbor struct {
	service *service
	server  *backend
}

// setNeighbors sets the neighbors of the backend servers of a pool.
func setNeighbors(pool []*service) {
	onVM := map[netip.Addr][]neighbor{}
	for _, sv := range pool {
		for _, b := range sv.servers {
			onVM[b.Address.Addr()] = append(onVM[b.Address.Addr()], neighbor{sv, b})
		}
	}
	for _, sv := range pool {
		for _, b := range sv.servers {
			b.neighbors = b.neighbors[:0]
			for _, n := range onVM[b.Address.Addr()] {
				if n.service != sv {
					b.neighbors = append(b.neighbors, n)
				}
			}
		}
	}
}

// recentLoad holds averages over the latest answers and load reports of all backend servers of a service. The averages of one
// backend server need many answers to follow a change, which a balancer among many does not get in time.
type recentLoad struct {
	serviceTime float64   // in nanoseconds; 0 while it is unknown
	inFlight    float64   // reported requests at a backend server
	others      float64   // reported requests at a backend server without own ones
	reportedAt  time.Time // of the latest load report
}

// recentWeight is the weight of a sample in recentLoad, which covers about 5 answers: half a second for one of 27 balancers.
const recentWeight = 0.2

// recentTTL is the time without a load report after which the averages of the reported load start anew. A balancer that rejects everything gets no reports, and
// would go on rejecting by those of the overload.
const recentTTL = 2 * time.Second

// recordRecentLoad adds the last load report of a backend server to the averages.
func (s *service) recordRecentLoad(now time.Time, b *backend) {
	if s.admission == nil || s.admission.stall.inGrace {
		return
	}
	s.recent.reportedAt = now
	s.recent.inFlight += recentWeight * (b.lastReport.total - s.recent.inFlight)
	s.recent.others += recentWeight * (b.othersAtReport - s.recent.others)
}

// recordRecentServiceTime adds the latency of an answer to the averages, divided by the requests that share the VM.
func (s *service) recordRecentServiceTime(b *backend, latency time.Duration) {
	sharing := b.lastReport.total
	for _, n := range b.neighbors {
		sharing += n.service.recent.inFlight
	}
	sample := float64(latency) / max(1, (sharing+1)/float64(b.Slots))
	if s.recent.serviceTime == 0 {
		s.recent.serviceTime = sample
	}
	s.recent.serviceTime += recentWeight * (sample - s.recent.serviceTime)
}

// updateCongestion determines whether requests wait for a processor on the mean VM of the pool. This shows an overload sooner than
// the delay of answers, which arrive late then.
func (a *admission) updateCongestion() {
	inFlight, slots, serviceTime, softWait := 0.0, 1.0, 0.0, time.Duration(0)
	for _, sv := range a.pool {
		inFlight += sv.recent.inFlight
		slots = max(slots, float64(sv.servers[0].Slots))
		serviceTime = max(serviceTime, sv.recent.serviceTime)
		softWait = max(softWait, sv.config.Limits.SoftWait)
	}
	a.congested = (inFlight/slots-1)*serviceTime > float64(softWait)
}

// isActive reports whether priorities have an effect now.
func (a *admission) isActive() bool {
	return a != nil && !a.stall.inGrace && (a.congested || a.Overloaded())
}

// currentServiceTime returns the service time with which waits are estimated.
func (s *service) currentServiceTime() time.Duration {
	if s.admission.isActive() && s.recent.serviceTime > 0 {
		return time.Duration(s.recent.serviceTime)
	}
	return s.medianServiceTime
}

// othersOnVM estimates the requests of other balancers at a backend server. While priorities have an effect, it adds the running
// requests of its neighbors, which use the same processors, and counts the requests at the backend server itself twice: a
// request waits for a slot behind them, while neighbors only slow it down.
func (s *service) othersOnVM(now time.Time, b *backend) float64 {
	if !s.admission.isActive() {
		return s.othersInFlight(now, b)
	}
	others := s.recentOthers(now, b)
	return others + (b.ownInFlight() + others) + b.runningAtNeighbors(now)
}

// runningAtNeighbors estimates the requests that the neighbors of a backend server run.
func (b *backend) runningAtNeighbors(now time.Time) (sum float64) {
	for _, n := range b.neighbors {
		sum += min(float64(n.server.Slots), n.server.ownInFlight()+n.service.recentOthers(now, n.server))
	}
	return sum
}

// expectedWait returns the time that a new request is expected to wait for a slot and, while priorities have an effect, to lose
// because other requests use the processors of the VM, of which there are as many as slots.
func (s *service) expectedWait(now time.Time, b *backend, c *Candidate) time.Duration {
	if !s.admission.isActive() {
		return b.expectedWait(c.OwnInFlight+c.OthersInFlight, s.currentServiceTime())
	}
	inFlight, slots := b.ownInFlight()+s.recentOthers(now, b)+1, float64(b.Slots)
	running := min(inFlight, slots) + b.runningAtNeighbors(now)
	rounds := max(1, inFlight/slots) * max(1, running/slots)
	return saturate((rounds - 1) * float64(s.currentServiceTime()))
}

// recentOthers estimates the requests of other balancers at a backend server from its last report, which is out of date after
// about one service time, and from the recent reports of all backend servers.
func (s *service) recentOthers(now time.Time, b *backend) float64 {
	age := now.Sub(b.reportedAt)
	if b.reportsDistrusted || b.reportedAt.IsZero() || s.recent.serviceTime <= 0 || age < 0 {
		return s.recent.others
	}
	return s.recent.others + (b.othersAtReport-s.recent.others)*math.Exp(-float64(age)/s.recent.serviceTime)
}

// classOf returns the class of a kind of request.
func (s *service) classOf(kind WorkKind) int {
	if kind == WorkAtMostOnce {
		return s.classes[1]
	}
	return s.classes[0]
}

// admits reports whether a request is placed, or rejected because the capacity is needed for requests of a higher priority. A
// rejected request is not kept: its client learns at once that it did not run.
func (s *service) admits(now time.Time, w *Work) bool {
	a := s.admission
	s.hasFloor = false
	if a == nil || w.Kind == WorkFeed {
		return true
	}
	a.recordEvent(now)
	a.advance(now)
	s.hasFloor = a.isActive() && s.config.Random.Float64() < floorShare
	if !a.Overloaded() || s.hasFloor || a.stall.inGrace {
		return true
	}
	a.nextID++
	arrivedAt := now
	if timeout := s.config.admission.Timeout; !w.Deadline.IsZero() && timeout > 0 {
		arrivedAt = w.Deadline.Add(-timeout) // a shorter deadline leaves less time to wait
	}
	r := admitter.Request{ID: a.nextID, Class: s.classOf(w.Kind), ArrivedAt: arrivedAt}
	switch a.Offer(now, r) {
	case admitter.Admit:
		return true
	case admitter.Expire:
		return false
	}
	// Next grants the share that keeps the lower priorities from starving.
	if _, verdict, ok := a.Next(now); ok {
		return verdict == admitter.Admit
	}
	a.Cancel(r.ID)
	return false
}

// advance brings the admission control up to the time now, at most once in each refreshInterval.
func (a *admission) advance(now time.Time) {
	if elapsed := now.Sub(a.advancedAt); elapsed >= 0 && elapsed < refreshInterval {
		return
	}
	a.advancedAt = now
	clear(a.slotsByVM)
	own, total := 0.0, 0.0
	for _, sv := range a.pool {
		if r := &sv.recent; !r.reportedAt.IsZero() && now.Sub(r.reportedAt) > recentTTL {
			r.inFlight, r.others, r.reportedAt = 0, 0, time.Time{}
			a.updateCongestion()
		}
		for _, b := range sv.localServers {
			if !b.isUsable(now, nil) {
				continue
			}
			// The services of a VM share its processors, so its slots count once.
			a.slotsByVM[b.Address.Addr()] = max(a.slotsByVM[b.Address.Addr()], b.Slots)
			own += b.ownInFlight()
			total += b.ownInFlight() + sv.othersInFlight(now, b)
		}
	}
	slots := 0
	for _, n := range a.slotsByVM {
		slots += n
	}
	if !a.isActive() { // in an overload the requests of other balancers are underestimated, which quintupled the part of one of 27
		a.inFlight.add(own, total)
	}
	a.SetSlots(float64(slots) * a.inFlight.part())
	a.Advance(now)
}

const (
	// halfTarget is the share of its target latency within which requests of the highest priority are expected to be answered while
	// others are accepted too. It equals the delay at which services/admitter considers a service overloaded.
	halfTarget = 0.5
	// queueShare is the largest wait, in service times, up to which requests of lower priorities are accepted while priorities have
	// an effect. A longer queue delays the highest priority without a gain, as the processors are busy already.
	queueShare = 0.5
	// floorShare is the share of the requests of lower priorities that are treated like those of the highest priority, so that they
	// do not starve while the highest priority alone exceeds the capacity.
	floorShare = 0.02
)

// extendWaitLimit returns the expected wait up to which a request is accepted. While priorities have an effect, a request of the
// highest priority may wait for as long as its target latency allows. One of a lower priority may wait for a random part of
// queueShare, as long as it neither misses its own target latency nor delays those of the highest priority much. The part is
// random because many balancers with the same limit would all accept or all reject at the same time.
func (s *service) extendWaitLimit(limit time.Duration) time.Duration {
	a := s.admission
	if !a.isActive() {
		return limit
	}
	ownLimit := s.config.admission.TargetLatency - s.currentServiceTime()
	if s.isOfHighestPriority() || s.hasFloor {
		return max(limit, ownLimit)
	}
	for _, sv := range a.pool {
		if sv.config.admission.Priority == a.highest {
			ownLimit = min(ownLimit, time.Duration(halfTarget*float64(sv.config.admission.TargetLatency))-sv.currentServiceTime())
		}
	}
	queueLimit := time.Duration(s.config.Random.Float64() * queueShare * float64(s.currentServiceTime()))
	return max(limit, min(ownLimit, queueLimit))
}

// isOfHighestPriority reports whether the service has the highest priority of its pool.
func (s *service) isOfHighestPriority() bool {
	return s.config.admission.Priority == s.admission.highest
}

// recordDelay records the time from the send of a request to its answer.
func (s *service) recordDelay(now time.Time, b *backend, kind WorkKind, delay time.Duration) {
	if s.admission != nil && kind != WorkFeed && delay > 0 && !s.admission.stall.inGrace {
		s.recordRecentServiceTime(b, delay)
		s.admission.updateCongestion()
		s.admission.RecordResponse(now, s.classOf(kind), delay)
	}
}

// recordOverdue records a request that got no answer in time or that a backend server refused because it is full.
func (s *service) recordOverdue(now time.Time, kind WorkKind) {
	if s.admission != nil && kind != WorkFeed && !s.admission.stall.inGrace {
		s.admission.RecordOverdue(now, s.classOf(kind), s.config.admission.TargetLatency)
	}
}
