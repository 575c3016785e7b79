package sleeper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
)

func ExampleDetector_SuspendedSinceLastCall() {
	suspended := 7 * time.Second
	s := sleeper.New(func() time.Duration { return suspended })
	fmt.Println(s.SuspendedSinceLastCall())
	suspended += 5 * time.Second
	fmt.Println(s.SuspendedSinceLastCall(), s.SuspendedSinceLastCall())
	// Output:
	// 0s
	// 5s 0s
}

// TestPauseBetweenClocks guards against a pause of the process between its two clocks that counts as a suspension.
func TestPauseBetweenClocks(t *testing.T) {
	readings := []time.Duration{0, 900 * time.Millisecond, 0, 0}
	s := sleeper.New(func() time.Duration {
		next := readings[0]
		readings = readings[1:]
		return next
	})
	if slept := s.SuspendedSinceLastCall(); slept != 0 {
		t.Errorf("slept %s", slept)
	}
}

// TestSuspended guards against clocks that can't be read here: a VM that runs is not suspended meanwhile.
func TestSuspended(t *testing.T) {
	s := sleeper.New(sleeper.TotalSuspended)
	time.Sleep(20 * time.Millisecond)
	if slept := s.SuspendedSinceLastCall(); slept != 0 {
		t.Errorf("slept %s", slept)
	}
}
