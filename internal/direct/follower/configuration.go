package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

const (
	// watchers is the number of daemons of each availability zone that watch the configuration; the others learn of a
	// change from them. The second one covers the loss of the first.
	watchers = 2
	// watchPause is the time between two looks at whether this daemon is to watch.
	watchPause = 500 * time.Millisecond
	// aloneFor is how long a daemon that knows no other one of its zone does not watch: daemons that start together know each other
	// after 1 to 2.2 s, and until then each would watch. A read of the list brings a change meanwhile.
	aloneFor = 3 * time.Second
	// absentPause is the time between two looks at whether there is a configuration. The operator writes the first one seconds before
	// traffic starts; watchers hear of it.
	absentPause = 500 * time.Millisecond
	// checkDelay is added to the time of a check, with the time of an answer: a read of the list confirms the configuration too, and
	// is due first.
	checkDelay = 250 * time.Millisecond
)

// watchConfiguration waits for changes, so that a change is in force at once.
func (f *Follower) watchConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	backoff.Min = retryMax // a change waits for it only if the watch of the other watcher fails too
	watcher := reader{document: configurationDocument}
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.configAt
		f.unlock()
		alone := len(f.c.Peers.Zone()) <= 1 && time.Since(f.ages.started) < aloneFor
		watches := after != 0 && !alone && f.rank().Member < watchers
		watcher.set(f, watches)
		if !watches { // a read of the list brings the first one
			sleep(ctx, watchPause, nil)
			continue
		}
		started := time.Now()
		c, at, err := f.c.Source.AwaitConfiguration(ctx, after, watchWait)
		f.called(callWatch, err)
		switch {
		case IsErrHistoryLost(err):
			f.mu.Lock()
			f.configAsOf = time.Time{}
			f.unlock()
			signal(f.configReads)
			f.retry(ctx, backoff)
		case err != nil:
			f.c.Logger.Debug("watch of the configuration failed", zap.Error(err))
			f.retry(ctx, backoff)
		default:
			backoff.Reset()
			if f.read(c, at, started) {
				f.announce(nil)
			}
		}
	}
}

// checkConfiguration reads whether there is a newer configuration whenever nobody has told so for too long: a watch may
// have gone silent. A read of the list brings the configuration too, so that only a daemon whose peers told it of a list, or of a
// newer version, asks for the configuration alone.
func (f *Follower) checkConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	f.join(ctx, configurationDocument, func() bool { return f.configuration != nil })
	for ctx.Err() == nil {
		at, known, wait := f.nextCheck()
		if !known {
			f.ask(configurationDocument)
		}
		if wait > 0 {
			sleep(ctx, wait, f.configReads)
			continue
		}
		started := time.Now()
		c, now, err := f.check(ctx, at)
		f.called(callCheck, err)
		if fetcher.IsErrNotFound(err) {
			f.mu.Lock()
			f.configAbsent = true
			f.unlock()
			continue
		}
		if err != nil {
			f.c.Logger.Debug("configuration not read", zap.Error(err))
			f.retry(ctx, backoff)
			continue
		}
		backoff.Reset()
		f.read(c, now, started)
		f.announce(nil)
	}
}

// nextCheck returns the revision after which the configuration is read, whether one is known, and how long to wait before the read.
func (f *Follower) nextCheck() (at uint64, known bool, wait time.Duration) {
	f.mu.Lock()
	defer f.unlock()
	now := time.Now()
	known = f.configuration != nil
	newer := !known && f.wanted > 0 && f.servers.HasList() || known && f.wanted > f.configuration.Version
	if newer {
		return f.configAt, known, max(f.wantedAt.Add(wantedWait).Sub(now), 0)
	}
	switch {
	case !known && (f.configAbsent || !f.servers.HasList()):
		return 0, known, absentPause // the next read of the list tells, or a watch
	case f.calls.lost[callListing].Load():
		return f.configAt, known, retryMax // what fails for the list would fail for the configuration
	case !known:
		return 0, known, 0
	}
	return f.configAt, known, f.configPace.NextRead(f.configAsOf, f.rank()).Add(checkDelay + f.configPace.ReadDuration).Sub(now)
}

func (f *Follower) check(ctx context.Context, after uint64) (*directory.Configuration, uint64, error) {
	if after != 0 {
		c, at, err := f.c.Source.AwaitConfiguration(ctx, after, 0)
		if !IsErrHistoryLost(err) {
			return c, at, err
		}
	}
	return f.c.Source.Configuration(ctx)
}

// read takes what the platform answered to a call that started at asOf, a newer configuration or none, and reports
// whether it changed what is in force.
func (f *Follower) read(c *directory.Configuration, at uint64, asOf time.Time) bool {
	f.mu.Lock()
	defer f.unlock()
	f.configAt = max(f.configAt, at)
	return f.adopt(c, asOf)
}

// adopt puts a configuration in force when it is newer than the one in force. The caller holds mu.
func (f *Follower) adopt(c *directory.Configuration, asOf time.Time) bool {
	if asOf.After(f.configAsOf) {
		f.configAsOf = asOf
	}
	if c == nil || f.configuration != nil && c.Version <= f.configuration.Version {
		return false
	}
	f.configuration = c
	f.release(c.Version)
	f.c.Sink.SetConfiguration(c)
	f.c.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
	return true
}
