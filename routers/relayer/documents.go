package relayer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/models/settings"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/reviser"
)

// notifyPeers is the number of members told of a new revision. With 4, notifications alone reach about 98% of a zone;
// heartbeats repair the rest.
const notifyPeers = 4

// document is one document and where to get newer revisions of it.
type document struct {
	name string
	id   uint32
	// settings is set for a document of the settings tree, and unset for a VM list.
	settings bool
	parse    func(revision uint64, content []byte) (any, error)
	version  atomic.Pointer[packer.Version] // what heartbeats tell
	// confirmedAt and refreshedAt are Unix ns; see fresh for those of the root.
	confirmedAt, refreshedAt atomic.Int64
	wanted                   atomic.Bool // a refresh is asked for
	followed                 bool        // guarded by Relayer.apply

	mu      sync.Mutex
	reviser *reviser.Reviser
	hints   hints
	wake    chan struct{} // capacity 1: hints are waiting
	packed  packed
}

func newDocument(name string, parse func(uint64, []byte) (any, error)) *document {
	d := &document{
		name: name, id: settings.DocumentID(name), parse: parse, followed: true,
		reviser: reviser.New(reviser.Config{Document: name}), wake: make(chan struct{}, 1),
	}
	d.version.Store(&packer.Version{})
	return d
}

// release forgets the content of a document that is no longer followed.
func (d *document) release() {
	d.followed = false
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reviser.Release()
	d.hints = hints{}
	d.packed.clear()
	d.version.Store(&packer.Version{})
}

func (d *document) revision() uint64 { return d.version.Load().Revision }

// accept judges an offer and puts it in force when it is applied. It reports whether the offer was applied.
func (r *Relayer) accept(d *document, o reviser.Offer) bool {
	decision, entries := r.decide(d, o)
	r.counts.decided(decision)
	for _, e := range entries {
		r.record(e)
	}
	if decision.Outcome != reviser.Applied {
		return false
	}
	r.notify(d, decision.Revision)
	return true
}

// decide returns the decision about an offer and the audit entries that it causes.
func (r *Relayer) decide(d *document, o reviser.Offer) (reviser.Decision, []AuditEntry) {
	r.apply.Lock()
	defer r.apply.Unlock()
	if !d.followed { // the answer to a question from before
		return reviser.Decision{Document: d.name, Revision: o.Revision, Outcome: reviser.Ignored, Cause: reviser.CauseNotFollowed}, nil
	}
	// Parsing a large tree takes a while, so it runs before d.mu is taken: peers are served meanwhile.
	var parsed any
	var failure error
	d.mu.Lock()
	undecided := d.reviser.NeedsValidation(o)
	d.mu.Unlock()
	if undecided {
		parsed, failure = d.parse(o.Revision, o.Content)
	}
	d.mu.Lock()
	decision := d.reviser.Decide(time.Now(), o, func(uint64, []byte) error { return failure })
	digest := d.reviser.Digest()
	d.mu.Unlock()
	if decision.Outcome == reviser.Applied {
		d.version.Store(&packer.Version{Revision: decision.Revision, Prefix: reviser.DigestPrefix(digest)})
		return decision, r.combine(decision, parsed)
	}
	if decision.IsAuditable() {
		return decision, []AuditEntry{decision}
	}
	return decision, nil
}

func (r *Relayer) record(e AuditEntry) {
	if r.c.Audit != nil {
		r.c.Audit.Record(e)
	}
	fields := []zap.Field{
		zap.String("document", e.Document), zap.Uint64("revision", e.Revision), zap.Uint64("held", e.RevisionInForce),
		zap.String("source", e.Source), zap.String("cause", string(e.Cause)), zap.String("detail", e.Detail),
	}
	switch e.Outcome {
	case reviser.Rejected:
		r.logger.Warn("revision rejected", fields...)
	case reviser.Waiting:
		r.logger.Warn("revision waits for other documents", fields...)
	case reviser.LeftOut:
		r.logger.Warn("part of a document left out", fields...)
	default:
		r.logger.Info("revision applied", fields...)
	}
}

// Versions returns what heartbeats tell of the documents held; a heartbeat takes a part of the places.
func (r *Relayer) Versions() packer.Versions {
	var v packer.Versions
	for _, d := range r.all() {
		switch held := *d.version.Load(); {
		case d.name == SettingsDocument:
			v.Settings = held
		case d.name == VMListDocument:
			v.VMs = held
		case held.Revision > 0:
			v.Places = append(v.Places, packer.PlaceVersion{Document: d.id, Version: held})
		}
	}
	return v
}

// HandleVersions takes what the heartbeat of a peer tells. It never blocks.
func (r *Relayer) HandleVersions(from netip.AddrPort, v packer.Versions) {
	r.heard(from, r.document(SettingsDocument), v.Settings)
	r.heard(from, r.document(VMListDocument), v.VMs)
	for _, p := range v.Places {
		if d := r.documentByID(p.Document); d != nil && d.name != SettingsDocument && d.name != VMListDocument {
			r.heard(from, d, p.Version)
		}
	}
}

func (r *Relayer) heard(from netip.AddrPort, d *document, v packer.Version) {
	held := *d.version.Load()
	switch {
	case v.Revision > held.Revision:
		r.counts.repairs.Add(1)
		r.hint(d, v.Revision, from)
	case v.Revision == held.Revision && v.Prefix != held.Prefix && d.mu.TryLock():
		e, conflict := d.reviser.ComparePeerVersion(time.Now(), from.String(), v.Revision, v.Prefix)
		d.mu.Unlock()
		if conflict {
			r.counts.decided(e)
			r.record(e)
		}
	}
	if held.Revision > 0 && v.Revision <= held.Revision {
		r.confirmed(d, time.Now())
	}
}
