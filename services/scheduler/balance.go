package scheduler

import (
	"math"
	"time"
)

const (
	// requestDecayTime is the time constant with which recentRequests decays.
	requestDecayTime = 5 * time.Second
	// loadShareTolerance is the relative deviation from a backend server's share that is not corrected: equal numbers of
	// requests are not exactly equal load.
	loadShareTolerance = 0.04
	// correctionGain is the load correction for each further deviation by the whole share.
	correctionGain = 2
	// maximumCorrection bounds the load correction of a backend server that got far less or far more than its share.
	maximumCorrection = 0.5
	// halfConfidenceRequests is the number of recent requests per backend server at which deviations have half of their
	// effect: a difference of one request in three is no imbalance.
	halfConfidenceRequests = 8
	// noCorrectionPart and fullCorrectionPart are the fractions of an availability zone's load that come from this balancer,
	// as it measures them, at which corrections have no effect and their full effect. One of 33 balancers measures about 0.1,
	// because it counts its own requests at the times when it gets answers.
	noCorrectionPart   = 0.12
	fullCorrectionPart = 0.25
	// minimumPartReports is the number of load reports needed to measure this balancer's part of the load.
	minimumPartReports = 20
	// starvationThreshold is the fraction of its share below which a backend server gets probe requests.
	starvationThreshold = 0.3
	// minimumProbeFraction is the smallest fraction of requests that a starved backend server gets regardless of its reported
	// load. In a small group it gets starvationThreshold of its share, which is more. Two quick answers are enough to show
	// that it is not full (see overreportingAnswers).
	minimumProbeFraction = 0.05
	// spillUtilization is the utilization above which an availability zone may begin to send requests to less used zones.
	spillUtilization = 0.8
	// spillStopUtilization is the utilization below which an availability zone sends no requests to other zones.
	spillStopUtilization = 0.7
	// minimumHealthCheckLoads is the number of loads from health checks needed to use a backend server's utilization.
	minimumHealthCheckLoads = 5
	// utilizationSamples is the number of samples that the utilization average covers.
	utilizationSamples = 10
	// spillStartGap is the difference in utilization at which an availability zone begins to send requests to other zones,
	// and spillRemainingGap the difference that it then aims at. spillStartGap is larger so that sampling errors do not
	// start a spill.
	spillStartGap     = 0.06
	spillRemainingGap = 0.01
	// spillAdjustTime is the time constant of the spill rate. It may be shorter than the period of the utilization
	// averages from which the rate is computed, because demand does not depend on the spill: there is no feedback loop
	// that could oscillate.
	spillAdjustTime = 2 * time.Second
	// minimumSpillRate is the spill rate below which a spill ends.
	minimumSpillRate = 0.005
	// maximumSpillRate bounds the fraction of requests that go to other availability zones while the backend servers of
	// the own zone still accept some.
	maximumSpillRate = 0.5
)

// updateLoadCorrections recomputes the load corrections from the requests that this balancer sent to each backend server,
// in relation to its measured speed. This does not use load reports, so it also corrects the share of a backend server that
// reports wrong load.
func (s *service) updateLoadCorrections(now time.Time, elapsed time.Duration) {
	decay := math.Exp(-float64(max(0, elapsed)) / float64(requestDecayTime))
	for _, b := range s.servers {
		b.recentRequests *= decay
	}
	s.updateLosses(decay, elapsed)
	s.starvedServer = nil
	s.updateCorrectionWeight()
	for _, zone := range s.serversByZone {
		s.updateZoneCorrections(now, zone)
	}
}

// updateCorrectionWeight estimates this balancer's part of the load of its availability zone. One of many balancers must
// not balance its own requests alone, because the sum over all balancers is balanced already and each correction overrides
// a fresh load report.
func (s *service) updateCorrectionWeight() {
	parts := s.scratch[:0]
	for _, b := range s.servers {
		if b.inOwnZone && b.meanReported.count >= minimumPartReports && b.meanReported.value > 0 {
			parts = append(parts, b.meanOwnInFlight.value/b.meanReported.value)
		}
	}
	s.correctionWeight = min(max((median(parts, 0)-noCorrectionPart)/(fullCorrectionPart-noCorrectionPart), 0), 1)
}

// updateZoneCorrections compares the recent load of the backend servers of one availability zone. Backend servers of
// different zones are not compared: requests that leave a saturated zone belong in the least used one, not in equal parts
// in all others.
func (s *service) updateZoneCorrections(now time.Time, zone []*backend) {
	usableServers, totalLoad, totalRequests := 0.0, 0.0, 0.0
	for _, b := range zone {
		if b.isUsable(now, nil) {
			usableServers++
			totalLoad += b.recentLoad()
			totalRequests += b.recentRequests
		}
	}
	for _, b := range zone {
		b.loadCorrection = 0
		if totalRequests == 0 || !b.isUsable(now, nil) {
			continue
		}
		deviation := b.recentLoad()*usableServers/totalLoad - 1
		confidence := totalRequests / (totalRequests + usableServers*halfConfidenceRequests)
		if b.inOwnZone {
			confidence *= s.correctionWeight
		}
		if b.inOwnZone && deviation < starvationThreshold-1 && confidence > 0.5 &&
			(s.starvedServer == nil || b.recentLoad() < s.starvedServer.recentLoad()) {
			s.starvedServer, s.probeFraction = b, max(minimumProbeFraction, starvationThreshold/usableServers)
		}
		tolerance := loadShareTolerance
		switch {
		case deviation > tolerance:
			b.loadCorrection = min(correctionGain*confidence*(deviation-tolerance), maximumCorrection)
		case deviation < -tolerance:
			b.loadCorrection = max(correctionGain*confidence*(deviation+tolerance), -maximumCorrection)
		}
	}
}

// recentLoad returns the recent requests in relation to the backend server's capacity.
func (b *backend) recentLoad() float64 {
	return b.recentRequests * b.relativeServiceTime / (float64(b.Slots) * b.Weight * b.health.weightFactor)
}

// recordHealthCheckLoad records the load from a health check, an unbiased sample of how many slots are in use. For a
// backend server that this balancer hardly uses, it is also the only report of the requests of other balancers.
// spillRate is the spill rate of the own availability zone. All balancers of a zone compute about the same rate, so
// utilization/(1-spillRate) is the utilization without a spill.
func (b *backend) recordHealthCheckLoad(now time.Time, load Load, spillRate float64) {
	if b.reportedAt.IsZero() || now.Sub(b.reportedAt) > healthCheckLoadAfter {
		others := max(0, float64(load.Running+load.Queued)-b.ownInFlight())
		b.meanOthersInFlight.value += healthCheckLoadWeight * (others - b.meanOthersInFlight.value)
	}
	if b.healthCheckLoads < utilizationSamples {
		b.healthCheckLoads++
	}
	utilization := min(1, float64(load.Running)/float64(b.Slots))
	b.utilization += (utilization - b.utilization) / float64(b.healthCheckLoads)
	b.demand += (utilization/(1-spillRate) - b.demand) / float64(b.healthCheckLoads)
}

// meanOfZone returns the mean of a metric of the backend servers, and their number of slots, in the own availability zone
// or in all others. The lowest and the highest value are left out of the mean, so that a single backend server that
// reports wrong load has no effect.
func (s *service) meanOfZone(now time.Time, inOwnZone bool, metric func(*backend) float64) (mean, slots float64) {
	servers, sum, least, most := 0.0, 0.0, math.Inf(1), 0.0
	for _, b := range s.servers {
		if b.inOwnZone != inOwnZone || b.healthCheckLoads < minimumHealthCheckLoads || !b.isUsable(now, nil) {
			continue
		}
		servers++
		sum += metric(b)
		least, most = min(least, metric(b)), max(most, metric(b))
		slots += float64(b.Slots) * b.Weight * b.health.weightFactor
	}
	if servers < 3 {
		return 0, 0
	}
	return (sum - least - most) / (servers - 2), slots
}

// updateSpill moves the spill rate, while the own availability zone is saturated, towards the value at which all zones
// have about the same utilization.
func (s *service) updateSpill(now time.Time, elapsed time.Duration) {
	utilization := func(b *backend) float64 { return b.utilization }
	localUtilization, localSlots := s.meanOfZone(now, true, utilization)
	remoteUtilization, remoteSlots := s.meanOfZone(now, false, utilization)
	if localSlots == 0 || remoteSlots == 0 || localUtilization < spillStopUtilization {
		s.spillRate = 0
		return
	}
	if s.spillRate == 0 && (localUtilization-remoteUtilization < spillStartGap || localUtilization < spillUtilization) {
		return
	}
	demand, _ := s.meanOfZone(now, true, func(b *backend) float64 { return b.demand })
	remoteShare := remoteSlots / (localSlots + remoteSlots)
	balanced := localUtilization*(1-remoteShare) + (remoteUtilization+spillRemainingGap)*remoteShare
	target := min(1-balanced/max(demand, balanced), maximumSpillRate)
	s.spillRate += min(1, float64(max(0, elapsed))/float64(spillAdjustTime)) * (target - s.spillRate)
	if s.spillRate < minimumSpillRate {
		s.spillRate = 0
	}
}

// spills decides at random whether the next request goes to another availability zone.
func (s *service) spills() bool { return s.spillRate > 0 && s.config.Random.Float64() < s.spillRate }
