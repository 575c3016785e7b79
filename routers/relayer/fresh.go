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
	// MinRefreshInterval is the least time between two questions that Refresh causes.
	MinRefreshInterval = time.Second
	// ConfirmTimeout bounds the questions after a pause.
	ConfirmTimeout = 500 * time.Millisecond
	// refreshPeers is the number of peers asked beside the platform.
	refreshPeers = 2
	// observeInterval is how often the clock is compared with the timer to detect pauses.
	observeInterval = 100 * time.Millisecond
	// PauseThreshold is the lateness of the timer that counts as a pause.
	PauseThreshold = time.Second
)

// fresh tracks how lately the view was compared with a source.
type fresh struct {
	confirmedAt atomic.Int64 // Unix ns
	seenAt      atomic.Int64 // Unix ns of the last timer
	origin      time.Time    // with its monotonic reading
	outdated    atomic.Bool
	refresh     chan struct{} // capacity 1
}

func (f *fresh) init() {
	f.refresh = make(chan struct{}, 1)
	f.origin = time.Now()
	f.seenAt.Store(f.origin.UnixNano())
}

// confirm keeps the latest of the times given.
func (f *fresh) confirm(asked time.Time) { raise(&f.confirmedAt, asked) }

func raise(to *atomic.Int64, at time.Time) {
	for {
		last := to.Load()
		if at.UnixNano() <= last || to.CompareAndSwap(last, at.UnixNano()) {
			return
		}
	}
}

// confirmed notes that an answer to a question asked at a time has been applied. The time of the answer says less: one
// that arrived during a pause of this process is read after it.
func (r *Relayer) confirmed(d *document, asked time.Time) {
	if d.name == SettingsDocument {
		r.fresh.confirm(asked)
		return
	}
	raise(&d.confirmedAt, asked)
}

// ConfirmedWithin reports whether all settings documents held were compared with the platform or a peer within age. A newer view
// that the comparison brought has been delivered to Views before.
func (r *Relayer) ConfirmedWithin(age time.Duration) bool {
	for _, d := range r.all() {
		if d.settings && d.name != SettingsDocument && d.revision() > 0 && time.Since(time.Unix(0, d.confirmedAt.Load())) > age {
			return false
		}
	}
	return time.Since(time.Unix(0, r.fresh.confirmedAt.Load())) <= age
}

// PossiblyStale reports whether the process was paused and its view has not been compared with a source since. It detects a
// pause that the timer has not seen yet, so it can be asked directly before new work is placed. It is false again at
// the latest ConfirmTimeout after the timer has run.
func (r *Relayer) PossiblyStale() bool {
	return r.fresh.outdated.Load() || r.late(time.Now())
}

// late compares wall clock times: the monotonic clock stands still while a VM is suspended.
func (r *Relayer) late(now time.Time) bool {
	return now.UnixNano()-r.fresh.seenAt.Load() > int64(observeInterval+PauseThreshold)
}

// observe detects pauses of the process and has the view confirmed after each.
func (r *Relayer) observe(ctx context.Context) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if r.late(now) {
			r.fresh.outdated.Store(true)
			r.fresh.seenAt.Store(now.UnixNano())
			r.counts.pauses.Add(1)
			r.logger.Info("process was paused; the view is being confirmed")
			r.background.Go(func() error {
				r.Confirm(ctx)
				return nil
			})
			continue
		}
		r.fresh.seenAt.Store(now.UnixNano())
	}
}

// Confirm asks the platform and several peers for newer revisions. It returns after ConfirmTimeout at the latest and
// reports whether a source answered.
func (r *Relayer) Confirm(ctx context.Context) bool {
	answered := r.ask(ctx, r.all(), ConfirmTimeout, refreshPeers)
	r.fresh.outdated.Store(false)
	return answered
}

// Refresh asks for a newer revision of the settings document with the id than the one held, at most once in RefreshLimit
// for each document; with that of the root it asks for all documents. heard is a revision seen elsewhere; 0 means that it
// is not known. A document that is not followed is not asked for. It never blocks.
func (r *Relayer) Refresh(document uint32, heard uint64) {
	d := r.documentByID(document)
	if d == nil || heard != 0 && heard <= d.revision() {
		return
	}
	now := time.Now().UnixNano()
	last := d.refreshedAt.Load()
	if now-last < int64(MinRefreshInterval) || !d.refreshedAt.CompareAndSwap(last, now) {
		return
	}
	d.wanted.Store(true)
	select {
	case r.fresh.refresh <- struct{}{}:
	default:
	}
}

func (r *Relayer) answerRefreshes(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.fresh.refresh:
			var wanted []*document
			all := r.all()
			for _, d := range all {
				if d.wanted.Swap(false) {
					wanted = append(wanted, d)
				}
			}
			if slices.Contains(wanted, r.document(SettingsDocument)) {
				wanted = all
			}
			r.counts.refreshes.Add(1)
			r.ask(ctx, wanted, ConfirmTimeout, refreshPeers)
		}
	}
}

// ask asks the platform and several peers for newer revisions of the documents at once, and waits for all answers but
// no longer than limit. It reports whether one answered for the root of the settings.
func (r *Relayer) ask(ctx context.Context, documents []*document, limit time.Duration, peers int) bool {
	if len(documents) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	var answered atomic.Bool
	sources := r.someSources(peers)
	pending := atomic.Int32{}
	pending.Store(int32(len(documents) * (1 + len(sources))))
	finished := make(chan struct{})
	question := func(d *document, get func() error) {
		// The parse of a large tree does not end with ctx, so the questions may outlast this call.
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
		question(d, func() error { return r.askPlatform(ctx, &cursor{document: d}, 0) })
		for _, source := range sources {
			question(d, func() error { return r.pullFrom(ctx, d, source) })
		}
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
	return answered.Load()
}

// someSources returns live members, and seeds while there are too few.
func (r *Relayer) someSources(n int) []netip.AddrPort {
	sources := r.c.Members.RandomPeers(n)
	for _, i := range random(r, func(g *rand.Rand) []int { return g.Perm(len(r.c.Seeds)) }) {
		seed := r.c.Seeds[i]
		if len(sources) < n && seed != r.c.Self && !slices.Contains(sources, seed) {
			sources = append(sources, seed)
		}
	}
	return sources
}
