// Package reviser decides which offered revision of a document is applied. A revision is applied only if it is higher
// than the one in force and its whole content is valid; otherwise the last valid revision stays in force. The package
// uses no sockets, goroutines or clock.
package reviser

import (
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
	"github.com/bluebelldyke/bluebelldyke/modules/qualifier"
)

// Outcome is the result of one decision.
type Outcome string

// The outcomes of a decision.
const (
	// Applied means that the offered revision is now in force.
	Applied Outcome = "applied"
	// Ignored means that the offer changes nothing. It is not recorded in the audit trail.
	Ignored Outcome = "ignored"
	// Rejected means that the offer is refused and must be reported.
	Rejected Outcome = "rejected"
	// Waiting means that a root document is held but not in force, because a document that it refers to is missing.
	Waiting Outcome = "waiting"
	// LeftOut means that a part of a valid document is not in force, because it conflicts with another document or is an invalid entry.
	LeftOut Outcome = "left-out"
)

// Cause is the reason for the outcome of a decision.
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
	CauseInvalidEntry     Cause = "invalid-entry"
	CauseNotFollowed      Cause = "not-followed"
	// CauseEvacuationChanged means that a revision in force begins or ends the evacuation of places.
	CauseEvacuationChanged Cause = "evacuation-changed"
	// CauseRestoredContent means that a restored store holds the content in force, under a revision of its era.
	CauseRestoredContent Cause = "content-held-by-restored-store"
	// CauseRestoredCopy means that the offer may be older than the revision in force, because a restored store has lost that one.
	CauseRestoredCopy Cause = "older-in-restored-store"
)

// Offer is a revision of a document as received from a source.
type Offer struct {
	// Revision is qualified by the era of the platform's store, see qualifier.Qualify.
	Revision uint64
	Content  []byte
	// Source names the platform or the peer that sent the offer.
	Source string
}

// Decision is the result of one offer, with the fields of its audit entry.
type Decision struct {
	Time     time.Time
	Document string
	Revision uint64
	// RevisionInForce is the revision in force after the decision.
	RevisionInForce uint64
	Source          string
	Outcome         Outcome
	Cause           Cause
	// Detail describes the problem and names its remedy; empty when there is no problem.
	Detail string
}

// IsAuditable reports whether the decision belongs in the audit trail.
func (d Decision) IsAuditable() bool { return d.Outcome != Ignored }

// Validator validates the whole content of a revision. It is called only for offers that are applied if they are valid.
type Validator func(revision uint64, content []byte) error

// Config holds the settings of a Reviser.
type Config struct {
	// Document is the name of the document.
	Document string
	// MaxDeltas and MaxDeltaBytes limit the deltas kept for peers; 0 means DefaultMaxDeltas and DefaultMaxDeltaBytes.
	MaxDeltas, MaxDeltaBytes int
}

// Reviser holds the state of one document. It is not safe for concurrent use.
type Reviser struct {
	document    string
	revision    uint64
	minRevision uint64 // lower revisions are ignored, also while no content is held
	content     []byte
	digest      differ.Digest
	history     history
	decisions   decisions
}

// New returns a Reviser that holds no revision yet.
func New(c Config) *Reviser {
	return &Reviser{document: c.Document, history: newHistory(c.MaxDeltas, c.MaxDeltaBytes)}
}

// Release drops the content and its deltas when the document is no longer followed. Revisions lower than the released
// one are still ignored afterwards.
func (r *Reviser) Release() {
	r.minRevision = max(r.minRevision, r.revision)
	r.revision, r.content, r.digest = 0, nil, differ.Digest{}
	r.history = newHistory(r.history.maxDeltas, r.history.maxBytes)
}

// Revision returns the revision in force, or 0 if there is none.
func (r *Reviser) Revision() uint64 { return r.revision }

// Content returns the content in force. The caller must not modify it.
func (r *Reviser) Content() []byte { return r.content }

// Digest returns the digest of the content in force.
func (r *Reviser) Digest() differ.Digest { return r.digest }

// Decide evaluates an offer and takes ownership of its content if it is applied. The content must not be modified
// afterwards.
func (r *Reviser) Decide(now time.Time, o Offer, validate Validator) Decision {
	d := Decision{Time: now, Document: r.document, Revision: o.Revision, Source: o.Source}
	digest := differ.DigestOf(o.Content)
	d.Outcome, d.Cause, d.Detail = r.evaluate(o, digest, validate)
	if d.Outcome == Applied {
		r.history.add(r.revision, r.content, o.Content)
		r.revision, r.content, r.digest = o.Revision, o.Content, digest
		r.decisions.accept(o.Revision, DigestPrefix(digest))
	}
	if d.Cause == CauseRestoredCopy {
		r.decisions.passOver(o.Revision, DigestPrefix(digest))
	}
	if d.Outcome == Rejected {
		r.decisions.reject(o.Revision, DigestPrefix(digest))
	}
	d.RevisionInForce = r.revision
	return d
}

// NeedsValidation reports whether the offer would be applied if its content is valid. The content of all other offers
// need not be validated.
func (r *Reviser) NeedsValidation(o Offer) bool {
	outcome, _, _ := r.evaluate(o, differ.DigestOf(o.Content), nil)
	return outcome == Applied
}

// evaluate returns the outcome, cause and detail for an offer. A nil validator accepts every content.
func (r *Reviser) evaluate(o Offer, digest differ.Digest, validate Validator) (Outcome, Cause, string) {
	if o.Revision == 0 {
		return Rejected, CauseNoRevision, "revision 0 is invalid: number the revisions of the document from 1 at the source"
	}
	if cause := r.compareEras(o, digest); cause == CauseRestoredCopy {
		return Ignored, cause, ""
	} else if cause == CauseRestoredContent {
		return Applied, cause, ""
	}
	if r.decisions.isRejected(o.Revision, DigestPrefix(digest)) {
		return Ignored, CauseAlreadyRejected, ""
	}
	if r.decisions.conflictsWithAccepted(o.Revision, DigestPrefix(digest)) || (o.Revision == r.revision && digest != r.digest) {
		return Rejected, CauseContentConflict, "another content was accepted under this revision: publish the intended content under a new revision"
	}
	if o.Revision == r.revision {
		return Ignored, CauseSameRevision, ""
	}
	if o.Revision < max(r.revision, r.minRevision) {
		return Ignored, CauseLowerRevision, ""
	}
	if validate != nil {
		if err := validate(o.Revision, o.Content); err != nil {
			return Rejected, CauseInvalid, err.Error()
		}
	}
	if r.decisions.hasRejected(o.Revision) {
		return Applied, CauseHigherRevision, "another content under this revision was rejected as invalid: check the source that sent it"
	}
	return Applied, CauseHigherRevision, ""
}

// compareEras returns CauseRestoredContent or CauseRestoredCopy if they apply to an offer from a later era of the platform's store than the
// revision in force. In its own era the store may hold the older content of its copy, or what was written since. Content under a
// lower revision is taken for that of the copy, until the content in force is written again or the revisions have passed the lost ones.
func (r *Reviser) compareEras(o Offer, digest differ.Digest) Cause {
	era, revision := qualifier.Split(o.Revision)
	eraInForce, revisionInForce := qualifier.Split(r.revision)
	switch {
	case r.revision == 0 || era <= eraInForce:
		return ""
	case digest == r.digest:
		return CauseRestoredContent
	case revision < revisionInForce || r.decisions.wasAccepted(revision, DigestPrefix(digest)):
		return CauseRestoredCopy
	}
	return ""
}

// IsPassedOver reports whether the content was offered under the revision and ignored as that of an older copy of the store.
func (r *Reviser) IsPassedOver(revision, digestPrefix uint64) bool {
	return slices.Contains(r.decisions.passedOver, contentID{revision, digestPrefix})
}

// ComparePeerVersion compares the version that a peer announced, without content, with the one in force. It returns a
// decision if the peer holds another content under the revision in force and this has not been reported yet; prefix is
// the DigestPrefix of the peer's content.
func (r *Reviser) ComparePeerVersion(now time.Time, source string, revision, prefix uint64) (Decision, bool) {
	if revision == 0 || revision != r.revision || prefix == DigestPrefix(r.digest) {
		return Decision{}, false
	}
	if r.decisions.isRejected(revision, prefix) {
		return Decision{}, false
	}
	r.decisions.reject(revision, prefix)
	return Decision{
		Time: now, Document: r.document, Revision: revision, RevisionInForce: r.revision, Source: source, Outcome: Rejected,
		Cause: CauseContentConflict, Detail: "a peer holds another content under this revision: publish the intended content under a new revision",
	}, true
}
