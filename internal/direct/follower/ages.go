package follower

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
)

// stalenessCheckInterval is the interval between checks whether a document has become too old.
const stalenessCheckInterval = time.Second

// view is a part of a daemon's view that has an age.
type view uint8

const (
	backendListView   = view(encoder.BackendListDocument)
	configurationView = view(encoder.ConfigurationDocument)
	evacuationView    = view(encoder.DocumentCount)
	viewCount         = encoder.DocumentCount + 1
)

// viewNames are the names of the views in logs and metrics.
var viewNames = [viewCount]string{backendListView: "listing", configurationView: "configuration", evacuationView: "evacuations"}

// viewAges makes the times at which the views were last known to be current readable without the lock of the Follower, which is
// held while the sink puts a document in force.
type viewAges struct {
	started time.Time
	asOf    [viewCount]atomic.Int64 // time since started in nanoseconds
}

func (a *viewAges) publish(v view, asOf time.Time) {
	if !asOf.IsZero() {
		a.asOf[v].Store(int64(asOf.Sub(a.started)))
	}
}

func (a *viewAges) age(v view) time.Duration {
	return time.Since(a.started) - time.Duration(a.asOf[v].Load())
}

// publishAgesAndUnlock publishes the ages of the documents and releases mu, which the caller holds.
func (f *Follower) publishAgesAndUnlock() {
	f.ages.publish(backendListView, f.backendList.AsOf())
	f.ages.publish(configurationView, f.configAsOf)
	if f.evacuations != nil {
		f.ages.publish(evacuationView, f.evacuations.AsOf())
	}
	f.mu.Unlock()
}

// Ages returns the time since the configuration and the backend list were last known to be current. Without a document it is the time
// since the Follower was created.
func (f *Follower) Ages() (configuration, backendList time.Duration) {
	return f.ages.age(configurationView), f.ages.age(backendListView)
}

// views returns the views that the deployment has.
func (f *Follower) views() []view {
	if f.evacuations == nil {
		return []view{backendListView, configurationView}
	}
	return []view{backendListView, configurationView, evacuationView}
}

// monitorStaleness logs when a view becomes older than its bound and when it is fresh again.
func (f *Follower) monitorStaleness(ctx context.Context) {
	ticker := time.NewTicker(stalenessCheckInterval)
	defer ticker.Stop()
	bounds := [viewCount]time.Duration{
		backendListView: f.c.StalenessBounds.BackendList, configurationView: f.c.StalenessBounds.Configuration, evacuationView: f.c.StalenessBounds.Evacuations,
	}
	var stale [viewCount]bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, v := range f.views() {
			age := f.ages.age(v)
			if (age > bounds[v]) == stale[v] {
				continue
			}
			stale[v] = !stale[v]
			fields := []zap.Field{zap.String("view", viewNames[v]), zap.Duration("age", age), zap.Duration("bound", bounds[v])}
			if stale[v] {
				f.c.Logger.Warn("view too old: neither the platform nor a peer confirms it; it stays in force", fields...)
			} else {
				f.c.Logger.Info("view fresh again", fields...)
			}
		}
	}
}

// readerState records whether this daemon currently reads a document from the platform on behalf of its peers.
type readerState struct {
	view     view
	isReader bool
}

// update sets the state and logs a change.
func (r *readerState) update(f *Follower, isReader bool) {
	if r.isReader == isReader {
		return
	}
	r.isReader = isReader
	f.isReader[r.view].Store(isReader)
	rank := f.rank()
	f.c.Logger.Info("reader changed", zap.String("view", viewNames[r.view]), zap.Bool("reads", isReader),
		zap.Int("zone-rank", rank.Zone), zap.Int("member-rank", rank.Member), zap.Int("zone-members", len(f.c.Peers.ZoneMembers())))
}
