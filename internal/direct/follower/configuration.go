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
	// absentPause is how long a configuration that does not exist is not asked for: the operator writes the first one
	// seconds before traffic starts.
	absentPause = 500 * time.Millisecond
	// checkDelay is added to the time of a check: a read of the list confirms the configuration too, and is due first.
	checkDelay = 250 * time.Millisecond
)

// watchConfiguration waits for changes, so that a change is in force at once.
func (f *Follower) watchConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	watcher := reader{document: configurationDocument}
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.configAt
		f.unlock()
		watches := after != 0 && f.rank().Member < watchers
		watcher.set(f, watches)
		if !watches { // checkConfiguration reads the first one
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
// have gone silent.
func (f *Follower) checkConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	asked := f.join(ctx, configurationDocument, func() bool { return f.configuration != nil })
	for ctx.Err() == nil {
		f.mu.Lock()
		at, known := f.configAt, f.configuration != nil
		due := f.configPace.Due(f.configAsOf, f.rank()).Add(checkDelay)
		if wanted := f.wantedAt.Add(wantedWait); known && wanted.Before(due) && f.wanted > f.configuration.Version {
			due = wanted
		}
		f.unlock()
		if !known {
			f.ask(configurationDocument)
		} else if wait := time.Until(due); wait > 0 && !asked {
			sleep(ctx, wait, f.configReads)
			continue
		}
		started := time.Now()
		c, now, err := f.check(ctx, at)
		f.called(callCheck, err)
		if err != nil {
			f.c.Logger.Debug("configuration not read", zap.Error(err))
			if fetcher.IsErrNotFound(err) {
				sleep(ctx, absentPause, nil)
			}
			f.retry(ctx, backoff)
			continue
		}
		asked = false
		backoff.Reset()
		f.read(c, now, started)
		f.announce(nil)
	}
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
	f.c.Sink.SetConfiguration(c)
	f.c.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
	return true
}
