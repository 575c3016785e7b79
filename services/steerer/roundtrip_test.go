package steerer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRoundTrip guards against a wait that does not follow the handshakes, or that a pause of the process makes long.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	var r roundTrip
	g.Expect(r.minRetransmissions()).To(Equal(2), "nothing is known")
	g.Expect(r.openingTimeout()).To(Equal(openingTimeoutMin))
	for range 50 {
		r.addSample(4 * time.Millisecond)
	}
	g.Expect(r.minRetransmissions()).To(Equal(1))
	g.Expect(r.openingTimeout()).To(Equal(openingTimeoutMin))
	r.addSample(3500 * time.Millisecond)
	g.Expect(r.minRetransmissions()).To(Equal(1), "a pause")
	g.Expect(r.openingTimeout()).To(Equal(openingTimeoutMin))
	for i := range 50 {
		r.addSample(time.Duration(90+i%2*20) * time.Millisecond)
	}
	g.Expect(r.minRetransmissions()).To(Equal(2))
	g.Expect(r.openingTimeout()).To(And(BeNumerically(">", 110*time.Millisecond), BeNumerically("<", openingTimeoutMax)))
	for range 50 {
		r.addSample(180 * time.Millisecond)
	}
	g.Expect(r.openingTimeout()).To(BeNumerically("<=", openingTimeoutMax))
}
