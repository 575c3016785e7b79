package scheduler

import (
	"math"
	"time"
)

const (
	// initialServiceTime is assumed until answers have shown the real one.
	initialServiceTime = 10 * time.Millisecond
	// reviewInterval is how often medians and trust are recomputed.
	reviewInterval = 250 * time.Millisecond
	// averageSamples is the weight of the long averages: with exponential service times 200 samples leave an error of
	// about 7%.
	averageSamples = 200
	// minimumSamples is how many samples an average needs before decisions use it.
	minimumSamples = 50
	// slownessTolerance is the deviation from the median service time that is treated as noise.
	slownessTolerance = 1.25
	// contradictedShare is the share of reports below the own counts from which a backend server is distrusted. A true
	// report is below only when a request was still on its way.
	contradictedShare = 0.2
	// minimumContradictions is the number of reports with own work in progress that a judgement needs.
	minimumContradictions = 30
	// plainContradictions and plainShare judge earlier what contradicts itself most of the time, such as a backend server that
	// always says that it is idle: a true report is below the own counts in less than one of 20 cases.
	plainContradictions = 8
	plainShare          = 0.6
	// onTheWay is how long after a send a report may not include it.
	onTheWay = 2 * time.Millisecond
	// impossibleSpeed is how many times faster than the median a backend server may seem. One that seems faster reports
	// work that it does not have.
	impossibleSpeed = 2
	// claimedRounds is the number of service times, behind the work that a backend server reports, from which quick answers
	// speak against the report, claimedSpeed how many times faster than that an answer is quick, and quickAnswers how many
	// in a row it takes: with exponential service times, a true report meets one such answer in 50.
	claimedRounds = 2.5
	claimedSpeed  = 3
	quickAnswers  = 2
	// staleAfter is the age of a reply's report at which the estimate begins to fall, and staleMemory the time constant.
	staleAfter  = 2 * time.Second
	staleMemory = 2 * time.Second
	// pollAfter is the age of a reply's report from which the loads of health checks count.
	pollAfter = 500 * time.Millisecond
	// pollWeight is the weight of one load from a health check.
	pollWeight = 0.25
	// leakedAfter is how long own counts are believed without any event of the backend server.
	leakedAfter = 30 * time.Second
)

// server holds what is known of one backend server.
type server struct {
	BackendServer
	hash  uint64
	local bool
	delay time.Duration // one way, zero in the own availability zone
	// choice is the last choice of bounded that includes the backend server.
	choice uint64

	own       int       // requests sent by this balancer and not yet resolved
	opening   int       // feeds sent by this balancer and not yet resolved
	lastEvent time.Time // of traffic

	last       loadReport
	others     float64   // work of other balancers when the last report was sent
	reported   time.Time // time of the last load report; zero when there was none
	meanOthers average
	meanOwn    average // own counts at the times of reports
	meanAll    average // reported load
	distrusted bool
	// contradicted is the share of reports that were below the own counts.
	contradicted average
	lastSent     time.Time
	// claimed is the reported work before the last send, if nothing else of this balancer was in progress then.
	claimed float64
	quick   int // answers in a row that came too soon for the work reported

	latency average // of answers, without the delay to the availability zone
	factor  average // expected latency in service times at the time of sending
	slow    float64 // service time relative to the service's median
	recent  float64 // requests sent lately
	excess  float64 // work sent lately beyond the server's share
	busy    float64 // share of slots in use, from health checks
	demand  float64 // as busy, with the work that its availability zone passed on meanwhile
	polls   int

	health  health
	losses  losses
	feeds   feedCount
	samples *sample
}

// average is a moving average that starts as a plain mean.
type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	if a.count < averageSamples {
		a.count++
	}
	a.value += (v - a.value) / float64(a.count)
}

func newServer(c *Config, b BackendServer) *server {
	e := &server{slow: 1, health: health{share: 1}}
	e.configure(c, b)
	return e
}

// configure takes over the settings of a backend server.
func (e *server) configure(c *Config, b BackendServer) {
	b.Slots = max(b.Slots, 1)
	b.Connections = max(b.Connections, 1)
	if b.Weight <= 0 {
		b.Weight = 1
	}
	e.BackendServer = b
	e.hash = hashAddress(b.Address)
	e.local = b.AvailabilityZone == c.AvailabilityZone
	e.delay = 0
	if !e.local {
		delay, ok := c.ZoneDelays[b.AvailabilityZone]
		if !ok {
			delay = DefaultZoneDelay
		}
		e.delay = delay
	}
}

// othersAt estimates the work of other balancers. A backend server whose reports are distrusted is taken to have as
// much of it as the median one.
func (v *service) othersAt(now time.Time, e *server) float64 {
	if e.distrusted {
		return v.medianOthers
	}
	return e.othersReported(now, v.typical)
}

// othersReported estimates the work of other balancers from reports. A report loses its value within about one service
// time, so the estimate returns from the reported value to the long average.
func (e *server) othersReported(now time.Time, typical time.Duration) float64 {
	if e.reported.IsZero() {
		return e.meanOthers.value
	}
	age := now.Sub(e.reported)
	if age <= 0 {
		return e.others
	}
	others := e.meanOthers.value + (e.others-e.meanOthers.value)*math.Exp(-float64(age)/float64(typical))
	if e.local && age > staleAfter {
		others *= math.Exp(-float64(age-staleAfter) / float64(staleMemory))
	}
	return others
}

// loadReport is the last load report with what this balancer knew then.
type loadReport struct {
	all, own float64
	judge    bool // own work was in progress, and no send was on its way
	valid    bool
}

// report takes over a load report.
func (e *server) report(now time.Time, l Load) {
	e.digest()
	e.last = loadReport{
		all: float64(l.Running + l.Queued), own: e.held(), valid: true,
		judge: e.local && now.Sub(e.lastSent) > onTheWay,
	}
	e.reported = now
	e.others = max(0, e.last.all-e.last.own)
}

// corrected adapts the last report to own work that ended at the same time: a reply that ends work reports the load
// without it, and may be observed before or after the end.
func (e *server) corrected(now time.Time) {
	if e.last.valid && e.reported.Equal(now) {
		e.last.own = e.held()
		e.others = max(0, e.last.all-e.last.own)
	}
}

// digest adds the last report to the averages.
func (e *server) digest() {
	r := e.last
	if !r.valid {
		return
	}
	e.meanOthers.add(max(0, r.all-r.own))
	e.meanOwn.add(r.own)
	e.meanAll.add(r.all)
	if r.judge && r.own > 0 {
		below := 0.0
		if e.contradicts(&r) {
			below = 1
		}
		e.contradicted.add(below)
	}
}

// wait returns the expected time until a new request begins to run, without the delay to the availability zone.
func (e *server) wait(work float64, typical time.Duration) time.Duration {
	ahead := (work+1)/float64(e.Slots) - 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * e.slow * float64(typical))
}

// probe remembers the report that the answer to the request sent now is compared with. Only the answer to a request that is
// alone can be.
func (e *server) probe() {
	e.claimed = 0
	if e.own == 0 && e.last.valid {
		e.claimed = e.last.all
	}
}

// compare holds a report of much work against the answer to a request that had to wait behind that work. A backend server
// that always says that it is full gets too few requests to be judged by averages.
func (e *server) compare(latency, typical time.Duration) {
	if e.claimed == 0 {
		return
	}
	rounds := min(e.claimed, e.last.all) / float64(e.Slots)
	e.claimed = 0
	if rounds < claimedRounds || float64(latency-2*e.delay)*claimedSpeed > rounds*float64(typical) {
		e.quick = 0
		return
	}
	e.quick++
}

// expect remembers how long the request sent now is expected to take, in service times.
func (e *server) expect(work float64) {
	e.factor.add(1 + max(0, (work+1)/float64(e.Slots)-1))
}

// answered takes over the latency of an answer.
func (e *server) answered(latency time.Duration) {
	if latency > 0 {
		e.latency.add(float64(max(latency-2*e.delay, latency/10)))
	}
}

// serviceTime returns the measured service time, or 0 when there are too few samples.
func (e *server) serviceTime() float64 {
	if e.latency.count < minimumSamples || e.factor.value <= 0 {
		return 0
	}
	return e.latency.value / e.factor.value
}

// review recomputes at a bounded rate what compares backend servers with each other.
func (v *service) review(now time.Time) {
	since := now.Sub(v.reviewed)
	if since >= 0 && since < reviewInterval {
		return
	}
	v.reviewed = now
	v.reviewSpeed()
	v.reviewTrust()
	v.reviewShares(now, since)
	v.reviewSpill(now, since)
	v.reviewFeeds(now)
	v.reviewHealth(now)
	v.groups.review(now)
	for _, e := range v.servers {
		if (e.own > 0 || e.opening > 0) && now.Sub(e.lastEvent) > leakedAfter {
			e.own, e.opening = 0, 0
		}
	}
}

func (v *service) reviewSpeed() {
	times := v.scratch[:0]
	for _, e := range v.servers {
		if t := e.serviceTime(); t > 0 {
			times = append(times, t)
		}
	}
	if len(times) == 0 {
		return
	}
	v.typical = time.Duration(median(times, 0))
	for _, e := range v.servers {
		e.slow = 1
		t := e.serviceTime() / float64(v.typical)
		if e.distrusted {
			continue // the expected latency rests on reports that are wrong
		}
		if t > slownessTolerance || t > 0 && t < 1/slownessTolerance {
			e.slow = min(max(t, 0.25), 8)
		}
	}
}

// reviewTrust looks for reports that contradict what this balancer knows: a backend server that reports less work than
// this balancer alone has there, or one that reports a queue and answers as if there were none.
func (v *service) reviewTrust() {
	others := v.scratch[:0]
	for _, e := range v.servers {
		tooLow := e.contradicted.count >= minimumContradictions && e.contradicted.value > contradictedShare ||
			e.contradicted.count >= plainContradictions && e.contradicted.value > plainShare
		t := e.serviceTime()
		tooHigh := t > 0 && t < float64(v.typical)/impossibleSpeed
		e.distrusted = tooLow || tooHigh || e.quick >= quickAnswers
		if e.local && !e.distrusted && !e.reported.IsZero() {
			others = append(others, e.meanOthers.value)
		}
	}
	v.medianOthers = lowerMedian(others)
}
