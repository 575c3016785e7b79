package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/modules/fetcher"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

// readListing reads the list of backend servers, and with it the configuration, whenever it is due or asked for.
func (f *Follower) readListing(ctx context.Context) {
	backoff := f.newBackoff()
	self := reader{document: listingDocument}
	var last time.Time
	failures := 0
	asked := f.join(ctx, listingDocument, f.servers.HasList)
	for ctx.Err() == nil {
		f.mu.Lock()
		known := f.servers.HasList()
		due := f.listingPace.NextRead(f.servers.AsOf(), f.rank())
		f.unlock()
		if !known {
			f.ask(listingDocument)
		} else if wait := time.Until(due); wait > 0 && !asked {
			if time.Since(last) > 2*f.c.Bounds.Leaving { // peers have told of two reads meanwhile
				self.set(f, false)
			}
			asked = sleep(ctx, wait, f.listingReads)
			continue
		}
		f.mu.Lock()
		read := f.configRead
		f.unlock()
		started := time.Now()
		last = started
		self.set(f, true)
		snapshot, err := f.c.Source.Read(ctx, read)
		f.called(callListing, err)
		f.took(time.Since(started), err)
		if err != nil {
			f.c.Logger.Debug("platform not read", zap.Error(err))
			failures++
			f.retryListing(ctx, backoff, failures)
			continue
		}
		asked, failures = false, 0
		backoff.Reset()
		f.mu.Lock()
		steps, outcome := f.servers.Replace(started, snapshot.Listing)
		f.apply(outcome)
		changed := false
		if outcome != lister.Outdated {
			f.configAt = max(f.configAt, snapshot.Listing.Revision)
			f.configAbsent = snapshot.ConfigurationRevision == 0
		}
		if outcome != lister.Outdated && !f.configAbsent {
			// An unchanged revision confirms the configuration in force.
			f.configRead = snapshot.ConfigurationRevision
			changed = f.adopt(snapshot.Configuration, started)
		}
		f.unlock()
		if outcome != lister.Outdated || changed {
			f.announce(steps)
		}
	}
}

// retryListing waits after a failed read.
func (f *Follower) retryListing(ctx context.Context, b *fetcher.Backoff, failures int) {
	most, follows := f.retryMost()
	if !follows {
		f.retry(ctx, b)
		return
	}
	b.Min, b.Max = most, most
	f.mu.Lock()
	wait := f.listingPace.RetryDelay(time.Now(), f.servers.AsOf(), failures, b.Next())
	f.unlock()
	sleep(ctx, wait, nil)
}

// apply hands a changed list to the sink. The caller holds mu.
func (f *Follower) apply(outcome lister.Outcome) {
	if outcome == lister.Changed {
		f.c.Sink.SetListing(f.servers.BackendList())
	}
}

// ReadListing asks for a read at once, such as after a pause of the process.
func (f *Follower) ReadListing() { signal(f.listingReads) }
