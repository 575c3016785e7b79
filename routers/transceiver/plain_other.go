//go:build !linux

package transceiver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

// Socket is a UDP socket that is read and written one datagram at a time.
type Socket struct {
	*net.UDPConn
	serviceAddress netip.AddrPort
}

// Listen opens a socket bound to bind. The batches that it receives carry serviceAddress.
func Listen(bind, serviceAddress netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(bind))
	if err != nil {
		return nil, eris.Wrapf(err, listenErrorFormat, bind)
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	return &Socket{UDPConn: conn, serviceAddress: serviceAddress}, nil
}

// Address returns the address that the socket is bound to.
func (s *Socket) Address() netip.AddrPort { return s.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receiver reads each socket in a goroutine of its own.
type Receiver struct{ readers errgroup.Group }

// NewReceiver returns a Receiver without sockets.
func NewReceiver() (*Receiver, error) { return &Receiver{}, nil }

// Add starts to read the socket into the ring, until the socket is closed. If the ring is full, it drops a datagram and counts it.
func (r *Receiver) Add(s *Socket, batches *ring.Ring[*Batch]) error {
	r.readers.Go(func() error {
		data := make([]byte, bufferSize)
		for {
			n, from, err := s.ReadFromUDPAddrPort(data)
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				time.Sleep(time.Millisecond)
				continue
			}
			b := newBatch(s.serviceAddress, n)
			b.add(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), data[:n])
			if !batches.TryPush(b) {
				b.Release()
			}
		}
	})
	return nil
}

// Run waits until ctx ends and all sockets are closed.
func (r *Receiver) Run(ctx context.Context) error {
	<-ctx.Done()
	return r.readers.Wait()
}

// Sender writes datagrams one at a time.
type Sender struct{}

// NewSender returns a Sender.
func NewSender() *Sender { return &Sender{} }

// Add writes one datagram. It skips one that the kernel rejects, as UDP guarantees no delivery.
func (s *Sender) Add(socket *Socket, to netip.AddrPort, data []byte) {
	_, _ = socket.WriteToUDPAddrPort(data, to)
}

// Flush does nothing, because Add does not queue datagrams.
func (s *Sender) Flush() {}
