package relayer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

const (
	// MinRefreshInterval is the minimum time between two queries for the same document that Refresh causes.
	MinRefreshInterval = time.Second
	// ConfirmTimeout limits the queries after a pause and those that Refresh causes.
	ConfirmTimeout = 500 * time.Millisecond
	// refreshPeerCount is the number of peers that are queried in addition to the platform.
	refreshPeerCount = 2
	// pauseCheckInterval is the interval of the ticker whose delay reveals pauses of the process.
	pauseCheckInterval = 100 * time.Millisecond
	// PauseThreshold is how late the ticker has to be for the process to be regarded as having been paused.
	PauseThreshold = time.Second
)

// freshness tracks when the root settings document was last compared with a source, and whether the process was paused since.
type freshness struct {
	confirmedAt      atomic.Int64 // Unix ns, see document
	lastTick         atomic.Int64 // Unix ns
	startedAt        time.Time    // with its monotonic clock reading
	possiblyStale    atomic.Bool
	refreshRequested chan struct{} // capacity 1
}

func (f *freshness) init() {
	f.refreshRequested = make(chan struct{}, 1)
	f.startedAt = time.Now()
	f.lastTick.Store(f.startedAt.UnixNano())
}

// confirm sets confirmedAt unless it is later already.
func (f *freshness) confirm(queriedAt time.Time) { storeLatest(&f.confirmedAt, queriedAt) }

// storeLatest stores the time in Unix ns unless the stored one is later.
func storeLatest(to *atomic.Int64, at time.Time) {
	for {
		last := to.Load()
		if at.UnixNano() <= last || to.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// markConfirmed records that the revision held was compared with a source by a query that was sent at queriedAt. The time of
// the response is not used: a response that arrived during a pause of this process is read after the pause, but does not include
// later changes.
func (r *Relayer) markConfirmed(d *document, queriedAt time.Time) {
	if d.name == SettingsDocument {
		r.freshness.confirm(queriedAt)
		return
	}
	storeLatest(&d.confirmedAt, queriedAt)
}

// ConfirmedWithin reports whether all settings documents held were compared with the platform or a peer within the last age. If
// the comparison led to a newer view, that view has already been delivered to Views.
func (r *Relayer) ConfirmedWithin(age time.Duration) bool {
	for _, d := range r.followedDocuments() {
		if d.isSettings && d.name != SettingsDocument && d.revision() > 0 && time.Since(time.Unix(0, d.confirmedAt.Load())) > age {
			return false
		}
	}
	return time.Since(time.Unix(0, r.freshness.confirmedAt.Load())) <= age
}

// PossiblyStale reports whether the process was paused and Confirm has not ended since. It also detects a pause before
// detectPauses does, so it can be called directly before new work is placed. After a pause it returns false again at the latest
// ConfirmTimeout after detectPauses has run.
func (r *Relayer) PossiblyStale() bool {
	return r.freshness.possiblyStale.Load() || r.isTickerLate(time.Now())
}

// isTickerLate reports whether the ticker is late enough for a pause. It compares wall clock times, because the monotonic clock
// stands still while a VM is suspended.
func (r *Relayer) isTickerLate(now time.Time) bool {
	return now.UnixNano()-r.freshness.lastTick.Load() > int64(pauseCheckInterval+PauseThreshold)
}

// detectPauses detects pauses of the process and starts Confirm after each.
func (r *Relayer) detectPauses(ctx context.Context) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if r.isTickerLate(now) {
			r.freshness.possiblyStale.Store(true)
			r.freshness.lastTick.Store(now.UnixNano())
			r.counters.pauses.Add(1)
			r.logger.Info("process was paused; querying the platform and peers for newer revisions")
			r.background.Go(func() error {
				r.Confirm(ctx)
				return nil
			})
			continue
		}
		r.freshness.lastTick.Store(now.UnixNano())
	}
}

// Confirm queries the platform and several peers for newer revisions. It returns after ConfirmTimeout at the latest and
// reports whether a source answered for the root settings document.
func (r *Relayer) Confirm(ctx context.Context) bool {
	answered := r.queryAll(ctx, r.followedDocuments(), ConfirmTimeout, refreshPeerCount)
	r.freshness.possiblyStale.Store(false)
	return answered
}

// Refresh starts queries for a newer revision of the settings document with the id, at most once per MinRefreshInterval for
// each document. For the root settings document it queries all followed documents. revisionSeen is a revision that was seen
// elsewhere, or 0 if it is unknown; Refresh does nothing if this revision is already held, or if the document is not followed.
// It does not block.
func (r *Relayer) Refresh(documentID uint32, revisionSeen uint64) {
	d := r.documentByID(documentID)
	if d == nil || revisionSeen != 0 && revisionSeen <= d.revision() {
		return
	}
	now := time.Now().UnixNano()
	last := d.lastRefresh.Load()
	if now-last < int64(MinRefreshInterval) || !d.lastRefresh.CompareAndSwap(last, now) {
		return
	}
	d.refreshRequested.Store(true)
	select {
	case r.freshness.refreshRequested <- struct{}{}:
	default:
	}
}

// runRefreshes runs the queries that Refresh requests, until ctx ends.
func (r *Relayer) runRefreshes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.freshness.refreshRequested:
			var requested []*document
			all := r.followedDocuments()
			for _, d := range all {
				if d.refreshRequested.Swap(false) {
					requested = append(requested, d)
				}
			}
			if slices.Contains(requested, r.documentByName(SettingsDocument)) {
				requested = all
			}
			r.counters.refreshes.Add(1)
			r.queryAll(ctx, requested, ConfirmTimeout, refreshPeerCount)
		}
	}
}

// queryAll queries the platform and several peers concurrently for newer revisions of the documents. It returns when all have
// answered, or after timeout. It reports whether a source answered for the root settings document.
func (r *Relayer) queryAll(ctx context.Context, documents []*document, timeout time.Duration, peerCount int) bool {
	if len(documents) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	var answered atomic.Bool
	sources := r.querySources(peerCount)
	pending := atomic.Int32{}
	pending.Store(int32(len(documents) * (1 + len(sources))))
	finished := make(chan struct{})
	query := func(d *document, get func() error) {
		// Parsing a large settings tree does not stop when ctx ends, so a query can outlast this call.
		r.background.Go(func() error {
			if err := get(); (err == nil || fetcher.IsErrNotModified(err)) && d.name == SettingsDocument {
				answered.Store(true)
			}
			if pending.Add(-1) == 0 {
				close(finished)
				cancel()
			}
			return nil
		})
	}
	for _, d := range documents {
		query(d, func() error { return r.fetchFromPlatform(ctx, &cursor{document: d}, 0) })
		for _, source := range sources {
			query(d, func() error { return r.pullFrom(ctx, d, source) })
		}
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
	return answered.Load()
}

// querySources returns up to n random live members. If there are fewer, random seeds are added.
func (r *Relayer) querySources(n int) []netip.AddrPort {
	sources := r.cfg.Members.RandomPeers(n)
	for _, i := range withRandom(r, func(g *rand.Rand) []int { return g.Perm(len(r.cfg.Seeds)) }) {
		seed := r.cfg.Seeds[i]
		if len(sources) < n && seed != r.cfg.Self && !slices.Contains(sources, seed) {
			sources = append(sources, seed)
		}
	}
	return sources
}
