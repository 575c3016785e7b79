package forwarder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// TestHeldExecute guards against a not-run for each execute that waited in the socket of a paused gate although its
// deadline leaves time, and against one kept past its deadline.
func TestHeldExecute(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	executeOf := func(call byte, deadline time.Duration) framer.Datagram {
		d := framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{call}}
		b.send(ovenwatch, d)
		d.Kind, d.Token, d.Deadline = framer.KindExecute, append([]byte(nil), b.toCaller()[0].Token...), b.now.Add(deadline)
		return d
	}
	inTime, late := executeOf(3, 3*time.Second), executeOf(4, 1900*time.Millisecond)
	b.Hold(b.now.Add(time.Second))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{5}})
	g.Expect(b.out.List).To(BeEmpty(), "no reservation that could not be used")
	b.send(ovenwatch, inTime)
	g.Expect(b.out.List).To(BeEmpty())
	b.send(ovenwatch, late)
	g.Expect(b.toCaller()).To(HaveLen(1))
	g.Expect(b.toCaller()[0].Kind).To(Equal(framer.KindNotRun))

	b.Release()
	b.send(ovenwatch, inTime)
	packets, _ := b.toBackend()
	g.Expect(packets).To(HaveLen(1), "the caller's retransmission runs")
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbRun))
	b.Hold(b.now.Add(time.Second))
	b.send(ovenwatch, inTime)
	packets, _ = b.toBackend()
	g.Expect(packets).To(HaveLen(1), "what is known is repeated meanwhile")
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFetch))
}
