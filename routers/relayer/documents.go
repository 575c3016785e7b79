package relayer

import (
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// notifyFanOut is the number of members that are notified of a new revision. With 4, notifications alone reach about 98% of a
// zone; the other members learn of the revision from heartbeats.
const notifyFanOut = 4

// errParseFailed is the problem of a document that cannot be parsed because of a fault of this daemon.
var errParseFailed = eris.New("internal error: publish another revision, and report the log line of the panic")

// document is the state of one document, with the peers from which newer revisions can be pulled.
type document struct {
	name string
	id   uint32
	// isSettings is true for the root settings document and place documents, and false for VM lists.
	isSettings bool
	parse      func(revision uint64, content []byte) (any, error)
	version    atomic.Pointer[packer.Version] // announced by heartbeats
	// confirmedAt is when the revision held was last compared with a source, in Unix ns: the time at which the query was sent,
	// or at which a heartbeat was handled. For the root settings document it is kept in freshness. lastRefresh is the time of
	// the last query that Refresh started, in Unix ns.
	confirmedAt, lastRefresh atomic.Int64
	refreshRequested         atomic.Bool // by Refresh
	followed                 bool        // guarded by Relayer.applyMu

	mu            sync.Mutex
	reviser       *reviser.Reviser
	pullSources   pullSources
	pullRequested chan struct{} // capacity 1: signals that a pull source was added
	sealedContent sealedCache
}

// newDocument returns a followed document without content.
func newDocument(name string, parse func(uint64, []byte) (any, error)) *document {
	d := &document{
		name: name, id: settings.DocumentID(name), parse: parse, followed: true,
		reviser: reviser.New(reviser.Config{Document: name}), pullRequested: make(chan struct{}, 1),
	}
	d.version.Store(&packer.Version{})
	return d
}

// release drops the content of a document that is no longer followed.
func (d *document) release() {
	d.followed = false
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reviser.Release()
	d.pullSources = pullSources{}
	d.sealedContent.clear()
	d.version.Store(&packer.Version{})
}

// isPassedOver reports whether the version is known to be older than the one held although its revision is higher.
func (d *document) isPassedOver(v packer.Version) bool {
	if !d.mu.TryLock() {
		return false
	}
	defer d.mu.Unlock()
	return d.reviser.IsPassedOver(v.Revision, v.DigestPrefix)
}

// revision returns the revision held, or 0.
func (d *document) revision() uint64 { return d.version.Load().Revision }

// handleOffer decides about an offer, records the decision, and notifies peers if the offer was applied. It reports whether
// the offer was applied.
func (r *Relayer) handleOffer(d *document, o reviser.Offer) bool {
	decision, entries := r.decide(d, o)
	r.counters.countDecision(decision)
	for _, e := range entries {
		r.record(e)
	}
	if decision.Outcome != reviser.Applied {
		return false
	}
	r.notifyPeers(d, decision.Revision)
	return true
}

// decide decides about an offer and publishes the view if the offer is applied. It returns the decision and the audit entries
// that it causes.
func (r *Relayer) decide(d *document, o reviser.Offer) (reviser.Decision, []AuditEntry) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if !d.followed { // the query was sent while the document was still followed
		return reviser.Decision{Document: d.name, Revision: o.Revision, Outcome: reviser.Ignored, Cause: reviser.CauseNotFollowed}, nil
	}
	// Parsing a large settings tree takes long, so it runs without d.mu, which is needed to respond to fetches of peers.
	var parsed any
	var validationErr error
	d.mu.Lock()
	needsValidation := d.reviser.NeedsValidation(o)
	d.mu.Unlock()
	if needsValidation {
		parsed, validationErr = r.parse(d, o)
	}
	d.mu.Lock()
	decision := d.reviser.Decide(time.Now(), o, func(uint64, []byte) error { return validationErr })
	digest := d.reviser.Digest()
	d.mu.Unlock()
	if decision.Outcome == reviser.Applied {
		d.version.Store(&packer.Version{Revision: decision.Revision, DigestPrefix: reviser.DigestPrefix(digest)})
		return decision, r.updateCombination(decision, parsed)
	}
	if decision.IsAuditable() {
		return decision, []AuditEntry{decision}
	}
	return decision, nil
}

// parse parses the content of an offer. A panic counts as invalid content, so that the revision in force stays.
func (r *Relayer) parse(d *document, o reviser.Offer) (parsed any, err error) {
	if !r.cfg.Recoverer.Do("document", len(o.Content), func() { parsed, err = d.parse(o.Revision, o.Content) }) {
		return nil, errParseFailed
	}
	return parsed, err
}

// maxDetailBytes limits the detail of a log line, because a document can have any number of problems.
const maxDetailBytes = 4096

// shorten returns the text with at most maxDetailBytes.
func shorten(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxDetailBytes], "") + "…"
}

// record writes an entry to the audit trail and the log.
func (r *Relayer) record(e AuditEntry) {
	if r.cfg.Audit != nil {
		r.cfg.Audit.Record(e)
	}
	fields := []zap.Field{
		zap.String("document", e.Document), zap.Uint64("revision", e.Revision), zap.Uint64("held", e.RevisionInForce),
		zap.String("source", e.Source), zap.String("cause", string(e.Cause)), zap.String("detail", shorten(e.Detail)),
	}
	switch e.Outcome {
	case reviser.Rejected:
		r.logger.Warn("revision rejected", fields...)
	case reviser.Waiting:
		r.logger.Warn("revision waits for missing place documents", fields...)
	case reviser.LeftOut:
		r.logger.Warn("part of a document left out", fields...)
	default:
		if e.Cause == reviser.CauseEvacuationChanged {
			r.logger.Info("evacuation changed", fields...)
			return
		}
		r.logger.Info("revision applied", fields...)
	}
}

// Versions returns the versions of the documents held, for heartbeats to announce. One heartbeat carries only some of the
// place documents.
func (r *Relayer) Versions() packer.Versions {
	var v packer.Versions
	for _, d := range r.followedDocuments() {
		switch held := *d.version.Load(); {
		case d.name == SettingsDocument:
			v.Settings = held
		case d.name == VMListDocument:
			v.VMs = held
		case held.Revision > 0:
			v.Places = append(v.Places, packer.PlaceVersion{DocumentID: d.id, Version: held})
		}
	}
	return v
}

// HandleVersions handles the document versions that the heartbeat of a peer announces. It does not block.
func (r *Relayer) HandleVersions(from netip.AddrPort, v packer.Versions) {
	r.handleVersion(from, r.documentByName(SettingsDocument), v.Settings)
	r.handleVersion(from, r.documentByName(VMListDocument), v.VMs)
	for _, p := range v.Places {
		if d := r.documentByID(p.DocumentID); d != nil && d.name != SettingsDocument && d.name != VMListDocument {
			r.handleVersion(from, d, p.Version)
		}
	}
}

// handleVersion handles the version of one document that a peer announced. It requests a pull if the peer holds a higher revision,
// and records a rejection if the peer holds another content under the same revision.
func (r *Relayer) handleVersion(from netip.AddrPort, d *document, v packer.Version) {
	held := *d.version.Load()
	switch {
	case v.Revision > held.Revision && !d.isPassedOver(v):
		r.counters.heartbeatRepairs.Add(1)
		r.addPullSource(d, v.Revision, from)
	case v.Revision == held.Revision && v.DigestPrefix != held.DigestPrefix && d.mu.TryLock():
		decision, conflict := d.reviser.ComparePeerVersion(time.Now(), from.String(), v.Revision, v.DigestPrefix)
		d.mu.Unlock()
		if conflict {
			r.counters.countDecision(decision)
			r.record(decision)
		}
	}
	if held.Revision > 0 && v.Revision <= held.Revision {
		r.markConfirmed(d, time.Now())
	}
}
