package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/catcher"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// StatusSource provides the status of the daemon. It must be safe for concurrent use.
type StatusSource interface{ Status() Status }

// AuditSource provides the newest n entries of the audit trail. It must be safe for concurrent use.
type AuditSource interface{ NewestEntries(n int) []auditor.Entry }

// Config configures a Server.
type Config struct {
	// Bind is the TCP address to listen on. It is not used if Listener is set.
	Bind     netip.AddrPort
	Listener net.Listener
	Status   StatusSource
	Audit    AuditSource
	Logger   *zap.Logger      // optional
	Catcher  *catcher.Catcher // optional
}

// Server answers queries at the operator address.
type Server struct {
	status   StatusSource
	audit    AuditSource
	logger   *zap.Logger
	catcher  *catcher.Catcher
	bind     netip.AddrPort
	listener net.Listener // nil while another process holds the address
}

// New returns a Server. It listens on the operator address already unless another process holds that or descriptors are short; then Run
// waits until it can.
func New(c Config) (*Server, error) {
	s := &Server{status: c.Status, audit: c.Audit, logger: c.Logger, catcher: c.Catcher, bind: c.Bind, listener: c.Listener}
	if s.logger == nil {
		s.logger = zap.NewNop()
	}
	if s.listener != nil {
		return s, nil
	}
	listener, err := net.Listen("tcp", c.Bind.String())
	if eris.Is(err, syscall.EACCES) {
		return nil, eris.Wrap(err, "listen on the operator address")
	}
	if err == nil {
		s.listener = listener
	}
	return s, nil
}

// Address returns the bound address, or the one to be bound while another process holds it.
func (s *Server) Address() netip.AddrPort {
	if s.listener == nil {
		return s.bind
	}
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run answers queries until ctx ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	listener := s.listener
	if listener == nil {
		var err error
		listener, err = binder.ListenTCP(ctx, binder.Config{Bind: s.bind, Network: "tcp", Key: "operator.bind", Logger: s.logger})
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	listener = netutil.LimitListener(listener, maxConnections)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for {
			stream, err := listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil { // such as no free descriptors; the listener is still usable
				time.Sleep(acceptRetryDelay)
				continue
			}
			group.Go(func() error {
				s.Serve(ctx, stream)
				return nil
			})
		}
	})
	return group.Wait()
}

// Serve answers the queries of one connection until it is closed. An invalid message closes only that connection.
func (s *Server) Serve(ctx context.Context, stream net.Conn) {
	if stream.SetDeadline(time.Now().Add(connectionTimeout)) != nil {
		_ = stream.Close() // the client has closed the connection
		return
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(&limitedConn{stream, maxQueryBytes}), jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(discardLogger))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close() // the only possible error is that it is closed already
	}
}

// limitedConn limits the bytes that are read from a connection.
type limitedConn struct {
	net.Conn
	remaining int
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (result any, err error) {
	err = s.catcher.RunErr("operator query", func() error {
		result, err = s.answer(r)
		return err
	})
	return result, err
}

func (s *Server) answer(r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodStatus:
		return statusToWire(s.status.Status()), nil
	case methodAudit:
		var query wireAuditQuery
		if r.Params == nil || json.Unmarshal(*r.Params, &query) != nil || query.Newest < 1 || query.Newest > MaxAuditEntries {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: fmt.Sprintf("newest must be a number from 1 to %d", MaxAuditEntries)}
		}
		return entriesToWire(s.audit.NewestEntries(query.Newest)), nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method + ": use status or audit"}
	}
}
