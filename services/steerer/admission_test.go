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

// toOvensWithin is a route whose requests are late after the target.
func toOvensWithin(target time.Duration) *directory.Configuration {
	c := *toOvens
	c.Routes = append(c.Routes[:0:0], c.Routes...)
	c.Routes[0].Target = target
	return &c
}

// busy sends as many requests as there are slots; none is answered.
func (d *daemon) busy(requests int) {
	for range requests {
		p, _ := d.established()
		d.Steer(d.now, p)
	}
}

// copyOf returns the copy of a new flow's opening packet.
func (d *daemon) copyOf(copies uint32) *editor.Packet {
	p := d.caller()
	p.AckNumber = copies
	return p
}

func ExampleSteerer_SetDaemons() {
	d := newDaemon(1, toOvensWithin(150*time.Millisecond), zone(2, 1, "ovenwatch", "souillac")...) // four slots
	d.SetDaemons(2)
	d.busy(3) // this daemon's share, and one that waits
	fmt.Println("fresh:", d.Steer(d.now, d.caller()).Cause)
	fmt.Println("sent 200 ms ago:", d.Steer(d.now, d.copyOf(1)).Cause)
	fmt.Println("sent 600 ms ago:", d.Steer(d.now, d.copyOf(2)).Cause)
	// Output:
	// fresh: placed
	// sent 200 ms ago: deferred
	// sent 600 ms ago: placed
}

// TestDeferred guards against fresh requests that wait behind late ones after an outage, and against copies that are held back for
// nothing: with a slot free, without a target, or in time (etxeberria-telar scale-2, second 42).
func TestDeferred(t *testing.T) {
	for _, c := range []struct {
		name   string
		target time.Duration
		busy   int
		copies uint32
		want   steerer.Cause
	}{
		{"a slot is free", 150 * time.Millisecond, 3, 1, steerer.Placed},
		{"one may wait for every second slot", 150 * time.Millisecond, 5, 1, steerer.Placed},
		{"more wait", 150 * time.Millisecond, 6, 1, steerer.Deferred},
		{"a fresh request", 150 * time.Millisecond, 20, 0, steerer.Placed},
		{"in time after 200 ms", 400 * time.Millisecond, 20, 1, steerer.Placed},
		{"late after 600 ms", 400 * time.Millisecond, 20, 2, steerer.Deferred},
		{"the last copy may wait", 150 * time.Millisecond, 11, 2, steerer.Placed},
		{"no target", 0, 20, 2, steerer.Placed},
	} {
		d := newDaemon(1, toOvensWithin(c.target), zone(2, 1, "ovenwatch", "souillac")...)
		d.busy(c.busy)
		NewWithT(t).Expect(d.Steer(d.now, d.copyOf(c.copies)).Cause).To(Equal(c.want), c.name)
	}
}

// TestDeferredRecovers guards against copies that stay held back once the requests before them are done.
func TestDeferredRecovers(t *testing.T) {
	g := NewWithT(t)
	d := newDaemon(1, toOvensWithin(150*time.Millisecond), zone(2, 1, "ovenwatch", "souillac")...)
	d.busy(10)
	p := d.copyOf(1)
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Deferred))
	d.wait(500 * time.Millisecond)
	p.AckNumber = 2
	g.Expect(d.Steer(d.now, p).Cause).To(Equal(steerer.Placed))
}

// BenchmarkDeferred measures the decision about a late copy in a zone of 96 backend servers.
func BenchmarkDeferred(b *testing.B) {
	d := newDaemon(1, toOvensWithin(150*time.Millisecond), zone(96, 1, "ovenwatch", "souillac")...)
	d.SetDaemons(60)
	d.busy(6)
	p := d.copyOf(1)
	b.ReportAllocs()
	for b.Loop() {
		d.Steer(d.now, p)
	}
}
