package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
)

// watchConfiguration waits for changes, so that a change is in force at once.
func (f *Follower) watchConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.configAt
		f.mu.Unlock()
		if after == 0 { // checkConfiguration reads the first one
			sleep(ctx, paceInterval, nil)
			continue
		}
		started := time.Now()
		c, at, err := f.c.Source.AwaitConfiguration(ctx, after, watchWait)
		switch {
		case IsErrHistoryLost(err):
			signal(f.configReads)
			f.retry(ctx, backoff)
		case err != nil:
			f.c.Logger.Debug("watch of the configuration failed", zap.Error(err))
			f.retry(ctx, backoff)
		default:
			backoff.Reset()
			f.read(c, at, started)
		}
	}
}

// checkConfiguration reads whether there is a newer configuration whenever nobody has told so for too long: a watch may
// have gone silent.
func (f *Follower) checkConfiguration(ctx context.Context) {
	backoff := f.newBackoff()
	asked := false
	for ctx.Err() == nil {
		f.mu.Lock()
		at, known := f.configAt, f.configuration != nil
		due := !known || !time.Now().Before(f.configPace.Due(f.configAsOf, f.rank()))
		f.mu.Unlock()
		if !known {
			f.ask(configurationDocument)
		}
		if !due && !asked {
			asked = f.pause(ctx, f.configReads)
			continue
		}
		started := time.Now()
		c, now, err := f.check(ctx, at)
		if err != nil {
			f.c.Logger.Debug("configuration not read", zap.Error(err))
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

// read takes what the platform answered to a call that started at asOf: a newer configuration, or none.
func (f *Follower) read(c *directory.Configuration, at uint64, asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configAt = max(f.configAt, at)
	f.adopt(c, asOf)
}

// adopt puts a configuration in force when it is newer than the one in force. The caller holds mu.
func (f *Follower) adopt(c *directory.Configuration, asOf time.Time) {
	if asOf.After(f.configAsOf) {
		f.configAsOf = asOf
	}
	if c == nil || f.configuration != nil && c.Version <= f.configuration.Version {
		return
	}
	f.configuration = c
	f.c.Sink.SetConfiguration(c)
	f.c.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)))
}
