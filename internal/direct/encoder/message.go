package encoder

import (
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// The types below are the CBOR encoding of messages and documents. They are encoded as arrays, so the order of their fields is part of
// the format.

type wireFinding struct {
	_           struct{} `cbor:",toarray"`
	Server      uint64
	Incarnation int64
	Condition   uint8
}

// wireEvidence is the evidence of a daemon that cannot judge a backend server by its own flows alone. It is a separate kind of message,
// so that daemons of the previous version, which drop it, still decode the findings.
type wireEvidence struct {
	_                       struct{} `cbor:",toarray"`
	Server                  uint64
	Incarnation             int64
	Retransmitting, Stalled uint16
}

type wireRelay struct {
	_       struct{} `cbor:",toarray"`
	Targets [][]byte
	Payload []byte
}

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Content cbor.RawMessage
}

type wireAnnouncement struct {
	_                      struct{} `cbor:",toarray"`
	Zone                   string
	Revision, Base, Digest uint64
	Changed                []wireServer
	Removed                []uint64
	MoreFollow             bool
	BackendListAge         uint32 // ms
	ConfigVersion          uint64
	ConfigRoutes           uint32
	ConfigAge              uint32 // ms
}

// wireEraAnnouncement is an announcement with the eras of the positions in it.
type wireEraAnnouncement struct {
	_                                       struct{} `cbor:",toarray"`
	Announcement                            wireAnnouncement
	Era                                     uint64
	ConfigEra, ConfigRevision, ConfigDigest uint64
}

type wireRequest struct {
	_            struct{} `cbor:",toarray"`
	Document     uint8
	PlatformLost bool
}

type wireFragment struct {
	_                  struct{} `cbor:",toarray"`
	Document           uint8
	Revision, Identity uint64
	Age                uint32 // ms
	Index, Count       uint16
	Content            []byte
}

// wireEraFragment is a fragment with the eras of the positions in it.
type wireEraFragment struct {
	_                         struct{} `cbor:",toarray"`
	Fragment                  wireFragment
	Era                       uint64
	StoredEra, StoredRevision uint64
}

// decodeMode limits the nesting and the length of arrays, so that a malformed message cannot exhaust memory.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 8, MaxArrayElements: 65536, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// encodeMessage encodes a message of the kind with its content.
func encodeMessage(kind uint8, content any) ([]byte, error) {
	b, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encode a message to a peer")
	}
	b, err = cbor.Marshal(wireMessage{Kind: kind, Content: b})
	return b, eris.Wrap(err, "encode a message to a peer")
}

// Encode encodes the announcement. Forms of earlier versions lack some of its fields.
func (a *Announcement) Encode(form Form) ([]byte, error) {
	w := wireAnnouncement{
		Zone: a.Zone, Revision: a.Delta.Revision, Base: a.Delta.BaseDigest, Digest: a.Delta.Digest, MoreFollow: a.Delta.HasMore, BackendListAge: toMilliseconds(a.BackendListAge),
		ConfigVersion: a.ConfigVersion, ConfigRoutes: uint32(a.ConfigRoutes), ConfigAge: toMilliseconds(a.ConfigAge),
	}
	for i := range a.Delta.ChangedServers {
		w.Changed = append(w.Changed, serverToWire(&a.Delta.ChangedServers[i]))
	}
	for _, id := range a.Delta.RemovedIDs {
		w.Removed = append(w.Removed, uint64(id))
	}
	if form == WithoutEras || !a.HasEra {
		return encodeMessage(kindAnnouncement, w)
	}
	withEra := wireEraAnnouncement{
		Announcement: w, Era: a.Delta.Era, ConfigEra: a.ConfigStoredAt.Era, ConfigRevision: a.ConfigStoredAt.Revision, ConfigDigest: a.ConfigDigest,
	}
	if form == WithEvacuations {
		return a.encodeWithEvacuations(withEra)
	}
	return encodeMessage(kindEraAnnouncement, withEra)
}

// AddAge returns the announcement with its ages increased by d.
func AddAge(announcement []byte, d time.Duration) ([]byte, error) {
	m, err := Decode(announcement)
	if err != nil {
		return nil, err
	}
	a, ok := m.(*Announcement)
	if !ok {
		return nil, ErrMalformed
	}
	form := WithEras
	var w wireMessage
	if err := decodeMode.Unmarshal(announcement, &w); err == nil && w.Kind == kindZoneAnnouncement {
		form = WithEvacuations
	}
	a.BackendListAge += d
	a.ConfigAge += d
	if a.Evacuations != nil {
		a.Evacuations.Age += d
	}
	return a.Encode(form)
}

func (r *Request) Encode() ([]byte, error) {
	kind := uint8(kindRequest)
	if r.KnowsEras {
		kind = kindEraRequest
	}
	return encodeMessage(kind, wireRequest{Document: uint8(r.Document), PlatformLost: r.PlatformLost})
}

func (f *Fragment) Encode() ([]byte, error) {
	w := wireFragment{
		Document: uint8(f.Document), Revision: f.Position.Revision, Identity: f.Identity, Age: toMilliseconds(f.Age), Index: uint16(f.Index), Count: uint16(f.Count), Content: f.Content,
	}
	if !f.HasEra {
		return encodeMessage(kindFragment, w)
	}
	return encodeMessage(kindEraFragment, wireEraFragment{Fragment: w, Era: f.Position.Era, StoredEra: f.StoredAt.Era, StoredRevision: f.StoredAt.Revision})
}

func (l Findings) Encode() ([]byte, error) {
	w := make([]wireFinding, len(l))
	for i, f := range l {
		w[i] = wireFinding{Server: uint64(f.Server), Incarnation: f.Incarnation, Condition: uint8(f.Condition)}
	}
	return encodeMessage(kindFindings, w)
}

// FlowEvidence are findings of which peers get the number of flows that retransmit unanswered packets, but not the condition.
type FlowEvidence []steerer.Finding

func (l FlowEvidence) Encode() ([]byte, error) {
	w := make([]wireEvidence, len(l))
	for i, f := range l {
		w[i] = wireEvidence{
			Server: uint64(f.Server), Incarnation: f.Incarnation,
			Retransmitting: uint16(min(f.Evidence.RetransmittingFlows, 1<<16-1)), Stalled: uint16(min(f.Evidence.StalledFlows, 1<<16-1)),
		}
	}
	return encodeMessage(kindEvidence, w)
}

func decodeEvidence(b []byte) (any, error) {
	var w []wireEvidence
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	l := make(Findings, len(w))
	for i, f := range w {
		l[i] = steerer.Finding{
			Server: directory.ServerID(f.Server), Incarnation: f.Incarnation, Condition: steerer.Inconclusive,
			Evidence: steerer.Evidence{RetransmittingFlows: int(f.Retransmitting), StalledFlows: int(f.Stalled)},
		}
	}
	return l, nil
}

func decodeFindings(b []byte) (any, error) {
	var w []wireFinding
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	l := make(Findings, len(w))
	for i, f := range w {
		if f.Condition > uint8(steerer.Silent) {
			return nil, ErrMalformed
		}
		l[i] = steerer.Finding{Server: directory.ServerID(f.Server), Incarnation: f.Incarnation, Condition: steerer.Condition(f.Condition)}
	}
	return l, nil
}

// Decode decodes a message of a peer to an *Announcement, a *Request, a *Fragment, a *Relay, Findings or Departures.
func Decode(b []byte) (any, error) {
	var m wireMessage
	if err := decodeMode.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	switch m.Kind {
	case kindAnnouncement, kindEraAnnouncement, kindZoneAnnouncement:
		return decodeAnnouncement(m.Kind, m.Content)
	case kindRequest, kindEraRequest:
		var w wireRequest
		if err := decodeMode.Unmarshal(m.Content, &w); err != nil || w.Document >= DocumentCount {
			return nil, ErrMalformed
		}
		return &Request{Document: Document(w.Document), PlatformLost: w.PlatformLost, KnowsEras: m.Kind == kindEraRequest}, nil
	case kindFragment, kindEraFragment:
		return decodeFragment(m.Kind, m.Content)
	case kindFindings:
		return decodeFindings(m.Content)
	case kindEvidence:
		return decodeEvidence(m.Content)
	case kindRelay:
		return decodeRelay(m.Content)
	case kindDepartures:
		return decodeDepartures(m.Content)
	}
	return nil, ErrMalformed
}

func decodeFragment(kind uint8, b []byte) (*Fragment, error) {
	var era wireEraFragment
	var err error
	if kind == kindEraFragment {
		err = decodeMode.Unmarshal(b, &era)
	} else {
		err = decodeMode.Unmarshal(b, &era.Fragment)
	}
	w := &era.Fragment
	if err != nil || w.Document >= DocumentCount || w.Count == 0 || w.Count > MaxFragments || w.Index >= w.Count || len(w.Content) == 0 {
		return nil, ErrMalformed
	}
	return &Fragment{
		Document: Document(w.Document), Position: directory.Position{Era: era.Era, Revision: w.Revision}, Identity: w.Identity, Age: fromMilliseconds(w.Age),
		Index: int(w.Index), Count: int(w.Count), Content: w.Content,
		HasEra: kind == kindEraFragment, StoredAt: directory.Position{Era: era.StoredEra, Revision: era.StoredRevision},
	}, nil
}

func decodeAnnouncement(kind uint8, b []byte) (*Announcement, error) {
	var zone wireZoneAnnouncement
	era := &zone.Announcement
	var err error
	switch kind {
	case kindZoneAnnouncement:
		err = decodeMode.Unmarshal(b, &zone)
	case kindEraAnnouncement:
		err = decodeMode.Unmarshal(b, era)
	default:
		err = decodeMode.Unmarshal(b, &era.Announcement)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	w := &era.Announcement
	a := &Announcement{
		Zone: w.Zone, Delta: lister.Delta{Position: directory.Position{Era: era.Era, Revision: w.Revision}, BaseDigest: w.Base, Digest: w.Digest, HasMore: w.MoreFollow},
		BackendListAge: fromMilliseconds(w.BackendListAge), ConfigVersion: w.ConfigVersion, ConfigRoutes: int(w.ConfigRoutes), ConfigAge: fromMilliseconds(w.ConfigAge),
		HasEra: kind != kindAnnouncement, ConfigStoredAt: directory.Position{Era: era.ConfigEra, Revision: era.ConfigRevision}, ConfigDigest: era.ConfigDigest,
	}
	for i := range w.Changed {
		s, err := serverFromWire(&w.Changed[i])
		if err != nil {
			return nil, err
		}
		a.Delta.ChangedServers = append(a.Delta.ChangedServers, s)
	}
	for _, id := range w.Removed {
		a.Delta.RemovedIDs = append(a.Delta.RemovedIDs, directory.ServerID(id))
	}
	return a, zone.addTo(a)
}

func (r *Relay) Encode() ([]byte, error) {
	w := wireRelay{Payload: r.Payload, Targets: make([][]byte, len(r.Targets))}
	for i, t := range r.Targets {
		var err error
		if w.Targets[i], err = t.MarshalBinary(); err != nil {
			return nil, eris.Wrap(err, "encode the address of a relay target")
		}
	}
	return encodeMessage(kindRelay, w)
}

func decodeRelay(b []byte) (any, error) {
	var w wireRelay
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(ErrMalformed, "%v", err)
	}
	r := &Relay{Payload: w.Payload, Targets: make([]netip.AddrPort, len(w.Targets))}
	if len(w.Targets) > MaxRelayBytes/AddressBytes {
		return nil, ErrMalformed
	}
	for i, t := range w.Targets {
		if r.Targets[i].UnmarshalBinary(t) != nil || !r.Targets[i].IsValid() {
			return nil, ErrMalformed
		}
	}
	var inner wireMessage
	if err := decodeMode.Unmarshal(w.Payload, &inner); err != nil || !slices.Contains([]uint8{kindAnnouncement, kindEraAnnouncement, kindZoneAnnouncement}, inner.Kind) {
		return nil, ErrMalformed
	}
	return r, nil
}

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Milliseconds(), 1<<32-1))
}

func fromMilliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
