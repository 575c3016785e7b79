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

// stallPollInterval is the time between two checks of a stalled connection whether its stall has ended.
const stallPollInterval = 10 * time.Millisecond

// StreamFault describes the faults of a stream link; the zero value has none.
type StreamFault struct {
	Delay time.Duration // of each chunk, in both directions
	// HoldToServer holds back what clients send, and HoldToClient what the process answers, on all
	// connections. Both together are a network partition.
	HoldToServer, HoldToClient bool
}

// StreamLink forwards TCP connections to a process.
type StreamLink struct {
	listener    net.Listener
	to          netip.AddrPort
	mu          sync.Mutex
	fault       StreamFault
	connections map[*connection]bool // true: stalled permanently
}

// connection is a forwarded connection with its two sockets.
type connection struct{ client, server *net.TCPConn }

// NewStreamLink binds the address to which clients connect instead of that of the process.
func NewStreamLink(bind, to netip.AddrPort) (*StreamLink, error) {
	l, err := net.Listen("tcp4", bind.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen at the address of a link")
	}
	return &StreamLink{listener: l, to: to, connections: map[*connection]bool{}}, nil
}

// SetFault replaces the fault of all connections.
func (s *StreamLink) SetFault(f StreamFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// StallOpenConnections makes the open connections stop forwarding, without closing them. New connections work.
func (s *StreamLink) StallOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		s.connections[c] = true
	}
}

// ResetOpenConnections resets the open connections.
func (s *StreamLink) ResetOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		_ = c.client.SetLinger(0)
		c.close()
	}
}

func (c *connection) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// Run forwards connections until ctx ends.
func (s *StreamLink) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = s.listener.Close()
		s.ResetOpenConnections()
	})
	defer stop()
	var group errgroup.Group
	for {
		client, err := s.listener.Accept()
		if err != nil {
			return group.Wait()
		}
		group.Go(func() error { s.forward(ctx, client.(*net.TCPConn)); return nil })
	}
}

func (s *StreamLink) forward(ctx context.Context, client *net.TCPConn) {
	server, err := net.Dial("tcp4", s.to.String())
	if err != nil {
		_ = client.Close()
		return
	}
	c := &connection{client, server.(*net.TCPConn)}
	s.mu.Lock()
	s.connections[c] = false
	s.mu.Unlock()
	var group errgroup.Group
	group.Go(func() error {
		s.forwardOneWay(ctx, c, c.server, c.client, func(f *StreamFault) bool { return f.HoldToServer })
		return nil
	})
	group.Go(func() error {
		s.forwardOneWay(ctx, c, c.client, c.server, func(f *StreamFault) bool { return f.HoldToClient })
		return nil
	})
	_ = group.Wait() // forwardOneWay returns no error
	s.mu.Lock()
	delete(s.connections, c)
	s.mu.Unlock()
}

// forwardOneWay forwards one direction until the connection ends.
func (s *StreamLink) forwardOneWay(ctx context.Context, c *connection, to, from *net.TCPConn, heldByFault func(*StreamFault) bool) {
	defer c.close()
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
		for s.isStalled(c, heldByFault) {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(stallPollInterval)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (s *StreamLink) isStalled(c *connection, heldByFault func(*StreamFault) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	stalled, open := s.connections[c]
	return open && (stalled || heldByFault(&s.fault))
}
