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
	// sourcePlatform names the platform in audit entries.
	sourcePlatform = "platform"
	// choiceInterval is how often a daemon looks whether it has become a watcher.
	choiceInterval = time.Second
	// retryMin and watchRetryMax bound the delay of a watcher after a failed call. A change must be in force within 6 s
	// after the platform has recovered, and the watchers are few.
	retryMin, watchRetryMax = 250 * time.Millisecond, 2 * time.Second
	// startRetryMax bounds the delay of a daemon without a first revision. At 3,800 daemons with two documents the
	// retries stay near 1,000 calls a second.
	startRetryMax = 10 * time.Second
	// answerPause is the least time between two calls of a watcher, against a platform that answers at once each time.
	answerPause = 100 * time.Millisecond
)

// follow keeps one document up to date from the platform: by long polls while this daemon is a watcher, else by slow
// polls.
func (r *Relayer) follow(ctx context.Context, d *document) error {
	backoff := fetcher.Backoff{Min: retryMin, Random: random(r, func(g *rand.Rand) *rand.Rand {
		return rand.New(rand.NewPCG(g.Uint64(), g.Uint64()))
	})}
	cursor := cursor{document: d}
	if d.name != SettingsDocument && d.name != VMListDocument {
		r.join(ctx, d)
		// A daemon has asked the platform or peers for it a moment ago. Without the wait a starting daemon would make 16
		// calls, and the fleet could exceed the platform's limit of 2,000 a second when it restarts within 30 s.
		if d.revision() > 0 && !r.IsWatcher(d.name) && !r.idle(ctx, d, time.Now().Add(r.jittered(r.c.PollInterval)), false) {
			return nil
		}
	}
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if r.IsWatcher(d.name) {
			wait = r.c.LongPollTimeout
		}
		started := time.Now()
		err := r.askPlatform(ctx, &cursor, wait)
		if err != nil && d.revision() == 0 {
			r.askPeers(ctx, d)
		}
		pause := r.pause(d, &backoff, err, wait > 0)
		if !r.idle(ctx, d, started.Add(pause), wait > 0) {
			return nil
		}
	}
	return nil
}

// pause returns the time between the beginnings of two calls. Daemons that only poll as a fallback keep their slow
// pace also when calls fail, so that a platform in trouble is not asked more often.
func (r *Relayer) pause(d *document, backoff *fetcher.Backoff, err error, watching bool) time.Duration {
	failed := err != nil && !fetcher.IsErrNotModified(err)
	switch {
	case failed && d.revision() == 0 && !fetcher.IsErrNotFound(err):
		backoff.Max = startRetryMax
		return backoff.Next()
	case failed && watching:
		backoff.Max = watchRetryMax
		return backoff.Next()
	}
	backoff.Reset()
	if watching {
		return answerPause
	}
	return r.jittered(r.c.PollInterval)
}

// askPeers is the way to a first revision while the platform is down.
func (r *Relayer) askPeers(ctx context.Context, d *document) {
	for _, source := range r.someSources(startPeers) {
		if err := r.pullFrom(ctx, d, source); err != nil {
			r.counts.pullFailures.Add(1)
		}
	}
}

// idle waits until end. A daemon that polls slowly stops waiting when it has become a watcher.
func (r *Relayer) idle(ctx context.Context, d *document, end time.Time, watching bool) bool {
	for {
		left := time.Until(end)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !sleep(ctx, min(left, choiceInterval)) {
			return false
		}
		if !watching && r.IsWatcher(d.name) {
			return true
		}
	}
}

// IsWatcher reports whether this daemon is one of its availability zone's watchers of a document.
func (r *Relayer) IsWatcher(name string) bool {
	return slices.Contains(ranker.Top("watch "+name, r.c.WatchersPerZone, r.c.Members.ZoneMembers()), r.c.Self)
}

// cursor is the revision after which the platform is asked. It is the revision held, but for an answer that was not
// applied: asking after the held revision again would return that answer at once.
type cursor struct {
	document *document
	held     uint64
	refused  uint64
}

func (c *cursor) after() uint64 {
	if held := c.document.revision(); c.refused == 0 || held != c.held {
		c.held, c.refused = held, 0
		return held
	}
	return c.refused
}

// askPlatform makes one call and offers what it returns.
func (r *Relayer) askPlatform(ctx context.Context, c *cursor, wait time.Duration) error {
	r.counts.platformCalls.Add(1)
	asked := time.Now()
	content, err := r.platform.Get(ctx, c.document.name, c.after(), wait)
	if err != nil {
		if fetcher.IsErrNotModified(err) {
			r.confirmed(c.document, asked)
		} else {
			r.counts.platformFailures.Add(1)
		}
		return err
	}
	r.counts.platformBytes.Add(uint64(len(content.Content)))
	offer := reviser.Offer{Revision: content.Revision, Content: content.Content, Source: sourcePlatform}
	if !r.accept(c.document, offer) && content.Revision != c.document.revision() {
		c.held, c.refused = c.document.revision(), content.Revision
	}
	r.confirmed(c.document, asked)
	return nil
}
