package relayer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

const (
	// maxSources bounds the peers remembered as holders of a newer revision.
	maxSources = 4
	// spareSources is the number of random members asked when all those named have failed. In the seconds after a
	// change most members hold it, and the next heartbeat may be a second away.
	spareSources = 3
	// hedgeDelay is how long a pull may take before another source is asked beside it, and maxPulls the number of pulls
	// of a document under way. Pulls of deltas take milliseconds; one that lost segments would delay the change by
	// pullTimeout.
	hedgeDelay = 400 * time.Millisecond
	maxPulls   = 3
	// pullTimeout bounds one pull. A whole tree of 29,000 backend servers takes a few hundred KB compressed.
	pullTimeout = 2 * time.Second
	// dialTimeout is below the one second after which TCP repeats a lost SYN: another peer is tried instead. It covers
	// many round trips between availability zones. With 500 ms and a fifth of the segments lost, the last of 420 members
	// had a change after 5 s in the median and 7.9 s at worst.
	dialTimeout = 200 * time.Millisecond
)

// hints are the peers said to hold a newer revision.
type hints struct {
	revision uint64
	sources  []netip.AddrPort
	spares   int // random members asked
}

// hint remembers that a peer holds a newer revision and wakes the puller. It never blocks for long.
func (r *Relayer) hint(d *document, revision uint64, from netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch h := &d.hints; {
	case revision > h.revision:
		*h = hints{revision: revision, sources: []netip.AddrPort{from}}
	case revision == h.revision && len(h.sources) < maxSources && !slices.Contains(h.sources, from):
		h.sources = append(h.sources, from)
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// pull fetches newer revisions from the peers said to hold them.
func (r *Relayer) pull(ctx context.Context, d *document) error {
	var pulls errgroup.Group
	pulls.SetLimit(maxPulls)
	for {
		select {
		case <-ctx.Done():
			return pulls.Wait()
		case <-d.wake:
		}
		for ctx.Err() == nil {
			source, ok := r.nextSource(d)
			if !ok {
				break
			}
			ended := make(chan struct{})
			pulls.Go(func() error {
				defer close(ended)
				if err := r.pullFrom(ctx, d, source); err != nil {
					r.counts.pullFailures.Add(1)
				}
				return nil
			})
			select {
			case <-ended:
			case <-time.After(hedgeDelay):
			}
		}
	}
}

// nextSource takes one source of a revision higher than the one held. Sources that failed are not kept: the next
// heartbeat names one again.
func (r *Relayer) nextSource(d *document) (netip.AddrPort, bool) {
	spare := r.c.Members.RandomPeers(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &d.hints
	switch {
	case h.revision <= d.reviser.Revision():
	case len(h.sources) > 0:
		source := h.sources[0]
		h.sources = h.sources[1:]
		return source, true
	case len(spare) > 0 && h.spares < spareSources:
		h.spares++
		return spare[0], true
	}
	*h = hints{}
	return netip.AddrPort{}, false
}

// pullFrom asks one peer for what is newer than the revision held and offers the result.
func (r *Relayer) pullFrom(ctx context.Context, d *document, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := time.Now()
	d.mu.Lock()
	after, before := d.reviser.Revision(), d.reviser.Content()
	d.mu.Unlock()
	u, err := r.fetch(ctx, source, d.name, after)
	if err != nil {
		return err
	}
	content := u.FullContent
	if len(u.Deltas) > 0 {
		content, err = reviser.ApplyDeltas(before, u, maxBytes)
		if differ.IsErrMismatch(err) {
			r.counts.mismatches.Add(1)
			if u, err = r.fetch(ctx, source, d.name, 0); err == nil {
				content = u.FullContent
			}
		}
		if err != nil {
			return err
		}
	}
	if !u.Unchanged {
		r.accept(d, reviser.Offer{Revision: u.Revision, Content: content, Source: source.String()})
	}
	r.confirmed(d, asked)
	return nil
}
