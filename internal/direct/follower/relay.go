package follower

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// fanOutDegree is the number of daemons to which one daemon sends a message itself. Those relay it to the remaining ones: a zone of
	// 60 daemons is reached in two hops, one of 420 in three, and no daemon sends more than 8 copies.
	fanOutDegree = 8
	// maxRelayBytes limits the payload of a relay together with the addresses of its targets, each of which takes addressBytes, so that
	// the relay fits the datagram of a peer and the packets of common links.
	maxRelayBytes = 1300
	addressBytes  = 8
	// maxDeferredRelays limits the announcements that wait for a configuration to those of the deltas of one change.
	maxDeferredRelays = maxDeltas
)

// relay is an announcement that its receiver handles and sends on to others. The sender names these targets, so that which daemons are
// reached does not depend on the membership that the receiver knows. A receiver that was paused sends on an old announcement; daemons
// that know a later read ignore it because of its position.
type relay struct {
	targets []netip.AddrPort
	payload []byte
}

func (r *relay) encode() ([]byte, error) {
	w := wireRelay{Payload: r.payload, Targets: make([][]byte, len(r.targets))}
	for i, t := range r.targets {
		var err error
		if w.Targets[i], err = t.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode the address of a relay target")
		}
	}
	return encodeMessage(kindRelay, w)
}

func decodeRelay(b []byte) (any, error) {
	var w wireRelay
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	r := &relay{payload: w.Payload, targets: make([]netip.AddrPort, len(w.Targets))}
	if len(w.Targets) > maxRelayBytes/addressBytes {
		return nil, errMalformed
	}
	for i, t := range w.Targets {
		if r.targets[i].UnmarshalBinary(t) != nil || !r.targets[i].IsValid() {
			return nil, errMalformed
		}
	}
	var inner wireMessage
	if err := decodeMode.Unmarshal(w.Payload, &inner); err != nil || inner.Kind != kindAnnouncement && inner.Kind != kindEraAnnouncement {
		return nil, errMalformed
	}
	return r, nil
}

// fanOut sends an announcement to all targets: to some of them directly, as relays that name the remaining ones.
func (f *Follower) fanOut(payload []byte, targets []netip.AddrPort) {
	perRelay := max(maxRelayBytes-len(payload), 0) / addressBytes // targets that fit a relay beside the payload
	direct := min(max(fanOutDegree, (len(targets)+perRelay)/(perRelay+1)), len(targets))
	rest := targets[direct:]
	for i, to := range targets[:direct] {
		share := rest[i*len(rest)/direct : (i+1)*len(rest)/direct]
		if len(share) == 0 {
			f.c.Peers.Notify(to, payload)
			continue
		}
		b, err := (&relay{targets: share, payload: payload}).encode()
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
	version uint64
	relay   *relay
}

// handleRelay handles the announcement in a relay and sends it to the relay's targets, once this daemon has the announced configuration
// or after requestInterval.
func (f *Follower) handleRelay(from netip.AddrPort, r *relay) {
	m, err := decode(r.payload)
	if err != nil {
		return
	}
	version := m.(*announcement).configVersion
	f.mu.Lock()
	wait := len(r.targets) > 0 && version > 0 && (f.configuration == nil || f.configuration.Version < version) && len(f.deferredRelays) < maxDeferredRelays
	if wait {
		f.deferredRelays = append(f.deferredRelays, deferredRelay{version, r})
	}
	f.publishAgesAndUnlock()
	if wait {
		time.AfterFunc(requestInterval, func() {
			f.mu.Lock()
			defer f.publishAgesAndUnlock()
			f.sendDeferredRelays(version)
		})
	} else {
		f.fanOut(r.payload, r.targets)
	}
	f.HandleNotice(from, r.payload)
}

// sendDeferredRelays sends the relays that wait for a configuration of the given version or an earlier one. The caller holds mu.
func (f *Follower) sendDeferredRelays(version uint64) {
	for i := 0; i < len(f.deferredRelays); {
		if d := f.deferredRelays[i]; d.version <= version {
			f.deferredRelays = slices.Delete(f.deferredRelays, i, i+1)
			f.fanOut(d.relay.payload, d.relay.targets)
		} else {
			i++
		}
	}
}
