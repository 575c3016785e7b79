package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// silencePoll is how often a silent connection looks whether it is still to be silent.
const silencePoll = 10 * time.Millisecond

// StreamFault is what happens to connections; the zero value is none.
type StreamFault struct {
	Delay time.Duration // of each piece, both ways
	// HoldToServer holds what the caller sends, and HoldToClient what it is answered, on all connections; both are a cut.
	HoldToServer, HoldToClient bool
}

// StreamLink carries connections to a process.
type StreamLink struct {
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	fault    StreamFault
	pairs    map[*pair]bool // whether the connection is silent for good
}

// pair is the two ends of a connection.
type pair struct{ near, far *net.TCPConn }

// NewStreamLink binds the address that stands for the one of the process.
func NewStreamLink(bind, to netip.AddrPort) (*StreamLink, error) {
	l, err := net.Listen("tcp4", bind.String())
	if err != nil {
		return nil, eris.Wrap(err, "address of a link")
	}
	return &StreamLink{listener: l, to: to, pairs: map[*pair]bool{}}, nil
}

// SetFault replaces the fault of all connections.
func (s *StreamLink) SetFault(f StreamFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// StallOpenConnections makes the open connections silent for good. New ones work.
func (s *StreamLink) StallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		s.pairs[p] = true
	}
}

// ResetOpenConnections resets the open connections.
func (s *StreamLink) ResetOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		_ = p.near.SetLinger(0)
		p.close()
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// Run carries connections until ctx ends.
func (s *StreamLink) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = s.listener.Close()
		s.ResetOpenConnections()
	})
	defer stop()
	var group errgroup.Group
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error { s.carry(ctx, near.(*net.TCPConn)); return nil })
	}
}

func (s *StreamLink) carry(ctx context.Context, near *net.TCPConn) {
	far, err := net.Dial("tcp4", s.to.String())
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near, far.(*net.TCPConn)}
	s.mu.Lock()
	s.pairs[p] = false
	s.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		s.copy(ctx, p, p.far, p.near, func(f *StreamFault) bool { return f.HoldToServer })
		return nil
	})
	group.Go(func() error {
		s.copy(ctx, p, p.near, p.far, func(f *StreamFault) bool { return f.HoldToClient })
		return nil
	})
	_ = group.Wait() // copy returns no error
	s.mu.Lock()
	delete(s.pairs, p)
	s.mu.Unlock()
}

// copy carries one way until the connection ends.
func (s *StreamLink) copy(ctx context.Context, p *pair, to, from *net.TCPConn, held func(*StreamFault) bool) {
	defer p.close()
	buffer := make([]byte, maxDatagram)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		s.mu.Lock()
		delay := s.fault.Delay
		s.mu.Unlock()
		time.Sleep(delay)
		for s.silent(p, held) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(silencePoll)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (s *StreamLink) silent(p *pair, held func(*StreamFault) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silenced, open := s.pairs[p]
	return open && (silenced || held(&s.fault))
}
