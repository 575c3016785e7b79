package reviser

import (
	"encoding/binary"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/modules/qualifier"
)

const (
	// DefaultMaxDeltas limits the number of deltas kept. At 4,200 changes a day, 32 deltas cover the last 11 minutes on
	// average.
	DefaultMaxDeltas = 32
	// DefaultMaxDeltaBytes limits the total size of the deltas kept. Deltas are kept instead of older contents because
	// the settings of 29,000 backend servers take several MB, and a daemon has a memory budget of 32 MB for control data.
	DefaultMaxDeltaBytes = 256 << 10
	// maxRememberedContents limits the accepted and the rejected contents that are remembered by digest, to detect two
	// contents under one revision.
	maxRememberedContents = 64
)

// Update brings a peer to the revision in force: nothing if it is up to date, a chain of deltas, or the full content.
type Update struct {
	Revision uint64
	Digest   differ.Digest
	// Unchanged is set when the peer holds this revision or a higher one.
	Unchanged bool
	// Deltas lead from the peer's content to this revision, in order. It is nil when FullContent is sent.
	Deltas      []differ.Delta
	FullContent []byte
}

// UpdateSince returns the update for a peer that holds the revision after. Deltas are used if they are smaller than half
// of the full content.
func (r *Reviser) UpdateSince(after uint64) Update {
	u := Update{Revision: r.revision, Digest: r.digest}
	if r.revision <= after {
		u.Unchanged = true
		return u
	}
	deltas, size := r.history.deltasSince(after)
	if len(deltas) > 0 && size < len(r.content)/2 {
		u.Deltas = deltas
		return u
	}
	u.FullContent = r.content
	return u
}

// revisionDelta is the delta from the content of a revision to that of the next applied one.
type revisionDelta struct {
	fromRevision uint64
	delta        differ.Delta
}

// history keeps the latest deltas, oldest first. The newest one leads to the revision in force.
type history struct {
	maxDeltas, maxBytes int
	deltas              []revisionDelta
	bytes               int // total size of deltas
}

func newHistory(maxDeltas, maxBytes int) history {
	if maxDeltas <= 0 {
		maxDeltas = DefaultMaxDeltas
	}
	if maxBytes <= 0 {
		maxBytes = DefaultMaxDeltaBytes
	}
	return history{maxDeltas: maxDeltas, maxBytes: maxBytes}
}

// add records the delta between two contents and drops the oldest deltas that exceed the limits. There is no delta from
// revision 0, which stands for no content.
func (h *history) add(fromRevision uint64, before, after []byte) {
	if fromRevision == 0 {
		return
	}
	d := differ.Compute(before, after)
	for i := range d.Edits {
		d.Edits[i].Text = slices.Clone(d.Edits[i].Text)
	}
	h.deltas = append(h.deltas, revisionDelta{fromRevision: fromRevision, delta: d})
	h.bytes += d.Size()
	for len(h.deltas) > 0 && (len(h.deltas) > h.maxDeltas || h.bytes > h.maxBytes) {
		h.bytes -= h.deltas[0].delta.Size()
		h.deltas = slices.Delete(h.deltas, 0, 1)
	}
}

// deltasSince returns the deltas from a revision to the one in force and their total size, or nil if the history does
// not reach back to that revision.
func (h *history) deltasSince(revision uint64) ([]differ.Delta, int) {
	for i, d := range h.deltas {
		if d.fromRevision != revision {
			continue
		}
		var deltas []differ.Delta
		size := 0
		for _, d := range h.deltas[i:] {
			deltas = append(deltas, d.delta)
			size += d.delta.Size()
		}
		return deltas, size
	}
	return nil, 0
}

// ApplyDeltas applies the deltas of u to before, which must be the content of the revision for which u was requested. It
// fails with differ.ErrMismatch if the result does not have the digest of u.
func ApplyDeltas(before []byte, u Update, maxBytes int) ([]byte, error) {
	content := before
	for _, d := range u.Deltas {
		var err error
		if content, err = differ.Apply(content, d, maxBytes); err != nil {
			return nil, err
		}
	}
	if differ.DigestOf(content) != u.Digest {
		return nil, differ.ErrMismatch
	}
	return content, nil
}

// contentID identifies the content of a revision by the DigestPrefix of the content.
type contentID struct{ revision, digestPrefix uint64 }

// decisions holds the latest accepted and rejected contents, and those passed over as older. The lists are separate so that a flood of
// rejected contents cannot displace the accepted ones.
type decisions struct{ accepted, rejected, passedOver []contentID }

// wasAccepted reports whether the content was accepted under the revision of any era.
func (d *decisions) wasAccepted(revision, prefix uint64) bool {
	return slices.ContainsFunc(d.accepted, func(c contentID) bool {
		_, accepted := qualifier.Split(c.revision)
		return accepted == revision && c.digestPrefix == prefix
	})
}

// passOver records that the content was ignored under the revision as that of an older copy of the store.
func (d *decisions) passOver(rev, prefix uint64) { d.passedOver = record(d.passedOver, rev, prefix) }

// accept records that the content was accepted under the revision.
func (d *decisions) accept(rev, prefix uint64) { d.accepted = record(d.accepted, rev, prefix) }

// reject records that the content was rejected under the revision.
func (d *decisions) reject(rev, prefix uint64) { d.rejected = record(d.rejected, rev, prefix) }

// record appends a content to the list and drops the oldest one if the list is full.
func record(list []contentID, revision, prefix uint64) []contentID {
	if len(list) == maxRememberedContents {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, contentID{revision, prefix})
}

// conflictsWithAccepted reports whether another content was accepted under the revision.
func (d *decisions) conflictsWithAccepted(revision, prefix uint64) bool {
	return slices.ContainsFunc(d.accepted, func(c contentID) bool { return c.revision == revision && c.digestPrefix != prefix })
}

// isRejected reports whether this content was rejected under the revision.
func (d *decisions) isRejected(revision, prefix uint64) bool {
	return slices.Contains(d.rejected, contentID{revision, prefix})
}

// hasRejected reports whether any content was rejected under the revision.
func (d *decisions) hasRejected(revision uint64) bool {
	return slices.ContainsFunc(d.rejected, func(c contentID) bool { return c.revision == revision })
}

// DigestPrefix returns the first eight bytes of a digest, which heartbeats carry in place of the whole digest.
func DigestPrefix(d differ.Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }
