package relayer

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	// sourcePlatform is the source of platform documents in audit entries.
	sourcePlatform = "platform"
	// watcherCheckInterval is how often a daemon that is not a watcher checks whether it has become one.
	watcherCheckInterval = time.Second
	// minRetryDelay and maxWatchRetryDelay are the limits of a watcher's backoff after failed calls. The maximum is low because a
	// change must be in force within 6 s after the platform has recovered, and because there are only a few watchers.
	minRetryDelay, maxWatchRetryDelay = 250 * time.Millisecond, 2 * time.Second
	// maxStartRetryDelay is the maximum backoff of a daemon without a first revision. With 3,800 daemons and two documents the
	// retries stay near 1,000 calls a second.
	maxStartRetryDelay = 10 * time.Second
	// minLongPollInterval is the minimum time between the starts of two calls of a watcher. It limits the calls to a platform
	// that answers long polls at once.
	minLongPollInterval = 100 * time.Millisecond
)

// readPlatform keeps one document up to date from the platform: by long polls while this daemon is a watcher of the document,
// otherwise by polls at PollInterval.
func (r *Relayer) readPlatform(ctx context.Context, d *document) error {
	backoff := fetcher.Backoff{Min: minRetryDelay, Random: withRandom(r, func(g *rand.Rand) *rand.Rand {
		return rand.New(rand.NewPCG(g.Uint64(), g.Uint64()))
	})}
	cursor := cursor{document: d}
	if d.name != SettingsDocument && d.name != VMListDocument {
		r.pullFirstRevision(ctx, d)
		// The document has just been read from the platform or a peer. Without the wait a starting daemon would make 16 calls,
		// and the fleet could exceed the platform's limit of 2,000 calls a second when it restarts within 30 s.
		if d.revision() > 0 && !r.IsWatcher(d.name) && !r.waitForNextCall(ctx, d, time.Now().Add(r.jitter(r.cfg.PollInterval)), false) {
			return nil
		}
	}
	for ctx.Err() == nil {
		longPollTimeout := time.Duration(0)
		if r.IsWatcher(d.name) {
			longPollTimeout = r.longPollTimeout(d)
		}
		started := time.Now()
		err := r.fetchFromPlatform(ctx, &cursor, longPollTimeout)
		if err != nil && d.revision() == 0 {
			r.pullFromPeers(ctx, d)
		}
		interval := r.callInterval(d, &backoff, err, longPollTimeout > 0)
		if !r.waitForNextCall(ctx, d, started.Add(interval), longPollTimeout > 0) {
			return nil
		}
	}
	return nil
}

// longPollTimeout returns how long the platform may hold a call of a watcher of the document.
func (r *Relayer) longPollTimeout(d *document) time.Duration {
	if d.isSettings {
		return r.cfg.LongPollTimeout
	}
	return vmListLongPollFactor * r.cfg.LongPollTimeout
}

// callInterval returns the time between the starts of two calls. Daemons that are not watchers keep PollInterval also after
// failed calls once they hold a revision, so that they do not add load to a platform that is failing.
func (r *Relayer) callInterval(d *document, backoff *fetcher.Backoff, err error, watching bool) time.Duration {
	failed := err != nil && !fetcher.IsErrNotModified(err)
	switch {
	case failed && d.revision() == 0 && !fetcher.IsErrNotFound(err):
		backoff.Max = maxStartRetryDelay
		return backoff.Next()
	case failed && watching:
		backoff.Max = maxWatchRetryDelay
		return backoff.Next()
	}
	backoff.Reset()
	if watching {
		return minLongPollInterval
	}
	return r.jitter(r.cfg.PollInterval)
}

// pullFromPeers pulls the document from several peers in turn. It lets a daemon start while the platform is down.
func (r *Relayer) pullFromPeers(ctx context.Context, d *document) {
	for _, source := range r.querySources(startPeerCount) {
		if err := r.pullFrom(ctx, d, source); err != nil {
			r.counters.pullFailures.Add(1)
		}
	}
}

// waitForNextCall waits until end, or until this daemon has become a watcher if it was none. It returns false if ctx ended.
func (r *Relayer) waitForNextCall(ctx context.Context, d *document, end time.Time, watching bool) bool {
	for {
		remaining := time.Until(end)
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !sleep(ctx, min(remaining, watcherCheckInterval)) {
			return false
		}
		if !watching && r.IsWatcher(d.name) {
			return true
		}
	}
}

// IsWatcher reports whether this daemon is one of the watchers of the document in its availability zone, which long poll the
// platform. They are chosen by rendezvous hashing.
func (r *Relayer) IsWatcher(name string) bool {
	return slices.Contains(ranker.Top("watch "+name, r.cfg.WatchersPerZone, r.cfg.Members.ZoneMembers()), r.cfg.Self)
}

// cursor determines the revision that conditional reads of the platform are based on. This is the revision held, or the last
// revision that was read but not applied while the same revision is held. Otherwise the platform would answer each long poll
// at once with the revision that is not applied.
type cursor struct {
	document          *document
	heldRevision      uint64
	unappliedRevision uint64
}

// knownRevision returns the revision that the next read is based on.
func (c *cursor) knownRevision() uint64 {
	if held := c.document.revision(); c.unappliedRevision == 0 || held != c.heldRevision {
		c.heldRevision, c.unappliedRevision = held, 0
		return held
	}
	return c.unappliedRevision
}

// fetchFromPlatform makes one call and handles the returned revision as an offer. The platform holds the call up to
// longPollTimeout if it has no other revision.
func (r *Relayer) fetchFromPlatform(ctx context.Context, c *cursor, longPollTimeout time.Duration) error {
	r.counters.platformCalls.Add(1)
	queriedAt := time.Now()
	content, err := r.platform.GetDocument(ctx, c.document.name, c.knownRevision(), longPollTimeout)
	if err != nil {
		if fetcher.IsErrNotModified(err) {
			r.markConfirmed(c.document, queriedAt)
		} else {
			r.counters.platformFailures.Add(1)
		}
		return err
	}
	r.counters.platformBytes.Add(uint64(len(content.Content)))
	offer := reviser.Offer{Revision: content.Revision, Content: content.Content, Source: sourcePlatform}
	if !r.handleOffer(c.document, offer) && content.Revision != c.document.revision() {
		c.heldRevision, c.unappliedRevision = c.document.revision(), content.Revision
	}
	r.markConfirmed(c.document, queriedAt)
	return nil
}
