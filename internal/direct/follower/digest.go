package follower

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/digester"
	"github.com/bluebelldyke/bluebelldyke/services/estimator"
)

// SendDigest sends a speed digest to random peers of the own availability zone.
func (f *Follower) SendDigest(digest []estimator.Record) {
	payload, err := digester.Encode(digest)
	if err != nil {
		f.c.Logger.Error("speed digest not sent: encoding failed", zap.Error(err))
		return
	}
	peers := f.zonePeers()
	for _, to := range peers[:min(len(peers), digester.Recipients)] {
		f.c.Peers.Notify(to, payload)
	}
}

// handleDigest applies the speed digest of a peer.
func (f *Follower) handleDigest(from netip.AddrPort, payload []byte) {
	if f.c.HandleDigest == nil {
		return
	}
	digest, err := digester.Decode(payload)
	if err != nil {
		f.c.Logger.Debug("speed digest of a peer dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	f.c.HandleDigest(digest)
}
