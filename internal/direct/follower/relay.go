package follower

import (
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// fanOut is how many daemons one daemon sends a message to. What is meant for more goes on from those: a zone of 60 is reached in
	// two steps, one of 420 in three, and no daemon sends more than 8 copies.
	fanOut = 8
	// relayBytes bounds what is relayed with the addresses of its targets, each of addressBytes: it fits the datagram of a peer and
	// the packets of common links.
	relayBytes   = 1300
	addressBytes = 8
	// heldMost bounds the news that waits for a configuration: the steps of one change.
	heldMost = maxSteps
)

// relay is news that its receiver takes and passes on to others. The sender names them, so that the reach does not depend on what
// the receiver knows of the members. A receiver that was paused passes on old news: those that have heard of a later read know it by
// its revision.
type relay struct {
	targets []netip.AddrPort
	payload []byte
}

func (r *relay) encode() ([]byte, error) {
	w := wireRelay{Payload: r.payload, Targets: make([][]byte, len(r.targets))}
	for i, t := range r.targets {
		var err error
		if w.Targets[i], err = t.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode an address")
		}
	}
	return wrap(kindRelay, w)
}

func decodeRelay(b []byte) (any, error) {
	var w wireRelay
	if err := decoding.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	r := &relay{payload: w.Payload, targets: make([]netip.AddrPort, len(w.Targets))}
	if len(w.Targets) > relayBytes/addressBytes {
		return nil, errMalformed
	}
	for i, t := range w.Targets {
		if r.targets[i].UnmarshalBinary(t) != nil || !r.targets[i].IsValid() {
			return nil, errMalformed
		}
	}
	var inner wireMessage
	if err := decoding.Unmarshal(w.Payload, &inner); err != nil || inner.Kind != kindNews {
		return nil, errMalformed
	}
	return r, nil
}

// spread sends news to all targets: to a few itself, which pass it on to the others.
func (f *Follower) spread(payload []byte, targets []netip.AddrPort) {
	most := max(relayBytes-len(payload), 0) / addressBytes // targets beside the payload
	direct := min(max(fanOut, (len(targets)+most)/(most+1)), len(targets))
	rest := targets[direct:]
	for i, to := range targets[:direct] {
		share := rest[i*len(rest)/direct : (i+1)*len(rest)/direct]
		if len(share) == 0 {
			f.c.Peers.Notify(to, payload)
			continue
		}
		b, err := (&relay{targets: share, payload: payload}).encode()
		if err != nil {
			f.c.Logger.Error("news not relayed", zap.Error(err))
			return
		}
		f.c.Peers.Notify(to, b)
	}
}

// heldRelay is a relay that waits until this daemon has the configuration it tells of: those it goes to ask here for it.
type heldRelay struct {
	version uint64
	relay   *relay
}

// passOn takes relayed news and sends it on.
func (f *Follower) passOn(from netip.AddrPort, r *relay) {
	n, err := decode(r.payload)
	if err != nil {
		return
	}
	version := n.(*news).configVersion
	f.mu.Lock()
	hold := len(r.targets) > 0 && version > 0 && (f.configuration == nil || f.configuration.Version < version) && len(f.held) < heldMost
	if hold {
		f.held = append(f.held, heldRelay{version, r})
	}
	f.unlock()
	if hold {
		time.AfterFunc(askInterval, func() {
			f.mu.Lock()
			defer f.unlock()
			f.release(version)
		})
	} else {
		f.spread(r.payload, r.targets)
	}
	f.Notified(from, r.payload)
}

// release sends on what waits for a configuration up to the version. The caller holds mu.
func (f *Follower) release(version uint64) {
	for i := 0; i < len(f.held); {
		if h := f.held[i]; h.version <= version {
			f.held = slices.Delete(f.held, i, i+1)
			f.spread(h.relay.payload, h.relay.targets)
		} else {
			i++
		}
	}
}
