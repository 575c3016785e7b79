package follower

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// document is one of the two documents that daemons exchange.
type document uint8

const (
	listingDocument       document = 0
	configurationDocument document = 1
	documents                      = 2
)

// The kinds of messages.
const (
	kindNews    = 1
	kindRequest = 2
	kindPart    = 3
	kindFinding = 4
	kindDoubt   = 5
	kindRelay   = 6
)

// errMalformed is returned for a message that is none of this version.
var errMalformed = eris.New("message of a peer is malformed: check that all daemons run compatible versions")

// news is what a daemon believes, and how old that is.
type news struct {
	zone          string
	delta         lister.Delta // Revision 0: no list
	listingAge    time.Duration
	configVersion uint64 // 0: no configuration
	configRoutes  int
	configAge     time.Duration
}

// request asks for a whole document.
type request struct {
	document document
	// insist is set by a daemon that cannot read the platform: it needs the document at any price.
	insist bool
}

// part is a part of a whole document.
type part struct {
	document document
	revision uint64 // of the platform when the document was right
	identity uint64 // digest of a list, version of a configuration
	age      time.Duration
	index    int
	count    int
	content  []byte
}

// findings are what a daemon found out about backend servers.
type findings []steerer.Finding

type wireFinding struct {
	_           struct{} `cbor:",toarray"`
	Server      uint64
	Incarnation int64
	Condition   uint8
}

// wireDoubt is the evidence of a daemon that cannot judge by its own flows alone. It is a message of its own, so that daemons of
// the version before understand the others.
type wireDoubt struct {
	_                  struct{} `cbor:",toarray"`
	Server             uint64
	Incarnation        int64
	Repeating, Stalled uint16
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

type wireNews struct {
	_                      struct{} `cbor:",toarray"`
	Zone                   string
	Revision, Base, Digest uint64
	Changed                []wireServer
	Removed                []uint64
	More                   bool
	ListingAge             uint32 // ms
	ConfigVersion          uint64
	ConfigRoutes           uint32
	ConfigAge              uint32 // ms
}

type wireRequest struct {
	_        struct{} `cbor:",toarray"`
	Document uint8
	Insist   bool
}

type wirePart struct {
	_                  struct{} `cbor:",toarray"`
	Document           uint8
	Revision, Identity uint64
	Age                uint32 // ms
	Index, Count       uint16
	Content            []byte
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
	_      struct{} `cbor:",toarray"`
	Idle   uint32   // ms
	Routes []wireRoute
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: 8, MaxArrayElements: 65536, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

func wrap(kind uint8, content any) ([]byte, error) {
	b, err := cbor.Marshal(content)
	if err != nil {
		return nil, eris.Wrap(err, "encode a message")
	}
	b, err = cbor.Marshal(wireMessage{Kind: kind, Content: b})
	return b, eris.Wrap(err, "encode a message")
}

func (n *news) encode() ([]byte, error) {
	w := wireNews{
		Zone: n.zone, Revision: n.delta.Revision, Base: n.delta.Base, Digest: n.delta.Digest, More: n.delta.More, ListingAge: toMilliseconds(n.listingAge),
		ConfigVersion: n.configVersion, ConfigRoutes: uint32(n.configRoutes), ConfigAge: toMilliseconds(n.configAge),
	}
	for i := range n.delta.Changed {
		w.Changed = append(w.Changed, serverToWire(&n.delta.Changed[i]))
	}
	for _, id := range n.delta.Removed {
		w.Removed = append(w.Removed, uint64(id))
	}
	return wrap(kindNews, w)
}

func (r *request) encode() ([]byte, error) {
	return wrap(kindRequest, wireRequest{Document: uint8(r.document), Insist: r.insist})
}

func (p *part) encode() ([]byte, error) {
	return wrap(kindPart, wirePart{
		Document: uint8(p.document), Revision: p.revision, Identity: p.identity, Age: toMilliseconds(p.age), Index: uint16(p.index), Count: uint16(p.count), Content: p.content,
	})
}

func (l findings) encode() ([]byte, error) {
	w := make([]wireFinding, len(l))
	for i, f := range l {
		w[i] = wireFinding{Server: uint64(f.Server), Incarnation: f.Incarnation, Condition: uint8(f.Condition)}
	}
	return wrap(kindFinding, w)
}

// doubts are findings of flows without an answer, told by their counts.
type doubts []steerer.Finding

func (l doubts) encode() ([]byte, error) {
	w := make([]wireDoubt, len(l))
	for i, f := range l {
		w[i] = wireDoubt{
			Server: uint64(f.Server), Incarnation: f.Incarnation,
			Repeating: uint16(min(f.Evidence.Repeating, 1<<16-1)), Stalled: uint16(min(f.Evidence.Stalled, 1<<16-1)),
		}
	}
	return wrap(kindDoubt, w)
}

func decodeDoubts(b []byte) (any, error) {
	var w []wireDoubt
	if err := decoding.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	l := make(findings, len(w))
	for i, f := range w {
		l[i] = steerer.Finding{
			Server: directory.ServerID(f.Server), Incarnation: f.Incarnation, Condition: steerer.Doubted,
			Evidence: steerer.Evidence{Repeating: int(f.Repeating), Stalled: int(f.Stalled)},
		}
	}
	return l, nil
}

func decodeFindings(b []byte) (any, error) {
	var w []wireFinding
	if err := decoding.Unmarshal(b, &w); err != nil {
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

// decode returns a *news, a *request, a *part or findings.
func decode(b []byte) (any, error) {
	var m wireMessage
	if err := decoding.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	switch m.Kind {
	case kindNews:
		return decodeNews(m.Content)
	case kindRequest:
		var w wireRequest
		if err := decoding.Unmarshal(m.Content, &w); err != nil || w.Document >= documents {
			return nil, errMalformed
		}
		return &request{document: document(w.Document), insist: w.Insist}, nil
	case kindPart:
		var w wirePart
		if err := decoding.Unmarshal(m.Content, &w); err != nil {
			return nil, eris.Wrapf(errMalformed, "%v", err)
		}
		if w.Document >= documents || w.Count == 0 || w.Count > maxParts || w.Index >= w.Count || len(w.Content) == 0 {
			return nil, errMalformed
		}
		return &part{
			document: document(w.Document), revision: w.Revision, identity: w.Identity, age: fromMilliseconds(w.Age), index: int(w.Index), count: int(w.Count), content: w.Content,
		}, nil
	case kindFinding:
		return decodeFindings(m.Content)
	case kindDoubt:
		return decodeDoubts(m.Content)
	case kindRelay:
		return decodeRelay(m.Content)
	}
	return nil, errMalformed
}

func decodeNews(b []byte) (*news, error) {
	var w wireNews
	if err := decoding.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	n := &news{
		zone: w.Zone, delta: lister.Delta{Revision: w.Revision, Base: w.Base, Digest: w.Digest, More: w.More}, listingAge: fromMilliseconds(w.ListingAge),
		configVersion: w.ConfigVersion, configRoutes: int(w.ConfigRoutes), configAge: fromMilliseconds(w.ConfigAge),
	}
	for i := range w.Changed {
		s, err := serverFromWire(&w.Changed[i])
		if err != nil {
			return nil, err
		}
		n.delta.Changed = append(n.delta.Changed, s)
	}
	for _, id := range w.Removed {
		n.delta.Removed = append(n.delta.Removed, directory.ServerID(id))
	}
	return n, nil
}

func encodeListing(l *directory.BackendList) ([]byte, error) {
	w := make([]wireServer, len(l.Servers))
	for i := range l.Servers {
		w[i] = serverToWire(&l.Servers[i])
	}
	b, err := cbor.Marshal(w)
	return b, eris.Wrap(err, "encode the list of backend servers")
}

func decodeListing(b []byte) (*directory.BackendList, error) {
	var w []wireServer
	if err := decoding.Unmarshal(b, &w); err != nil {
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
	w := wireConfiguration{Idle: toMilliseconds(c.IdleTimeout)}
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
	if err := decoding.Unmarshal(b, &w); err != nil {
		return nil, eris.Wrapf(errMalformed, "%v", err)
	}
	c := &directory.Configuration{IdleTimeout: fromMilliseconds(w.Idle), Routes: make([]directory.Route, len(w.Routes))}
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

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Milliseconds(), 1<<32-1))
}

func fromMilliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
