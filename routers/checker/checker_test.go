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

// single is a membership view of a daemon without other members.
type single struct{}

func (single) Checkers() []examiner.Member { return []examiner.Member{{Address: self, Incarnation: 1}} }

// TestHealthResponses guards against a response that is mapped to the wrong state, a response of another service that counts as
// healthy, and checks of a backend server without a health address.
func TestHealthResponses(t *testing.T) {
	g := NewWithT(t)
	responses := []string{
		`{"service":"ovenwatch","state":"draining","incarnation":7,"running":2,"queued":1}`,
		`{"service":"recipecard","state":"live","incarnation":7}`, `{"service":`, "",
	}
	want := []packer.Health{packer.HealthDraining, packer.HealthFailed, packer.HealthFailed}
	var list []settings.BackendServer
	for i, body := range responses {
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
	updates := ring.New[examiner.HealthUpdate](64)
	c, err := checker.New(checker.Config{
		Self: self, AvailabilityZone: "souillac", Incarnation: 1, Members: single{}, Random: rand.New(rand.NewPCG(1, 2)), HealthUpdates: updates,
	})
	g.Expect(err).NotTo(HaveOccurred())
	c.SetBackendServers(list)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return c.Run(ctx) })
	var mu sync.Mutex
	latest := map[netip.AddrPort]examiner.HealthUpdate{}
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case u := <-updates.Items():
				mu.Lock()
				latest[u.BackendServer] = u
				mu.Unlock()
			}
		}
	})
	g.Eventually(func() []packer.Health {
		mu.Lock()
		defer mu.Unlock()
		return []packer.Health{latest[list[0].Address].State, latest[list[1].Address].State, latest[list[2].Address].State}
	}).WithTimeout(10 * time.Second).Should(Equal(want))
	cancel()
	g.Expect(group.Wait()).To(Succeed())
	g.Expect(latest[list[0].Address].Incarnation).To(Equal(uint64(7)))
	g.Expect(latest).NotTo(HaveKey(list[3].Address))
	g.Expect(c.Counts().AssignedServers).To(Equal(3))
}
