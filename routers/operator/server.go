package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/modules/recoverer"
	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// StatusSource provides the status of the daemon. It must be safe for concurrent use.
type StatusSource interface{ Status() Status }

// AuditSource provides the newest n entries of the audit trail. It must be safe for concurrent use.
type AuditSource interface{ NewestEntries(n int) []auditor.Entry }

// Config configures a Server.
type Config struct {
	Bind netip.AddrPort
	// Listener is the first listener; nil means a new one on Bind.
	Listener net.Listener
	Status   StatusSource
	Audit    AuditSource
	Logger   *zap.Logger
	// Recoverer contains the panics of queries; nil contains none.
	Recoverer *recoverer.Recoverer
}

// Server answers queries at the operator address.
type Server struct {
	c       Config
	address atomic.Pointer[netip.AddrPort]
}

// New returns a Server.
func New(c Config) *Server { return &Server{c: c} }

// Address returns the bound address, the zero value while it is not bound.
func (s *Server) Address() netip.AddrPort {
	if a := s.address.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Run answers queries until ctx ends, and then closes all connections. The daemon does not depend on the operator address, which is bound
// when it is free.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		c := binder.Config{Bind: s.c.Bind, Network: "tcp", Key: "operator.bind", Logger: s.c.Logger}
		if err := binder.KeepServing(ctx, c, s.c.Listener, func(l net.Listener) error { return s.accept(ctx, group, l) }); err != nil {
			s.c.Logger.Warn("operator address not bound: queries are not answered", zap.Error(err))
		}
		return nil
	})
	return group.Wait()
}

// accept accepts connections until ctx ends or the listener fails.
func (s *Server) accept(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	bound := listener.Addr().(*net.TCPAddr).AddrPort()
	s.address.Store(&bound)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	limited := netutil.LimitListener(listener, maxConnections)
	for {
		stream, err := limited.Accept()
		if err != nil {
			return eris.Wrap(err, "accept a connection at the operator address")
		}
		group.Go(func() error {
			s.Serve(ctx, stream)
			return nil
		})
	}
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
	if !s.c.Recoverer.Do("operator-query", 0, func() { result, err = s.answer(r) }) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error: see the log of the daemon"}
	}
	return result, err
}

func (s *Server) answer(r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodStatus:
		return statusToWire(s.c.Status.Status()), nil
	case methodAudit:
		var query wireAuditQuery
		if r.Params == nil || json.Unmarshal(*r.Params, &query) != nil || query.Newest < 1 || query.Newest > MaxAuditEntries {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: fmt.Sprintf("newest must be a number from 1 to %d", MaxAuditEntries)}
		}
		return entriesToWire(s.c.Audit.NewestEntries(query.Newest)), nil
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method + ": use status or audit"}
	}
}
