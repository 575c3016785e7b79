package daemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/checker"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
	"github.com/bluebelldyke/bluebelldyke/services/forwarder"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
	"github.com/bluebelldyke/bluebelldyke/services/scheduler"
)

const twoServices = `
seal-with = 1
token-keys = [{ id = 1, secret = "141b222930373e454c535a61686f767d848b9299a0a7aeb5bcc3cad1d8dfe6ed" }]
services.ovenwatch.address = "127.0.0.1:7001"
services.recipecard.address = "127.0.0.1:7002"
[places.souillac.services.ovenwatch.groups.main]
backend-servers = [{ name = "a", address = "127.2.1.1:9000" }]
[places.souillac.services.recipecard.groups.main]
backend-servers = [{ name = "b", address = "127.2.1.2:9000" }]
`

// oddPlacer panics at the placement of one service, and with badTicks at each tick with a request that is due.
type oddPlacer struct {
	*scheduler.Scheduler
	badService string
	badTicks   bool
}

func (p *oddPlacer) Place(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	if w.Service == p.badService {
		panic("placement of " + w.Service)
	}
	return p.Scheduler.Place(now, w)
}

func (p *oddPlacer) Retry(now time.Time, w scheduler.Work) (netip.AddrPort, error) {
	if p.badTicks {
		panic("retry")
	}
	return p.Scheduler.Retry(now, w)
}

// fakePlatform implements what a decider needs of the relayer and of the peers.
type fakePlatform struct{}

func (fakePlatform) Refresh(uint32, uint64)                               {}
func (fakePlatform) ConfirmedWithin(time.Duration) bool                   { return true }
func (fakePlatform) PossiblyStale() bool                                  { return false }
func (fakePlatform) SetCandidates(*fleet.List)                            {}
func (fakePlatform) ForwardToGate(netip.AddrPort, peers.GateForward) bool { return true }
func (fakePlatform) GateForwards() <-chan peers.GateForward               { return nil }

// newTestDecider returns a decider with the view of twoServices, without sockets.
func newTestDecider(t *testing.T, placer *oddPlacer) *decider {
	g := NewWithT(t)
	tree, err := settings.Parse("settings", 1, []byte(twoServices))
	g.Expect(err).NotTo(HaveOccurred())
	random := rand.New(rand.NewPCG(1, 2))
	placer.Scheduler = scheduler.New(scheduler.Config{AvailabilityZone: "souillac", Random: random})
	contained, err := recoverer.New(recoverer.Config{Logger: zap.NewNop(), Meter: noop.Meter{}})
	g.Expect(err).NotTo(HaveOccurred())
	checked, err := checker.New(checker.Config{Random: random})
	g.Expect(err).NotTo(HaveOccurred())
	d := &decider{
		logger: zap.NewNop(), scheduler: placer.Scheduler, rings: newRings(), recoverer: contained, checker: checked, web: &webServer{},
		refresher: fakePlatform{}, gateForwarder: fakePlatform{}, candidates: fakePlatform{},
		forwarder: forwarder.New(forwarder.Config{
			AvailabilityZone: "souillac", Random: random, Placer: placer, Gate: gatekeeper.New(gatekeeper.Config{Random: random}),
		}),
	}
	d.sockets = newSockets(zap.NewNop(), configurer.Entry{}, ring.New[*transceiver.Batch](1))
	d.writers = newWriters(d.sockets)
	g.Expect(d.forwarder.SetView(time.Now(), view.New(tree, nil))).To(Succeed())
	return d
}

// request pushes a request of a service to the decider's ring.
func request(d *decider, service, address string, id byte) {
	data, err := framer.Append(nil, &framer.Datagram{Kind: framer.KindRequest, ServiceID: framer.ServiceID(service), CallID: [16]byte{id}})
	if err != nil {
		panic(err)
	}
	d.entry.TryPush(&transceiver.Batch{ServiceAddress: netip.MustParseAddrPort(address), Datagrams: []transceiver.Datagram{
		{From: netip.MustParseAddrPort("127.3.1.1:4000"), Data: data},
	}})
}

// TestPanicOfDatagram guards against a datagram, a query or settings whose failure ends the daemon or stops the handling of others.
func TestPanicOfDatagram(t *testing.T) {
	g := NewWithT(t)
	d := newTestDecider(t, &oddPlacer{badService: "ovenwatch"})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return d.Run(ctx) })
	for id := range byte(20) {
		request(d, "ovenwatch", "127.0.0.1:7001", id)
		request(d, "recipecard", "127.0.0.1:7002", id)
	}
	g.Eventually(func() int64 { return d.recoverer.Panics("caller-datagram") }).Should(Equal(int64(20)))
	g.Eventually(func() int {
		n, _ := runQuery(ctx, d, func(time.Time) int { return d.forwarder.PendingCount() })
		return n
	}).Should(BeNumerically(">=", 1))
	queryCtx, endQuery := context.WithTimeout(ctx, 100*time.Millisecond)
	defer endQuery()
	_, err := runQuery(queryCtx, d, func(time.Time) bool { panic("query") })
	g.Expect(err).To(MatchError(context.DeadlineExceeded))
	_, err = runQuery(ctx, d, func(time.Time) bool { return true })
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Expect(group.Wait()).To(Succeed())
}

// TestFailingTicks guards against a daemon that goes on without handling what is due, after a failure that each tick meets again.
func TestFailingTicks(t *testing.T) {
	g := NewWithT(t)
	d := newTestDecider(t, &oddPlacer{badTicks: true})
	request(d, "recipecard", "127.0.0.1:7002", 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	g.Expect(d.Run(ctx)).To(MatchError(ContainSubstring("ticks failed")))
}
