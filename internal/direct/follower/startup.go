package follower

import (
	"context"
	"math/rand/v2"
	"time"
)

// startupAnnounceSpread is the time over which daemons that start together spread the announcements of their first read. The first of them
// reaches a zone of 420 daemons within 15 ms, so that a few daemons announce instead of all.
const startupAnnounceSpread = 300 * time.Millisecond

// peerAnnouncement is what the latest announcement of a peer stated.
type peerAnnouncement struct {
	at                               time.Time
	backendListDigest, configVersion uint64
}

// announceFirstRead announces the first read of this daemon after a random time, unless a peer has announced the same documents by then.
// When all daemons of a zone start at once, all of them read the platform.
func (f *Follower) announceFirstRead(ctx context.Context, started time.Time) {
	if _, strong := f.splitByStrength(f.zonePeers()); f.c.Weak && len(strong) > 0 {
		return // peers that need the documents would request them from this daemon
	}
	sleep(ctx, rand.N(startupAnnounceSpread), nil)
	f.mu.Lock()
	version := uint64(0)
	if f.configuration != nil {
		version = f.configuration.Version
	}
	p := f.latestAnnouncement
	known := p.at.After(started) && p.backendListDigest == f.backendList.Digest() && p.configVersion >= version
	f.publishAgesAndUnlock()
	if !known {
		f.announce(nil)
	}
}
