package checker_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

// oddMembers is a membership view whose first queries panic.
type oddMembers struct{ calls atomic.Int32 }

func (m *oddMembers) Checkers() []examiner.Member {
	if m.calls.Add(1) <= 2 {
		panic("members")
	}
	return single{}.Checkers()
}

// TestOddResponses guards against health responses, and a failure of the checker itself, that end the daemon or its checks.
func TestOddResponses(t *testing.T) {
	g := NewWithT(t)
	responses := []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X", strings.Repeat("x", 8<<20)) },
		func(w http.ResponseWriter, _ *http.Request) {
			for range 1 << 10 {
				if _, err := w.Write(bytes.Repeat([]byte("["), 64<<10)); err != nil {
					return
				}
			}
		},
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"service":"ovenwatch","running":1e300,"incarnation":-1}`))
		},
		func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"service":"ovenwatch","state":"draining","running":-9223372036854775808,"queued":9223372036854775807}`))
		},
	}
	var list []settings.BackendServer
	for i, response := range responses {
		server := httptest.NewServer(response)
		defer server.Close()
		list = append(list, settings.BackendServer{
			Service: "ovenwatch", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000),
			HealthAddress: netip.MustParseAddrPort(server.Listener.Addr().String()), Tunables: &settings.Tunables{HealthInterval: 100 * time.Millisecond},
		})
	}
	contained, err := recoverer.New(recoverer.Config{Logger: zap.NewNop(), Meter: noop.Meter{}})
	g.Expect(err).NotTo(HaveOccurred())
	updates := ring.New[examiner.HealthUpdate](1024)
	c, err := checker.New(checker.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 1, Members: &oddMembers{}, Random: rand.New(rand.NewPCG(1, 2)),
		HealthUpdates: updates, Recoverer: contained,
	})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetBackendServers(list)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	states := map[netip.AddrPort]packer.Health{}
	g.Eventually(func() map[netip.AddrPort]packer.Health {
		for u, ok := updates.TryPop(); ok; u, ok = updates.TryPop() {
			states[u.BackendServer] = u.State
		}
		return states
	}).WithTimeout(15 * time.Second).Should(Equal(map[netip.AddrPort]packer.Health{
		list[0].Address: packer.HealthFailed, list[1].Address: packer.HealthFailed, list[2].Address: packer.HealthFailed, list[3].Address: packer.HealthFailed,
		list[4].Address: packer.HealthDraining,
	}))
	g.Expect(contained.Panics("checkers")).To(Equal(int64(2)))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}
