package transceiver

import (
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

// errClosed means that the socket is closed already.
var errClosed = eris.New("the socket is closed")

// Socket is a UDP socket. It is not registered with the runtime's network poller, which would wake up for each datagram although a
// Receiver waits for it already.
type Socket struct {
	serviceAddress netip.AddrPort
	batches        *ring.Ring[*Batch]
	receiver       *Receiver
	family         int

	// mu is read-locked during system calls, so that none uses the file descriptor after Close, when the number may belong to
	// another file.
	mu sync.RWMutex
	fd int // negative when closed
}

// Listen opens a socket bound to bind. The batches that it receives carry serviceAddress.
func Listen(bind, serviceAddress netip.AddrPort) (*Socket, error) {
	s := &Socket{serviceAddress: serviceAddress, family: familyOf(bind.Addr())}
	err := s.open(bind)
	if err != nil && bind.Addr() == netip.IPv4Unspecified() {
		s.family = unix.AF_INET // the VM has no IPv6
		err = s.open(bind)
	}
	if err != nil {
		return nil, eris.Wrapf(err, listenErrorFormat, bind)
	}
	return s, nil
}

// familyOf returns the address family for a socket bound to ip. For an unspecified address it is IPv6, whose sockets accept IPv4 as well.
func familyOf(ip netip.Addr) int {
	if ip.Is4() && !ip.IsUnspecified() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func (s *Socket) open(bind netip.AddrPort) error {
	fd, err := unix.Socket(s.family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	s.fd = fd
	if s.family == unix.AF_INET6 {
		err = unix.SetsockoptInt(fd, unix.IPPROTO_IPV6, unix.IPV6_V6ONLY, 0)
	}
	if err == nil {
		err = unix.Bind(fd, s.sockaddr(bind))
	}
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	// The kernel limits both sizes (net.core.rmem_max and wmem_max). A smaller queue only drops datagrams earlier.
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferSize)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferSize)
	return nil
}

func (s *Socket) sockaddr(a netip.AddrPort) unix.Sockaddr {
	if s.family == unix.AF_INET {
		return &unix.SockaddrInet4{Addr: a.Addr().Unmap().As4(), Port: int(a.Port())}
	}
	ip := a.Addr()
	if ip.IsUnspecified() {
		ip = netip.IPv6Unspecified()
	}
	return &unix.SockaddrInet6{Addr: ip.As16(), Port: int(a.Port())}
}

// Address returns the address that the socket is bound to, or the zero value when it is closed.
func (s *Socket) Address() netip.AddrPort {
	s.mu.RLock()
	defer s.mu.RUnlock()
	a, err := unix.Getsockname(s.fd)
	if err != nil {
		return netip.AddrPort{}
	}
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	default:
		return netip.AddrPort{}
	}
}

// Close closes the socket and removes it from its receiver.
func (s *Socket) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd < 0 {
		return errClosed
	}
	if s.receiver != nil {
		s.receiver.remove(s.fd)
	}
	err := unix.Close(s.fd)
	s.fd = -1
	return eris.Wrap(err, "close a socket")
}
