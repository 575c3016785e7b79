package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
)

// TestStaleOutputIsDropped guards against datagrams that were decided before the process was paused and are sent when it resumes.
func TestStaleOutputIsDropped(t *testing.T) {
	g := NewWithT(t)
	w := newWriters(nil)
	r := ring.New[*output](2)
	for _, age := range []time.Duration{2 * maxOutputAge, 0} {
		o := newOutput()
		o.queuedAt = time.Now().Add(-age)
		o.pendingWriters.Store(1)
		r.TryPush(o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sent := 0
	g.Expect(w.sendOutputs(ctx, r, func(*transceiver.Sender, *output) {
		sent++
		cancel()
	})).To(Succeed())
	g.Expect(sent).To(Equal(1))
	g.Expect(w.staleDrops.Load()).To(Equal(uint64(1)))
}
