package follower

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/pooler"
	"github.com/bluebelldyke/bluebelldyke/services/admitter"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// SendAdmissionReports sends each admission report to random peers of the own availability zone.
func (f *Follower) SendAdmissionReports(reports []steerer.AdmissionReport) {
	for _, r := range reports {
		payload, err := pooler.Encode(r)
		if err != nil {
			f.c.Logger.Error("admission report not sent: encoding failed", zap.Error(err))
			continue
		}
		peers := f.zonePeers()
		for _, to := range peers[:min(len(peers), admitter.ReportRecipients)] {
			f.c.Peers.Notify(to, payload)
		}
	}
}

// handleAdmissionReport applies the admission report of a peer.
func (f *Follower) handleAdmissionReport(from netip.AddrPort, payload []byte) {
	if f.c.HandleAdmissionReport == nil {
		return
	}
	r, err := pooler.Decode(payload)
	if err != nil {
		f.c.Logger.Debug("admission report of a peer dropped: decoding failed", zap.Stringer("peer", from), zap.Error(err))
		return
	}
	f.c.HandleAdmissionReport(from, r)
}
