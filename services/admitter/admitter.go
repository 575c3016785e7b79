// Package admitter decides which requests of a service wait, and in which order, while the service has too little capacity. The load
// that it handles: demand above what the backend servers can process, because they are slow or because a burst arrives. Requests of
// the highest priority are never delayed; what waits is ordered by what clients gain from an answer. The package uses no sockets,
// goroutines or clock. An Admitter is not safe for concurrent use.
package admitter

import (
	"net/netip"
	"time"
)

const (
	// enterSignal and exitSignal are the mean delays, as a share of the target latency, at which overload begins and ends. Responses
	// with a tail of 7 times the work reach a fifth of the target latency without any queue, so a lower value delayed requests on calm
	// load.
	enterSignal = 0.5
	exitSignal  = 0.3
	// minSamples is the number of samples since the delay first exceeded enterSignal without which a daemon does not decide.
	minSamples = 4
	// sampleTTL is the time without any sample after which the state returns to normal: a daemon that sees no responses admits.
	sampleTTL = 2 * time.Second
	// exitAfter is how long no request waits and the delay stays below exitSignal before the state returns to normal.
	exitAfter = 500 * time.Millisecond
	// sampleSpan is the time span over which delay samples are averaged: longer than one response under overload (150 to 300 ms),
	// shorter than the deadline of any request.
	sampleSpan = 600 * time.Millisecond
	// minSampleWeight and maxSampleWeight bound the weight of a sample in that average.
	minSampleWeight = 0.02
	maxSampleWeight = 0.3
	// workWeight is the weight of a sample in the expected work of a class, an average over about 50 requests.
	workWeight = 0.02
	// minWorkSamples is the number of samples from which on they tell a rejection from a response. The first may be from the tail of the
	// work times, and all others look like rejections beside it.
	minWorkSamples = 16
	// adjustInterval is the interval at which the window is adjusted: about one response under overload.
	adjustInterval = 200 * time.Millisecond
	// Window limits, in requests in progress per slot, by the delay that a daemon sees: that is about twice the time at the backend
	// server, because the acknowledgement of a response is late or missing. With a window of 1, half of the slots were idle while
	// requests waited. At 4 and more, the requests that wait delay those of a higher priority.
	startWindow = 2.0
	minWindow   = 2.0
	maxWindow   = 3.5
	// windowDecrease and windowIncrease are the factor and the step by which the window changes in each adjustInterval.
	windowDecrease = 0.9
	windowIncrease = 0.04
	// targetSignal is the delay, as a share of the target latency, that the window is adjusted to.
	targetSignal = 0.45
	// floorShare is the share of the window that the requests that wait get even if those of higher priorities use all of it.
	floorShare = 0.05
	// debtSpan bounds the charge of higher priorities that is still to be paid, in seconds of the whole window. It is also the charge at
	// the beginning of an overload for the requests that queues hold by then.
	debtSpan = 0.5
	// probeRate is the number of requests per second that are released even without credit, so that the delay stays known.
	probeRate = 1.0
	// creditSpan bounds the unused credit, in seconds of the whole window.
	creditSpan = 0.1
	// staleAfter is the time without a sample after which the estimated delay decays, by up to staleLoss in staleSpan: it exceeds the
	// delay of a full queue.
	staleAfter = time.Second
	staleSpan  = time.Second
	staleLoss  = 0.7
	// expireInterval is the interval at which requests that wait are searched for expired ones, which takes longer than a release.
	expireInterval = 20 * time.Millisecond
	// rejectedShare is the share of the delay of the shorter responses below which a response cannot be that of a processed request: it
	// is a rejection by a full backend server.
	rejectedShare = 0.5
	// shortWorkDecrease and shortWorkIncrease are the weights of shorter and of longer samples in the delay of the shorter responses. Few
	// slow responses, at the beginning of an overload or from the tail of the work times, must not make rejections of the others.
	shortWorkDecrease = 0.3
	shortWorkIncrease = 0.01
	// rejectedTarget takes the place of rejectedShare, as a share of the target latency, while the expected work is unknown.
	rejectedTarget = 0.1
)

// Class is what the configuration states about the requests of one route.
type Class struct {
	Priority               int // 0 is the highest
	TargetLatency, Timeout time.Duration
}

// Request is a request that is offered for admission.
type Request struct {
	ID        uint64
	Class     int        // index in the classes of SetClasses
	Client    netip.Addr // fairness is kept between clients
	ArrivedAt time.Time  // when the client sent it first, as far as known
}

// Verdict is what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Admit  Verdict = iota // forward it now
	Wait                  // hold it until Next returns it
	Expire                // its answer would arrive after the deadline: drop it
)

var verdictNames = [...]string{"admit", "wait", "expire"}

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Config holds the settings of an Admitter.
type Config struct {
	// Order ranks requests of the same priority that wait; the default is NewestInTime.
	Order Order
	// Control selects how the level is set; the default is ControlWindow.
	Control Control
}

// Admitter is the admission control of one service at one daemon.
type Admitter struct {
	config  Config
	classes []class
	top     int     // highest priority of the classes, the lowest number
	slots   float64 // this daemon's share of the slots of the service
	queue   queue

	overloaded    bool
	signal        float64       // mean of delay per target latency, each at most 1
	delay         time.Duration // mean delay
	samples       int           // since the signal exceeded enterSignal
	lastSample    time.Time
	recent        float64 // number of samples at lastSample, of which older ones count less
	pool          pool
	belowSince    time.Time // since when the signal has been below exitSignal with nothing waiting; zero otherwise
	window        float64   // in requests in progress per slot
	rate          float64   // of ControlRate, in seconds of expected work per second
	adjustedAt    time.Time
	credit, floor float64 // in seconds of time at a backend server
	creditAt      time.Time
	expireAt      time.Time // when the requests that wait are next searched for expired ones
	work          float64   // seconds of expected work admitted in the current interval
	workSince     time.Time // start of that interval
	workRate      float64   // of the last interval
}

// class is a Class with what was learned about it.
type class struct {
	Class
	expectedWork time.Duration // mean delay while there was capacity; 0 if unknown
	shortWork    time.Duration // delay of the shorter responses of that time
	workSamples  int           // in expectedWork
}

// New returns an Admitter without classes, which admits everything.
func New(c Config) *Admitter { return &Admitter{config: c, window: startWindow, slots: 1} }

// SetClasses sets the classes of requests. What was learned is kept by index if the number of classes is the same; requests that wait
// must be cancelled before otherwise.
func (a *Admitter) SetClasses(classes []Class) {
	previous := a.classes
	a.classes = make([]class, len(classes))
	for i, c := range classes {
		if len(previous) == len(classes) {
			a.classes[i] = previous[i]
		}
		a.classes[i].Class = c
		if i == 0 || c.Priority < a.top {
			a.top = c.Priority
		}
	}
}

// SetSlots sets this daemon's share of the slots of the service: those of its availability zone, divided by the daemons that share
// the zone's clients.
func (a *Admitter) SetSlots(share float64) { a.slots = max(share, 0.1) }

// Overloaded reports whether the service is overloaded.
func (a *Admitter) Overloaded() bool { return a.overloaded }

// ExpectedWork returns the learned work of a class, 0 while it is unknown.
func (a *Admitter) ExpectedWork(class int) time.Duration { return a.classes[class].expectedWork }

// expectedDelay returns the time that a request of a class is expected to spend at its backend server now. Without samples the estimate
// decays, so that a daemon which admits few requests does not keep the estimate of full queues.
func (a *Admitter) expectedDelay(class int) time.Duration {
	own, sum, n := a.classes[class].expectedWork, time.Duration(0), time.Duration(0)
	for i := range a.classes {
		if w := a.classes[i].expectedWork; w > 0 {
			sum += w
			n++
		}
	}
	delay := max(a.meanDelay(), time.Millisecond)
	if stale := a.creditAt.Sub(a.lastSample) - staleAfter; a.overloaded && stale > 0 {
		delay = max(delay-time.Duration(float64(delay)*min(stale.Seconds()/staleSpan.Seconds(), staleLoss)), time.Millisecond)
	}
	if own == 0 || sum == 0 {
		return delay
	}
	return time.Duration(float64(delay) * float64(own) * float64(n) / float64(sum))
}

// Advance brings credit, window and state up to the time now. It must be called about once a second.
func (a *Admitter) Advance(now time.Time) { a.advance(now) }

// Offer decides about a new request: Admit, Wait or Expire. A request that has to wait is queued, and Next returns it later. While the service is not
// overloaded it admits at the cost of a comparison.
func (a *Admitter) Offer(now time.Time, r Request) Verdict {
	c := &a.classes[r.Class]
	if !a.overloaded {
		if a.config.Control == ControlRate {
			a.recordWork(now, c)
		}
		return Admit
	}
	a.advance(now)
	if !a.overloaded {
		return Admit
	}
	if c.Priority > a.top && now.Sub(r.ArrivedAt)+a.expectedDelay(r.Class) > c.Timeout {
		return Expire
	}
	if c.Priority > a.top && (a.credit < 0 || a.queue.hasPriority(c.Priority, a.classes)) {
		a.queue.push(r)
		return Wait
	}
	a.charge(now, r.Class)
	return Admit
}

// charge takes the expected time at a backend server from the credit.
func (a *Admitter) charge(now time.Time, class int) {
	c := &a.classes[class]
	cost := a.cost(class)
	a.credit = max(a.credit-cost, -a.capacity()*debtSpan)
	a.recordWork(now, c)
}

// Next returns the next request whose wait is over, with Admit, or with Expire if it must be dropped. It returns false if there is
// none at the time now.
func (a *Admitter) Next(now time.Time) (Request, Verdict, bool) {
	if len(a.queue.items) == 0 {
		return Request{}, Admit, false
	}
	a.advance(now)
	if !now.Before(a.expireAt) {
		for i := range a.queue.items {
			r := &a.queue.items[i]
			if now.Sub(r.ArrivedAt)+a.expectedDelay(r.Class) > a.classes[r.Class].Timeout {
				return a.queue.remove(i), Expire, true
			}
		}
		a.expireAt = now.Add(expireInterval)
	}
	if a.overloaded && a.credit < 0 {
		if a.floor < 0 {
			return Request{}, Admit, false
		}
		r := a.queue.remove(a.pick(now))
		a.floor -= a.cost(r.Class)
		a.charge(now, r.Class)
		return r, Admit, true
	}
	r := a.queue.remove(a.pick(now))
	a.charge(now, r.Class)
	return r, Admit, true
}

// Cancel removes a request that waits, and reports whether it did.
func (a *Admitter) Cancel(id uint64) bool {
	i := a.queue.index(id)
	if i >= 0 {
		a.queue.remove(i)
	}
	return i >= 0
}

// EvictOne removes the request whose loss costs least: the last one in the order of release. It returns false if none waits.
func (a *Admitter) EvictOne(now time.Time) (Request, bool) {
	if len(a.queue.items) == 0 {
		return Request{}, false
	}
	return a.queue.remove(a.worst(now)), true
}

// Waiting returns the number of requests that wait.
func (a *Admitter) Waiting() int { return len(a.queue.items) }

// NextAt returns when Next is expected to return a request, if one waits.
func (a *Admitter) NextAt(now time.Time) (time.Time, bool) {
	if len(a.queue.items) == 0 {
		return time.Time{}, false
	}
	wait := time.Duration(-a.credit / a.capacity() * float64(time.Second))
	return now.Add(min(max(wait, minReleaseWait), maxReleaseWait)), true
}

const (
	// minReleaseWait bounds the wake-ups of a daemon that holds packets, which cost processor time on small VMs.
	minReleaseWait = 5 * time.Millisecond
	// maxReleaseWait bounds the delay until an expired request is dropped or until the floor releases one.
	maxReleaseWait = 50 * time.Millisecond
)

// CannotAnswer reports whether requests of the class cannot be answered before their deadline, because the backend servers take longer
// than the timeout. A request that waits in vain is no reason: rejected clients return at once and use up their attempts.
func (a *Admitter) CannotAnswer(class int) bool {
	c := &a.classes[class]
	return a.overloaded && c.Priority != a.top && a.expectedDelay(class) > c.Timeout
}

// Status describes the state for metrics and logs.
type Status struct {
	Overloaded bool
	Signal     float64       // mean of delay per target latency, each at most 1
	Delay      time.Duration // mean delay of responses
	Level      float64       // admitted load, in requests in progress at this daemon's share of the slots
	Waiting    int
}

// Status returns the state.
func (a *Admitter) Status() Status {
	return Status{a.overloaded, a.signal, a.delay, a.window * a.slots, len(a.queue.items)}
}
