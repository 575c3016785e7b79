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

// recorder keeps the time-outs that a scheduler observes.
type recorder struct {
	*scheduler.Scheduler
	timeouts []scheduler.Observation
}

func (r *recorder) Observe(now time.Time, o scheduler.Observation) {
	if o.Kind == scheduler.TimedOut {
		r.timeouts = append(r.timeouts, o)
	}
	r.Scheduler.Observe(now, o)
}

// TestTimeOutTellsTheWait guards against lost requests that the scheduler takes for load, because it does not know how
// long each was counted.
func TestTimeOutTellsTheWait(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(7, 7))
	placer := &recorder{Scheduler: scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random})}
	b := &balancer{t: t, now: start, Forwarder: forwarder.New(forwarder.Config{
		Self: self, Incarnation: 100, Random: random, Placer: placer,
		Gate: gatekeeper.New(gatekeeper.Config{Self: self, Incarnation: 100, Random: random}),
	})}
	g.Expect(b.SetView(start, standardView(t, 1))).To(Succeed())
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{5}})
	for len(placer.timeouts) == 0 && b.now.Before(start.Add(5*time.Second)) {
		b.tick(50 * time.Millisecond)
	}
	g.Expect(placer.timeouts).To(HaveLen(1))
	g.Expect(placer.timeouts[0].Latency).To(BeNumerically("~", b.now.Sub(start), time.Millisecond))
}
