package caller_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

const service = "recipecard"

// receivedDatagram is one datagram that the fake service received.
type receivedDatagram struct {
	framer.Datagram
	from netip.AddrPort
}

// fakeService is a balancer stand-in on a loopback socket whose handler answers the received datagrams.
type fakeService struct {
	conn *net.UDPConn

	mu       sync.Mutex
	received []receivedDatagram
}

// newFakeService starts a fake service. The handler is called for each datagram, one at a time.
func newFakeService(t *testing.T, handler func(f *fakeService, d receivedDatagram)) *fakeService {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeService{conn: conn}
	var group errgroup.Group
	group.Go(func() error {
		buf := make([]byte, 2048)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return nil
			}
			d := receivedDatagram{from: from}
			if framer.Parse(slices.Clone(buf[:n]), &d.Datagram) != nil {
				continue
			}
			f.mu.Lock()
			f.received = append(f.received, d)
			f.mu.Unlock()
			handler(f, d)
		}
	})
	t.Cleanup(func() {
		_ = conn.Close()
		_ = group.Wait()
	})
	return f
}

func (f *fakeService) address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// reply sends r to the sender of d, with the service and call ID of d.
func (f *fakeService) reply(d receivedDatagram, r framer.Datagram) {
	r.ServiceID, r.CallID = framer.ServiceID(service), d.CallID
	f.sendTo(d.from, r)
}

func (f *fakeService) sendTo(to netip.AddrPort, r framer.Datagram) {
	b, err := framer.Append(nil, &r)
	if err != nil {
		panic(err)
	}
	_, _ = f.conn.WriteToUDPAddrPort(b, to)
}

// receivedKind returns the datagrams of a kind received so far.
func (f *fakeService) receivedKind(kind framer.Kind) []receivedDatagram {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []receivedDatagram
	for _, d := range f.received {
		if d.Kind == kind {
			list = append(list, d)
		}
	}
	return list
}

// newCaller returns a Caller of the fake service that retransmits after 20 ms. The function change may adjust its Config.
func newCaller(t *testing.T, f *fakeService, change func(c *caller.Config)) *caller.Caller {
	t.Helper()
	config := caller.Config{Service: service, Address: f.address(), RetransmitDelay: 20 * time.Millisecond}
	if change != nil {
		change(&config)
	}
	c, err := caller.New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { NewWithT(t).Expect(c.Close()).To(Succeed()) })
	return c
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func answerPart(i, count int, payload string) framer.Datagram {
	return framer.Datagram{
		Kind: framer.KindAnswer, Seq: uint64(i), PartCount: uint32(count), Token: []byte("answer"), Payload: []byte(payload),
	}
}
