// Package reviser decides which offered revision of a document is applied. A revision is applied only when it is
// strictly higher than the one in force and valid as a whole; everything else leaves the last good revision in force.
// The package uses no sockets, goroutines or clock.
package reviser

import (
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
)

// Outcome is the result of one decision.
type Outcome string

// The outcomes of a decision.
const (
	// Applied means that the offered revision is now in force.
	Applied Outcome = "applied"
	// Ignored means that the offer brought nothing new; it is not worth an audit entry.
	Ignored Outcome = "ignored"
	// Rejected means that the offer is refused and must be reported.
	Rejected Outcome = "rejected"
	// Waiting means that a root is held but not in force, because a document that it names is missing.
	Waiting Outcome = "waiting"
	// LeftOut means that a part of a valid document is not in force, because another document contradicts it.
	LeftOut Outcome = "left-out"
)

// Cause tells why a decision has its outcome.
type Cause string

// The causes of a decision.
const (
	CauseHigherRevision   Cause = "higher-revision"
	CauseSameRevision     Cause = "same-revision"
	CauseLowerRevision    Cause = "lower-revision"
	CauseInvalid          Cause = "invalid"
	CauseContentConflict  Cause = "two-contents-under-one-revision"
	CauseAlreadyRejected  Cause = "already-rejected"
	CauseNoRevision       Cause = "no-revision"
	CauseMissingDocuments Cause = "missing-documents"
	CauseDocumentConflict Cause = "conflict-between-documents"
	CauseNotFollowed      Cause = "not-followed"
)

// Offer is a revision of a document as some source presents it.
type Offer struct {
	Revision uint64
	Content  []byte
	// Source names the platform or the peer that sent the offer.
	Source string
}

// Decision is the typed result of one offer. It carries what an audit entry needs.
type Decision struct {
	Time     time.Time
	Document string
	Revision uint64
	// RevisionInForce is the revision in force after the decision.
	RevisionInForce uint64
	Source          string
	Outcome         Outcome
	Cause           Cause
	// Detail is the error of an invalid content, with its remedy.
	Detail string
}

// IsAuditable reports whether the decision belongs in the audit trail.
func (d Decision) IsAuditable() bool { return d.Outcome != Ignored }

// Validator validates a content as a whole. It is called only for offers that would otherwise be applied.
type Validator func(revision uint64, content []byte) error

// Config holds what a Reviser is made of.
type Config struct {
	// Document is the name of the document.
	Document string
	// MaxDeltas and MaxDeltaBytes bound the deltas kept for peers; 0 means DefaultMaxDeltas and DefaultMaxDeltaBytes.
	MaxDeltas, MaxDeltaBytes int
}

// Reviser holds the state of one document. It is not safe for concurrent use.
type Reviser struct {
	document string
	revision uint64
	floor    uint64 // lowest revision that is applied
	content  []byte
	digest   differ.Digest
	history  history
	seen     seen
}

// New returns a Reviser that holds no revision yet.
func New(c Config) *Reviser {
	return &Reviser{document: c.Document, history: newHistory(c.MaxDeltas, c.MaxDeltaBytes)}
}

// Release forgets the content and its deltas, for a document that is no longer followed. A lower revision is not applied
// afterwards either.
func (r *Reviser) Release() {
	r.floor = max(r.floor, r.revision)
	r.revision, r.content, r.digest = 0, nil, differ.Digest{}
	r.history = newHistory(r.history.maxSteps, r.history.maxBytes)
}

// Revision returns the revision in force, 0 when there is none.
func (r *Reviser) Revision() uint64 { return r.revision }

// Content returns the content in force. The caller must not change it.
func (r *Reviser) Content() []byte { return r.content }

// Digest returns the digest of the content in force.
func (r *Reviser) Digest() differ.Digest { return r.digest }

// Decide judges an offer and takes over its content when it is applied. The content must not change afterwards.
func (r *Reviser) Decide(now time.Time, o Offer, check Validator) Decision {
	d := Decision{Time: now, Document: r.document, Revision: o.Revision, Source: o.Source}
	digest := differ.DigestOf(o.Content)
	d.Outcome, d.Cause, d.Detail = r.judge(o, digest, check)
	if d.Outcome == Applied {
		r.history.add(r.revision, r.content, o.Content)
		r.revision, r.content, r.digest = o.Revision, o.Content, digest
		r.seen.accept(o.Revision, DigestPrefix(digest))
	}
	if d.Outcome == Rejected {
		r.seen.reject(o.Revision, DigestPrefix(digest))
	}
	d.RevisionInForce = r.revision
	return d
}

// NeedsValidation reports whether an offer is applied when it is valid, so that its content has to be checked.
func (r *Reviser) NeedsValidation(o Offer) bool {
	valid, _, _ := r.judge(o, differ.DigestOf(o.Content), nil)
	return valid == Applied
}

func (r *Reviser) judge(o Offer, digest differ.Digest, check Validator) (Outcome, Cause, string) {
	if o.Revision == 0 {
		return Rejected, CauseNoRevision, "revision 0 is not a revision: the source must number its documents from 1"
	}
	if r.seen.rejected(o.Revision, DigestPrefix(digest)) {
		return Ignored, CauseAlreadyRejected, ""
	}
	if r.seen.conflicts(o.Revision, DigestPrefix(digest)) || (o.Revision == r.revision && digest != r.digest) {
		return Rejected, CauseContentConflict, "another content was accepted under this revision: publish the intended content under a new revision"
	}
	if o.Revision == r.revision {
		return Ignored, CauseSameRevision, ""
	}
	if o.Revision < max(r.revision, r.floor) {
		return Ignored, CauseLowerRevision, ""
	}
	if check != nil {
		if err := check(o.Revision, o.Content); err != nil {
			return Rejected, CauseInvalid, err.Error()
		}
	}
	if r.seen.rejectedOther(o.Revision) {
		return Applied, CauseHigherRevision, "another content under this revision was refused as invalid: check the source that sent it"
	}
	return Applied, CauseHigherRevision, ""
}

// ComparePeerVersion judges a version that a peer reports without its content. It returns a decision when the peer holds another
// content under the revision in force; prefix is the first eight bytes of the peer's digest.
func (r *Reviser) ComparePeerVersion(now time.Time, source string, revision, prefix uint64) (Decision, bool) {
	if revision == 0 || revision != r.revision || prefix == DigestPrefix(r.digest) {
		return Decision{}, false
	}
	if r.seen.rejected(revision, prefix) {
		return Decision{}, false
	}
	r.seen.reject(revision, prefix)
	return Decision{
		Time: now, Document: r.document, Revision: revision, RevisionInForce: r.revision, Source: source, Outcome: Rejected,
		Cause: CauseContentConflict, Detail: "a peer holds another content under this revision: publish the intended content under a new revision",
	}, true
}
