package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/supervisor"
)

// fabric simulates a fabric that checks readiness every 500 ms and continues to send packets for some time after the drain began.
type fabric struct {
	drainAt    time.Time
	trafficFor time.Duration
}

func (f *fabric) Refusals() uint64 { return 7 + uint64(time.Since(f.drainAt)/(500*time.Millisecond)) }

func (f *fabric) IdleTime() time.Duration { return max(time.Since(f.drainAt)-f.trafficFor, 0) }

// TestAwaitDrained guards against a daemon that ends while the fabric still sends to it: with fewer than half of a zone in rotation, the
// fabric sends to all of its daemons, so that 6 requests were lost when a VM was added during a stop (benammar-lb quiet-1, second 8). It
// also guards against a daemon that stays although no packets arrive any more, so that the stops of a rolling update overlap.
func TestAwaitDrained(t *testing.T) {
	for name, c := range map[string]struct {
		trafficFor, shortest, longest time.Duration
		result                        drainResult
	}{
		"out of rotation after the second check": {trafficFor: time.Second, shortest: 1150 * time.Millisecond, longest: 1200 * time.Millisecond, result: outOfRotation},
		"traffic continues for a while":          {trafficFor: 3 * time.Second, shortest: 3150 * time.Millisecond, longest: 3200 * time.Millisecond, result: outOfRotation},
		"traffic continues":                      {trafficFor: time.Hour, shortest: 5500 * time.Millisecond, longest: 5600 * time.Millisecond, result: gracePeriodOver},
		"no traffic from the start":              {trafficFor: 0, shortest: time.Second, longest: 1050 * time.Millisecond, result: outOfRotation},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			f := &fabric{drainAt: time.Now(), trafficFor: c.trafficFor}
			g.Expect(awaitDrained(t.Context(), 5500*time.Millisecond, f, f)).To(Equal(c.result), name)
			g.Expect(time.Since(f.drainAt)).To(And(BeNumerically(">=", c.shortest), BeNumerically("<=", c.longest)), name)
		})
	}
}

// TestHangingComponent guards against a process that does not end, or loses the cause of its end, because a panic has left a lock locked.
func TestHangingComponent(t *testing.T) {
	for name, cause := range map[string]error{"panic": &supervisor.ErrPanic{Component: "transporter", Value: "odd input"}, "stop": nil} {
		g := NewWithT(t)
		ctx, cancel := context.WithCancelCause(t.Context())
		group, ctx := errgroup.WithContext(ctx)
		release := make(chan struct{})
		group.Go(func() error { <-release; return nil })
		if cause == nil {
			cancel(nil)
		} else {
			group.Go(func() error { return cause })
		}
		began := time.Now()
		err := waitForComponents(ctx, group)
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*componentEndLimit), name)
		if cause == nil {
			g.Expect(err).NotTo(HaveOccurred(), name)
		} else {
			g.Expect(err).To(MatchError(cause), name)
		}
		close(release)
		cancel(nil)
	}
}
