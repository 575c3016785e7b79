// Package sleeper tells for how long this VM was suspended. The steady clock stands still meanwhile, so that times and ages measured with
// it are too short by as much after a VM has woken.
package sleeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time that the VM was suspended since it started.
type Clock func() time.Duration

// TotalSuspended is the Clock of this VM. It is 0 where the system does not tell.
func TotalSuspended() time.Duration {
	var boot, steady unix.Timespec
	// The steady clock is read first: a pause in between would look like a suspension, and only the next reading would show it.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// Detector notices suspensions. It is not safe for concurrent use.
type Detector struct {
	clock Clock
	known time.Duration
}

// noise is the longest difference of two readings that is none: the process may be paused between the two clocks.
const noise = 100 * time.Millisecond

// New returns a Sleeper that knows the suspensions so far.
func New(clock Clock) *Detector { return &Detector{clock: clock, known: clock()} }

// SuspendedSinceLastCall returns for how long the VM was suspended since the last call, 0 when it was not.
func (s *Detector) SuspendedSinceLastCall() time.Duration {
	total := s.clock()
	slept := total - s.known
	if slept < noise {
		return 0
	}
	if again := s.clock(); again < total { // a pause between the clocks: the next reading tells the true time
		total, slept = again, again-s.known
	}
	if slept < noise {
		return 0
	}
	s.known = total
	return slept
}
