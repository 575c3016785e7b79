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
	// ErrUnreachable is returned when no daemon answers at the address.
	ErrUnreachable = eris.New("no daemon answers there: start it, or name the address of [operator] bind in its process settings")
	// ErrInvalidReply is returned for a reply that does not make sense.
	ErrInvalidReply = eris.New("the reply is not that of a daemon of this version: use the client of the daemon's version")
)

// IsErrUnreachable reports whether err is an ErrUnreachable.
func IsErrUnreachable(err error) bool { return eris.Is(err, ErrUnreachable) }

// IsErrInvalidReply reports whether err is an ErrReply.
func IsErrInvalidReply(err error) bool { return eris.Is(err, ErrInvalidReply) }

// Client queries one daemon.
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
	conn := jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(stream), refuse{}, jsonrpc2.SetLogger(silent))
	return &Client{address: address, conn: conn}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Status returns the daemon's status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var w wireStatus
	if err := c.query(ctx, methodStatus, nil, &w); err != nil {
		return Status{}, err
	}
	return statusFromWire(w)
}

// Audit returns the newest n entries of the daemon's audit trail, newest first.
func (c *Client) Audit(ctx context.Context, n int) ([]auditor.Entry, error) {
	var w []wireEntry
	if err := c.query(ctx, methodAudit, wireAuditQuery{Newest: n}, &w); err != nil {
		return nil, err
	}
	return entriesFromWire(w)
}

func (c *Client) query(ctx context.Context, method string, params, result any) error {
	err := c.conn.Call(ctx, method, params, result)
	var failure *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case eris.As(err, &failure):
		return eris.Wrapf(ErrInvalidReply, "%s: %s", c.address, failure.Message)
	case ctx.Err() != nil, eris.Is(err, jsonrpc2.ErrClosed):
		return eris.Wrap(ErrUnreachable, c.address.String())
	default:
		return eris.Wrapf(ErrInvalidReply, "%s: %s", c.address, err)
	}
}

// silent drops the log lines of the JSON-RPC library: a fault is returned to the caller or ends one connection.
var silent = log.New(io.Discard, "", 0)

// refuse ignores requests, because a daemon sends none to its clients.
type refuse struct{}

func (refuse) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
