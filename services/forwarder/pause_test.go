package forwarder_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// TestExecuteDuringPause guards against the outcome not-run for each execute datagram that waited in the socket while the
// process of the gate was suspended, although its deadline leaves time for a retransmission. It also guards against dropping
// an execute datagram whose deadline does not leave that time.
func TestExecuteDuringPause(t *testing.T) {
	g := NewWithT(t)
	b := newBalancer(t, self, standardView(t, 1))
	newExecute := func(id byte, deadline time.Duration) framer.Datagram {
		d := framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{id}}
		b.send(ovenwatch, d)
		d.Kind, d.Token, d.Deadline = framer.KindExecute, append([]byte(nil), b.sentToCaller()[0].Token...), b.now.Add(deadline)
		return d
	}
	inTime, tooLate := newExecute(3, 3*time.Second), newExecute(4, 1900*time.Millisecond)
	b.PausePlacement(b.now.Add(time.Second))
	b.send(ovenwatch, framer.Datagram{Kind: framer.KindReserve, ServiceID: framer.ServiceID("ovenwatch"), CallID: [16]byte{5}})
	g.Expect(b.out.List).To(BeEmpty(), "no reservation is granted that could not be used")
	b.send(ovenwatch, inTime)
	g.Expect(b.out.List).To(BeEmpty())
	b.send(ovenwatch, tooLate)
	g.Expect(b.sentToCaller()).To(HaveLen(1))
	g.Expect(b.sentToCaller()[0].Kind).To(Equal(framer.KindNotRun))

	b.ResumePlacement()
	b.send(ovenwatch, inTime)
	packets, _ := b.sentToBackend()
	g.Expect(packets).To(HaveLen(1), "the caller's retransmission runs")
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbRun))
	b.PausePlacement(b.now.Add(time.Second))
	b.send(ovenwatch, inTime)
	packets, _ = b.sentToBackend()
	g.Expect(packets).To(HaveLen(1), "the outcome of a used reservation is fetched during a pause")
	g.Expect(packets[0].Verb).To(Equal(encapsulator.VerbFetch))
}
