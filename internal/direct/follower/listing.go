package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

// readListing reads the list of backend servers whenever it is due or asked for.
func (f *Follower) readListing(ctx context.Context) {
	backoff := f.newBackoff()
	asked := true
	for ctx.Err() == nil {
		f.mu.Lock()
		due := !f.servers.Known() || !time.Now().Before(f.listingPace.Due(f.servers.AsOf(), f.rank()))
		known := f.servers.Known()
		f.mu.Unlock()
		if !known {
			f.ask(listingDocument)
		}
		if !due && !asked {
			asked = f.pause(ctx, f.listingReads)
			continue
		}
		started := time.Now()
		l, err := f.c.Source.Listing(ctx)
		if err != nil {
			f.c.Logger.Debug("list of backend servers not read", zap.Error(err))
			f.retry(ctx, backoff)
			continue
		}
		asked = false
		backoff.Reset()
		f.mu.Lock()
		delta, outcome := f.servers.Replace(started, l)
		f.apply(outcome)
		f.mu.Unlock()
		if outcome != lister.Outdated {
			f.announce(&delta)
		}
	}
}

// pause waits until the ages are to be looked at again, and reports whether a read was asked for.
func (f *Follower) pause(ctx context.Context, wake <-chan struct{}) bool {
	timer := time.NewTimer(paceInterval)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

// apply hands a changed list to the sink. The caller holds mu.
func (f *Follower) apply(outcome lister.Outcome) {
	if outcome == lister.Changed || outcome == lister.Confirmed {
		f.c.Sink.SetListing(f.servers.Listing())
	}
}

// ReadListing asks for a read at once, because a packet names a backend server that is not in the list.
func (f *Follower) ReadListing() { signal(f.listingReads) }
