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
	g.Expect(r.proof()).To(Equal(2), "nothing is known")
	g.Expect(r.late()).To(Equal(openWaitMin))
	for range 50 {
		r.add(4 * time.Millisecond)
	}
	g.Expect(r.proof()).To(Equal(1))
	g.Expect(r.late()).To(Equal(openWaitMin))
	r.add(3500 * time.Millisecond)
	g.Expect(r.proof()).To(Equal(1), "a pause")
	g.Expect(r.late()).To(Equal(openWaitMin))
	for i := range 50 {
		r.add(time.Duration(90+i%2*20) * time.Millisecond)
	}
	g.Expect(r.proof()).To(Equal(2))
	g.Expect(r.late()).To(And(BeNumerically(">", 110*time.Millisecond), BeNumerically("<", openWaitMax)))
	for range 50 {
		r.add(180 * time.Millisecond)
	}
	g.Expect(r.late()).To(BeNumerically("<=", openWaitMax))
}
