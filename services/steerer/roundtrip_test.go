package steerer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRoundTrip guards against a timeout that does not follow the round-trip times, or that a pause of the process prolongs.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	var r roundTrip
	g.Expect(r.minRetransmissions()).To(Equal(2), "no sample yet")
	g.Expect(r.openingTimeout()).To(Equal(openingTimeoutMin))
	for range 50 {
		r.addSample(4 * time.Millisecond)
	}
	g.Expect(r.minRetransmissions()).To(Equal(1))
	g.Expect(r.openingTimeout()).To(Equal(openingTimeoutMin))
	r.addSample(3500 * time.Millisecond)
	g.Expect(r.minRetransmissions()).To(Equal(1), "a sample with a pause is ignored")
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
