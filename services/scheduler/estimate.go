package scheduler

import (
	"math"
	"time"
)

const (
	// initialServiceTime is the median service time assumed until enough answers were measured.
	initialServiceTime = 10 * time.Millisecond
	// refreshInterval is how often medians, report trust, load corrections and health are recomputed.
	refreshInterval = 250 * time.Millisecond
	// averageSamples is the number of samples that the long-term averages cover: with exponential service times 200 samples
	// leave an error of about 7%.
	averageSamples = 200
	// minimumLatencySamples is the number of answers needed before the service time of a backend server is used.
	minimumLatencySamples = 50
	// serviceTimeTolerance is the factor by which a service time may differ from the median before it has an effect: smaller
	// differences are treated as noise.
	serviceTimeTolerance = 1.25
	// underreportingThreshold is the fraction of load reports below this balancer's own count above which reports are
	// distrusted. A true report is lower only if a request had not arrived yet.
	underreportingThreshold = 0.2
	// underreportingSamples is the number of reports with own requests in flight needed to compare that fraction.
	underreportingSamples = 30
	// grossUnderreportingSamples and grossUnderreportingThreshold detect sooner a backend server most of whose reports are too
	// low, such as one that always reports that it is idle: a true report is below the own count in less than one of 20 cases.
	grossUnderreportingSamples   = 8
	grossUnderreportingThreshold = 0.6
	// inTransitTime is how long after a send a load report may not include that request yet.
	inTransitTime = 2 * time.Millisecond
	// implausibleSpeedup is how many times shorter than the median a measured service time may be. An even shorter one means
	// that the backend server reports more requests than it has, as the measurement divides by the reported queue.
	implausibleSpeedup = 2
	// An answer contradicts a load report if the reported requests would have taken at least overreportingRounds service times
	// and the answer came at least overreportingSpeedup times sooner than that. overreportingAnswers such answers in a row
	// make the reports distrusted: with exponential service times, one answer in 50 contradicts a true report.
	overreportingRounds  = 2.5
	overreportingSpeedup = 3
	overreportingAnswers = 2
	// reportStaleAfter is the age of a reply's load report at which the estimate begins to decay, staleDecayTime the time
	// constant of that decay.
	reportStaleAfter = 2 * time.Second
	staleDecayTime   = 2 * time.Second
	// healthCheckLoadAfter is the age of a reply's load report above which loads from health checks are used as well.
	healthCheckLoadAfter = 500 * time.Millisecond
	// healthCheckLoadWeight is the weight of one such load in the average of other balancers' requests.
	healthCheckLoadWeight = 0.25
	// inFlightExpiry is the time without traffic events after which own requests and opening feeds still counted as in flight
	// are dropped, as their outcome was never reported.
	inFlightExpiry = 30 * time.Second
)

// backend is the scheduling state of one backend server.
type backend struct {
	BackendServer
	addressHash uint64
	inOwnZone   bool
	zoneDelay   time.Duration // one way, zero in the own availability zone
	// subsetGeneration is the generation of the last scanSubset that includes the backend server.
	subsetGeneration uint64

	ownRequests      int // sent by this balancer and without an outcome yet
	openingFeeds     int // sent by this balancer and without an outcome yet
	lastTrafficEvent time.Time

	lastReport         loadReport
	othersAtReport     float64   // requests of other balancers at the time of the last report
	reportedAt         time.Time // time of the last load report; zero when there was none
	meanOthersInFlight average   // reported minus own requests
	meanOwnInFlight    average   // own requests at the times of reports
	meanReported       average   // reported requests
	reportsDistrusted  bool
	// underreported is the fraction of reports that were below the own count.
	underreported   average
	lastRequestSent time.Time
	// reportedBeforeSend is the number of requests last reported before the last send, if no other request of this balancer was
	// in flight then, and otherwise 0.
	reportedBeforeSend float64
	implausibleAnswers int // answers in a row that came too soon for the reported requests

	answerLatency         average // without the delay to the availability zone
	expectedLatencyFactor average // latency expected at the time of the send, in service times
	relativeServiceTime   float64 // service time divided by the service's median
	recentRequests        float64 // sent by this balancer, decaying with requestDecayTime
	loadCorrection        float64 // added to its load; positive when it recently got more than its share
	utilization           float64 // fraction of slots in use, from health checks
	demand                float64 // utilization if its availability zone had not sent requests to other zones
	healthCheckLoads      int     // samples of utilization, up to utilizationSamples

	neighbors []neighbor // see Admission

	health     health
	losses     losses
	feeds      feedCount
	feedSample *feedSample
}

// average is the mean of the first averageSamples values and an exponential moving average from then on.
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

func newBackend(c *Config, listed BackendServer) *backend {
	b := &backend{relativeServiceTime: 1, health: health{weightFactor: 1}}
	b.configure(c, listed)
	return b
}

// configure applies the settings of a backend server.
func (b *backend) configure(c *Config, listed BackendServer) {
	listed.Slots = max(listed.Slots, 1)
	listed.Connections = max(listed.Connections, 1)
	if listed.Weight <= 0 {
		listed.Weight = 1
	}
	b.BackendServer = listed
	b.addressHash = hashAddress(listed.Address)
	b.inOwnZone = listed.AvailabilityZone == c.AvailabilityZone
	b.zoneDelay = 0
	if !b.inOwnZone {
		delay, ok := c.ZoneDelays[listed.AvailabilityZone]
		if !ok {
			delay = DefaultZoneDelay
		}
		b.zoneDelay = delay
	}
}

// othersInFlight estimates the requests of other balancers at a backend server. For one whose reports are distrusted it
// is the value of the median backend server.
func (s *service) othersInFlight(now time.Time, b *backend) float64 {
	if b.reportsDistrusted {
		return s.medianOthersInFlight
	}
	return b.othersFromReports(now, s.medianServiceTime)
}

// othersFromReports estimates the requests of other balancers from load reports. A report is out of date after about one
// service time, so the estimate decays from the reported value to the long-term average.
func (b *backend) othersFromReports(now time.Time, medianServiceTime time.Duration) float64 {
	if b.reportedAt.IsZero() {
		return b.meanOthersInFlight.value
	}
	age := now.Sub(b.reportedAt)
	if age <= 0 {
		return b.othersAtReport
	}
	others := b.meanOthersInFlight.value +
		(b.othersAtReport-b.meanOthersInFlight.value)*math.Exp(-float64(age)/float64(medianServiceTime))
	if b.inOwnZone && age > reportStaleAfter {
		others *= math.Exp(-float64(age-reportStaleAfter) / float64(staleDecayTime))
	}
	return others
}

// loadReport is a load report with this balancer's own count at the same time.
type loadReport struct {
	total, ownInFlight float64
	comparable         bool // with the own count: from the own availability zone, and no request was sent shortly before
	received           bool
}

// recordLoadReport stores a load report and adds the previous one to the averages.
func (b *backend) recordLoadReport(now time.Time, load Load) {
	b.averageLastReport()
	b.lastReport = loadReport{
		total: float64(load.Running + load.Queued), ownInFlight: b.ownInFlight(), received: true,
		comparable: b.inOwnZone && now.Sub(b.lastRequestSent) > inTransitTime,
	}
	b.reportedAt = now
	b.othersAtReport = max(0, b.lastReport.total-b.lastReport.ownInFlight)
}

// adjustLastReport updates the own count of the last report when an own request ended at the same time: the reply that
// ends a request reports the load without it, and the two may be observed in either order.
func (b *backend) adjustLastReport(now time.Time) {
	if b.lastReport.received && b.reportedAt.Equal(now) {
		b.lastReport.ownInFlight = b.ownInFlight()
		b.othersAtReport = max(0, b.lastReport.total-b.lastReport.ownInFlight)
	}
}

// averageLastReport adds the last report to the averages.
func (b *backend) averageLastReport() {
	report := b.lastReport
	if !report.received {
		return
	}
	b.meanOthersInFlight.add(max(0, report.total-report.ownInFlight))
	b.meanOwnInFlight.add(report.ownInFlight)
	b.meanReported.add(report.total)
	if report.comparable && report.ownInFlight > 0 {
		below := 0.0
		if b.underreports(&report) {
			below = 1
		}
		b.underreported.add(below)
	}
}

// expectedWait returns the expected time until a new request gets a slot, without the delay to the availability zone.
func (b *backend) expectedWait(inFlight float64, medianServiceTime time.Duration) time.Duration {
	queuedRounds := (inFlight+1)/float64(b.Slots) - 1
	if queuedRounds <= 0 {
		return 0
	}
	return saturate(queuedRounds * b.relativeServiceTime * float64(medianServiceTime))
}

// rememberReportBeforeSend stores the reported load that checkOverreporting compares with the answer to the request sent
// now. Only a request sent while no other own request is in flight can be compared.
func (b *backend) rememberReportBeforeSend() {
	b.reportedBeforeSend = 0
	if b.ownRequests == 0 && b.lastReport.received {
		b.reportedBeforeSend = b.lastReport.total
	}
}

// checkOverreporting counts answers that came too soon for the queue reported before the request was sent. A backend
// server that always reports that it is full gets too few requests to be detected by averages.
func (b *backend) checkOverreporting(latency, medianServiceTime time.Duration) {
	if b.reportedBeforeSend == 0 {
		return
	}
	rounds := min(b.reportedBeforeSend, b.lastReport.total) / float64(b.Slots)
	b.reportedBeforeSend = 0
	if rounds < overreportingRounds || float64(latency-2*b.zoneDelay)*overreportingSpeedup > rounds*float64(medianServiceTime) {
		b.implausibleAnswers = 0
		return
	}
	b.implausibleAnswers++
}

// recordExpectedLatency adds the expected latency of the request sent now, in service times, to the average.
func (b *backend) recordExpectedLatency(inFlight float64) {
	b.expectedLatencyFactor.add(1 + max(0, (inFlight+1)/float64(b.Slots)-1))
}

// recordLatency adds the latency of an answer, without the delay to the availability zone, to the average.
func (b *backend) recordLatency(latency time.Duration) {
	if latency > 0 {
		b.answerLatency.add(float64(max(latency-2*b.zoneDelay, latency/10)))
	}
}

// serviceTime returns the measured service time in nanoseconds, or 0 when there are too few samples.
func (b *backend) serviceTime() float64 {
	if b.answerLatency.count < minimumLatencySamples || b.expectedLatencyFactor.value <= 0 {
		return 0
	}
	return b.answerLatency.value / b.expectedLatencyFactor.value
}

// refresh recomputes, at most once in each refreshInterval, all that is derived from a comparison of backend servers.
func (s *service) refresh(now time.Time) {
	elapsed := now.Sub(s.refreshedAt)
	if elapsed >= 0 && elapsed < refreshInterval {
		return
	}
	s.refreshedAt = now
	s.updateServiceTimes()
	s.updateReportTrust()
	s.updateLoadCorrections(now, elapsed)
	s.updateSpill(now, elapsed)
	s.updateFeedSampling(now)
	s.updateHealth(now)
	s.callerGroups.update(now)
	for _, b := range s.servers {
		if (b.ownRequests > 0 || b.openingFeeds > 0) && now.Sub(b.lastTrafficEvent) > inFlightExpiry {
			b.ownRequests, b.openingFeeds = 0, 0
		}
	}
}

// updateServiceTimes recomputes the median service time and each backend server's service time relative to it.
func (s *service) updateServiceTimes() {
	serviceTimes := s.scratch[:0]
	for _, b := range s.servers {
		if t := b.serviceTime(); t > 0 {
			serviceTimes = append(serviceTimes, t)
		}
	}
	if len(serviceTimes) == 0 {
		return
	}
	s.medianServiceTime = time.Duration(median(serviceTimes, 0))
	for _, b := range s.servers {
		b.relativeServiceTime = 1
		relative := b.serviceTime() / float64(s.medianServiceTime)
		if b.reportsDistrusted {
			continue // its expected latency was computed from wrong reports
		}
		if relative > serviceTimeTolerance || relative > 0 && relative < 1/serviceTimeTolerance {
			b.relativeServiceTime = min(max(relative, 0.25), 8)
		}
	}
}

// updateReportTrust marks backend servers whose load reports contradict this balancer's observations: those that report
// fewer requests than this balancer alone has there, and those that report a queue but answer as if there were none. While the
// own availability zone is evacuated, the requests of other balancers are those on the median backend server of all others.
func (s *service) updateReportTrust() {
	others := s.scratch[:0]
	for _, b := range s.servers {
		underreports := b.underreported.count >= underreportingSamples && b.underreported.value > underreportingThreshold ||
			b.underreported.count >= grossUnderreportingSamples && b.underreported.value > grossUnderreportingThreshold
		serviceTime := b.serviceTime()
		overreports := serviceTime > 0 && serviceTime < float64(s.medianServiceTime)/implausibleSpeedup
		b.reportsDistrusted = underreports || overreports || b.implausibleAnswers >= overreportingAnswers
		if (b.inOwnZone || s.ownZoneEvacuated) && !b.Evacuated && !b.reportsDistrusted && !b.reportedAt.IsZero() {
			others = append(others, b.meanOthersInFlight.value)
		}
	}
	s.medianOthersInFlight = lowerMedian(others)
}
