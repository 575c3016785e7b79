package follower

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
)

const (
	// requestInterval is the shortest time between two requests for the same document. It covers the transfer of one of usual size.
	requestInterval = 150 * time.Millisecond
	// largeConfigurationRoutes is the number of routes above which a configuration is read from the platform instead of a peer:
	// 100 routes take 6 KB, which a link of 10 Mbit/s carries to 25 daemons in 0.1 s.
	largeConfigurationRoutes = 100
	// peerTransferTimeout is how long a peer may take to send a configuration: enough for two requests.
	peerTransferTimeout = 2 * requestInterval
)

// obtainConfiguration starts to obtain a newer configuration that a peer announced: a small one from the peer, a large one from the
// platform, because the link of a small VM cannot carry it to a whole zone. If it does not arrive in time, the other source is used.
func (f *Follower) obtainConfiguration(now time.Time, from netip.AddrPort, a *encoder.Announcement) {
	if f.wanted.version < a.ConfigVersion || f.wanted.version == a.ConfigVersion && f.wanted.storedAt.Era < a.ConfigStoredAt.Era {
		f.wanted = wantedConfiguration{version: a.ConfigVersion, storedAt: a.ConfigStoredAt, since: now, announcedAt: now, from: from}
		if a.ConfigRoutes > largeConfigurationRoutes {
			f.wanted.since = now.Add(-peerTransferTimeout)
		}
		signal(f.configurationWake)
	}
	if a.ConfigRoutes <= largeConfigurationRoutes || now.Sub(f.wanted.since) > 2*peerTransferTimeout {
		f.requestDocument(from, encoder.ConfigurationDocument)
	}
}

// requestFromRandomPeer requests a document from a random member, a weak one only if no other is known, or from all seeds while no member is known.
func (f *Follower) requestFromRandomPeer(d encoder.Document) {
	f.mu.Lock()
	peers := slices.Clone(f.c.Seeds)
	f.publishAgesAndUnlock()
	members := append(f.zonePeers(), f.crossZoneContacts()...)
	if d == encoder.BackendListDocument {
		members = f.preferEvacuationPeers(members)
	}
	members = f.preferStrong(members)
	if len(members) > 0 {
		peers = append(peers[:0], members[rand.IntN(len(members))])
	}
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	lastRequest := f.requestedAt[d]
	for _, p := range peers {
		f.requestedAt[d] = lastRequest // requestInterval does not apply between the seeds
		f.endDownload(d)
		f.requestDocument(p, d)
	}
}

// requestDocument requests a document from a peer, at most once per requestInterval. The caller holds mu.
func (f *Follower) requestDocument(from netip.AddrPort, d encoder.Document) {
	now := time.Now()
	if from == f.c.Peers.Address() || now.Sub(f.requestedAt[d]) < requestInterval || f.isDownloading(d, now) {
		return
	}
	f.sendRequest(from, d, f.calls.unavailable[callBackendList].Load() || f.calls.unavailable[callCheck].Load())
}

// sendRequest requests a document from a peer. With platformLost the peer sends it whatever its size. The caller holds mu.
func (f *Follower) sendRequest(to netip.AddrPort, d encoder.Document, platformLost bool) {
	now := time.Now()
	f.requestedAt[d] = now
	f.beginDownload(to, d, now)
	payload, err := (&encoder.Request{Document: d, PlatformLost: platformLost, KnowsEras: f.announcementForms()[to] >= encoder.WithEras}).Encode()
	if err == nil {
		f.c.Peers.Notify(to, payload)
	}
}
