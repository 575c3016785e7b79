package follower

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
)

const (
	// fanOutDegree is the number of daemons to which one daemon sends a message itself. Those relay it to the remaining ones: a zone of
	// 60 daemons is reached in two hops, one of 420 in three, and no daemon sends more than 8 copies.
	fanOutDegree = 8
	// maxDeferredRelays limits the announcements that wait for a configuration to those of the deltas of one change.
	maxDeferredRelays = maxDeltas
)

// fanOut sends an announcement to all targets: to degree of them directly, as relays that name the remaining ones.
func (f *Follower) fanOut(payload []byte, targets []netip.AddrPort, degree int) {
	perRelay := max(encoder.MaxRelayBytes-len(payload), 0) / encoder.AddressBytes // targets that fit a relay beside the payload
	direct := min(max(degree, (len(targets)+perRelay)/(perRelay+1)), len(targets))
	rest := targets[direct:]
	relays := direct // the first ones, which are not weak unless all are
	if len(rest) > 0 {
		if _, strong := f.splitByStrength(targets[:direct]); len(strong) > 0 && len(rest) <= perRelay*len(strong) {
			relays = len(strong)
		}
	}
	for i, to := range targets[:direct] {
		var share []netip.AddrPort
		if i < relays {
			share = rest[i*len(rest)/relays : (i+1)*len(rest)/relays]
		}
		if len(share) == 0 {
			f.c.Peers.Notify(to, payload)
			continue
		}
		b, err := (&encoder.Relay{Targets: share, Payload: payload}).Encode()
		if err != nil {
			f.c.Logger.Error("announcement not relayed: encoding failed", zap.Error(err))
			return
		}
		f.c.Peers.Notify(to, b)
	}
}

// deferredRelay is a relay that waits until this daemon has the announced configuration, because its targets request the configuration
// from this daemon.
type deferredRelay struct {
	version    uint64 // of the configuration
	listDigest uint64 // of the backend list; 0 if the relay waits for a configuration
	relay      *encoder.Relay
	receivedAt time.Time
}

// handleRelay handles the announcement in a relay and sends it to the relay's targets, once this daemon has the announced configuration
// or after requestInterval.
func (f *Follower) handleRelay(from netip.AddrPort, r *encoder.Relay) {
	m, err := encoder.Decode(r.Payload)
	if err != nil {
		return
	}
	a := m.(*encoder.Announcement)
	version := a.ConfigVersion
	wait, forList := f.deferRelay(a, r)
	if forList {
		f.HandleNotice(from, r.Payload)
		return
	}
	if wait {
		f.afterFunc(requestInterval, func() {
			f.mu.Lock()
			defer f.publishAgesAndUnlock()
			f.sendDeferredRelays(version)
		})
	} else {
		f.fanOut(r.Payload, r.Targets, fanOutDegree)
	}
	f.HandleNotice(from, r.Payload)
}

// deferRelay keeps a relay of an announcement if its targets have to wait for the backend list, or otherwise for the configuration.
func (f *Follower) deferRelay(a *encoder.Announcement, r *encoder.Relay) (forConfiguration, forList bool) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	if len(r.Targets) == 0 || len(f.deferredRelays) >= maxDeferredRelays {
		return false, false
	}
	if f.isPaced() && a.Delta.Revision > 0 && a.Delta.BaseDigest == a.Delta.Digest && a.Delta.Digest != f.backendList.Digest() {
		f.deferListRelay(a.Delta.Digest, r)
		return false, true
	}
	if a.ConfigVersion > 0 && (f.configuration == nil || f.configuration.Version < a.ConfigVersion) {
		f.deferredRelays = append(f.deferredRelays, deferredRelay{version: a.ConfigVersion, relay: r})
		return true, false
	}
	return false, false
}

// sendDeferredRelays sends the relays that wait for a configuration of the given version or an earlier one. The caller holds mu.
func (f *Follower) sendDeferredRelays(version uint64) {
	for i := 0; i < len(f.deferredRelays); {
		if d := f.deferredRelays[i]; d.listDigest == 0 && d.version <= version {
			f.deferredRelays = slices.Delete(f.deferredRelays, i, i+1)
			f.fanOut(d.relay.Payload, d.relay.Targets, fanOutDegree)
		} else {
			i++
		}
	}
}

// deferListRelay keeps a relay until this daemon has the announced backend list, which its targets will request from it, or until the
// download is late. Without pacing the list arrives so soon that relays need not wait. The caller holds mu.
func (f *Follower) deferListRelay(digest uint64, r *encoder.Relay) {
	f.deferredRelays = append(f.deferredRelays, deferredRelay{listDigest: digest, relay: r, receivedAt: time.Now()})
	wait := reorderWait + max(requestInterval, lateFactor*f.expectedTransferTime(f.lastSizes[encoder.BackendListDocument]))
	f.afterFunc(wait, func() {
		f.mu.Lock()
		defer f.publishAgesAndUnlock()
		f.sendDeferredListRelays(digest)
	})
}

// sendDeferredListRelays sends the relays that wait for a backend list. Their ages grow by the time that they have waited. The caller
// holds mu.
func (f *Follower) sendDeferredListRelays(digest uint64) {
	for i := 0; i < len(f.deferredRelays); {
		d := f.deferredRelays[i]
		if d.listDigest != digest || digest == 0 {
			i++
			continue
		}
		f.deferredRelays = slices.Delete(f.deferredRelays, i, i+1)
		payload, err := encoder.AddAge(d.relay.Payload, time.Since(d.receivedAt))
		if err != nil {
			f.c.Logger.Error("announcement not relayed: encoding failed", zap.Error(err))
			continue
		}
		f.fanOut(payload, d.relay.Targets, f.wholeDocumentDegree())
	}
}
