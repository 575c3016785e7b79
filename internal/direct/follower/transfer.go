package follower

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/bluebelldyke/bluebelldyke/internal/direct/encoder"
	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

const (
	// fragmentSize is the content length of the fragments of a document: a fragment fits a datagram.
	fragmentSize = 1100
	// maxCrossZoneFragments limits a document that is sent to another availability zone: one call to the platform costs as much as
	// 45 KB of traffic between zones.
	maxCrossZoneFragments = 16
	// sharedEncodingTime is how long an encoded document is kept for further requests: after a change, the daemons to which one daemon
	// announced it send their requests within a few milliseconds.
	sharedEncodingTime = 50 * time.Millisecond
)

// encodedDocument is the content of a document of this daemon with what its fragments state.
type encodedDocument struct {
	header  encoder.Fragment // of all fragments, without age, index and content
	asOf    time.Time
	digest  uint64
	content []byte
}

// fragment encodes one fragment of the document. Its age is that at the time of sending, which may be later than that of the request.
func (e *encodedDocument) fragment(now time.Time, index int, hasEra bool) ([]byte, error) {
	frag := e.header
	frag.Age, frag.HasEra, frag.Index = now.Sub(e.asOf), hasEra, index
	frag.Content = e.content[index*fragmentSize : min((index+1)*fragmentSize, len(e.content))]
	return frag.Encode()
}

// isSame reports whether two documents are encodings of the same state.
func (e *encodedDocument) isSame(other *encodedDocument) bool {
	return e.header.Document == other.header.Document && e.header.Position == other.header.Position && e.header.StoredAt == other.header.StoredAt &&
		e.header.Identity == other.header.Identity && e.digest == other.digest && e.asOf.Equal(other.asOf)
}

// encodeDocument returns the document as it is in force, nil if there is none. Requests of the same state within sharedEncodingTime share
// one encoding. The caller holds mu.
func (f *Follower) encodeDocument(d encoder.Document) (*encodedDocument, error) {
	e := &encodedDocument{header: encoder.Fragment{Document: d}}
	switch {
	case d == encoder.BackendListDocument && f.backendList.HasList():
		e.header.Position, e.header.Identity, e.asOf = f.backendList.Position(), f.backendList.Digest(), f.backendList.AsOf()
	case d == encoder.ConfigurationDocument && f.configuration != nil:
		e.header.Position, e.header.StoredAt, e.header.Identity, e.asOf = f.configCursor, f.configStoredAt, f.configuration.Version, f.configAsOf
		e.digest = f.configDigest
	default:
		return nil, nil
	}
	if shared := f.sharedEncodings[d]; shared != nil && shared.isSame(e) {
		return shared, nil
	}
	var err error
	if d == encoder.BackendListDocument {
		e.content, err = encoder.EncodeBackendList(f.backendList.BackendListAt(e.asOf))
	} else {
		e.content, err = encoder.EncodeConfiguration(f.configuration)
	}
	if err != nil {
		return nil, err
	}
	e.header.Count = (len(e.content) + fragmentSize - 1) / fragmentSize
	f.documents.encoded.Add(1)
	f.sharedEncodings[d] = e
	f.afterFunc(sharedEncodingTime, func() { // frees the memory
		f.mu.Lock()
		defer f.publishAgesAndUnlock()
		if f.sharedEncodings[d] == e {
			f.sharedEncodings[d] = nil
		}
	})
	return e, nil
}

// sendDocument sends a requested document to a peer in fragments. A large one goes to another availability zone only if the peer cannot
// read the platform, because a read costs less than the traffic between zones.
func (f *Follower) sendDocument(to netip.AddrPort, r *encoder.Request) {
	if r.Document == encoder.BackendListDocument {
		f.sendEvacuations(to)
		f.sendDepartures(to)
	}
	anySize := f.isZonePeer(to) || r.PlatformLost
	var e *encodedDocument
	var err error
	f.locked(func() {
		if f.isPaced() {
			f.addTransfer(transfer{to: to, kind: r.Document, hasEra: r.KnowsEras, anySize: anySize})
			return
		}
		e, err = f.encodeDocument(r.Document)
	})
	if err != nil || e == nil || !anySize && e.header.Count > maxCrossZoneFragments {
		return
	}
	now := time.Now()
	for i := range e.header.Count {
		payload, err := e.fragment(now, i, r.KnowsEras)
		if err != nil {
			f.c.Logger.Error("document not sent: encoding of a fragment failed", zap.Error(err))
			return
		}
		f.c.Peers.Notify(to, payload)
	}
}

// isZonePeer reports whether the address is that of a known member of the own availability zone.
func (f *Follower) isZonePeer(address netip.AddrPort) bool {
	return slices.Contains(f.c.Peers.ZoneMembers(), address)
}

// reassembly collects the fragments of a document.
type reassembly struct {
	position, storedAt directory.Position
	identity           uint64
	fragments          [][]byte
	missing            int
}

// matches reports whether the fragment belongs to the state of the document that is being collected.
func (r *reassembly) matches(frag *encoder.Fragment) bool {
	return r.position == frag.Position && r.storedAt == frag.StoredAt && r.identity == frag.Identity && len(r.fragments) == frag.Count
}

// add adds a fragment and returns the whole content once all fragments have arrived, nil before. A fragment of another state of the
// document starts over.
func (r *reassembly) add(frag *encoder.Fragment) []byte {
	if !r.matches(frag) {
		*r = reassembly{position: frag.Position, storedAt: frag.StoredAt, identity: frag.Identity, fragments: make([][]byte, frag.Count), missing: frag.Count}
	}
	if r.fragments[frag.Index] != nil {
		return nil
	}
	r.fragments[frag.Index] = frag.Content
	if r.missing--; r.missing > 0 {
		return nil
	}
	var content []byte
	for _, b := range r.fragments {
		content = append(content, b...)
	}
	*r = reassembly{}
	return content
}

// handleFragment adds a fragment of a peer and, once its document is complete, puts the document in force.
func (f *Follower) handleFragment(sender netip.AddrPort, frag *encoder.Fragment) {
	f.mu.Lock()
	defer f.publishAgesAndUnlock()
	f.source = sender.String()
	r := &f.reassemblies[frag.Document]
	began := !r.matches(frag)
	content := r.add(frag)
	if content == nil {
		if began {
			f.extendDownload(frag)
		}
		return
	}
	from := f.downloads[frag.Document].from
	f.endDownload(frag.Document)
	asOf := time.Now().Add(-frag.Age - transitTime)
	if frag.HasEra {
		f.noteEra(max(frag.Position.Era, frag.StoredAt.Era))
	} else {
		frag.Position = f.positionWithoutEra(frag.Position.Revision, asOf)
	}
	switch frag.Document {
	case encoder.BackendListDocument:
		l, err := encoder.DecodeBackendList(content)
		if err != nil {
			f.c.Logger.Warn("backend list of a peer dropped: decoding failed: check that all daemons run compatible versions", zap.Error(err))
			return
		}
		if f.tooStale(encoder.BackendListDocument, asOf) {
			return
		}
		l.Position = frag.Position
		_, outcome := f.backendList.Replace(asOf, l)
		f.publishBackendList(outcome)
		if f.isPaced() && from.IsValid() && outcome != lister.Changed {
			f.requestAgain(from)
		}
	case encoder.ConfigurationDocument:
		c, err := encoder.DecodeConfiguration(content)
		if err != nil {
			f.c.Logger.Warn("configuration of a peer dropped: decoding failed: check that all daemons run compatible versions", zap.Error(err))
			return
		}
		if f.tooStale(encoder.ConfigurationDocument, asOf) {
			return
		}
		c.Version, c.StoredAt = frag.Identity, frag.StoredAt
		if frag.HasEra {
			f.advanceCursor(frag.Position)
		}
		f.adoptConfiguration(c, asOf)
	}
}

// tooStale reports whether the document of a peer is too old to be the first one of this daemon: a peer that was partitioned still lists
// backend servers that have left and routes that were removed. A daemon that cannot read the platform accepts any age. The caller holds mu.
func (f *Follower) tooStale(d encoder.Document, asOf time.Time) bool {
	known, bound := f.backendList.HasList(), f.c.StalenessBounds.BackendList
	if d == encoder.ConfigurationDocument {
		known, bound = f.configuration != nil, f.c.StalenessBounds.Configuration
	}
	return !known && time.Since(asOf) > bound && !f.calls.unavailable[callBackendList].Load()
}
