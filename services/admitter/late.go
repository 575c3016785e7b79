package admitter

import "time"

// lateShare is what a request without a response counts when it has waited for the share enterSignal of its target latency. With the middle
// between that and 1, fewer daemons detected an overload: its delays often exceed the target latency.
const lateShare = 1

// LateAfter returns after which time without a response a request of the class counts for the beginning of an overload.
func (a *Admitter) LateAfter(class int) time.Duration {
	return time.Duration(enterSignal * float64(a.classes[class].TargetLatency))
}

// RecordLate records a request without a response that was forwarded LateAfter ago. It returns false while the service is overloaded: then
// the delay itself is the sample. Otherwise the delay of that request must be recorded with RecordCountedDelay.
func (a *Admitter) RecordLate(now time.Time, class int) bool {
	if a.overloaded {
		return false
	}
	weight := a.nextWeight(now)
	a.delay += time.Duration(weight * (lateShare*float64(a.classes[class].TargetLatency) - float64(a.delay)))
	a.recordShare(now, weight, lateShare)
	return true
}

// RecordCountedDelay records the delay of a request that RecordLate has counted.
func (a *Admitter) RecordCountedDelay(delay time.Duration) {
	a.delay += time.Duration(maxSampleWeight * float64(delay-a.delay))
}
