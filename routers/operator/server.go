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
	Catcher  *catcher.Catcher // optional
}

// Server answers queries at the operator address.
type Server struct {
	status   StatusSource
	audit    AuditSource
	catcher  *catcher.Catcher
	listener net.Listener
}

// New returns a Server that listens on the operator address already, so that a daemon reports an address in use before it starts
// anything else.
func New(c Config) (*Server, error) {
	s := &Server{status: c.Status, audit: c.Audit, catcher: c.Catcher, listener: c.Listener}
	if s.listener != nil {
		return s, nil
	}
	listener, err := net.Listen("tcp", c.Bind.String())
	if err != nil {
		return nil, eris.Wrap(err, "listen on the operator address")
	}
	s.listener = listener
	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Run answers queries until ctx ends, and then closes all connections.
func (s *Server) Run(ctx context.Context) error {
	listener := netutil.LimitListener(s.listener, maxConnections)
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
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(stream), jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(discardLogger))
	select {
	case <-conn.DisconnectNotify():
	case <-ctx.Done():
		_ = conn.Close() // the only possible error is that it is closed already
	}
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
