package relayer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	methodNotify = "document/notify"
	methodFetch  = "document/fetch"
	// codeOutdated is the JSON-RPC error code of a daemon whose own view may be old.
	codeOutdated = -32001
	// maxRequestBytes bounds what a peer may send on one connection.
	maxRequestBytes = 16 << 10
	// connectionTime bounds one served connection.
	connectionTime = 10 * time.Second
	// acceptPause keeps a listener without file descriptors from spinning.
	acceptPause   = 50 * time.Millisecond
	noticeTimeout = time.Second
)

// Errors of exchanges with peers.
var (
	ErrPeerFailed = eris.New("peer sent no usable answer: check that all daemons run compatible versions")
	ErrForged     = eris.New("peer's answer does not authenticate: check that all daemons have the same peer.key")
)

// IsErrForged reports whether err is an ErrForged.
func IsErrForged(err error) bool { return eris.Is(err, ErrForged) }

// IsErrPeerFailed reports whether err is an ErrPeer.
func IsErrPeerFailed(err error) bool { return eris.Is(err, ErrPeerFailed) }

// quiet keeps the library from logging each connection that a peer closes early; such failures are counted.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// limitedConn bounds what is read from a connection and counts the bytes of both directions.
type limitedConn struct {
	net.Conn
	left   int64
	counts *counts
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.left)])
	c.left -= int64(n)
	c.counts.bytesIn.Add(uint64(n))
	return n, err
}

func (c *limitedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.bytesOut.Add(uint64(n))
	return n, err
}

// serve answers peers until the listener closes.
func (r *Relayer) serve(ctx context.Context) error {
	var connections errgroup.Group
	connections.SetLimit(maxConnections)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return connections.Wait()
			}
			sleep(ctx, acceptPause)
			continue
		}
		accepted := connections.TryGo(func() error {
			r.serveConn(ctx, conn)
			return nil
		})
		if !accepted {
			r.counts.connectionsRefused.Add(1)
			conn.Close()
		}
	}
}

func (r *Relayer) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, connectionTime)
	defer cancel()
	limited := &limitedConn{Conn: conn, left: maxRequestBytes, counts: &r.counts}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), jsonrpc2.HandlerWithError(r.handle), quiet)
	defer rpc.Close()
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
}

func (r *Relayer) handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, invalid("params are missing: send name")
	}
	switch request.Method {
	case methodNotify:
		return nil, r.handleNotify(*request.Params)
	case methodFetch:
		return r.handleFetch(*request.Params)
	default:
		return nil, &jsonrpc2.Error{
			Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method: use " + methodNotify + " or " + methodFetch,
		}
	}
}

func invalid(message string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: message}
}

func (r *Relayer) handleNotify(params json.RawMessage) error {
	var n notice
	if err := json.Unmarshal(params, &n); err != nil {
		return invalid("params are malformed: send name, revision and from")
	}
	from, err := netip.ParseAddrPort(n.From)
	d := r.document(n.Name)
	if err != nil || d == nil {
		return invalid("malformed from, or a document that this daemon does not follow: send the name of one and an ip:port")
	}
	r.counts.noticesIn.Add(1)
	if n.Revision <= d.revision() || from == r.c.Self {
		return nil
	}
	// Only members are pulled from, so a stranger cannot make this daemon connect to any address.
	if !r.c.Members.IsLive(from) && !r.isSeed(from) {
		r.counts.noticesRefused.Add(1)
		return nil
	}
	r.hint(d, n.Revision, from)
	return nil
}

func (r *Relayer) isSeed(a netip.AddrPort) bool {
	for _, s := range r.c.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

func (r *Relayer) handleFetch(params json.RawMessage) (any, error) {
	var q question
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, invalid("params are malformed: send name and after")
	}
	d := r.document(q.Name)
	if d == nil {
		return nil, invalid("this daemon does not follow the document: ask a daemon of its region")
	}
	if r.PossiblyStale() {
		// Daemons that were paused together must not confirm each other's old views.
		return nil, &jsonrpc2.Error{Code: codeOutdated, Message: "the view is being confirmed after a pause: ask another peer"}
	}
	d.mu.Lock()
	u := d.reviser.UpdateSince(q.After)
	d.mu.Unlock()
	a, err := d.packed.answer(r.sealing, d.name, u)
	if err != nil {
		return nil, err
	}
	r.counts.served(u, a)
	return a, nil
}

// dial opens a connection to a peer for one exchange. The caller closes it.
func (r *Relayer) dial(ctx context.Context, to netip.AddrPort, limit int64) (*jsonrpc2.Conn, error) {
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.c.Dial(dialing, to)
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "%s: %v", to, err)
	}
	limited := &limitedConn{Conn: conn, left: limit, counts: &r.counts}
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), noRequests{}, quiet), nil
}

// noRequests ignores requests that a peer sends on a connection opened by this daemon.
type noRequests struct{}

// Handle implements jsonrpc2.Handler.
func (noRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// fetch asks a peer for what is newer than after.
func (r *Relayer) fetch(ctx context.Context, from netip.AddrPort, name string, after uint64) (reviser.Update, error) {
	conn, err := r.dial(ctx, from, 2*maxBytes)
	if err != nil {
		return reviser.Update{}, err
	}
	defer conn.Close()
	var a answer
	if err := conn.Call(ctx, methodFetch, question{Name: name, After: after}, &a); err != nil {
		return reviser.Update{}, eris.Wrapf(ErrPeerFailed, "%s: %v", from, err)
	}
	u, err := a.update(r.sealing, name)
	if err != nil {
		if IsErrForged(err) {
			r.counts.forged.Add(1)
		}
		return reviser.Update{}, err
	}
	r.counts.fetched(u)
	return u, nil
}

// notify tells a few members of a new revision, and another one in place of each that cannot be reached. Lost notifications are repaired by heartbeats.
func (r *Relayer) notify(d *document, revision uint64) {
	for _, to := range r.c.Members.RandomPeers(notifyPeers) {
		started := r.notices.TryGo(func() error {
			n := notice{Name: d.name, Revision: revision, From: r.c.Self.String()}
			if err := r.notifyOne(to, n); err == nil {
				return nil
			}
			r.counts.noticesFailed.Add(1)
			for _, other := range r.c.Members.RandomPeers(1) {
				if err := r.notifyOne(other, n); err != nil {
					r.counts.noticesFailed.Add(1)
				}
			}
			return nil
		})
		if !started {
			r.counts.noticesFailed.Add(1)
		}
	}
}

func (r *Relayer) notifyOne(to netip.AddrPort, n notice) error {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	conn, err := r.dial(ctx, to, maxRequestBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	r.counts.noticesOut.Add(1)
	return conn.Notify(ctx, methodNotify, n)
}
