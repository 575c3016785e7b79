package transporter

import (
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/sleeper"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// TestPause guards against new flows that a daemon places by an old view when it resumes after a pause (soak seed 232: a flow
// opened at a backend server that had left 3 s before).
func TestPause(t *testing.T) {
	asked := 0
	x := &Transporter{}
	x.OnStaleBackendList(func() { asked++ })
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		x.tick(now)
		now = now.Add(findInterval)
	}
	if asked != 0 || !x.distrust.IsZero() {
		t.Fatalf("a running process asked %d times", asked)
	}
	now = now.Add(4 * time.Second)
	x.tick(now)
	if asked != 1 || x.distrust.Sub(now) != freshWait {
		t.Errorf("asked %d times, distrusts until %s", asked, x.distrust)
	}
}

// TestUnknown guards against flows that are dropped until the next read of the list, because another daemon has opened them at a
// backend server that this one has not heard of, and against a call to the platform for each packet with a forged tag.
func TestUnknown(t *testing.T) {
	asked := 0
	x := &Transporter{}
	x.OnStaleBackendList(func() { asked++ })
	now := time.Unix(1_800_000_000, 0)
	for range 100 {
		x.learn(now, &steerer.Decision{Cause: steerer.Established})
	}
	if asked != 0 {
		t.Fatalf("known tags asked %d times", asked)
	}
	for range 1000 {
		x.learn(now, &steerer.Decision{Cause: steerer.UnknownTag})
		now = now.Add(10 * time.Millisecond)
	}
	if asked != 2 {
		t.Errorf("1,000 packets in 10 s asked %d times", asked)
	}
}

// TestWake guards against a VM that was suspended and goes on with its old list: its clock shows no pause.
func TestWake(t *testing.T) {
	var suspended, told time.Duration
	x := &Transporter{c: Config{Sleeper: sleeper.New(func() time.Duration { return suspended })}}
	x.OnSuspension(func(d time.Duration) { told += d })
	x.wake()
	if told != 0 || !x.distrust.IsZero() {
		t.Fatalf("a VM that was not suspended slept %s", told)
	}
	suspended = 5 * time.Second
	x.wake()
	x.wake()
	if told != suspended || !time.Now().Before(x.distrust) {
		t.Errorf("slept %s, distrusts until %s", told, x.distrust)
	}
}
