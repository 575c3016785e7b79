package follower

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// document identifies one of the documents that daemons exchange.
type document uint8

const (
	backendListDocument   document = 0
	configurationDocument document = 1
	documentCount                  = 2
)

// The kinds of messages between daemons.
const (
	kindAnnouncement = 1
	kindRequest      = 2
	kindFragment     = 3
	kindFindings     = 4
	kindEvidence     = 5
	kindRelay        = 6
	// The kinds below carry the era of the platform's store. Daemons of earlier versions drop them and get the kinds above.
	kindEraAnnouncement = 7
	kindEraRequest      = 8
	kindEraFragment     = 9
)

// errMalformed is returned for a message that this version cannot decode.
var errMalformed = eris.New("message of a peer is malformed: check that all daemons run compatible versions")

// announcement tells peers which backend list and configuration a daemon has, and how old they are. Each announcement
// carries one of the deltas that lead from the previous backend list to the current one.
type announcement struct {
	zone           string
	delta          lister.Delta // Revision 0: the daemon has no backend list
	backendListAge time.Duration
	configVersion  uint64 // 0: the daemon has no configuration
	configRoutes   int
	configAge      time.Duration
	hasEra         bool // false for an announcement of an earlier version, which lacks the fields below and the era of the delta
	configStoredAt directory.Position
	configDigest   uint64
}

// request asks a peer for a whole document.
type request struct {
	document document
	// platformLost is set by a daemon that cannot read the platform, so that peers send the document whatever its size.
	platformLost bool
	knowsEras    bool // the requesting daemon understands a fragment with an era
}

// fragment is a part of a whole document.
type fragment struct {
	document document
	position directory.Position // of the platform's store when the document was current
	identity uint64             // digest of a backend list, version of a configuration
	age      time.Duration
	index    int
	count    int
	content  []byte
	hasEra   bool               // false for a fragment of an earlier version, which lacks the era of the position and the field below
	storedAt directory.Position // of a configuration
}

// findings are health findings: what a daemon concluded about the condition of backend servers.
type findings []steerer.Finding

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

type wireServer struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Service     string
	IP          []byte
	Port        uint16
	Zone        string
	Slots       uint16
	Leaving     bool
	WarmUp      uint32 // ms
	Incarnation int64
}

type wireRoute struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	IP              []byte
	Port            uint16
	Services        []string
	Weights         []uint32
	Timeout, Target uint32 // ms
	Priority        int16
}

type wireConfiguration struct {
	_           struct{} `cbor:",toarray"`
	IdleTimeout uint32   // ms
	Routes      []wireRoute
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

// encode encodes the announcement, without eras for a daemon of an earlier version.
func (a *announcement) encode(withEra bool) ([]byte, error) {
	w := wireAnnouncement{
		Zone: a.zone, Revision: a.delta.Revision, Base: a.delta.BaseDigest, Digest: a.delta.Digest, MoreFollow: a.delta.HasMore, BackendListAge: toMilliseconds(a.backendListAge),
		ConfigVersion: a.configVersion, ConfigRoutes: uint32(a.configRoutes), ConfigAge: toMilliseconds(a.configAge),
	}
	for i := range a.delta.ChangedServers {
		w.Changed = append(w.Changed, serverToWire(&a.delta.ChangedServers[i]))
	}
	for _, id := range a.delta.RemovedIDs {
		w.Removed = append(w.Removed, uint64(id))
	}
	if !withEra || !a.hasEra {
		return encodeMessage(kindAnnouncement, w)
	}
	return encodeMessage(kindEraAnnouncement, wireEraAnnouncement{
		Announcement: w, Era: a.delta.Era, ConfigEra: a.configStoredAt.Era, ConfigRevision: a.configStoredAt.Revision, ConfigDigest: a.configDigest,
	})
}

func (r *request) encode() ([]byte, error) {
	kind := uint8(kindRequest)
	if r.knowsEras {
		kind = kindEraRequest
	}
	return encodeMessage(kind, wireRequest{Document: uint8(r.document), PlatformLost: r.platformLost})
}

func (f *fragment) encode() ([]byte, error) {
	w := wireFragment{
		Document: uint8(f.document), Revision: f.position.Revision, Identity: f.identity, Age: toMilliseconds(f.age), Index: uint16(f.index), Count: uint16(f.count), Content: f.content,
	}
	if !f.hasEra {
		return encodeMessage(kindFragment, w)
	}
	return encodeMessage(kindEraFragment, wireEraFragment{Fragment: w, Era: f.position.Era, StoredEra: f.storedAt.Era, StoredRevision: f.storedAt.Revision})
}

func (l findings) encode() ([]byte, error) {
	w := make([]wireFinding, len(l))
	for i, f := range l {
		w[i] = wireFinding{Server: uint64(f.Server), Incarnation: f.Incarnation, Condition: uint8(f.Condition)}
	}
	return encodeMessage(kindFindings, w)
}

// flowEvidence are findings of which peers get the number of flows that retransmit unanswered packets, but not the condition.
type flowEvidence []steerer.Finding

func (l flowEvidence) encode() ([]byte, error) {
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
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	l := make(findings, len(w))
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
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	l := make(findings, len(w))
	for i, f := range w {
		if f.Condition > uint8(steerer.Silent) {
			return nil, errMalformed
		}
		l[i] = steerer.Finding{Server: directory.ServerID(f.Server), Incarnation: f.Incarnation, Condition: steerer.Condition(f.Condition)}
	}
	return l, nil
}

// decode decodes a message of a peer to an *announcement, a *request, a *fragment, a *relay or findings.
func decode(b []byte) (any, error) {
	var m wireMessage
	if err := decodeMode.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	switch m.Kind {
	case kindAnnouncement, kindEraAnnouncement:
		return decodeAnnouncement(m.Kind, m.Content)
	case kindRequest, kindEraRequest:
		var w wireRequest
		if err := decodeMode.Unmarshal(m.Content, &w); err != nil || w.Document >= documentCount {
			return nil, errMalformed
		}
		return &request{document: document(w.Document), platformLost: w.PlatformLost, knowsEras: m.Kind == kindEraRequest}, nil
	case kindFragment, kindEraFragment:
		return decodeFragment(m.Kind, m.Content)
	case kindFindings:
		return decodeFindings(m.Content)
	case kindEvidence:
		return decodeEvidence(m.Content)
	case kindRelay:
		return decodeRelay(m.Content)
	}
	return nil, errMalformed
}

func decodeFragment(kind uint8, b []byte) (*fragment, error) {
	var era wireEraFragment
	var err error
	if kind == kindEraFragment {
		err = decodeMode.Unmarshal(b, &era)
	} else {
		err = decodeMode.Unmarshal(b, &era.Fragment)
	}
	w := &era.Fragment
	if err != nil || w.Document >= documentCount || w.Count == 0 || w.Count > maxFragments || w.Index >= w.Count || len(w.Content) == 0 {
		return nil, errMalformed
	}
	return &fragment{
		document: document(w.Document), position: directory.Position{Era: era.Era, Revision: w.Revision}, identity: w.Identity, age: fromMilliseconds(w.Age),
		index: int(w.Index), count: int(w.Count), content: w.Content,
		hasEra: kind == kindEraFragment, storedAt: directory.Position{Era: era.StoredEra, Revision: era.StoredRevision},
	}, nil
}

func decodeAnnouncement(kind uint8, b []byte) (*announcement, error) {
	var era wireEraAnnouncement
	var err error
	if kind == kindEraAnnouncement {
		err = decodeMode.Unmarshal(b, &era)
	} else {
		err = decodeMode.Unmarshal(b, &era.Announcement)
	}
	if err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	w := &era.Announcement
	a := &announcement{
		zone: w.Zone, delta: lister.Delta{Position: directory.Position{Era: era.Era, Revision: w.Revision}, BaseDigest: w.Base, Digest: w.Digest, HasMore: w.MoreFollow},
		backendListAge: fromMilliseconds(w.BackendListAge), configVersion: w.ConfigVersion, configRoutes: int(w.ConfigRoutes), configAge: fromMilliseconds(w.ConfigAge),
		hasEra: kind == kindEraAnnouncement, configStoredAt: directory.Position{Era: era.ConfigEra, Revision: era.ConfigRevision}, configDigest: era.ConfigDigest,
	}
	for i := range w.Changed {
		s, err := serverFromWire(&w.Changed[i])
		if err != nil {
			return nil, err
		}
		a.delta.ChangedServers = append(a.delta.ChangedServers, s)
	}
	for _, id := range w.Removed {
		a.delta.RemovedIDs = append(a.delta.RemovedIDs, directory.ServerID(id))
	}
	return a, nil
}

func encodeBackendList(l *directory.BackendList) ([]byte, error) {
	w := make([]wireServer, len(l.Servers))
	for i := range l.Servers {
		w[i] = serverToWire(&l.Servers[i])
	}
	b, err := cbor.Marshal(w)
	return b, eris.Wrap(err, "encode the backend list")
}

func decodeBackendList(b []byte) (*directory.BackendList, error) {
	var w []wireServer
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	l := &directory.BackendList{Servers: make([]directory.BackendServer, len(w))}
	for i := range w {
		s, err := serverFromWire(&w[i])
		if err != nil {
			return nil, err
		}
		l.Servers[i] = s
	}
	return l, nil
}

func encodeConfiguration(c *directory.Configuration) ([]byte, error) {
	w := wireConfiguration{IdleTimeout: toMilliseconds(c.IdleTimeout)}
	for _, r := range c.Routes {
		route := wireRoute{
			Name: r.Name, IP: r.Address.Addr().AsSlice(), Port: r.Address.Port(), Timeout: toMilliseconds(r.Timeout), Target: toMilliseconds(r.TargetLatency), Priority: int16(r.Priority),
		}
		for _, s := range r.Shares {
			route.Services, route.Weights = append(route.Services, s.Service), append(route.Weights, uint32(s.Weight))
		}
		w.Routes = append(w.Routes, route)
	}
	b, err := cbor.Marshal(w)
	return b, eris.Wrap(err, "encode the configuration")
}

func decodeConfiguration(b []byte) (*directory.Configuration, error) {
	var w wireConfiguration
	if err := decodeMode.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	c := &directory.Configuration{IdleTimeout: fromMilliseconds(w.IdleTimeout), Routes: make([]directory.Route, len(w.Routes))}
	for i, r := range w.Routes {
		ip, ok := netip.AddrFromSlice(r.IP)
		if !ok || r.Port == 0 || len(r.Services) == 0 || len(r.Services) != len(r.Weights) {
			return nil, errMalformed
		}
		route := directory.Route{
			Name: r.Name, Address: netip.AddrPortFrom(ip, r.Port), Timeout: fromMilliseconds(r.Timeout), TargetLatency: fromMilliseconds(r.Target), Priority: int(r.Priority),
		}
		for j := range r.Services {
			route.Shares = append(route.Shares, directory.Share{Service: r.Services[j], Weight: int(r.Weights[j])})
		}
		c.Routes[i] = route
	}
	return c, nil
}

func serverToWire(s *directory.BackendServer) wireServer {
	return wireServer{
		ID: uint64(s.ID), Service: s.Service, IP: s.Address.Addr().AsSlice(), Port: s.Address.Port(), Zone: s.AvailabilityZone,
		Slots: uint16(min(s.Slots, 1<<16-1)), Leaving: s.Leaving, WarmUp: toMilliseconds(s.RemainingWarmUp), Incarnation: s.Incarnation,
	}
}

func serverFromWire(w *wireServer) (directory.BackendServer, error) {
	ip, ok := netip.AddrFromSlice(w.IP)
	if !ok || w.ID == 0 || w.Port == 0 || w.Slots == 0 {
		return directory.BackendServer{}, errMalformed
	}
	return directory.BackendServer{
		ID: directory.ServerID(w.ID), Service: w.Service, Address: netip.AddrPortFrom(ip, w.Port), AvailabilityZone: w.Zone,
		Slots: int(w.Slots), Leaving: w.Leaving, RemainingWarmUp: fromMilliseconds(w.WarmUp), Incarnation: w.Incarnation,
	}, nil
}

// digestConfiguration identifies the content of a configuration apart from its version.
func digestConfiguration(c *directory.Configuration) uint64 {
	b, err := encodeConfiguration(c)
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write(b) // hash.Hash documents that it never returns an error
	return h.Sum64()
}

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Milliseconds(), 1<<32-1))
}

func fromMilliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
