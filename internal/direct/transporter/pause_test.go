package transporter

import (
	"testing"
	"time"
)

// TestPause guards against new flows that a daemon places by an old view when it resumes after a pause (soak seed 232: a flow
// opened at a backend server that had left 3 s before).
func TestPause(t *testing.T) {
	asked := 0
	x := &Transporter{}
	x.OnPause(func() { asked++ })
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
