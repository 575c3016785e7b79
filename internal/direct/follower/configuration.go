package follower

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
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
// once. After a loss of the platform's history it first reads the configuration, to know where to continue.
func (f *Follower) watchConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	backoff.Min = retryMax // delays a change only if the other watcher fails too
	state := readerState{view: configurationView}
	historyLost := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		cursor, after, known := f.configCursor, f.watchPosition(), f.configuration != nil
		f.cancelWatch = cancel
		f.publishAgesAndUnlock()
		alone := len(f.c.Peers.ZoneMembers()) <= 1 && time.Since(f.ages.started) < singleMemberWatchDelay
		watching := (known || !after.IsZero()) && !alone && f.rank().Member < watchersPerZone
		state.update(f, watching)
		if !watching { // without a position to watch from, a read of the backend list brings the first configuration
			cancel()
			sleep(ctx, watcherCheckInterval, nil)
			continue
		}
		started := time.Now()
		kind := callWatch
		var changes Changes
		var err error
		if after.IsZero() {
			kind = callCheck
			changes.Configuration, changes.Position, err = f.c.Source.Configuration(ctx)
		} else {
			changes, err = f.c.Source.AwaitConfiguration(callCtx, after, watchWait)
		}
		canceled := err != nil && callCtx.Err() != nil
		cancel()
		if canceled {
			continue
		}
		f.recordCall(kind, err)
		switch {
		case IsErrHistoryLost(err):
			f.forgetCursor(cursor, after)
			if historyLost {
				f.waitRetry(ctx, backoff)
			}
			historyLost = true
		case err != nil:
			f.c.Logger.Debug("watch of the configuration failed", zap.Error(err))
			f.waitRetry(ctx, backoff)
		default:
			historyLost = historyLost && kind == callCheck
			backoff.Reset()
			configurationChanged, zonesChanged := f.handleChanges(after, &changes, started)
			switch {
			case configurationChanged:
				f.announce(nil)
			case zonesChanged:
				f.announceEvacuations()
			}
		}
	}
}

// forgetCursor makes the next read of the configuration a whole one, unless the cursor has moved meanwhile. The platform could not
// continue a watch from the lost position.
func (f *Follower) forgetCursor(cursor, lost directory.Position) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.lostWatchPosition = lost
	if f.configCursor == cursor {
		f.configCursor = directory.Position{}
	}
}

// advanceCursor moves the cursor to a later position of the present era. The caller holds mu.
func (f *Follower) advanceCursor(to directory.Position) {
	if to.Era == f.era {
		f.configCursor = directory.Later(f.configCursor, to)
	}
}

// pollConfiguration reads the configuration whenever it was not confirmed for too long, because a watch may have stopped reporting
// changes without an error. Reads of the backend list confirm the configuration too, so that only a daemon that got its backend list
// from peers, or to which a peer announced a newer version, reads the configuration alone.
func (f *Follower) pollConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	f.requestAtStartup(ctx, encoder.ConfigurationDocument, func() bool { return f.configuration != nil })
	for ctx.Err() == nil {
		after, known, wait := f.nextConfigurationRead()
		if !known {
			f.requestFromRandomPeer(encoder.ConfigurationDocument)
		}
		if wait > 0 {
			sleep(ctx, wait, f.configurationWake)
			continue
		}
		started := time.Now()
		changes, from, err := f.fetchConfiguration(ctx, after)
		f.recordCall(callCheck, err)
		if fetcher.IsErrNotFound(err) {
			f.locked(func() {
				f.configAbsent = true
				if f.configuration != nil { // a restored store has lost it
					f.adoptConfiguration(nil, started)
					f.requestWanted(started)
				}
			})
			continue
		}
		if err != nil {
			f.c.Logger.Debug("read of the configuration failed", zap.Error(err))
			f.waitRetry(ctx, backoff)
			continue
		}
		backoff.Reset()
		f.handleChanges(from, &changes, started)
		f.locked(func() { f.requestWanted(started) })
		f.announce(nil)
	}
}

// nextConfigurationRead returns the position after which to read changes (zero to read the whole configuration), whether a
// configuration is known, and how long to wait before the read.
func (f *Follower) nextConfigurationRead() (after directory.Position, known bool, wait time.Duration) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	now := time.Now()
	known = f.configuration != nil
	if f.isWanted(f.wanted.version, f.wanted.storedAt) && (known || f.backendList.HasList()) {
		return f.configCursor, known, max(f.configurationDeadline().Sub(now), 0)
	}
	switch {
	case !known && (f.configAbsent || !f.backendList.HasList()):
		return directory.Position{}, known, absentCheckInterval // the next read of the backend list or a watch brings it
	case f.calls.unavailable[callBackendList].Load():
		return f.configCursor, known, retryMax // a read of the configuration would most likely fail like that of the backend list
	case !known:
		return directory.Position{}, known, 0
	}
	return f.configCursor, known, f.configurationPacer.NextRead(f.configAsOf, f.rank()).Add(checkDelay + f.configurationPacer.ReadDuration).Sub(now)
}

// fetchConfiguration reads a change of the configuration since the position, or the whole configuration if the position is zero or no
// longer in the platform's history. It returns the position from which the changes continue, zero for a whole configuration.
func (f *Follower) fetchConfiguration(ctx context.Context, after directory.Position) (Changes, directory.Position, error) {
	if !after.IsZero() {
		changes, err := f.c.Source.AwaitConfiguration(ctx, after, 0)
		if !IsErrHistoryLost(err) {
			return changes, after, err
		}
	}
	var changes Changes
	var err error
	changes.Configuration, changes.Position, err = f.c.Source.Configuration(ctx)
	return changes, directory.Position{}, err
}

// handleChanges applies the platform's answer to a call that started at asOf: a newer configuration, or nil, which confirms the one in
// force, and the changes of the evacuated zones after the position after, which is zero if the answer does not cover them. It reports
// whether the configuration and the evacuated zones in force changed.
func (f *Follower) handleChanges(after directory.Position, changes *Changes, asOf time.Time) (configuration, zones bool) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.source = platformSource
	f.noteEra(changes.Position.Era)
	f.advanceCursor(changes.Position)
	zones = f.applyEvacuationChanges(asOf, after, changes)
	return f.adoptConfiguration(changes.Configuration, asOf), zones
}

// adoptConfiguration records that the configuration was current at asOf, puts c in force if it supersedes the one in force, and
// reports whether it did. A nil c confirms the one in force. The caller holds mu.
func (f *Follower) adoptConfiguration(c *directory.Configuration, asOf time.Time) bool {
	if asOf.After(f.configAsOf) {
		f.configAsOf = asOf
	}
	if c == nil {
		return false
	}
	digest := encoder.DigestConfiguration(c)
	if f.configuration != nil {
		switch {
		case c.Version < f.configuration.Version:
			return false
		case c.Version == f.configuration.Version && digest == f.configDigest:
			f.configStoredAt = directory.Later(f.configStoredAt, c.StoredAt)
			if f.c.LimitsColdServers && len(c.Services) > 0 && len(f.configuration.Services) == 0 { // the one in force is from a peer
				f.configuration = c
				f.c.Sink.SetConfiguration(c)
			}
			return false
		case c.Version == f.configuration.Version && c.StoredAt.Era <= f.configStoredAt.Era:
			return false // two contents of one version: the first one stays
		}
	}
	f.configuration, f.configDigest, f.configStoredAt = c, digest, c.StoredAt
	f.recordChange(configurationView, c.Version, fmt.Sprintf("%d routes", len(c.Routes)))
	f.sendDeferredRelays(c.Version)
	f.c.Sink.SetConfiguration(c)
	f.c.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
	return true
}

// wantedConfiguration is a newer configuration that a peer announced.
type wantedConfiguration struct {
	version  uint64
	storedAt directory.Position
	since    time.Time // from when on it may be obtained from a peer; after peerTransferTimeout the platform is read
	// announcedAt is when it was first announced.
	announcedAt time.Time
	from        netip.AddrPort
}

// isWanted reports whether a peer has announced a configuration that supersedes the one in force. The caller holds mu.
func (f *Follower) isWanted(version uint64, storedAt directory.Position) bool {
	if f.configuration == nil {
		return version > 0
	}
	return version > f.configuration.Version || version == f.configuration.Version && storedAt.Era > f.configStoredAt.Era
}

// requestWanted requests the wanted configuration from the peer that announced it if a read of the platform that started at started has
// not brought it, because a restored store may have lost it. The caller holds mu.
func (f *Follower) requestWanted(started time.Time) {
	if started.Before(f.wanted.announcedAt) {
		return // the announcement arrived during the read
	}
	if f.isWanted(f.wanted.version, f.wanted.storedAt) {
		f.sendRequest(f.wanted.from, encoder.ConfigurationDocument, true)
	}
	f.wanted = wantedConfiguration{}
}
