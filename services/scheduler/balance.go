package scheduler

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant of the requests that excess compares.
	shareMemory = 5 * time.Second
	// shareTolerance is the deviation from a backend server's share that is left to the policy: equal numbers of requests
	// are not exactly equal work.
	shareTolerance = 0.04
	// shareGain is the excess for each further deviation by the whole share.
	shareGain = 2
	// maximumExcess bounds the pull of a backend server that got far less or far more than its share.
	maximumExcess = 0.5
	// sparseRequests is the number of recent requests per backend server at which deviations count half: a difference of
	// one request in three is no imbalance.
	sparseRequests = 8
	// noPart and fullPart are the parts of an availability zone's load, as one balancer measures them, between which
	// corrections go from no effect to their full effect. One of 33 balancers measures about 0.1, because it counts own
	// work at the times when it gets answers.
	noPart   = 0.12
	fullPart = 0.25
	// minimumParts is the number of load reports that a balancer's part of the load needs.
	minimumParts = 20
	// starvedShare is the part of its share below which a backend server gets probes.
	starvedShare = 0.3
	// probeShare is the least share of requests that a starved backend server gets regardless of its reported load. In a
	// small group it gets starvedShare of its share, which is more: two quick answers show that it is not full.
	probeShare = 0.05
	// saturation is the utilization above which an availability zone may pass work on to less used ones.
	saturation = 0.8
	// calm is the utilization below which an availability zone passes nothing on.
	calm = 0.7
	// minimumPolls is the number of health checks that a utilization needs.
	minimumPolls = 5
	// averagePolls is the weight of the utilization average.
	averagePolls = 10
	// spillStart is the difference in utilization at which an availability zone begins to pass work on, and spillMargin
	// the difference that it then leaves. The gap between the two keeps sampling errors from starting a spill.
	spillStart  = 0.06
	spillMargin = 0.01
	// spillMemory is the time constant of the spill fraction. It may be shorter than the averages of utilization that the
	// fraction follows, because demand does not depend on the spill: there is no loop that could oscillate.
	spillMemory = 2 * time.Second
	// minimumSpill is the share below which a spill ends.
	minimumSpill = 0.005
	// maximumSpill bounds the share of requests that leave an availability zone whose backend servers still have room.
	maximumSpill = 0.5
)

// reviewShares compares the work that this balancer sent to backend servers, at their real speed. The comparison needs
// no report, so it also holds a backend server to its share that reports wrong load.
func (v *service) reviewShares(now time.Time, since time.Duration) {
	keep := math.Exp(-float64(max(0, since)) / float64(shareMemory))
	for _, e := range v.servers {
		e.recent *= keep
	}
	v.reviewLosses(keep, since)
	v.starved = nil
	v.reviewPart()
	for _, zone := range v.zones {
		v.shareOut(now, zone)
	}
}

// reviewPart estimates this balancer's part of the load of its availability zone. One of many balancers must not even
// out its own requests, because their sum is even already and each correction overrides a fresh load report.
func (v *service) reviewPart() {
	parts := v.scratch[:0]
	for _, e := range v.servers {
		if e.local && e.meanAll.count >= minimumParts && e.meanAll.value > 0 {
			parts = append(parts, e.meanOwn.value/e.meanAll.value)
		}
	}
	v.part = min(max((median(parts, 0)-noPart)/(fullPart-noPart), 0), 1)
}

// shareOut compares the backend servers of one availability zone. Those of different ones are not compared: work that
// leaves a saturated availability zone belongs in the least used one, not in equal parts in all others.
func (v *service) shareOut(now time.Time, zone []*server) {
	n, sum, requests := 0.0, 0.0, 0.0
	for _, e := range zone {
		if e.usable(now, nil) {
			n++
			sum += e.work()
			requests += e.recent
		}
	}
	for _, e := range zone {
		e.excess = 0
		if requests == 0 || !e.usable(now, nil) {
			continue
		}
		deviation := e.work()*n/sum - 1
		known := requests / (requests + n*sparseRequests)
		if e.local {
			known *= v.part
		}
		if e.local && deviation < starvedShare-1 && known > 0.5 && (v.starved == nil || e.work() < v.starved.work()) {
			v.starved, v.probes = e, max(probeShare, starvedShare/n)
		}
		tolerance := shareTolerance
		switch {
		case deviation > tolerance:
			e.excess = min(shareGain*known*(deviation-tolerance), maximumExcess)
		case deviation < -tolerance:
			e.excess = max(shareGain*known*(deviation+tolerance), -maximumExcess)
		}
	}
}

// work returns the work sent lately in relation to what the backend server can do.
func (e *server) work() float64 {
	return e.recent * e.slow / (float64(e.Slots) * e.Weight * e.health.share)
}

// polled takes over the load from a health check: an unbiased sample of how many slots are in use. For a backend server
// that this balancer hardly uses it is also the only news of the work of other balancers. spill is the share of requests
// that the availability zone passes on; the balancers of one availability zone arrive at about the same share.
func (e *server) polled(now time.Time, l Load, spill float64) {
	if e.reported.IsZero() || now.Sub(e.reported) > pollAfter {
		others := max(0, float64(l.Running+l.Queued)-e.held())
		e.meanOthers.value += pollWeight * (others - e.meanOthers.value)
	}
	if e.polls < averagePolls {
		e.polls++
	}
	busy := min(1, float64(l.Running)/float64(e.Slots))
	e.busy += (busy - e.busy) / float64(e.polls)
	e.demand += (busy/(1-spill) - e.demand) / float64(e.polls)
}

// utilization returns the mean of a backend server's figure and the number of slots, in the own availability zone or in
// all others. The least and the greatest figure are left out, so that a single backend server that reports wrong load has
// no effect.
func (v *service) utilization(now time.Time, local bool, of func(*server) float64) (used, slots float64) {
	n, sum, least, most := 0.0, 0.0, math.Inf(1), 0.0
	for _, e := range v.servers {
		if e.local != local || e.polls < minimumPolls || !e.usable(now, nil) {
			continue
		}
		n++
		sum += of(e)
		least, most = min(least, of(e)), max(most, of(e))
		slots += float64(e.Slots) * e.Weight * e.health.share
	}
	if n < 3 {
		return 0, 0
	}
	return (sum - least - most) / (n - 2), slots
}

// reviewSpill moves the share of requests that leave the own availability zone towards the share at which all
// availability zones are used alike, while the own one is saturated.
func (v *service) reviewSpill(now time.Time, since time.Duration) {
	busy := func(e *server) float64 { return e.busy }
	own, ownSlots := v.utilization(now, true, busy)
	others, otherSlots := v.utilization(now, false, busy)
	if ownSlots == 0 || otherSlots == 0 || own < calm {
		v.spill = 0
		return
	}
	if v.spill == 0 && (own-others < spillStart || own < saturation) {
		return
	}
	demand, _ := v.utilization(now, true, func(e *server) float64 { return e.demand })
	otherShare := otherSlots / (ownSlots + otherSlots)
	even := own*(1-otherShare) + (others+spillMargin)*otherShare
	target := min(1-even/max(demand, even), maximumSpill)
	v.spill += min(1, float64(max(0, since))/float64(spillMemory)) * (target - v.spill)
	if v.spill < minimumSpill {
		v.spill = 0
	}
}

// spills reports whether a request is one of those that leave the own availability zone.
func (v *service) spills() bool { return v.spill > 0 && v.config.Random.Float64() < v.spill }
