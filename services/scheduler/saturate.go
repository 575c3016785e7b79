package scheduler

import "time"

// maxWait bounds expected waits. It is longer than any deadline, and sums of a few waits do not overflow.
const maxWait = 1 << 60 * time.Nanosecond

// saturate converts nanoseconds to a duration from 0 to maxWait. The result of a plain conversion of a value out of range depends on the
// processor.
func saturate(ns float64) time.Duration {
	switch {
	case ns <= 0:
		return 0
	case ns < float64(maxWait):
		return time.Duration(ns)
	default: // also NaN
		return maxWait
	}
}
