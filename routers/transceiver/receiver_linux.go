package transceiver

import (
	"context"
	"errors"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/bluebelldyke/bluebelldyke/modules/ring"
)

const (
	// maxEvents is the maximum number of ready sockets that one call of epoll_wait returns.
	maxEvents = 64
	// errorDelay is how long a receiver waits after reads of all ready sockets failed, so that a persistent error does not keep a
	// core busy.
	errorDelay = time.Millisecond
)

// Receiver waits on many sockets with epoll and reads those that have datagrams in turn, at most one batch from each. All its
// sockets share its read buffers. A socket belongs to one receiver only, which preserves the order of its datagrams.
type Receiver struct {
	epollFile *os.File
	epollConn syscall.RawConn

	mu      sync.RWMutex
	sockets map[int32]*Socket // by file descriptor
}

// NewReceiver returns a Receiver without sockets. Its epoll instance is closed when the context of Run ends.
func NewReceiver() (*Receiver, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, eris.Wrap(err, "create an epoll instance")
	}
	// The runtime's network poller supports only non-blocking files. With it, a waiting receiver occupies no thread.
	if err := unix.SetNonblock(fd, true); err != nil {
		return nil, errors.Join(eris.Wrap(err, "set up an epoll instance"), unix.Close(fd))
	}
	file := os.NewFile(uintptr(fd), "epoll")
	conn, err := file.SyscallConn()
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "set up an epoll instance"), file.Close())
	}
	return &Receiver{epollFile: file, epollConn: conn, sockets: map[int32]*Socket{}}, nil
}

// Add starts to read the socket into the ring. If the ring is full, it drops a batch and counts it. A socket can be added only
// once.
func (r *Receiver) Add(s *Socket, batches *ring.Ring[*Batch]) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd < 0 {
		return errClosed
	}
	s.batches, s.receiver = batches, r
	r.mu.Lock()
	r.sockets[int32(s.fd)] = s
	r.mu.Unlock()
	var addErr error
	err := r.epollConn.Control(func(epollFD uintptr) {
		event := unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(s.fd)}
		addErr = unix.EpollCtl(int(epollFD), unix.EPOLL_CTL_ADD, s.fd, &event)
	})
	if err := errors.Join(err, addErr); err != nil {
		s.receiver = nil
		r.remove(s.fd)
		return eris.Wrap(err, "add a socket to an epoll instance")
	}
	return nil
}

// remove deletes a socket whose file descriptor is about to be closed. Closing it removes it from the epoll instance.
func (r *Receiver) remove(fd int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sockets, int32(fd))
}

// Run reads the sockets until ctx ends.
func (r *Receiver) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.epollFile.Close() })
	defer stop()
	buffers := newReadBuffers()
	events := make([]unix.EpollEvent, maxEvents)
	for ctx.Err() == nil {
		n, err := r.waitReady(events)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "wait for datagrams")
		}
		failed := 0
		for i := range events[:n] {
			r.mu.RLock()
			s := r.sockets[events[i].Fd]
			r.mu.RUnlock()
			if s != nil && s.receive(buffers) != nil {
				failed++
			}
		}
		if failed == n {
			time.Sleep(errorDelay)
		}
	}
	return nil
}

// waitReady waits until sockets have datagrams or errors and returns their number. The kernel returns ready sockets round-robin, so
// that a busy socket delays another one by no more than one batch of each ready socket.
func (r *Receiver) waitReady(events []unix.EpollEvent) (n int, err error) {
	pollErr := r.epollConn.Read(func(epollFD uintptr) bool {
		for {
			n, err = unix.EpollWait(int(epollFD), events, 0)
			if !errors.Is(err, unix.EINTR) {
				return n != 0 || err != nil
			}
		}
	})
	return n, errors.Join(pollErr, err)
}

// receive reads one batch of datagrams into the socket's ring. It can return an error that an earlier send caused, such as ICMP port
// unreachable; the socket remains usable.
func (s *Socket) receive(buffers *readBuffers) error {
	s.mu.RLock()
	n, err := buffers.read(s.fd)
	s.mu.RUnlock()
	if err != nil {
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return nil
		}
		return err
	}
	if b := buffers.batch(s.serviceAddress, n); !s.batches.TryPush(b) {
		b.Release()
	}
	return nil
}
