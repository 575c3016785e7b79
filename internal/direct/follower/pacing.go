package follower

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/modules/throttler"
)

const (
	// pacedLinkShare is the share of the VM's link that documents for peers take. The rest is for the packets of callers.
	pacedLinkShare = 0.25
	// maxPacedBurst is the number of bytes that are sent without a wait. A backend list of 150 entries takes 8 KB.
	maxPacedBurst = 64_000
	// maxBurstTime limits the burst on slow links to what the link carries in this time.
	maxBurstTime = 100 * time.Millisecond
	// fragmentOverhead is what a datagram adds to an encoded fragment: headers of IP, UDP and package packer, the tag and the CBOR frame.
	fragmentOverhead = 100
	// minBurst holds two fragments, so that even the slowest link sends whole ones.
	minBurst = 2 * (fragmentSize + 2*fragmentOverhead)
	// minPacingPause is the shortest wait between fragments, because each wake-up costs processor time.
	minPacingPause = 5 * time.Millisecond
	// maxTransfers limits the documents that are being sent: one to each daemon of a large zone. A peer that gets none asks another one.
	maxTransfers = 512
	// pacedHopTime is the time that one step of the distribution of a document may take beside its burst: a zone of 420 daemons needs six
	// steps with two copies each, and a change may take the part of the bound that the pacer leaves, 0.6 s of 3 s.
	pacedHopTime = 50 * time.Millisecond
	// minFanOutDegree keeps the number of steps logarithmic.
	minFanOutDegree = 2
	// lateFactor times the expected time of a document is how long a peer may take to send it.
	lateFactor = 2
	// startupTransferLimit is how long a starting daemon waits at most for a document whose first fragments have arrived.
	startupTransferLimit = 300 * time.Millisecond
	// configurationTransferShare is the share of the bound of the configuration after which a daemon no longer waits for the rest of one
	// that a peer is sending. The rest is for a read of the platform and a retry.
	configurationTransferShare = 0.2
)

// transfer is a document that is being sent to a peer.
type transfer struct {
	to       netip.AddrPort
	kind     encoder.Document
	hasEra   bool
	anySize  bool             // also a large document is sent
	document *encodedDocument // nil while this daemon is downloading it itself
	next     int              // index of the next fragment
}

// download is a document that this daemon has requested from a peer. It is used only with pacing.
type download struct {
	from      netip.AddrPort // zero if no download is in progress
	started   time.Time
	deadline  time.Time
	receiving bool // the first fragment has arrived
	retried   bool // another peer was asked after the first one was late
}

// isPaced reports whether the documents for peers are paced.
func (f *Follower) isPaced() bool { return f.bucket != nil }

// newBucket returns the bucket of the documents for peers, nil without a link rate.
func newBucket(linkRate float64) *throttler.Throttler {
	if linkRate <= 0 {
		return nil
	}
	bytesPerSecond := linkRate / 8
	return throttler.New(bytesPerSecond*pacedLinkShare, max(min(maxPacedBurst, bytesPerSecond*maxBurstTime.Seconds()), minBurst))
}

// addTransfer queues a document for a peer. A daemon that requests a document again while it is being sent gets the rest of it, and after
// that the new state if there is one, because a new state between two fragments of an earlier one would make the peer drop both. The
// caller holds mu.
func (f *Follower) addTransfer(added transfer) {
	if !f.isDownloading(added.kind, time.Now()) {
		added.document, _ = f.encodeDocument(added.kind) // tried again by nextFragment
	}
	for i := range f.transfers {
		t := &f.transfers[i]
		if t.to != added.to || t.kind != added.kind {
			continue
		}
		if t.next == 0 {
			*t = added
			return
		}
		if added.document != nil && t.document.isSame(added.document) {
			return
		}
	}
	if len(f.transfers) < maxTransfers {
		f.transfers = append(f.transfers, added)
		signal(f.transferWake)
	}
}

// nextTransfer returns the index of the transfer whose fragment is sent next, -1 if there is none. First fragments go before others,
// because they tell the peer that the document is coming and how large it is. A document that this daemon is downloading itself has to
// wait, because the peer has heard of the new state from this daemon and would get the old one. The caller holds mu.
func (f *Follower) nextTransfer(now time.Time) int {
	next := -1
	for i, t := range f.transfers {
		if t.next > 0 {
			if next < 0 {
				next = i
			}
			continue
		}
		isEarlier := func(earlier transfer) bool { return earlier.to == t.to && earlier.kind == t.kind }
		if (t.document != nil || !f.isDownloading(t.kind, now)) && !slices.ContainsFunc(f.transfers[:i], isEarlier) {
			return i
		}
	}
	return next
}

// takeFragment returns the next fragment to send and its receiver. Without a payload, wait is how long to wait before the next call, 0 if
// there is nothing to send. The caller holds mu.
func (f *Follower) takeFragment(now time.Time) (to netip.AddrPort, payload []byte, wait time.Duration) {
	for {
		i := f.nextTransfer(now)
		if i < 0 {
			return to, nil, 0
		}
		t := &f.transfers[i]
		payload, err := f.nextFragment(now, t)
		if err != nil {
			f.c.Logger.Error("document not sent: encoding failed", zap.Error(err))
		}
		if payload != nil {
			if wait := f.bucket.Take(now, len(payload)+fragmentOverhead); wait > 0 {
				f.documents.paused.Add(1)
				return to, nil, max(wait, minPacingPause)
			}
			to = t.to
			t.next++
		}
		if payload == nil || t.next == t.document.header.Count {
			f.transfers = slices.Delete(f.transfers, i, i+1)
		}
		if payload != nil {
			return to, payload, 0
		}
	}
}

// nextFragment encodes the next fragment of a transfer, and the document if it was not known before. It returns nil if there is nothing to
// send. The caller holds mu.
func (f *Follower) nextFragment(now time.Time, t *transfer) ([]byte, error) {
	if t.document == nil {
		e, err := f.encodeDocument(t.kind)
		if err != nil || e == nil {
			return nil, err
		}
		t.document = e
	}
	if !t.anySize && t.document.header.Count > maxCrossZoneFragments {
		return nil, nil
	}
	return t.document.fragment(now, t.next, t.hasEra)
}

// wholeDocumentDegree returns to how many daemons this one announces a document that they have to request whole: those to which it can
// send it at once and within pacedHopTime. The caller holds mu.
func (f *Follower) wholeDocumentDegree() int {
	if !f.isPaced() {
		return fanOutDegree
	}
	size := f.lastSizes[encoder.BackendListDocument]
	if e, err := f.encodeDocument(encoder.BackendListDocument); err == nil && e != nil {
		size = e.header.Count * (fragmentSize + 2*fragmentOverhead)
	}
	copies := (f.bucket.Burst() + pacedHopTime.Seconds()*f.c.LinkRate/8*pacedLinkShare) / float64(max(size, 1))
	return max(min(int(copies), fanOutDegree), minFanOutDegree)
}

// staysInZone reports whether the document is too large to be sent to another availability zone, so that each zone reads it once. With
// pacing the first daemon of a zone reads as soon as it hears of a change, because the zone needs the rest of the bound to pass it on. The
// caller holds mu.
func (f *Follower) staysInZone(d encoder.Document) bool {
	e, err := f.encodeDocument(d)
	return err == nil && e != nil && e.header.Count > maxCrossZoneFragments
}

// sendPaced sends the queued documents until ctx ends.
func (f *Follower) sendPaced(ctx context.Context) {
	for ctx.Err() == nil {
		var to netip.AddrPort
		var payload []byte
		var wait time.Duration
		f.locked(func() { to, payload, wait = f.takeFragment(time.Now()) })
		switch {
		case payload != nil:
			f.c.Peers.Notify(to, payload)
		case wait > 0:
			sleep(ctx, wait, nil)
		default:
			select {
			case <-ctx.Done():
			case <-f.transferWake:
			}
		}
	}
}

// expectedTransferTime returns how long a peer with a link like that of this daemon takes to send the bytes after its burst. The caller
// holds mu.
func (f *Follower) expectedTransferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / (f.c.LinkRate / 8 * pacedLinkShare) * float64(time.Second))
}

// beginDownload records that a document was requested from a peer. The size is not known yet: the peer may take as long as for the last
// document of this kind. The caller holds mu.
func (f *Follower) beginDownload(from netip.AddrPort, d encoder.Document, now time.Time) {
	if !f.isPaced() {
		return
	}
	last := &f.downloads[d]
	retried := last.from.IsValid() && last.retried
	*last = download{from: from, started: now, retried: retried, deadline: now.Add(max(requestInterval, lateFactor*f.expectedTransferTime(f.lastSizes[d])))}
	f.scheduleDownloadCheck(d, now)
}

// extendDownload sets the deadline of a download, whose size the first fragment has told. The caller holds mu.
func (f *Follower) extendDownload(frag *encoder.Fragment) {
	dl := &f.downloads[frag.Document]
	if !dl.from.IsValid() {
		return
	}
	now := time.Now()
	dl.receiving = true
	dl.deadline = now.Add(max(requestInterval, lateFactor*f.expectedTransferTime(frag.Count*(fragmentSize+2*fragmentOverhead))))
	f.lastSizes[frag.Document] = frag.Count * fragmentSize
	f.scheduleDownloadCheck(frag.Document, now)
}

// endDownload records that a document is complete or no longer needed. The caller holds mu.
func (f *Follower) endDownload(d encoder.Document) {
	if f.downloads[d].from.IsValid() {
		f.downloads[d] = download{}
		signal(f.transferWake)
	}
}

// isDownloading reports whether a requested document is on its way and not late. The caller holds mu.
func (f *Follower) isDownloading(d encoder.Document, now time.Time) bool {
	dl := &f.downloads[d]
	return dl.from.IsValid() && now.Before(dl.deadline)
}

// scheduleDownloadCheck calls retryDownload at the deadline of a download. The caller holds mu.
func (f *Follower) scheduleDownloadCheck(d encoder.Document, now time.Time) {
	started, deadline := f.downloads[d].started, f.downloads[d].deadline
	f.afterFunc(deadline.Sub(now), func() { f.retryDownload(d, started, deadline) })
}

// retryDownload asks another peer for a document that is late, once. After that the platform is read when the age of the document in force
// requires it, as if no peer had announced a newer one.
func (f *Follower) retryDownload(d encoder.Document, started, deadline time.Time) {
	peers := f.preferStrong(f.zonePeers())
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	dl := &f.downloads[d]
	if !dl.from.IsValid() || !dl.started.Equal(started) || !dl.deadline.Equal(deadline) {
		return
	}
	peers = slices.DeleteFunc(peers, func(p netip.AddrPort) bool { return p == dl.from })
	if dl.retried || len(peers) == 0 || !f.needsDownload(d, started) {
		f.endDownload(d)
		return
	}
	dl.retried = true
	f.documents.retried.Add(1)
	f.sendRequest(peers[rand.IntN(len(peers))], d, f.calls.unavailable[callBackendList].Load())
}

// requestAgain requests the backend list again from a peer that has sent the one that this daemon already had: a daemon of an earlier
// version passes an announcement on before it has the list itself. The caller holds mu.
func (f *Follower) requestAgain(from netip.AddrPort) {
	announced := f.latestAnnouncement
	if announced.backendListDigest == f.backendList.Digest() {
		return
	}
	f.afterFunc(requestInterval/2, func() {
		f.mu.Lock()
		defer f.publishAgesAndUnlock()
		if f.latestAnnouncement == announced && announced.backendListDigest != f.backendList.Digest() && !f.isDownloading(encoder.BackendListDocument, time.Now()) {
			f.sendRequest(from, encoder.BackendListDocument, f.calls.unavailable[callBackendList].Load())
		}
	})
}

// needsDownload reports whether nothing has brought a document that was requested at the given time. The caller holds mu.
func (f *Follower) needsDownload(d encoder.Document, requested time.Time) bool {
	if d == encoder.ConfigurationDocument {
		return f.isWanted(f.wanted.version, f.wanted.storedAt) || f.configuration == nil
	}
	return f.backendList.AsOf().Before(requested)
}

// awaitDownload waits at startup for the rest of a document whose first fragments have arrived. The function isKnown is called with mu
// held.
func (f *Follower) awaitDownload(ctx context.Context, d encoder.Document, isKnown func() bool) {
	for limit := time.Now().Add(startupTransferLimit); ctx.Err() == nil && time.Now().Before(limit); sleep(ctx, minPacingPause, nil) {
		f.mu.Lock()
		waiting := !isKnown() && f.downloads[d].receiving && f.isDownloading(d, time.Now())
		f.publishAgesAndUnlock()
		if !waiting {
			return
		}
	}
}

// configurationDeadline returns until when a wanted configuration may still arrive from a peer before the platform is read. The caller
// holds mu.
func (f *Follower) configurationDeadline() time.Time {
	deadline := f.wanted.since.Add(peerTransferTimeout)
	dl := &f.downloads[encoder.ConfigurationDocument]
	if f.isPaced() && dl.receiving && dl.deadline.After(deadline) {
		limit := f.wanted.announcedAt.Add(time.Duration(configurationTransferShare * float64(f.c.StalenessBounds.Configuration)))
		if limit.After(deadline) {
			deadline = limit
		}
		if dl.deadline.Before(deadline) {
			deadline = dl.deadline
		}
	}
	return deadline
}
