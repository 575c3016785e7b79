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
	// codePossiblyStale is the JSON-RPC error code with which a daemon refuses a fetch because its own view may be stale.
	codePossiblyStale = -32001
	// maxRequestBytes limits what is read from a peer on one connection that the peer opened, or that this daemon opened for a
	// notification.
	maxRequestBytes = 16 << 10
	// connectionTimeout limits the lifetime of a connection that a peer opened.
	connectionTimeout = 10 * time.Second
	// acceptRetryDelay keeps the accept loop from spinning while the process has no free file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// notificationTimeout limits one notification, including its connection.
	notificationTimeout = time.Second
)

// Errors of exchanges with peers.
var (
	ErrPeerFailed = eris.New("peer sent no usable response: check that all daemons run compatible versions")
	ErrForged     = eris.New("peer's response fails authentication: check that all daemons have the same peer.key")
)

// IsErrForged reports whether err is an ErrForged.
func IsErrForged(err error) bool { return eris.Is(err, ErrForged) }

// IsErrPeerFailed reports whether err is an ErrPeerFailed.
func IsErrPeerFailed(err error) bool { return eris.Is(err, ErrPeerFailed) }

// discardLog keeps the JSON-RPC library from logging each connection that a peer closes early. Such failures are counted.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// limitedConn limits the bytes that are read from a connection and counts the bytes in both directions.
type limitedConn struct {
	net.Conn
	remaining int64
	counters  *counters
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.remaining)])
	c.remaining -= int64(n)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *limitedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.bytesSent.Add(uint64(n))
	return n, err
}

// serve accepts and serves connections of peers until the listener is closed.
func (r *Relayer) serve(ctx context.Context) error {
	var connections errgroup.Group
	connections.SetLimit(maxConnections)
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return connections.Wait()
			}
			sleep(ctx, acceptRetryDelay)
			continue
		}
		accepted := connections.TryGo(func() error {
			r.serveConn(ctx, conn)
			return nil
		})
		if !accepted {
			r.counters.connectionsRefused.Add(1)
			conn.Close()
		}
	}
}

func (r *Relayer) serveConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, connectionTimeout)
	defer cancel()
	limited := &limitedConn{Conn: conn, remaining: maxRequestBytes, counters: &r.counters}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), jsonrpc2.HandlerWithError(r.handle), discardLog)
	defer rpc.Close()
	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}
}

func (r *Relayer) handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (result any, err error) {
	if !r.cfg.Recoverer.Do("peer-query", 0, func() { result, err = r.answer(request) }) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "internal error: ask another peer"}
	}
	return result, err
}

func (r *Relayer) answer(request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, invalidParams("params are missing: send name")
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

func invalidParams(message string) error {
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: message}
}

func (r *Relayer) handleNotify(params json.RawMessage) error {
	var n notifyParams
	if err := json.Unmarshal(params, &n); err != nil {
		return invalidParams("params are malformed: send name, revision and from")
	}
	from, err := netip.ParseAddrPort(n.From)
	d := r.documentByName(n.Name)
	if err != nil || d == nil {
		return invalidParams("from is malformed, or this daemon does not follow the document: send an ip:port and the name of a followed document")
	}
	r.counters.notificationsReceived.Add(1)
	if n.Revision <= d.revision() || from == r.cfg.Self {
		return nil
	}
	// Notifications are not authenticated. This daemon pulls only from members and seeds, so that nobody else can make it connect
	// to arbitrary addresses.
	if !r.cfg.Members.IsLive(from) && !r.isSeed(from) {
		r.counters.notificationsRefused.Add(1)
		return nil
	}
	r.addPullSource(d, n.Revision, from)
	return nil
}

func (r *Relayer) isSeed(a netip.AddrPort) bool {
	for _, s := range r.cfg.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

func (r *Relayer) handleFetch(params json.RawMessage) (any, error) {
	var p fetchParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, invalidParams("params are malformed: send name and after")
	}
	d := r.documentByName(p.Name)
	if d == nil {
		return nil, invalidParams("this daemon does not follow the document: ask a daemon of its region")
	}
	if r.PossiblyStale() {
		// Daemons that were paused at the same time must not confirm each other's stale views.
		return nil, &jsonrpc2.Error{Code: codePossiblyStale, Message: "the view is being confirmed after a pause: ask another peer"}
	}
	d.mu.Lock()
	u := d.reviser.UpdateSince(p.After)
	d.mu.Unlock()
	result, err := d.sealedContent.newResult(r.aead, d.name, u)
	if err != nil {
		return nil, err
	}
	r.counters.countServed(u, result)
	return result, nil
}

// dial opens a connection to a peer for one exchange, from which at most maxBytes are read. The caller closes it.
func (r *Relayer) dial(ctx context.Context, to netip.AddrPort, maxBytes int64) (*jsonrpc2.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := r.cfg.Dial(dialCtx, to)
	if err != nil {
		return nil, eris.Wrapf(ErrPeerFailed, "%s: %v", to, err)
	}
	limited := &limitedConn{Conn: conn, remaining: maxBytes, counters: &r.counters}
	return jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(limited), ignoreRequests{}, discardLog), nil
}

// ignoreRequests ignores requests of a peer on a connection that this daemon opened.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// fetchFromPeer fetches the changes of a document since knownRevision from a peer.
func (r *Relayer) fetchFromPeer(ctx context.Context, from netip.AddrPort, name string, knownRevision uint64) (reviser.Update, error) {
	conn, err := r.dial(ctx, from, 2*maxDocumentBytes)
	if err != nil {
		return reviser.Update{}, err
	}
	defer conn.Close()
	var result fetchResult
	if err := conn.Call(ctx, methodFetch, fetchParams{Name: name, After: knownRevision}, &result); err != nil {
		return reviser.Update{}, eris.Wrapf(ErrPeerFailed, "%s: %v", from, err)
	}
	u, err := result.update(r.aead, name)
	if err != nil {
		if IsErrForged(err) {
			r.counters.forged.Add(1)
		}
		return reviser.Update{}, err
	}
	r.counters.countFetched(u)
	return u, nil
}

// notifyPeers notifies a few members of a new revision, and another member in place of each that cannot be reached. Members whose
// notification is lost learn of the revision from heartbeats.
func (r *Relayer) notifyPeers(d *document, revision uint64) {
	for _, to := range r.cfg.Members.RandomPeers(notifyFanOut) {
		started := r.notifications.TryGo(func() error {
			n := notifyParams{Name: d.name, Revision: revision, From: r.cfg.Self.String()}
			if err := r.sendNotification(to, n); err == nil {
				return nil
			}
			r.counters.notificationsFailed.Add(1)
			for _, other := range r.cfg.Members.RandomPeers(1) {
				if err := r.sendNotification(other, n); err != nil {
					r.counters.notificationsFailed.Add(1)
				}
			}
			return nil
		})
		if !started {
			r.counters.notificationsFailed.Add(1)
		}
	}
}

func (r *Relayer) sendNotification(to netip.AddrPort, n notifyParams) error {
	ctx, cancel := context.WithTimeout(context.Background(), notificationTimeout)
	defer cancel()
	conn, err := r.dial(ctx, to, maxRequestBytes)
	if err != nil {
		return err
	}
	defer conn.Close()
	r.counters.notificationsSent.Add(1)
	return conn.Notify(ctx, methodNotify, n)
}
