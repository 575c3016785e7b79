package operator

import (
	"context"
	"io"
	"log"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/bluebelldyke/bluebelldyke/services/auditor"
)

// Errors of a Client.
var (
	// ErrUnreachable means that no daemon answers at the address.
	ErrUnreachable = eris.New("no daemon answers there: start it, or name the address of [operator] bind in its process settings")
	// ErrInvalidReply means that the reply is an error or cannot be decoded.
	ErrInvalidReply = eris.New("the reply is not valid for this version: use the client of the daemon's version")
)

// IsErrUnreachable reports whether err is an ErrUnreachable.
func IsErrUnreachable(err error) bool { return eris.Is(err, ErrUnreachable) }

// IsErrInvalidReply reports whether err is an ErrInvalidReply.
func IsErrInvalidReply(err error) bool { return eris.Is(err, ErrInvalidReply) }

// Client sends queries to one daemon.
type Client struct {
	address netip.AddrPort
	conn    *jsonrpc2.Conn
}

// Dial connects to the operator address of a daemon.
func Dial(ctx context.Context, address netip.AddrPort) (*Client, error) {
	var d net.Dialer
	stream, err := d.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, address.String())
	}
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(stream), ignoreRequests{}, jsonrpc2.SetLogger(discardLogger))
	return &Client{address: address, conn: conn}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Status returns the daemon's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var w wireStatus
	if err := c.call(ctx, methodStatus, nil, &w); err != nil {
		return Status{}, err
	}
	return statusFromWire(w)
}

// Audit returns the newest n entries of the daemon's audit trail, newest first.
func (c *Client) Audit(ctx context.Context, n int) ([]auditor.Entry, error) {
	var w []wireEntry
	if err := c.call(ctx, methodAudit, wireAuditQuery{Newest: n}, &w); err != nil {
		return nil, err
	}
	return entriesFromWire(w)
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	err := c.conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case eris.As(err, &rpcErr):
		return eris.Wrapf(ErrInvalidReply, "%s: %s", c.address, rpcErr.Message)
	case ctx.Err() != nil, eris.Is(err, jsonrpc2.ErrClosed):
		return eris.Wrap(ErrUnreachable, c.address.String())
	default:
		return eris.Wrapf(ErrInvalidReply, "%s: %s", c.address, err)
	}
}

// discardLogger discards the log lines of the JSON-RPC library, because errors are returned to the caller or close one connection.
var discardLogger = log.New(io.Discard, "", 0)

// ignoreRequests is a handler that ignores requests, because a daemon sends none to its clients.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
