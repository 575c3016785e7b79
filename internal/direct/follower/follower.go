// Package follower keeps the configuration and the list of backend servers of one daemon current.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
)

const (
	// watchWait is how long one watch call waits for a change: the longest that the platform permits.
	watchWait = 30 * time.Second
	// listInterval is the time between two reads of the list of backend servers.
	listInterval = 800 * time.Millisecond
	// retryMin and retryMax bound the delay after a failed call. The list must be read again within the bound on leaving
	// backend servers (3 s) of the platform's return.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// ErrHistoryLost is returned by a Source that no longer has the changes after a revision.
var ErrHistoryLost = eris.New("the platform no longer has the changes since the revision held: read the configuration again")

// IsErrHistoryLost reports whether err is an ErrHistoryLost.
func IsErrHistoryLost(err error) bool { return eris.Is(err, ErrHistoryLost) }

// Source is the platform that publishes both.
type Source interface {
	// Configuration returns the newest configuration and its revision.
	Configuration(ctx context.Context) (*directory.Configuration, uint64, error)
	// AwaitConfiguration waits for a configuration after the revision. It returns none when wait passes without a change.
	AwaitConfiguration(ctx context.Context, after uint64, wait time.Duration) (*directory.Configuration, uint64, error)
	// Listing returns the backend servers.
	Listing(ctx context.Context) (*directory.Listing, error)
}

// Sink takes what is in force.
type Sink interface {
	SetConfiguration(c *directory.Configuration)
	SetListing(l *directory.Listing)
}

// Config holds what a Follower is made of.
type Config struct {
	Source Source
	Sink   Sink
	Logger *zap.Logger
	Random *rand.Rand
}

// Follower follows the platform for one daemon.
type Follower struct {
	c Config
}

// New returns a Follower.
func New(c Config) *Follower { return &Follower{c: c} }

// Run follows the platform until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.followConfiguration(ctx); return nil })
	group.Go(func() error { f.followListing(ctx); return nil })
	return group.Wait()
}

func (f *Follower) backoff() *fetcher.Backoff {
	return &fetcher.Backoff{Min: retryMin, Max: retryMax, Random: rand.New(rand.NewPCG(f.c.Random.Uint64(), f.c.Random.Uint64()))}
}

func (f *Follower) followConfiguration(ctx context.Context) {
	backoff := f.backoff()
	var revision, version uint64
	for ctx.Err() == nil {
		var c *directory.Configuration
		var at uint64
		var err error
		if revision == 0 {
			c, at, err = f.c.Source.Configuration(ctx)
		} else {
			c, at, err = f.c.Source.AwaitConfiguration(ctx, revision, watchWait)
		}
		if err != nil {
			if IsErrHistoryLost(err) {
				revision = 0
				continue
			}
			f.c.Logger.Debug("configuration not read", zap.Error(err))
			sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		revision = at
		if c != nil && c.Version > version {
			version = c.Version
			f.c.Sink.SetConfiguration(c)
		}
	}
}

func (f *Follower) followListing(ctx context.Context) {
	backoff := f.backoff()
	for ctx.Err() == nil {
		l, err := f.c.Source.Listing(ctx)
		if err != nil {
			f.c.Logger.Debug("list of backend servers not read", zap.Error(err))
			sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		f.c.Sink.SetListing(l)
		sleep(ctx, listInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
