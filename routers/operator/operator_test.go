package operator_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/routers/operator"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fakeSource is a StatusSource with a fixed status and an AuditSource.
type fakeSource struct {
	status operator.Status
	*auditor.Auditor
}

func (f fakeSource) Status() operator.Status { return f.status }

func newFakeSource() fakeSource {
	f := fakeSource{Auditor: auditor.New(auditor.Config{})}
	f.status = operator.Status{
		Name: "b1", AvailabilityZone: "souillac", Incarnation: 1 << 60, State: operator.Serving, SettingsRevision: 3, VMsRevision: 4,
		EvacuatedPlaces: []string{"mahebourg"},
		Peers:           []operator.Peer{{Address: netip.MustParseAddrPort("10.0.0.2:7401"), AvailabilityZone: "mahebourg", State: "alive"}},
		BackendServers: []operator.BackendServer{{Address: netip.MustParseAddrPort("10.1.0.1:9000"), Service: "ovenwatch",
			AvailabilityZone: "souillac", State: "live", InFlight: 1, OpenFeeds: 2, Ejected: true}},
		EndedFlows: 5, Imbalance: 1.25, Counters: map[string]uint64{"opened": 7},
		Views:     []operator.View{{Name: "listing", Era: 2, Revision: 9, Version: 4, Age: 1500 * time.Millisecond, Source: "platform", IsReader: true}},
		Admission: []operator.Admission{{Service: "ovenwatch", Overloaded: true, Signal: 0.75, Delay: 90 * time.Millisecond, Level: 3.5, Waiting: 6}},
	}
	f.Record(auditor.Entry{Time: time.Unix(1, 2).UTC(), Document: "settings", Revision: 2, Source: "platform", Outcome: auditor.Applied})
	f.Record(auditor.Entry{Time: time.Unix(3, 4).UTC(), Document: "settings", Revision: 3, Source: "10.0.0.2:7401", Outcome: auditor.Refused, Cause: "lower"})
	return f
}

// startServer runs a server until the test ends, and returns a client that is connected to it.
func startServer(t *testing.T, f fakeSource) *operator.Client {
	g := NewWithT(t)
	server := operator.New(operator.Config{Bind: loopback, Status: f, Audit: f, Logger: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Run(ctx) })
	g.Eventually(server.Address).Should(Satisfy(netip.AddrPort.IsValid))
	client, err := operator.Dial(ctx, server.Address())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		cancel()
		g.Expect(group.Wait()).To(Succeed())
		_ = client.Close()
	})
	return client
}

// TestRoundTrip guards against fields that are lost or changed in the conversion to the wire structs and back.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	f := newFakeSource()
	client := startServer(t, f)
	g.Expect(client.Status(t.Context())).To(Equal(f.status))
	g.Expect(client.Audit(t.Context(), 10)).To(Equal(f.NewestEntries(10)))
	g.Expect(client.Audit(t.Context(), 1)).To(HaveLen(1))
}

// TestAuditLimit guards against queries that request a reply of unlimited size.
func TestAuditLimit(t *testing.T) {
	_, err := startServer(t, newFakeSource()).Audit(t.Context(), operator.MaxAuditEntries+1)
	NewWithT(t).Expect(operator.IsErrInvalidReply(err)).To(BeTrue())
}

// TestUnreachable guards against a client that waits forever or returns another error if the daemon does not answer or is not running.
func TestUnreachable(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", loopback.String())
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	client, err := operator.Dial(ctx, address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Status(ctx)
	g.Expect(operator.IsErrUnreachable(err)).To(BeTrue(), "a daemon that does not answer: %v", err)
	g.Expect(client.Close()).To(Succeed())
	g.Expect(listener.Close()).To(Succeed())
	_, err = operator.Dial(t.Context(), address)
	g.Expect(operator.IsErrUnreachable(err)).To(BeTrue())
}

func ExampleEncodeAudit() {
	b, err := operator.EncodeAudit([]auditor.Entry{{Time: time.Unix(0, 0), Document: "vms", Revision: 9, Source: "platform", Outcome: auditor.Applied}})
	fmt.Println(string(b), err)
	// Output:
	// [
	//   {
	//     "time": "1970-01-01T00:00:00Z",
	//     "document": "vms",
	//     "revision": 9,
	//     "source": "platform",
	//     "outcome": "applied"
	//   }
	// ] <nil>
}
