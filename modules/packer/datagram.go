package packer

import (
	"encoding/binary"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxUpdates bounds the member updates of one datagram. Thirty updates take about 1,000 bytes of MaxSize.
const MaxUpdates = 30

// maxZoneNameSize is the longest name of an availability zone in bytes.
const maxZoneNameSize = 64

// Kind is the kind of a peer datagram.
type Kind uint8

// The kinds of peer datagrams.
const (
	// KindPing probes the receiver, which replies with KindAck.
	KindPing Kind = 1
	KindAck  Kind = 2
	// KindPingRequest asks the receiver to probe Target on behalf of the sender (an indirect probe).
	KindPingRequest Kind = 3
	// KindGateForward passes a caller datagram to the balancer that holds the caller's reservation.
	KindGateForward Kind = 4
	// KindNotice carries a message between daemons that is not about membership.
	KindNotice Kind = 5
)

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case KindPing:
		return "ping"
	case KindAck:
		return "ack"
	case KindPingRequest:
		return "ping-request"
	case KindGateForward:
		return "gate-forward"
	case KindNotice:
		return "notice"
	}
	return "unknown"
}

// State is the failure detector's state of a member.
type State uint8

// The states of a member. Between updates of one incarnation and refutation count, the higher state wins.
const (
	StateAlive   State = 0
	StateSuspect State = 1
	StateDead    State = 2
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	}
	return "unknown"
}

// Member is a membership entry: what one daemon knows of another.
type Member struct {
	Address          netip.AddrPort
	AvailabilityZone string
	// Incarnation is the start time of the process in Unix ms.
	Incarnation uint64
	// RefutationCount is incremented each time the process refutes a suspicion of its failure.
	RefutationCount uint32
	State           State
	// Leaving is set when the process begins a graceful shutdown. It is never unset.
	Leaving bool
	// KnowsEras is set if the process understands messages with the era of the platform's store. Earlier versions do not.
	KnowsEras bool
	// KnowsEvacuations is set if the process understands messages with the evacuated availability zones. Earlier versions do not.
	KnowsEvacuations bool
	// AggregatesFindings is set if the process adds up the health findings of its availability zone. Earlier versions do not.
	AggregatesFindings bool
	// Weak is set if the process runs on a VM with a slow link or little processor time, which gets no duties while others can take them.
	// Daemons of earlier versions drop it when they pass an update on.
	Weak bool
}

// Version identifies the content of a document by its revision and the first eight bytes of its digest.
type Version struct{ Revision, DigestPrefix uint64 }

// MaxPlaceVersions is the largest number of versions of place documents in one datagram. Each takes up to 25 bytes.
const MaxPlaceVersions = 2

// PlaceVersion is the version of the settings document of one place. DocumentID is the low 32 bits of the 64-bit FNV-1a hash
// of the document's name.
type PlaceVersion struct {
	DocumentID uint32
	Version    Version
}

// Versions are the versions of the documents that a daemon holds, for anti-entropy. Every heartbeat carries those of the two
// root documents and, in rotation, those of MaxPlaceVersions place documents.
type Versions struct {
	Settings, VMs Version
	Places        []PlaceVersion
}

// Datagram is the content of a peer datagram.
type Datagram struct {
	Kind   Kind
	Sender Member
	// Sequence is the number of a probe. The ack of the probe has the same number.
	Sequence uint64
	// Target is the member of an indirect probe: the one to probe (ping-request) or the one that was probed (ack).
	Target netip.AddrPort
	// Joining asks the receiver to include more members in its ack, as the sender has started only a short time ago.
	Joining  bool
	Versions Versions
	// Updates are the member updates that are piggybacked on a probe. There are at most MaxUpdates.
	Updates []Member
	// Reports are health reports. They take at most MaxReportBytes.
	Reports []Report
	// Caller and Service are the addresses of the caller and the service. They are set in a gate-forward only.
	Caller, Service netip.AddrPort
	// Payload is a caller datagram in a gate-forward, and a message between daemons in a notice.
	Payload []byte
}

// Bits of the flags of a probe and of a member update. The two lowest bits are the State.
const (
	flagLeaving     = 1 << 2
	flagJoining     = 1 << 3
	flagEras        = 1 << 4
	flagEvacuations = 1 << 5
	flagAggregates  = 1 << 6
	// Bit 7 is set by earlier versions that ask each other about idle flows. They ask only while all daemons of the zone set it.
	stateMask = 3
	// The two flags below take bits that only a probe or only an update leaves free: the sender of a probe is always alive, and joining is
	// not part of an update. No bit is left that both leave free.
	flagWeakSender = 1 << 0
	flagWeakMember = 1 << 3
)

// wireProbe is the wire form of a ping, an ack and a ping-request.
type wireProbe struct {
	_                                      struct{} `cbor:",toarray"`
	Kind                                   uint8
	Flags                                  uint8
	Sequence                               uint64
	Zone                                   string
	RefutationCount                        uint32
	Target                                 []byte
	SettingsRevision, SettingsDigestPrefix uint64
	VMsRevision, VMsDigestPrefix           uint64
	Updates                                []wireMember
	Places                                 []wirePlaceVersion
	Reports                                []wireReport
}

type wirePlaceVersion struct {
	_                      struct{} `cbor:",toarray"`
	DocumentID             uint32
	Revision, DigestPrefix uint64
}

type wireMember struct {
	_               struct{} `cbor:",toarray"`
	Address         []byte
	Zone            string // empty for the sender's availability zone
	Incarnation     uint64
	RefutationCount uint32
	Flags           uint8
}

type wireGateForward struct {
	_               struct{} `cbor:",toarray"`
	Kind            uint8
	Caller, Service []byte
	Payload         []byte
}

type wireNotice struct {
	_       struct{} `cbor:",toarray"`
	Kind    uint8
	Payload []byte
}

// decMode rejects sizes and forms that no valid datagram needs.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 64, MaxNestedLevels: 4, MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(d *Datagram) ([]byte, error) {
	if d.Kind == KindGateForward {
		return cbor.Marshal(wireGateForward{
			Kind: uint8(d.Kind), Caller: appendAddress(nil, unmap(d.Caller)), Service: appendAddress(nil, unmap(d.Service)),
			Payload: d.Payload,
		})
	}
	if d.Kind == KindNotice {
		return cbor.Marshal(wireNotice{Kind: uint8(d.Kind), Payload: d.Payload})
	}
	if len(d.Updates) > MaxUpdates || len(d.Versions.Places) > MaxPlaceVersions {
		return nil, ErrOversized
	}
	w := wireProbe{
		Kind: uint8(d.Kind), Flags: memberFlags(d.Sender), Sequence: d.Sequence, Zone: d.Sender.AvailabilityZone,
		RefutationCount:  d.Sender.RefutationCount,
		SettingsRevision: d.Versions.Settings.Revision, SettingsDigestPrefix: d.Versions.Settings.DigestPrefix,
		VMsRevision: d.Versions.VMs.Revision, VMsDigestPrefix: d.Versions.VMs.DigestPrefix,
	}
	if d.Joining {
		w.Flags |= flagJoining
	}
	if d.Sender.Weak {
		w.Flags |= flagWeakSender
	}
	if d.Target.IsValid() {
		w.Target = appendAddress(nil, unmap(d.Target))
	}
	for _, m := range d.Updates {
		u := wireMember{
			Address: appendAddress(nil, unmap(m.Address)), Incarnation: m.Incarnation, RefutationCount: m.RefutationCount, Flags: memberFlags(m),
		}
		if m.Weak {
			u.Flags |= flagWeakMember
		}
		if m.AvailabilityZone != d.Sender.AvailabilityZone {
			u.Zone = m.AvailabilityZone
		}
		w.Updates = append(w.Updates, u)
	}
	for _, p := range d.Versions.Places {
		w.Places = append(w.Places, wirePlaceVersion{DocumentID: p.DocumentID, Revision: p.Version.Revision, DigestPrefix: p.Version.DigestPrefix})
	}
	var err error
	if w.Reports, err = encodeReports(d.Reports, d.Sender.Address); err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

// Decode decodes the decrypted CBOR body of a datagram. The sender's address and incarnation are in the header, so they stay
// unset.
func Decode(body []byte) (Datagram, error) {
	// The first element of each wire form is the kind: a one-byte CBOR integer after the one-byte array head.
	if len(body) > 1 && Kind(body[1]) == KindGateForward {
		return decodeGateForward(body)
	}
	if len(body) > 1 && Kind(body[1]) == KindNotice {
		var w wireNotice
		if err := decMode.Unmarshal(body, &w); err != nil {
			return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
		}
		return Datagram{Kind: KindNotice, Payload: w.Payload}, nil
	}
	var w wireProbe
	if err := decMode.Unmarshal(body, &w); err != nil {
		return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	kind := Kind(w.Kind)
	if kind < KindPing || kind > KindPingRequest || len(w.Updates) > MaxUpdates || len(w.Places) > MaxPlaceVersions || len(w.Zone) > maxZoneNameSize {
		return Datagram{}, ErrMalformed
	}
	d := Datagram{
		Kind: kind, Sequence: w.Sequence, Joining: w.Flags&flagJoining != 0,
		Sender: Member{
			AvailabilityZone: w.Zone, RefutationCount: w.RefutationCount, Leaving: w.Flags&flagLeaving != 0, KnowsEras: w.Flags&flagEras != 0,
			KnowsEvacuations: w.Flags&flagEvacuations != 0, AggregatesFindings: w.Flags&flagAggregates != 0, Weak: w.Flags&flagWeakSender != 0,
		},
		Versions: Versions{
			Settings: Version{w.SettingsRevision, w.SettingsDigestPrefix}, VMs: Version{w.VMsRevision, w.VMsDigestPrefix},
		},
	}
	for _, p := range w.Places {
		d.Versions.Places = append(d.Versions.Places, PlaceVersion{p.DocumentID, Version{p.Revision, p.DigestPrefix}})
	}
	if len(w.Target) > 0 {
		target, err := decodeAddress(w.Target)
		if err != nil {
			return Datagram{}, err
		}
		d.Target = target
	}
	for _, u := range w.Updates {
		m, err := decodeMember(u, w.Zone)
		if err != nil {
			return Datagram{}, err
		}
		d.Updates = append(d.Updates, m)
	}
	var err error
	d.Reports, err = decodeReports(w.Reports)
	return d, err
}

func decodeMember(u wireMember, zone string) (Member, error) {
	address, err := decodeAddress(u.Address)
	if err != nil || len(u.Zone) > maxZoneNameSize || u.Flags&stateMask > uint8(StateDead) {
		return Member{}, ErrMalformed
	}
	if u.Zone != "" {
		zone = u.Zone
	}
	return Member{
		Address: address, AvailabilityZone: zone, Incarnation: u.Incarnation, RefutationCount: u.RefutationCount,
		State: State(u.Flags & stateMask), Leaving: u.Flags&flagLeaving != 0, KnowsEras: u.Flags&flagEras != 0,
		KnowsEvacuations: u.Flags&flagEvacuations != 0, AggregatesFindings: u.Flags&flagAggregates != 0, Weak: u.Flags&flagWeakMember != 0,
	}, nil
}

func decodeGateForward(body []byte) (Datagram, error) {
	var w wireGateForward
	if err := decMode.Unmarshal(body, &w); err != nil {
		return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	caller, err := decodeAddress(w.Caller)
	if err != nil {
		return Datagram{}, err
	}
	service, err := decodeAddress(w.Service)
	if err != nil {
		return Datagram{}, err
	}
	return Datagram{Kind: KindGateForward, Caller: caller, Service: service, Payload: w.Payload}, nil
}

func memberFlags(m Member) uint8 {
	flags := uint8(m.State)
	if m.Leaving {
		flags |= flagLeaving
	}
	if m.KnowsEras {
		flags |= flagEras
	}
	if m.KnowsEvacuations {
		flags |= flagEvacuations
	}
	if m.AggregatesFindings {
		flags |= flagAggregates
	}
	return flags
}

// appendAddress appends the length of the IP address (4 or 16), the IP address and the port.
func appendAddress(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	dst = append(dst, byte(len(ip)))
	dst = append(dst, ip...)
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

// cutAddress decodes the address at the beginning of b, as appendAddress wrote it, and returns the rest of b.
func cutAddress(b []byte) (netip.AddrPort, []byte, error) {
	if len(b) < 1 || (b[0] != 4 && b[0] != 16) || len(b) < 1+int(b[0])+2 {
		return netip.AddrPort{}, nil, ErrMalformed
	}
	size := int(b[0])
	ip, _ := netip.AddrFromSlice(b[1 : 1+size])
	port := binary.BigEndian.Uint16(b[1+size:])
	return netip.AddrPortFrom(ip, port), b[1+size+2:], nil
}

// decodeAddress decodes b, which must hold one address and nothing else.
func decodeAddress(b []byte) (netip.AddrPort, error) {
	address, rest, err := cutAddress(b)
	if err != nil || len(rest) != 0 {
		return netip.AddrPort{}, ErrMalformed
	}
	return address, nil
}

// unmap returns a with an IPv4-mapped IPv6 address as IPv4, so that an address has one wire form only.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
