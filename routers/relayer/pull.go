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
	// maxPullSources limits the peers that are stored as holders of a newer revision.
	maxPullSources = 4
	// maxRandomSources is the number of random members that are queried when the pulls from all known holders have failed. A few
	// seconds after a change most members hold it, while the next heartbeat may arrive only after a second.
	maxRandomSources = 3
	// hedgeDelay is how long a pull may take before a hedged pull from another source is started. maxConcurrentPulls limits the
	// concurrent pulls of a document. A pull of deltas takes milliseconds, but without hedging one that lost TCP segments would
	// delay the change by pullTimeout.
	hedgeDelay         = 400 * time.Millisecond
	maxConcurrentPulls = 3
	// pullTimeout limits one pull. The full settings tree with 29,000 backend servers has a few hundred KB when compressed.
	pullTimeout = 2 * time.Second
	// dialTimeout is shorter than the one second after which TCP retransmits a lost SYN, so that another peer is tried earlier. It
	// covers many round trips between availability zones. With 500 ms and a fifth of the segments lost, the last of 420 members
	// received a change after 5 s in the median and 7.9 s at worst.
	dialTimeout = 200 * time.Millisecond
)

// pullSources are the peers that announced the highest known revision of a document.
type pullSources struct {
	revision      uint64
	sources       []netip.AddrPort
	randomSources int // random members queried for the revision so far
}

// addPullSource stores a peer as a holder of the newer revision that it announced, and wakes runPulls. It does not wait for
// I/O.
func (r *Relayer) addPullSource(d *document, revision uint64, from netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s := &d.pullSources; {
	case revision > s.revision:
		*s = pullSources{revision: revision, sources: []netip.AddrPort{from}}
	case revision == s.revision && len(s.sources) < maxPullSources && !slices.Contains(s.sources, from):
		s.sources = append(s.sources, from)
	}
	select {
	case d.pullRequested <- struct{}{}:
	default:
	}
}

// runPulls pulls newer revisions of the document from the peers that announced them.
func (r *Relayer) runPulls(ctx context.Context, d *document) error {
	var pulls errgroup.Group
	pulls.SetLimit(maxConcurrentPulls)
	for {
		select {
		case <-ctx.Done():
			return pulls.Wait()
		case <-d.pullRequested:
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
					r.counters.pullFailures.Add(1)
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

// nextSource removes and returns a source of a revision that is higher than the one held: a peer that announced it, or a random
// member if none is left. Sources whose pull failed are not stored again, because the next heartbeats announce the revision.
func (r *Relayer) nextSource(d *document) (netip.AddrPort, bool) {
	randomPeer := r.cfg.Members.RandomPeers(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.pullSources
	switch {
	case s.revision <= d.reviser.Revision():
	case len(s.sources) > 0:
		source := s.sources[0]
		s.sources = s.sources[1:]
		return source, true
	case len(randomPeer) > 0 && s.randomSources < maxRandomSources:
		s.randomSources++
		return randomPeer[0], true
	}
	*s = pullSources{}
	return netip.AddrPort{}, false
}

// pullFrom fetches the changes since the revision held from one peer, and handles the resulting content as an offer.
func (r *Relayer) pullFrom(ctx context.Context, d *document, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	queriedAt := time.Now()
	d.mu.Lock()
	revision, base := d.reviser.Revision(), d.reviser.Content()
	d.mu.Unlock()
	u, err := r.fetchFromPeer(ctx, source, d.name, revision)
	if err != nil {
		return err
	}
	content := u.FullContent
	if len(u.Deltas) > 0 {
		content, err = reviser.ApplyDeltas(base, u, maxDocumentBytes)
		if differ.IsErrMismatch(err) {
			r.counters.deltaMismatches.Add(1)
			if u, err = r.fetchFromPeer(ctx, source, d.name, 0); err == nil {
				content = u.FullContent
			}
		}
		if err != nil {
			return err
		}
	}
	if !u.Unchanged {
		r.handleOffer(d, reviser.Offer{Revision: u.Revision, Content: content, Source: source.String()})
	}
	r.markConfirmed(d, queriedAt)
	return nil
}
