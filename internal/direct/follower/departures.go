package follower

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
)

// sendDepartures tells a peer that requests the backend list which entries were removed lately: the list of a daemon that has just started
// lacks them, and packets of their flows still arrive.
func (f *Follower) sendDepartures(to netip.AddrPort) {
	if f.c.Departures == nil {
		return
	}
	list := f.c.Departures()
	if len(list) == 0 {
		return
	}
	payload, err := encoder.Departures(list).Encode()
	if err != nil {
		f.c.Logger.Error("removed backend servers not sent: encoding failed", zap.Error(err))
		return
	}
	f.c.Peers.Notify(to, payload)
}
