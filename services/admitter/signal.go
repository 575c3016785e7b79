package admitter

import "time"

// Control is how the admission level is set.
type Control uint8

// The controls. A window bounds the requests in progress, a rate the expected work per second.
const (
	// ControlWindow admits requests at the rate that keeps the wanted number in progress, given the delay of responses.
	ControlWindow Control = iota
	// ControlRate adjusts the rate of expected work by the delay signal alone.
	ControlRate
)

const (
	// rateDecrease and rateIncrease are the factor and the relative step by which ControlRate changes the rate in each
	// adjustInterval.
	rateDecrease = 0.8
	rateIncrease = 0.05
	// workInterval is the interval over which the admitted work is measured.
	workInterval = 500 * time.Millisecond
)

// IsRejection reports whether a flow that ended so soon after its newest request was rejected by a full backend server: no response
// of a processed request takes so little time. While the work is unknown, the target latency stands for it: clients keep the flows of
// such routes for longer.
func (a *Admitter) IsRejection(class int, delay time.Duration) bool {
	c := &a.classes[class]
	if c.workSamples > 0 {
		return c.workSamples >= minWorkSamples && float64(delay) < rejectedShare*float64(c.shortWork)
	}
	return float64(delay) < rejectedTarget*float64(c.TargetLatency)
}

// RecordResponse records the time from the forwarding of a request to its response.
func (a *Admitter) RecordResponse(now time.Time, class int, delay time.Duration) {
	a.record(now, class, delay)
	a.learnWork(class, delay)
}

// RecordRejection records a flow that ended so soon after its newest request that IsRejection holds. Without a high signal its delay still
// counts for the expected work: an estimate that is too high would otherwise make rejections of all further responses, and stay as it is.
func (a *Admitter) RecordRejection(now time.Time, class int, delay time.Duration) {
	a.record(now, class, a.classes[class].TargetLatency)
	a.learnWork(class, delay)
}

// learnWork adds a delay to the expected work of a class, unless requests may have waited at their backend servers.
func (a *Admitter) learnWork(class int, delay time.Duration) {
	c := &a.classes[class]
	if a.overloaded || a.signal >= exitSignal {
		return
	}
	c.workSamples++
	c.expectedWork += time.Duration(max(workWeight, 1/float64(c.workSamples)) * float64(delay-c.expectedWork))
	weight := shortWorkIncrease
	switch {
	case c.workSamples == 1:
		weight = 1
	case a.IsRejection(class, delay):
		weight = workWeight
	case delay < c.shortWork:
		weight = shortWorkDecrease
	}
	c.shortWork += time.Duration(weight * float64(delay-c.shortWork))
}

// RecordOverdue records a request without a response that was forwarded age ago.
func (a *Admitter) RecordOverdue(now time.Time, class int, age time.Duration) {
	a.record(now, class, age)
}

// record adds a sample to the means and updates the state.
func (a *Admitter) record(now time.Time, class int, delay time.Duration) {
	weight := a.nextWeight(now)
	a.delay += time.Duration(weight * float64(delay-a.delay))
	a.recordShare(now, weight, min(delay.Seconds()/a.classes[class].TargetLatency.Seconds(), 1))
}

// nextWeight returns the weight of a sample at the time now.
func (a *Admitter) nextWeight(now time.Time) float64 {
	if a.lastSample.IsZero() {
		return maxSampleWeight
	}
	return sampleWeight(now.Sub(a.lastSample), sampleSpan)
}

// recordShare adds a delay, as a share of the target latency, to the signal and updates the state.
func (a *Admitter) recordShare(now time.Time, weight, share float64) {
	a.recent = a.recentSamples(now) + 1
	if now.After(a.lastSample) {
		a.lastSample = now
	}
	a.signal += weight * (share - a.signal)
	if a.overloaded {
		return
	}
	if a.signal < enterSignal {
		a.samples = 0
		return
	}
	if a.samples++; a.samples >= minSamples {
		a.begin(now)
	}
}

// begin begins an overload.
func (a *Admitter) begin(now time.Time) {
	a.overloaded, a.window, a.adjustedAt, a.creditAt = true, startWindow, now, now
	a.credit, a.floor, a.belowSince = -a.capacity()*debtSpan, 0, time.Time{}
	a.rate = max(a.workRate, 0.001) * rateDecrease
	a.poolDelay(now)
}

// sampleWeight returns the weight of a sample in a mean over span, elapsed after the previous one.
func sampleWeight(elapsed, span time.Duration) float64 {
	return min(max(elapsed.Seconds()/span.Seconds(), minSampleWeight), maxSampleWeight)
}

// advance brings the credit, the window and the state up to the time now.
func (a *Admitter) advance(now time.Time) {
	if !a.overloaded {
		return
	}
	if now.Sub(a.lastSample) > sampleTTL {
		a.end()
		a.signal, a.delay = 0, 0 // old means would let the first samples begin an overload
		return
	}
	if elapsed := now.Sub(a.creditAt).Seconds(); elapsed > 0 {
		a.creditAt = now
		a.poolDelay(now)
		capacity := a.capacity()
		a.credit = min(a.credit+elapsed*capacity, capacity*creditSpan)
		floor := max(capacity*floorShare, probeRate*a.delay.Seconds())
		a.floor = min(a.floor+elapsed*floor, floor*creditSpan)
	}
	switch {
	case a.signal >= exitSignal || len(a.queue.items) > 0:
		a.belowSince = time.Time{}
	case a.belowSince.IsZero():
		a.belowSince = now
	case now.Sub(a.belowSince) >= exitAfter:
		a.end()
		return
	}
	for now.Sub(a.adjustedAt) >= adjustInterval {
		a.adjustedAt = a.adjustedAt.Add(adjustInterval)
		if a.signal > targetSignal {
			a.window = max(a.window*windowDecrease, minWindow)
			a.rate *= rateDecrease
		} else {
			a.window = min(a.window+windowIncrease, maxWindow)
			a.rate *= 1 + rateIncrease
		}
	}
}

// end returns to the normal state.
func (a *Admitter) end() {
	a.overloaded, a.belowSince, a.samples = false, time.Time{}, 0
}

// capacity returns the credit that accrues in a second.
func (a *Admitter) capacity() float64 {
	if a.config.Control == ControlRate {
		return max(a.rate, 0.001)
	}
	return a.window * a.slots
}

// cost returns the credit that a request of the class takes.
func (a *Admitter) cost(class int) float64 {
	if a.config.Control == ControlRate {
		if w := a.classes[class].expectedWork; w > 0 {
			return w.Seconds()
		}
		return 0.02
	}
	return a.expectedDelay(class).Seconds()
}

// recordWork adds a request to the admitted work.
func (a *Admitter) recordWork(now time.Time, c *class) {
	if now.Sub(a.workSince) >= workInterval {
		if span := now.Sub(a.workSince); span < 4*workInterval {
			a.workRate = a.work / span.Seconds()
		}
		a.work, a.workSince = 0, now
	}
	w := c.expectedWork.Seconds()
	if w == 0 {
		w = 0.02
	}
	a.work += w
}
