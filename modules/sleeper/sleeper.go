// Package sleeper measures how long this VM was suspended. The monotonic clock stops during a suspension, so durations and ages
// measured with it are too short by that time after the VM resumes.
package sleeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the total time for which the VM has been suspended since it started.
type Clock func() time.Duration

// TotalSuspended is the Clock of this VM. It returns 0 if the system does not provide the clocks it needs.
func TotalSuspended() time.Duration {
	var boot, monotonic unix.Timespec
	// The monotonic clock is read first. If the process is paused before it reads the other clock, the result is too long by
	// the pause. SuspendedSinceLastCall detects this by a second reading.
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// Detector detects suspensions of the VM. It is not safe for concurrent use.
type Detector struct {
	clock     Clock
	lastTotal time.Duration
}

// minSuspension is the shortest increase of the total that counts as a suspension. Smaller ones can come from a short pause of
// the process between its readings of the two clocks.
const minSuspension = 100 * time.Millisecond

// New returns a Detector that ignores the suspensions before the call.
func New(clock Clock) *Detector { return &Detector{clock: clock, lastTotal: clock()} }

// SuspendedSinceLastCall returns how long the VM was suspended since the last call, or 0 if it was not.
func (d *Detector) SuspendedSinceLastCall() time.Duration {
	total := d.clock()
	suspended := total - d.lastTotal
	if suspended < minSuspension {
		return 0
	}
	if second := d.clock(); second < total { // the process was paused between the two clocks, so the second reading is right
		total, suspended = second, second-d.lastTotal
	}
	if suspended < minSuspension {
		return 0
	}
	d.lastTotal = total
	return suspended
}
