package follower

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// ageInterval is the time between two looks at whether a view has become too old.
const ageInterval = time.Second

var documentNames = [documents]string{listingDocument: "listing", configurationDocument: "configuration"}

// ages make the times at which the beliefs were right readable without the lock of the Follower, which is held while it
// tells the sink.
type ages struct {
	started time.Time
	asOf    [documents]atomic.Int64 // as a time since started
}

func (a *ages) publish(d document, asOf time.Time) {
	if !asOf.IsZero() {
		a.asOf[d].Store(int64(asOf.Sub(a.started)))
	}
}

func (a *ages) age(d document) time.Duration {
	return time.Since(a.started) - time.Duration(a.asOf[d].Load())
}

// unlock ends a change of the beliefs. The caller holds mu.
func (f *Follower) unlock() {
	f.ages.publish(listingDocument, f.servers.AsOf())
	f.ages.publish(configurationDocument, f.configAsOf)
	f.mu.Unlock()
}

// Ages returns how long ago the configuration and the list were right; before there is one, how long the Follower exists.
func (f *Follower) Ages() (configuration, listing time.Duration) {
	return f.ages.age(configurationDocument), f.ages.age(listingDocument)
}

// watchAges writes a line when a view becomes older than its bound, and when it is fresh again.
func (f *Follower) watchAges(ctx context.Context) {
	ticker := time.NewTicker(ageInterval)
	defer ticker.Stop()
	bounds := [documents]time.Duration{listingDocument: f.c.StalenessBounds.BackendList, configurationDocument: f.c.StalenessBounds.Configuration}
	var old [documents]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for d := range document(documents) {
			age := f.ages.age(d)
			if (age > bounds[d]) == old[d] {
				continue
			}
			old[d] = !old[d]
			fields := []zap.Field{zap.String("view", documentNames[d]), zap.Duration("age", age), zap.Duration("bound", bounds[d])}
			if old[d] {
				f.c.Logger.Warn("view too old: neither the platform nor a peer confirms it, and what is in force stays", fields...)
			} else {
				f.c.Logger.Info("view fresh again", fields...)
			}
		}
	}
}

// reader is whether this daemon reads a document from the platform for others.
type reader struct {
	document document
	reads    bool
}

// set writes a line when it changes whether this daemon reads the document.
func (r *reader) set(f *Follower, reads bool) {
	if r.reads == reads {
		return
	}
	r.reads = reads
	rank := f.rank()
	f.c.Logger.Info("reader changed", zap.String("view", documentNames[r.document]), zap.Bool("reads", reads),
		zap.Int("zone-rank", rank.Zone), zap.Int("member-rank", rank.Member), zap.Int("zone-members", len(f.c.Peers.Zone())))
}
