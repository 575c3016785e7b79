package steerer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// ovenConfigurationWithTarget returns ovenConfiguration with a target latency, after which requests are late.
func ovenConfigurationWithTarget(target time.Duration) *directory.Configuration {
	c := *ovenConfiguration
	c.Routes = append(c.Routes[:0:0], c.Routes...)
	c.Routes[0].TargetLatency = target
	return &c
}

// sendRequests opens flows and sends a request on each; none is answered.
func (d *daemon) sendRequests(requests int) {
	for range requests {
		p, _ := d.openFlow()
		d.Steer(d.now, p)
	}
}

// retransmittedOpening returns the opening packet of a new flow after a number of retransmissions.
func (d *daemon) retransmittedOpening(retransmissions uint32) *editor.Packet {
	p := d.openingPacket()
	p.AckNumber = retransmissions
	return p
}

func ExampleSteerer_SetZoneDaemons() {
	d := newDaemon(1, ovenConfigurationWithTarget(150*time.Millisecond), newBackendServers(2, 1, "ovenwatch", "souillac")...) // four slots
	d.SetZoneDaemons(2)
	d.sendRequests(3) // this daemon's share of the slots, and one request that waits
	fmt.Println("fresh:", d.Steer(d.now, d.openingPacket()).Cause)
	fmt.Println("sent 200 ms ago:", d.Steer(d.now, d.retransmittedOpening(1)).Cause)
	fmt.Println("sent 600 ms ago:", d.Steer(d.now, d.retransmittedOpening(2)).Cause)
	// Output:
	// fresh: placed
	// sent 200 ms ago: deferred
	// sent 600 ms ago: placed
}

// TestDeferredOpening guards against new requests that wait behind late ones after an outage, and against retransmissions that
// are dropped without need: with a free slot, without a target latency, or in time (etxeberria-telar scale-2, second 42).
func TestDeferredOpening(t *testing.T) {
	for _, c := range []struct {
		name            string
		target          time.Duration
		requests        int
		retransmissions uint32
		want            steerer.Cause
	}{
		{"a slot is free", 150 * time.Millisecond, 3, 1, steerer.Placed},
		{"one request may wait for every second slot", 150 * time.Millisecond, 5, 1, steerer.Placed},
		{"more requests wait", 150 * time.Millisecond, 6, 1, steerer.Deferred},
		{"no retransmission", 150 * time.Millisecond, 20, 0, steerer.Placed},
		{"in time after 200 ms", 400 * time.Millisecond, 20, 1, steerer.Placed},
		{"late after 600 ms", 400 * time.Millisecond, 20, 2, steerer.Deferred},
		{"the second retransmission may wait longer", 150 * time.Millisecond, 11, 2, steerer.Placed},
		{"no target latency", 0, 20, 2, steerer.Placed},
	} {
		d := newDaemon(1, ovenConfigurationWithTarget(c.target), newBackendServers(2, 1, "ovenwatch", "souillac")...)
		d.sendRequests(c.requests)
		NewWithT(t).Expect(d.Steer(d.now, d.retransmittedOpening(c.retransmissions)).Cause).To(Equal(c.want), c.name)
	}
}

// TestDeferredOpeningRecovers guards against retransmissions that are still dropped when the requests before them are done.
func TestDeferredOpeningRecovers(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, ovenConfigurationWithTarget(150*time.Millisecond), newBackendServers(2, 1, "ovenwatch", "souillac")...)
	d.sendRequests(10)
	p := d.retransmittedOpening(1)
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Deferred))
	d.advance(500 * time.Millisecond)
	p.AckNumber = 2
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Placed))
}

// BenchmarkDeferredOpening measures the decision about a late retransmission in a zone of 96 backend servers.
func BenchmarkDeferredOpening(b *testing.B) {
	d := newDaemon(1, ovenConfigurationWithTarget(150*time.Millisecond), newBackendServers(96, 1, "ovenwatch", "souillac")...)
	d.SetZoneDaemons(60)
	d.sendRequests(6)
	p := d.retransmittedOpening(1)
	b.ReportAllocs()
	for b.Loop() {
		d.Steer(d.now, p)
	}
}
