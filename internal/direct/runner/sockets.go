package runner

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/loader"
	"github.com/bluebelldyke/bluebelldyke/internal/direct/transporter"
	"github.com/bluebelldyke/bluebelldyke/modules/binder"
	"github.com/bluebelldyke/bluebelldyke/routers/peers"
)

// sockets are the sockets without which a daemon cannot serve. The components close them.
type sockets struct {
	entry     *binder.Socket
	readiness net.Listener
	peer      *binder.Socket
	at        time.Time // when the last one was bound: of two processes that waited, the later one at the addresses has the later time
}

// bind binds the addresses one after the other, the entry first, and waits for those that another process holds. Of two daemons with the
// same settings, one gets all of them.
func bind(ctx context.Context, s loader.Settings, logger *zap.Logger) (*sockets, error) {
	entry, err := transporter.Listen(ctx, s.EntryBind, logger)
	if err != nil {
		return nil, err
	}
	readiness, err := binder.ListenTCP(ctx, binder.Config{Bind: s.ReadinessBind, Network: "tcp4", Key: "readiness.bind", Logger: logger})
	if err != nil {
		return nil, err
	}
	peer, err := binder.OpenSocket(ctx, binder.Config{Bind: s.Peer.Bind, Network: "udp", Key: "peer.bind", Logger: logger}, nil)
	if err != nil {
		return nil, err
	}
	return &sockets{entry: entry, readiness: readiness, peer: peer, at: time.Now()}, nil
}

func (s *sockets) provide() (transporter.Conn, net.Listener, peers.Conn) {
	return s.entry, s.readiness, s.peer
}
