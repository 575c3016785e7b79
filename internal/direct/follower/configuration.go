package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

const (
	// watchersPerZone is the number of daemons of each availability zone that watch the configuration; they announce changes to the
	// others. The second watcher covers the loss of the first.
	watchersPerZone = 2
	// watcherCheckInterval is the interval at which a daemon that does not watch checks whether it has become a watcher.
	watcherCheckInterval = 500 * time.Millisecond
	// singleMemberWatchDelay is the time after the start during which a daemon without known members in its zone does not watch:
	// daemons that start together know each other after 1 to 2.2 s, and until then each of them would watch. Reads of the backend
	// list bring changes of the configuration meanwhile.
	singleMemberWatchDelay = 3 * time.Second
	// absentCheckInterval is the interval between checks whether there is a configuration to read while none is known. The operator
	// writes the first one seconds before traffic starts, and watches report it.
	absentCheckInterval = 500 * time.Millisecond
	// checkDelay and the duration of a read postpone the read of the configuration alone: the read of the backend list, which is due
	// earlier, confirms the configuration too.
	checkDelay = 250 * time.Millisecond
)

// watchConfiguration watches the configuration while this daemon is one of the watchers of its zone, so that a change is in force at
// once.
func (f *Follower) watchConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	backoff.Min = retryMax // delays a change only if the other watcher fails too
	state := readerState{document: configurationDocument}
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.configStoreRevision
		f.publishAgesAndUnlock()
		alone := len(f.c.Peers.ZoneMembers()) <= 1 && time.Since(f.ages.started) < singleMemberWatchDelay
		watching := after != 0 && !alone && f.rank().Member < watchersPerZone
		state.update(f, watching)
		if !watching { // without a revision to watch from, a read of the backend list brings the first configuration
			sleep(ctx, watcherCheckInterval, nil)
			continue
		}
		started := time.Now()
		c, revision, err := f.c.Source.AwaitConfiguration(ctx, after, watchWait)
		f.recordCall(callWatch, err)
		switch {
		case IsErrHistoryLost(err):
			f.mu.Lock()
			f.configAsOf = time.Time{}
			f.publishAgesAndUnlock()
			signal(f.configurationWake)
			f.waitRetry(ctx, backoff)
		case err != nil:
			f.c.Logger.Debug("watch of the configuration failed", zap.Error(err))
			f.waitRetry(ctx, backoff)
		default:
			backoff.Reset()
			if f.handleConfiguration(c, revision, started) {
				f.announce(nil)
			}
		}
	}
}

// pollConfiguration reads the configuration whenever it was not confirmed for too long, because a watch may have stopped reporting
// changes without an error. Reads of the backend list confirm the configuration too, so that only a daemon that got its backend list
// from peers, or to which a peer announced a newer version, reads the configuration alone.
func (f *Follower) pollConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	f.requestAtStartup(ctx, configurationDocument, func() bool { return f.configuration != nil })
	for ctx.Err() == nil {
		after, known, wait := f.nextConfigurationRead()
		if !known {
			f.requestFromRandomPeer(configurationDocument)
		}
		if wait > 0 {
			sleep(ctx, wait, f.configurationWake)
			continue
		}
		started := time.Now()
		c, revision, err := f.fetchConfiguration(ctx, after)
		f.recordCall(callCheck, err)
		if fetcher.IsErrNotFound(err) {
			f.mu.Lock()
			f.configAbsent = true
			f.publishAgesAndUnlock()
			continue
		}
		if err != nil {
			f.c.Logger.Debug("read of the configuration failed", zap.Error(err))
			f.waitRetry(ctx, backoff)
			continue
		}
		backoff.Reset()
		f.handleConfiguration(c, revision, started)
		f.announce(nil)
	}
}

// nextConfigurationRead returns the store revision after which to read changes (0 to read the whole configuration), whether a
// configuration is known, and how long to wait before the read.
func (f *Follower) nextConfigurationRead() (after uint64, known bool, wait time.Duration) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	now := time.Now()
	known = f.configuration != nil
	newer := !known && f.wantedVersion > 0 && f.backendList.HasList() || known && f.wantedVersion > f.configuration.Version
	if newer {
		return f.configStoreRevision, known, max(f.wantedSince.Add(peerTransferTimeout).Sub(now), 0)
	}
	switch {
	case !known && (f.configAbsent || !f.backendList.HasList()):
		return 0, known, absentCheckInterval // the next read of the backend list or a watch brings it
	case f.calls.unavailable[callBackendList].Load():
		return f.configStoreRevision, known, retryMax // a read of the configuration would most likely fail like that of the backend list
	case !known:
		return 0, known, 0
	}
	return f.configStoreRevision, known, f.configurationPacer.NextRead(f.configAsOf, f.rank()).Add(checkDelay + f.configurationPacer.ReadDuration).Sub(now)
}

// fetchConfiguration reads a change of the configuration since the revision, or the whole configuration if the revision is 0 or too
// old for the platform's history.
func (f *Follower) fetchConfiguration(ctx context.Context, after uint64) (*directory.Configuration, uint64, error) {
	if after != 0 {
		c, revision, err := f.c.Source.AwaitConfiguration(ctx, after, 0)
		if !IsErrHistoryLost(err) {
			return c, revision, err
		}
	}
	return f.c.Source.Configuration(ctx)
}

// handleConfiguration applies the platform's answer to a call that started at asOf: a newer configuration, or nil, which confirms the
// one in force. It reports whether the configuration in force changed.
func (f *Follower) handleConfiguration(c *directory.Configuration, revision uint64, asOf time.Time) bool {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.configStoreRevision = max(f.configStoreRevision, revision)
	return f.adoptConfiguration(c, asOf)
}

// adoptConfiguration records that the configuration was current at asOf, puts c in force if it is newer than the one in force, and
// reports whether it did. A nil c confirms the one in force. The caller holds mu.
func (f *Follower) adoptConfiguration(c *directory.Configuration, asOf time.Time) bool {
	if asOf.After(f.configAsOf) {
		f.configAsOf = asOf
	}
	if c == nil || f.configuration != nil && c.Version <= f.configuration.Version {
		return false
	}
	f.configuration = c
	f.sendDeferredRelays(c.Version)
	f.c.Sink.SetConfiguration(c)
	f.c.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
	return true
}
