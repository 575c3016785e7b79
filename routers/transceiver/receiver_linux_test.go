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

// runReceiver returns a receiver that runs until the test ends. The cleanup waits for it.
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
			t.Errorf("Run returned %v", err)
		}
	})
	return r
}

// newReceivedSocket opens a socket whose batches carry the service address and go into the ring.
func newReceivedSocket(t *testing.T, r *Receiver, serviceAddress netip.AddrPort, batches *ring.Ring[*Batch]) *Socket {
	t.Helper()
	s, err := Listen(netip.AddrPortFrom(loopback, 0), serviceAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	if err := r.Add(s, batches); err != nil {
		t.Fatal(err)
	}
	return s
}

// popBatch returns the service address and the first datagram of the next batch.
func popBatch(t *testing.T, from *ring.Ring[*Batch]) (netip.AddrPort, string) {
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

func serviceAddressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// TestReceiverSurvivesClose closes sockets while the receiver reads them. It guards against a read from another file that got the same
// file descriptor, a receiver that stops, and a socket that is opened later and never read.
func TestReceiverSurvivesClose(t *testing.T) {
	r, batches, p, sender := runReceiver(t), ring.New[*Batch](4096), newUDPPeer(t), NewSender()
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
				_, _ = p.WriteToUDPAddrPort([]byte("flood"), to) // fails while the socket is closed
			}
		}
	})
	for i := range 300 {
		s := newReceivedSocket(t, r, serviceAddressOf(i), batches)
		targets <- s.Address()
		for serviceAddress := (netip.AddrPort{}); serviceAddress != serviceAddressOf(i); {
			serviceAddress, _ = popBatch(t, batches)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		sender.Add(s, p.Address(), []byte("late")) // a writer may still use the socket
		sender.Flush()
	}
	close(stop)
	if err := flood.Wait(); err != nil {
		t.Fatal(err)
	}
	if len(r.sockets) != 0 || r.Add(newClosedSocket(t), batches) == nil {
		t.Fatal("a closed socket is still registered, or was added")
	}
}

func newClosedSocket(t *testing.T) *Socket {
	s := newLoopbackSocket(t)
	_ = s.Close()
	return s
}

// TestReceiverReadsAllSockets guards against a busy socket that starves thousands of others, and against batches with the service
// address of another socket.
func TestReceiverReadsAllSockets(t *testing.T) {
	const idleCount = 3000
	// The ring of the busy socket is full most of the time, which must not stop the receiver either.
	r, idleBatches, busyBatches, p := runReceiver(t), ring.New[*Batch](idleCount), ring.New[*Batch](1), newUDPPeer(t)
	sockets := make([]*Socket, idleCount)
	for i := range sockets {
		sockets[i] = newReceivedSocket(t, r, serviceAddressOf(i), idleBatches)
	}
	busy := newReceivedSocket(t, r, serviceAddressOf(idleCount), busyBatches)
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
	for i := 0; i < idleCount; i += 100 {
		if _, err := p.WriteToUDPAddrPort([]byte{byte(i)}, sockets[i].Address()); err != nil {
			t.Fatal(err)
		}
		if serviceAddress, data := popBatch(t, idleBatches); serviceAddress != serviceAddressOf(i) || data != string([]byte{byte(i)}) {
			t.Fatalf("datagram %d: received %q with service address %s", i, data, serviceAddress)
		}
	}
	cancel()
	if err := flood.Wait(); err != nil {
		t.Fatal(err)
	}
	if busyBatches.Dropped() == 0 {
		t.Fatal("batches dropped at a full ring were not counted")
	}
}

// TestReceiverContinuesAfterErrors guards against an ICMP error on one socket that stops its receiver or reading of any socket.
func TestReceiverContinuesAfterErrors(t *testing.T) {
	r, batches, p := runReceiver(t), ring.New[*Batch](16), newUDPPeer(t)
	s, other := newReceivedSocket(t, r, serviceAddressOf(1), batches), newReceivedSocket(t, r, serviceAddressOf(2), batches)
	unused := unusedAddress(t)
	// Without further options, the kernel reports ICMP errors only on a connected socket.
	connect := func(to netip.AddrPort) {
		if err := unix.Connect(s.fd, s.sockaddr(to)); err != nil {
			t.Fatal(err)
		}
	}
	sender := NewSender()
	for i := range 5 {
		connect(unused)
		sender.Add(s, unused, []byte("refused"))
		sender.Flush()
		connect(p.Address())
		for k, to := range []*Socket{s, other} {
			if _, err := p.WriteToUDPAddrPort([]byte{byte(i)}, to.Address()); err != nil {
				t.Fatal(err)
			}
			if serviceAddress, data := popBatch(t, batches); serviceAddress != serviceAddressOf(k+1) || data != string([]byte{byte(i)}) {
				t.Fatalf("round %d: received %q with service address %s", i, data, serviceAddress)
			}
		}
	}
}

func unusedAddress(t *testing.T) netip.AddrPort {
	p := newUDPPeer(t)
	_ = p.Close()
	return p.Address()
}

// TestUnspecifiedAddressServesBothFamilies guards against a socket on the unspecified address that receives from or sends to only one
// address family.
func TestUnspecifiedAddressServesBothFamilies(t *testing.T) {
	s, err := Listen(netip.AddrPortFrom(netip.IPv4Unspecified(), 0), netip.AddrPort{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	batches, sender := ring.New[*Batch](4), NewSender()
	if err := runReceiver(t).Add(s, batches); err != nil {
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
		b, err := batches.Pop(ctx)
		cancel()
		if err != nil || b.Datagrams[0].From != to || string(b.Datagrams[0].Data) != ip.String() {
			t.Fatalf("%s: %v %+v", ip, err, b)
		}
	}
}
