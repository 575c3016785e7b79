package scheduler

import (
	"math"
	"testing"
	"time"
)

// TestSaturate guards against an expected wait that is negative or the shortest of all because its number is out of range.
func TestSaturate(t *testing.T) {
	for ns, want := range map[float64]time.Duration{
		-1: 0, math.Inf(-1): 0, 0: 0, 1.5: 1, 1e18: 1e18, 1e19: maxWait, 1e300: maxWait, math.Inf(1): maxWait,
	} {
		if got := saturate(ns); got != want {
			t.Errorf("%g ns: %d, want %d", ns, got, want)
		}
	}
	if got := saturate(math.NaN()); got != maxWait {
		t.Errorf("NaN: %d", got)
	}
	b := &backend{BackendServer: BackendServer{Slots: 1}, relativeServiceTime: 8}
	if got := b.expectedWait(1<<17, 100*time.Hour); got != maxWait {
		t.Errorf("%d", got)
	}
}
