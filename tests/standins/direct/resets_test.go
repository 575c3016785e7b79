package direct

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// TestAcceptReset guards against callers that accept a reset outside of their window, which would hide it.
func TestAcceptReset(t *testing.T) {
	g := NewWithT(t)
	const ack = 100_000
	var reported []Reset
	c := &Callers{config: CallersConfig{OnReset: func(r Reset) { reported = append(reported, r) }}}
	sender := netip.MustParseAddr("127.11.0.1")
	for _, test := range []struct {
		sequence uint32
		accepted bool
	}{
		{ack, true}, {ack - 76_800, true}, {ack - 76_801, false}, {ack + 76_800, true}, {ack + 76_801, false}, {0, false},
	} {
		r := &receivedPacket{packet: editor.Packet{SequenceNumber: test.sequence}, sender: sender}
		g.Expect(c.acceptReset(&editor.Packet{AckNumber: ack}, r)).To(Equal(test.accepted), "sequence number %d", test.sequence)
	}
	g.Expect(reported).To(HaveLen(6))
	g.Expect(reported[2]).To(Equal(Reset{Sender: sender, Distance: 76_801}))
}
