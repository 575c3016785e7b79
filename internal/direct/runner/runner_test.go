package runner

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// fabric probes each 500 ms, and sends packets for a time after the stop began.
type fabric struct {
	stopped time.Time
	sends   time.Duration
}

func (f *fabric) Refusals() uint64 { return 7 + uint64(time.Since(f.stopped)/(500*time.Millisecond)) }

func (f *fabric) IdleTime() time.Duration { return max(time.Since(f.stopped)-f.sends, 0) }

// TestAwaitRelease guards against a daemon that ends while the fabric still sends to it: with fewer than half of a zone in
// rotation it sends to all (benammar-lb quiet-1, second 8: 6 requests lost when a VM was added during a stop), and against one
// that stays although nothing comes any more, so that the stops of a roll-out overlap.
func TestAwaitRelease(t *testing.T) {
	for name, c := range map[string]struct {
		sends, least, most time.Duration
		reason             release
	}{
		"noticed at the second check": {sends: time.Second, least: 1150 * time.Millisecond, most: 1200 * time.Millisecond, reason: outOfRotation},
		"sends to all for a while":    {sends: 3 * time.Second, least: 3150 * time.Millisecond, most: 3200 * time.Millisecond, reason: outOfRotation},
		"sends to all":                {sends: time.Hour, least: 5500 * time.Millisecond, most: 5600 * time.Millisecond, reason: graceOver},
		"quiet from the start":        {sends: 0, least: time.Second, most: 1050 * time.Millisecond, reason: outOfRotation},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fabric{stopped: time.Now(), sends: c.sends}
			g.Expect(awaitRelease(t.Context(), 5500*time.Millisecond, f, f)).To(Equal(c.reason), name)
			g.Expect(time.Since(f.stopped)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)), name)
		})
	}
}
