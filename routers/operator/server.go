package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// StatusSource answers status queries. It is called from several goroutines.
type StatusSource interface{ Status() Status }

// AuditSource answers audit queries. It is called from several goroutines.
type AuditSource interface{ NewestEntries(n int) []auditor.Entry }

// Config holds what a Server is made of.
type Config struct {
	Bind   netip.AddrPort
	Status StatusSource
	Audit  AuditSource
}

// Server answers queries at the operator address.
type Server struct {
	status   StatusSource
	audit    AuditSource
	listener net.Listener
}

// New binds the operator address, so that an address in use is reported before the daemon starts anything else.
func New(c Config) (*Server, error) {
	listener, err := net.Listen("tcp", c.Bind.String())
	if err != nil {
		return nil, eris.Wrap(err, "operator address")
	}
	return &Server{status: c.Status, audit: c.Audit, listener: netutil.LimitListener(listener, maxConnections)}, nil
}

// Address returns the bound address.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run answers queries until ctx ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return s.listener.Close()
	})
	group.Go(func() error {
		for {
			stream, err := s.listener.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return eris.Wrap(err, "operator address")
			}
			group.Go(func() error {
				s.serve(ctx, stream)
				return nil
			})
		}
	})
	return group.Wait()
}

// serve answers the queries of one connection. A faulty client ends its own connection only.
func (s *Server) serve(ctx context.Context, stream net.Conn) {
	if stream.SetDeadline(time.Now().Add(connectionTime)) != nil {
		_ = stream.Close() // the client has gone
		return
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(stream), jsonrpc2.HandlerWithError(s.answer), jsonrpc2.SetLogger(silent))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close() // the only failure is that it is closed already
	}
}

func (s *Server) answer(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
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
