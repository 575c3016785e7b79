package reviser

import (
	"encoding/binary"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
)

const (
	// DefaultMaxDeltas bounds the deltas kept. At 4,200 changes a day, 32 steps cover the last 11 minutes on average.
	DefaultMaxDeltas = 32
	// DefaultMaxDeltaBytes bounds the bytes of the deltas kept. Deltas are kept instead of older contents because a tree of
	// 29,000 backend servers has several MB and a daemon has 32 MB for control.
	DefaultMaxDeltaBytes = 256 << 10
	// seenLimit bounds the contents remembered by digest to detect two contents under one revision.
	seenLimit = 64
)

// Update brings a peer to the revision in force: nothing, a chain of deltas, or the whole content.
type Update struct {
	Revision uint64
	Digest   differ.Digest
	// Unchanged is set when the peer holds this revision or a higher one.
	Unchanged bool
	// Deltas lead from the peer's content to this revision, in order. Nil when FullContent is sent.
	Deltas      []differ.Delta
	FullContent []byte
}

// UpdateSince returns the update for a peer that holds revision after.
func (r *Reviser) UpdateSince(after uint64) Update {
	u := Update{Revision: r.revision, Digest: r.digest}
	if r.revision <= after {
		u.Unchanged = true
		return u
	}
	deltas, size := r.history.chain(after)
	if len(deltas) > 0 && size < len(r.content)/2 {
		u.Deltas = deltas
		return u
	}
	u.FullContent = r.content
	return u
}

type step struct {
	from  uint64
	delta differ.Delta
}

// history keeps the latest deltas, oldest first; each leads to the revision of the next step.
type history struct {
	maxSteps, maxBytes int
	steps              []step
	bytes              int
}

func newHistory(steps, bytes int) history {
	if steps <= 0 {
		steps = DefaultMaxDeltas
	}
	if bytes <= 0 {
		bytes = DefaultMaxDeltaBytes
	}
	return history{maxSteps: steps, maxBytes: bytes}
}

func (h *history) add(from uint64, before, after []byte) {
	if from == 0 {
		return
	}
	d := differ.Compute(before, after)
	for i := range d.Edits {
		d.Edits[i].Text = slices.Clone(d.Edits[i].Text)
	}
	h.steps = append(h.steps, step{from: from, delta: d})
	h.bytes += d.Size()
	for len(h.steps) > 0 && (len(h.steps) > h.maxSteps || h.bytes > h.maxBytes) {
		h.bytes -= h.steps[0].delta.Size()
		h.steps = slices.Delete(h.steps, 0, 1)
	}
}

func (h *history) chain(after uint64) ([]differ.Delta, int) {
	for i, s := range h.steps {
		if s.from != after {
			continue
		}
		var deltas []differ.Delta
		size := 0
		for _, s := range h.steps[i:] {
			deltas = append(deltas, s.delta)
			size += s.delta.Size()
		}
		return deltas, size
	}
	return nil, 0
}

// ApplyDeltas applies the deltas of u to before, which must be the content of the revision that was asked for. It fails
// with differ.ErrMismatch when the result does not have the digest that u promises.
func ApplyDeltas(before []byte, u Update, limit int) ([]byte, error) {
	content := before
	for _, d := range u.Deltas {
		var err error
		if content, err = differ.Apply(content, d, limit); err != nil {
			return nil, err
		}
	}
	if differ.DigestOf(content) != u.Digest {
		return nil, differ.ErrMismatch
	}
	return content, nil
}

type seenContent struct{ revision, prefix uint64 }

// seen remembers the latest accepted and rejected contents. The two lists are separate so that a flood of refused
// contents cannot displace the accepted ones.
type seen struct{ accepts, rejects []seenContent }

func (s *seen) accept(revision, prefix uint64) { s.accepts = remember(s.accepts, revision, prefix) }

func (s *seen) reject(revision, prefix uint64) { s.rejects = remember(s.rejects, revision, prefix) }

func remember(list []seenContent, revision, prefix uint64) []seenContent {
	if len(list) == seenLimit {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, seenContent{revision, prefix})
}

func (s *seen) conflicts(revision, prefix uint64) bool {
	return slices.ContainsFunc(s.accepts, func(c seenContent) bool { return c.revision == revision && c.prefix != prefix })
}

func (s *seen) rejected(revision, prefix uint64) bool {
	return slices.Contains(s.rejects, seenContent{revision, prefix})
}

func (s *seen) rejectedOther(revision uint64) bool {
	return slices.ContainsFunc(s.rejects, func(c seenContent) bool { return c.revision == revision })
}

// DigestPrefix returns the first eight bytes of a digest, as heartbeats carry them.
func DigestPrefix(d differ.Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }
