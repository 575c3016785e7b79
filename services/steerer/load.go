package steerer

import "time"

const (
	// loadBucket is the time after which a request without a visible answer begins to count as done. Callers acknowledge
	// only every second packet, so that a short answer is not seen; most work takes 5 to 30 ms, and a full queue 120 ms.
	loadBucket = 100 * time.Millisecond
	// waitingWeight is how many open flows a waiting request weighs: a flow is idle most of the time.
	waitingWeight = 2
)

// load estimates the requests that wait at a backend server: those sent in the current bucket of time and in the one
// before, less those that were answered.
type load struct {
	bucket            int64
	current, previous int
}

func (l *load) advance(now time.Time) {
	bucket := now.UnixNano() / int64(loadBucket)
	switch bucket {
	case l.bucket:
		return
	case l.bucket + 1:
		l.previous, l.current = l.current, 0
	default:
		l.previous, l.current = 0, 0
	}
	l.bucket = bucket
}

// sent counts a request.
func (l *load) sent(now time.Time) {
	l.advance(now)
	l.current++
}

// done counts an answer.
func (l *load) done(now time.Time) {
	l.advance(now)
	if l.previous > 0 {
		l.previous--
	} else if l.current > 0 {
		l.current--
	}
}

// waiting returns the number of requests that wait.
func (l *load) waiting(now time.Time) int {
	l.advance(now)
	return l.current + l.previous
}
