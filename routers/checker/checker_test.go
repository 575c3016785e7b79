package checker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

var self = netip.MustParseAddrPort("10.0.0.1:7100")

type alone struct{}

func (alone) Checkers() []examiner.Member { return []examiner.Member{{Address: self, Incarnation: 1}} }

// TestAnswers guards against an answer that is taken for another state, against one of another service that passes, and
// against a backend server without a health address that is judged.
func TestAnswers(t *testing.T) {
	g := NewWithT(t)
	answers := []string{
		`{"service":"ovenwatch","state":"draining","incarnation":7,"running":2,"queued":1}`,
		`{"service":"recipecard","state":"live","incarnation":7}`, `{"service":`, "",
	}
	want := []packer.Health{packer.HealthDraining, packer.HealthFailed, packer.HealthFailed}
	var list []settings.BackendServer
	for i, body := range answers {
		s := settings.BackendServer{
			Service: "ovenwatch", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 7000),
			Tunables: &settings.Tunables{HealthInterval: 100 * time.Millisecond},
		}
		if body != "" {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
			defer server.Close()
			s.HealthAddress = netip.MustParseAddrPort(server.Listener.Addr().String())
		}
		list = append(list, s)
	}
	verdicts := ring.New[examiner.HealthUpdate](64)
	c, err := checker.New(checker.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 1, Members: alone{}, Random: rand.New(rand.NewPCG(1, 2)), HealthUpdates: verdicts,
	})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetBackendServers(list)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	var mu sync.Mutex
	seen := map[netip.AddrPort]examiner.HealthUpdate{}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case v := <-verdicts.Items():
				mu.Lock()
				seen[v.BackendServer] = v
				mu.Unlock()
			}
		}
	})
	g.Eventually(func() []packer.Health {
		mu.Lock()
		defer mu.Unlock()
		return []packer.Health{seen[list[0].Address].State, seen[list[1].Address].State, seen[list[2].Address].State}
	}).WithTimeout(10 * time.Second).Should(Equal(want))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(seen[list[0].Address].Incarnation).To(Equal(uint64(7)))
	g.Expect(seen).NotTo(HaveKey(list[3].Address))
	g.Expect(c.Counts().AssignedServers).To(Equal(3))
}
