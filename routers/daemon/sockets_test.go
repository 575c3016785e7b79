package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/models/view"
	"github.com/bluebelldyke/bluebelldyke/modules/configurer"
	"github.com/bluebelldyke/bluebelldyke/modules/ring"
	"github.com/bluebelldyke/bluebelldyke/routers/transceiver"
)

// viewOf returns a view with services at the addresses.
func viewOf(addresses ...netip.AddrPort) *view.View {
	tree := &settings.Tree{Revision: 1}
	for i, address := range addresses {
		tree.Services = append(tree.Services, settings.Service{Name: string(rune('a' + i)), ID: uint64(i), Address: address})
	}
	return view.New(tree, nil)
}

// TestHeldServiceAddress guards against a service address that is never served because its predecessor still held it at the start.
func TestHeldServiceAddress(t *testing.T) {
	g := NewWithT(t)
	holder, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	address := holder.LocalAddr().(*net.UDPAddr).AddrPort()
	core, logs := observer.New(zap.InfoLevel)
	s := newSockets(zap.New(core), configurer.Entry{Bind: configurer.ServiceAddress}, ring.New[*transceiver.Batch](1))
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		s.close()
		cancel()
		g.Expect(group.Wait()).To(Succeed())
	})
	g.Expect(s.bind(ctx)).To(Succeed())
	g.Expect(s.start(ctx, group, ring.New[*transceiver.Batch](1))).To(Succeed())
	now := time.Now()
	s.update(now, viewOf(address))
	for range 50 {
		now = now.Add(openRetryInterval / 2)
		s.retryUnopened(now)
	}
	g.Expect(s.isServing()).To(BeFalse())
	g.Expect(logs.FilterMessageSnippet("not served").Len()).To(Equal(1))
	g.Expect(holder.Close()).To(Succeed())
	now = now.Add(openRetryInterval)
	s.retryUnopened(now)
	g.Expect(s.socketOf(address)).NotTo(BeNil())
	g.Expect(s.isServing()).To(BeTrue())

	other := netip.MustParseAddrPort("192.0.2.1:7000") // not an address of this VM
	s.update(now, viewOf(address, other))
	g.Expect(s.unopened).To(HaveKey(other))
	s.update(now, viewOf(address))
	g.Expect(s.unopened).To(BeEmpty())
}
