package binder

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// firstPause and lastPause bound the pause after a failed read, which doubles with each further one, so that a permanent error does not
	// keep a core busy.
	firstPause = time.Millisecond
	lastPause  = 100 * time.Millisecond
	// failuresToReopen is the number of failed reads in a row after which a socket is opened again.
	failuresToReopen = 16
)

// Socket is a UDP socket that is opened again when it cannot be read any more. It is safe for concurrent use, but only one goroutine may
// read.
type Socket struct {
	c        Config
	setUp    func(*net.UDPConn)
	address  net.Addr
	current  atomic.Pointer[net.UDPConn]
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	failures int // failed reads in a row
	reopened atomic.Uint64
}

// OpenSocket opens a UDP socket. It waits for the address like Bind. Unless it is nil, setUp is called with each new socket.
func OpenSocket(ctx context.Context, c Config, setUp func(*net.UDPConn)) (*Socket, error) {
	s := &Socket{c: c, setUp: setUp}
	conn, err := s.open(ctx)
	if err != nil {
		return nil, err
	}
	s.current.Store(conn)
	s.address = conn.LocalAddr()
	s.c.Bind = conn.LocalAddr().(*net.UDPAddr).AddrPort() // the same port again if the settings leave the choice to the kernel
	s.ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return s, nil
}

func (s *Socket) open(ctx context.Context) (*net.UDPConn, error) {
	conn, err := ListenUDP(ctx, s.c)
	if err == nil && s.setUp != nil {
		s.setUp(conn)
	}
	return conn, err
}

// LocalAddr returns the bound address.
func (s *Socket) LocalAddr() net.Addr { return s.address }

// Reopened returns how often the socket was opened again.
func (s *Socket) Reopened() uint64 { return s.reopened.Load() }

// ReadFromUDPAddrPort reads a datagram. After an error it pauses, and opens the socket again if the error persists. It returns net.ErrClosed
// only after Close.
func (s *Socket) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		conn := s.current.Load()
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if err == nil {
			s.failures = 0
			return n, from, nil
		}
		if s.ctx.Err() != nil {
			return 0, netip.AddrPort{}, net.ErrClosed
		}
		s.failures++
		s.pause()
		if !isUnusable(err) && s.failures%failuresToReopen != 0 {
			return n, from, err
		}
		if err := s.reopen(conn, err); err != nil {
			return 0, netip.AddrPort{}, err
		}
	}
}

// isUnusable reports whether no later read of the socket can succeed.
func isUnusable(err error) bool {
	return eris.Is(err, net.ErrClosed) || eris.Is(err, syscall.EBADF) || eris.Is(err, syscall.ENOTSOCK)
}

func (s *Socket) pause() {
	select {
	case <-s.ctx.Done():
	case <-time.After(min(firstPause<<min(s.failures-1, 10), lastPause)):
	}
}

// reopen replaces the socket, whose reads fail with cause.
func (s *Socket) reopen(old *net.UDPConn, cause error) error {
	s.c.Logger.Warn("socket cannot be read: opening it again", zap.Stringer("address", s.c.Bind), zap.String("key", s.c.Key), zap.Error(cause))
	_ = old.Close() // it may be closed already
	conn, err := s.open(s.ctx)
	if s.ctx.Err() != nil {
		if err == nil {
			_ = conn.Close()
		}
		return net.ErrClosed
	}
	if err != nil {
		return err
	}
	s.current.Store(conn)
	s.reopened.Add(1)
	if s.ctx.Err() != nil { // Close may have closed the old socket only
		_ = conn.Close()
	}
	return nil
}

// WriteToUDPAddrPort writes a datagram.
func (s *Socket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	return s.current.Load().WriteToUDPAddrPort(b, to)
}

// Close closes the socket. Further calls have no effect.
func (s *Socket) Close() error {
	s.cancel()
	_ = s.current.Load().Close() // it may be closed already
	return nil
}
