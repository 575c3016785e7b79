package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

// pollBackendList reads the backend list, and with it the configuration, from the platform whenever a read is due or requested. It
// announces what it read to the peers.
func (f *Follower) pollBackendList(ctx context.Context) {
	backoff := f.newBackoff()
	state := readerState{view: backendListView}
	var lastRead time.Time
	failures := 0
	requested := f.requestAtStartup(ctx, encoder.BackendListDocument, f.hasInitialView)
	for ctx.Err() == nil {
		var known, complete bool
		var due time.Time
		f.locked(func() {
			known, complete = f.backendList.HasList(), f.hasInitialView()
			due = f.nextBackendListRead(f.rank())
		})
		if !complete {
			f.requestFromRandomPeer(encoder.BackendListDocument)
		}
		if wait := time.Until(due); known && wait > 0 && !requested {
			if time.Since(lastRead) > 2*f.c.StalenessBounds.BackendList { // peers have announced two reads meanwhile
				state.update(f, false)
			}
			requested = sleep(ctx, wait, f.backendListWake)
			continue
		}
		f.mu.Lock()
		knownPosition, knownZones := f.configDocumentPosition, f.evacuationPosition()
		f.publishAgesAndUnlock()
		started := time.Now()
		lastRead = started
		state.update(f, true)
		snapshot, err := f.c.Source.Read(ctx, knownPosition)
		f.recordCall(callBackendList, err)
		f.recordReadTime(time.Since(started), err)
		if err != nil {
			f.c.Logger.Debug("read of the backend list failed", zap.Error(err))
			failures++
			f.waitRetryBackendList(ctx, backoff, failures)
			continue
		}
		var zonesCurrent, superseded bool
		var deltas []lister.Delta
		var outcome lister.Outcome
		f.locked(func() {
			f.source = platformSource
			zonesCurrent = f.replaceEvacuations(started, snapshot.Evacuations, knownZones) // first, as the list ends the wait for new flows
			deltas, outcome = f.applySnapshot(started, &snapshot)
			superseded = f.backendList.AsOf().After(started)
		})
		if outcome == lister.Outdated && !superseded || !zonesCurrent {
			if outcome != lister.Outdated {
				f.announce(deltas)
			}
			failures++
			f.waitRetryBackendList(ctx, backoff, failures)
			continue
		}
		requested, failures = false, 0
		backoff.Reset()
		switch {
		case outcome == lister.Outdated:
		case known:
			f.announce(deltas)
		default:
			f.announceFirstRead(ctx, started)
		}
	}
}

// applySnapshot puts the result of a read that started at asOf in force. The caller holds mu.
func (f *Follower) applySnapshot(asOf time.Time, s *Snapshot) ([]lister.Delta, lister.Outcome) {
	f.noteEra(s.BackendList.Era)
	deltas, outcome := f.backendList.Replace(asOf, s.BackendList)
	f.publishBackendList(outcome)
	if outcome == lister.Outdated {
		f.recordOutdated(s.BackendList.Position, f.backendList.Position())
		return nil, outcome
	}
	if s.ConfigurationError == nil { // a watch from after a rejected configuration would confirm the one in force
		f.advanceCursor(s.BackendList.Position)
	}
	f.configAbsent = s.ConfigurationPosition.IsZero()
	switch {
	case f.configAbsent:
	case s.ConfigurationError != nil:
		f.recordRejected(s.ConfigurationPosition, s.ConfigurationError)
	default:
		// A snapshot without a configuration confirms the one in force, because its position has not changed.
		f.configDocumentPosition = s.ConfigurationPosition
		f.adoptConfiguration(s.Configuration, asOf)
	}
	return deltas, outcome
}

// recordRejected logs a configuration that cannot be used, once for each position. The one in force stays, and grows old. The caller holds mu.
func (f *Follower) recordRejected(at directory.Position, err error) {
	if at != f.rejectedPosition {
		f.rejectedPosition = at
		f.c.Logger.Warn("configuration rejected: the one in force stays, the backend list is followed", zap.Error(err))
	}
}

// waitRetryBackendList waits after a failed read of the backend list. The first daemons in the order of reading back off as after any
// failed call; the pacer decides how soon the others retry.
func (f *Follower) waitRetryBackendList(ctx context.Context, b *fetcher.Backoff, failures int) {
	delay, preceded := f.maxRetryDelay()
	if !preceded {
		f.waitRetry(ctx, b)
		return
	}
	b.Min, b.Max = delay, delay
	f.mu.Lock()
	wait := f.backendListPacer.RetryDelay(time.Now(), f.backendList.AsOf(), failures, b.Next())
	f.publishAgesAndUnlock()
	sleep(ctx, wait, nil)
}

// publishBackendList passes the backend list to the sink if the outcome is that it changed, or if it is the first one of an era. The
// caller holds mu.
func (f *Follower) publishBackendList(outcome lister.Outcome) {
	era := f.backendList.Position().Era
	if outcome == lister.Changed {
		f.recordChange(backendListView, f.backendList.Position().Revision, "")
		f.sendDeferredListRelays(f.backendList.Digest())
	}
	if outcome == lister.Changed || outcome == lister.Confirmed && era != f.publishedEra {
		f.publishedEra = era
		if f.holdsBackendList() {
			return
		}
		f.c.Sink.SetBackendList(f.backendList.BackendListAt(time.Now()))
	}
}

// RefreshBackendList triggers a read of the backend list at once, such as after a pause of the process.
func (f *Follower) RefreshBackendList() { signal(f.backendListWake) }
