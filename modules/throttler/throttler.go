// Package throttler limits a rate of bytes or messages with a token bucket. It uses no clock: the current time is passed in.
package throttler

import "time"

// Throttler is a token bucket. It is not safe for concurrent use.
type Throttler struct {
	rate, burst float64 // bytes per second, bytes
	tokens      float64 // bytes that may be sent at updatedAt
	updatedAt   time.Time
}

// New returns a Throttler with a full bucket: burst bytes may be sent at once, and bytesPerSecond more each second.
func New(bytesPerSecond, burst float64) *Throttler {
	return &Throttler{rate: bytesPerSecond, burst: burst, tokens: burst}
}

// Burst returns the number of bytes that a full bucket holds.
func (t *Throttler) Burst() float64 { return t.burst }

// Take takes n bytes from the bucket and returns 0 if it holds as many. Otherwise it takes nothing and returns how long to wait. More than
// a full bucket holds can never be taken.
func (t *Throttler) Take(now time.Time, n int) time.Duration {
	if elapsed := now.Sub(t.updatedAt); !t.updatedAt.IsZero() && elapsed > 0 {
		t.tokens = min(t.tokens+elapsed.Seconds()*t.rate, t.burst)
	}
	t.updatedAt = now
	if missing := float64(n) - t.tokens; missing > 0 {
		return time.Duration(missing/t.rate*float64(time.Second)) + 1 // rounded up
	}
	t.tokens -= float64(n)
	return 0
}
