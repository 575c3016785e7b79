package forwarder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

// timeoutRecorder is a scheduler that records the timeouts reported to it.
type timeoutRecorder struct {
	*scheduler.Scheduler
	timeouts []scheduler.Observation
}

func (r *timeoutRecorder) Observe(now time.Time, o scheduler.Observation) {
	if o.Kind == scheduler.TimedOut {
		r.timeouts = append(r.timeouts, o)
	}
	r.Scheduler.Observe(now, o)
}

// TestTimeoutReportsLatency guards against timeouts without a latency. The scheduler would count lost requests as load,
// because it would not know how long each was counted as in progress.
func TestTimeoutReportsLatency(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	placer := &timeoutRecorder{Scheduler: scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random})}
	b := &balancer{t: t, now: start, Forwarder: forwarder.New(forwarder.Config{
		Self: self, Incarnation: 100, Random: random, Placer: placer,
		Gate: gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 100, Random: random}),
	})}
	g.Expect(b.SetView(start, standardView(t, 1))).To(Succeed())
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{5}})
	for len(placer.timeouts) == 0 && b.now.Before(start.Add(5*time.Second)) {
		b.advance(50 * time.Millisecond)
	}
	g.Expect(placer.timeouts).To(HaveLen(1))
	g.Expect(placer.timeouts[0].Latency).To(BeNumerically("~", b.now.Sub(start), time.Millisecond))
}
