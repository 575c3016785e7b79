package transceiver

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

// runReceiver returns a receiver that runs until the test ends, which it must not outlive.
func runReceiver(t *testing.T) *Receiver {
	t.Helper()
	r, err := NewReceiver()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	running.Go(func() error { return r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := running.Wait(); err != nil {
			t.Errorf("the receiver ended with %v", err)
		}
	})
	return r
}

// listenAt opens a socket whose batches carry the local address and go into the ring.
func listenAt(t *testing.T, r *Receiver, local netip.AddrPort, into *ring.Ring[*Batch]) *Socket {
	t.Helper()
	s, err := Listen(netip.AddrPortFrom(loopback, 0), local)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	if err := r.Add(s, into); err != nil {
		t.Fatal(err)
	}
	return s
}

// expectBatch returns the local address and the first datagram of the next batch.
func expectBatch(t *testing.T, from *ring.Ring[*Batch]) (netip.AddrPort, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	b, err := from.Pop(ctx)
	if err != nil {
		t.Fatal("no batch: ", err)
	}
	defer b.Release()
	return b.ServiceAddress, string(b.Datagrams[0].Data)
}

func localOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// TestReceiverSurvivesClose guards against a socket that is closed while its receiver reads it: a read of another file
// with the same descriptor, a receiver that ends, or a socket that is opened later and never read.
func TestReceiverSurvivesClose(t *testing.T) {
	r, into, p, sender := runReceiver(t), ring.New[*Batch](4096), newPeer(t), NewSender()
	var flood errgroup.Group
	stop := make(chan struct{})
	targets := make(chan netip.AddrPort, 1)
	flood.Go(func() error {
		to := <-targets
		for {
			select {
			case <-stop:
				return nil
			case to = <-targets:
			default:
				_, _ = p.WriteToUDPAddrPort([]byte("flood"), to) // refused while the socket is closed
			}
		}
	})
	for i := range 300 {
		s := listenAt(t, r, localOf(i), into)
		targets <- s.Address()
		for local := (netip.AddrPort{}); local != localOf(i); {
			local, _ = expectBatch(t, into)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		sender.Add(s, p.Address(), []byte("late")) // a writer may still hold the socket
		sender.Flush()
	}
	close(stop)
	if err := flood.Wait(); err != nil {
		t.Fatal(err)
	}
	if len(r.sockets) != 0 || r.Add(listenClosed(t), into) == nil {
		t.Fatal("a closed socket stays in the receiver")
	}
}

func listenClosed(t *testing.T) *Socket {
	s := listenLoopback(t)
	_ = s.Close()
	return s
}

// TestReceiverServesAll guards against a busy socket that starves the others, among thousands of idle ones, and against
// batches under the address of another socket.
func TestReceiverServesAll(t *testing.T) {
	const idle = 3000
	// The ring is smaller than what is sent: a full one must not stop the receiver either.
	r, quiet, busyRing, p := runReceiver(t), ring.New[*Batch](idle), ring.New[*Batch](1), newPeer(t)
	sockets := make([]*Socket, idle)
	for i := range sockets {
		sockets[i] = listenAt(t, r, localOf(i), quiet)
	}
	busy := listenAt(t, r, localOf(idle), busyRing)
	ctx, cancel := context.WithCancel(context.Background())
	var flood errgroup.Group
	for range 2 {
		flood.Go(func() error {
			for ctx.Err() == nil {
				if _, err := p.WriteToUDPAddrPort([]byte("busy"), busy.Address()); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for i := 0; i < idle; i += 100 {
		if _, err := p.WriteToUDPAddrPort([]byte{byte(i)}, sockets[i].Address()); err != nil {
			t.Fatal(err)
		}
		if local, data := expectBatch(t, quiet); local != localOf(i) || data != string([]byte{byte(i)}) {
			t.Fatalf("datagram %d came as %q under %s", i, data, local)
		}
	}
	cancel()
	if err := flood.Wait(); err != nil {
		t.Fatal(err)
	}
	if busyRing.Drops() == 0 {
		t.Fatal("batches dropped at a full ring were not counted")
	}
}

// TestReceiverPassesOverErrors guards against an ICMP error on one socket that ends it, its receiver or other sockets.
func TestReceiverPassesOverErrors(t *testing.T) {
	r, into, p := runReceiver(t), ring.New[*Batch](16), newPeer(t)
	s, other := listenAt(t, r, localOf(1), into), listenAt(t, r, localOf(2), into)
	gone := listenClosedPort(t)
	// Only a connected socket is told of ICMP errors without further options.
	connect := func(to netip.AddrPort) {
		if err := unix.Connect(s.fd, s.sockaddr(to)); err != nil {
			t.Fatal(err)
		}
	}
	sender := NewSender()
	for i := range 5 {
		connect(gone)
		sender.Add(s, gone, []byte("refused"))
		sender.Flush()
		connect(p.Address())
		for k, to := range []*Socket{s, other} {
			if _, err := p.WriteToUDPAddrPort([]byte{byte(i)}, to.Address()); err != nil {
				t.Fatal(err)
			}
			if local, data := expectBatch(t, into); local != localOf(k+1) || data != string([]byte{byte(i)}) {
				t.Fatalf("round %d: %q under %s", i, data, local)
			}
		}
	}
}

func listenClosedPort(t *testing.T) netip.AddrPort {
	p := newPeer(t)
	_ = p.Close()
	return p.Address()
}

// TestSocketOfBothFamilies guards against an unspecified address that takes or reaches only one address family.
func TestSocketOfBothFamilies(t *testing.T) {
	s, err := Listen(netip.AddrPortFrom(netip.IPv4Unspecified(), 0), netip.AddrPort{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	into, sender := ring.New[*Batch](4), NewSender()
	if err := runReceiver(t).Add(s, into); err != nil {
		t.Fatal(err)
	}
	targets := []netip.Addr{loopback}
	if s.family == unix.AF_INET6 {
		targets = append(targets, netip.IPv6Loopback())
	}
	for _, ip := range targets {
		to := netip.AddrPortFrom(ip, s.Address().Port())
		sender.Add(s, to, []byte(ip.String()))
		sender.Flush()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		b, err := into.Pop(ctx)
		cancel()
		if err != nil || b.Datagrams[0].From != to || string(b.Datagrams[0].Data) != ip.String() {
			t.Fatalf("%s: %v %+v", ip, err, b)
		}
	}
}
