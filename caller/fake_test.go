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

// received is one datagram that the fake service got.
type received struct {
	framer.Datagram
	from netip.AddrPort
}

// fakeService answers datagrams on a loopback socket with a script.
type fakeService struct {
	conn *net.UDPConn

	mu  sync.Mutex
	log []received
}

// newFake starts a fake service. The script runs for each datagram, one at a time.
func newFake(t *testing.T, script func(f *fakeService, d received)) *fakeService {
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
			d := received{from: from}
			if framer.Parse(slices.Clone(buf[:n]), &d.Datagram) != nil {
				continue
			}
			f.mu.Lock()
			f.log = append(f.log, d)
			f.mu.Unlock()
			script(f, d)
		}
	})
	t.Cleanup(func() {
		_ = conn.Close()
		_ = group.Wait()
	})
	return f
}

func (f *fakeService) address() netip.AddrPort { return f.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// reply sends a datagram of the call of d.
func (f *fakeService) reply(d received, r framer.Datagram) {
	r.ServiceID, r.CallID = framer.ServiceID(service), d.CallID
	f.raw(d.from, r)
}

func (f *fakeService) raw(to netip.AddrPort, r framer.Datagram) {
	b, err := framer.Append(nil, &r)
	if err != nil {
		panic(err)
	}
	_, _ = f.conn.WriteToUDPAddrPort(b, to)
}

// got returns the received datagrams of a kind.
func (f *fakeService) got(kind framer.Kind) []received {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []received
	for _, d := range f.log {
		if d.Kind == kind {
			list = append(list, d)
		}
	}
	return list
}

func newCaller(t *testing.T, f *fakeService, change func(c *caller.Config)) *caller.Caller {
	t.Helper()
	config := caller.Config{Service: service, Address: f.address(), Resend: 20 * time.Millisecond}
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

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func part(i, count int, payload string) framer.Datagram {
	return framer.Datagram{
		Kind: framer.KindAnswer, Seq: uint64(i), PartCount: uint32(count), Token: []byte("answer"), Payload: []byte(payload),
	}
}
