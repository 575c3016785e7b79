package sleeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
)

func ExampleDetector_SuspendedSinceLastCall() {
	suspended := 7 * time.Second
	d := sleeper.New(func() time.Duration { return suspended })
	fmt.Println(d.SuspendedSinceLastCall())
	suspended += 5 * time.Second
	fmt.Println(d.SuspendedSinceLastCall(), d.SuspendedSinceLastCall())
	// Output:
	// 0s
	// 5s 0s
}

// TestPauseBetweenClocks guards against a pause of the process between its readings of the two clocks that counts as a suspension.
func TestPauseBetweenClocks(t *testing.T) {
	readings := []time.Duration{0, 900 * time.Millisecond, 0, 0}
	d := sleeper.New(func() time.Duration {
		next := readings[0]
		readings = readings[1:]
		return next
	})
	if got := d.SuspendedSinceLastCall(); got != 0 {
		t.Errorf("suspended for %s, want 0", got)
	}
}

// TestTotalSuspended guards against clocks that report a suspension on a VM that runs.
func TestTotalSuspended(t *testing.T) {
	d := sleeper.New(sleeper.TotalSuspended)
	time.Sleep(20 * time.Millisecond)
	if got := d.SuspendedSinceLastCall(); got != 0 {
		t.Errorf("suspended for %s, want 0", got)
	}
}
