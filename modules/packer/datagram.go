package packer

import (
	"encoding/binary"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxUpdates bounds the member updates of one datagram. Thirty updates take about 1,000 bytes.
const MaxUpdates = 30

// maxZoneSize bounds the name of an availability zone in bytes.
const maxZoneSize = 64

// Kind is the kind of a peer datagram.
type Kind uint8

// The kinds of peer datagrams.
const (
	KindPing        Kind = 1
	KindAck         Kind = 2
	KindPingRequest Kind = 3
	KindGateForward Kind = 4
	KindNotice      Kind = 5
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

// State is what is known of a member's process.
type State uint8

// The states of a member, in the order in which they replace each other.
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

// Member is what one daemon knows of another.
type Member struct {
	Address          netip.AddrPort
	AvailabilityZone string
	// Incarnation is the start time of the process in Unix ms.
	Incarnation uint64
	// RefutationCount grows each time the process answers a suspicion against it.
	RefutationCount uint32
	State           State
	// Leaving is set for good when the process begins a planned stop.
	Leaving bool
}

// Version names the content held of a document: its revision and the first eight bytes of its digest.
type Version struct{ Revision, DigestPrefix uint64 }

// MaxPlaceVersions bounds the versions of place documents in one datagram; each takes up to 25 bytes.
const MaxPlaceVersions = 2

// PlaceVersion is the version of a document of one place; the id is the low 32 bits of the 64-bit FNV-1a hash of the
// document's name.
type PlaceVersion struct {
	DocumentID uint32
	Version    Version
}

// Versions are the documents held by a daemon. Every heartbeat carries those of the two root documents and, in rotation,
// MaxPlaceVersions of the others.
type Versions struct {
	Settings, VMs Version
	Places        []PlaceVersion
}

// Datagram is the content of a peer datagram.
type Datagram struct {
	Kind   Kind
	Sender Member
	// Sequence numbers a probe; its ack repeats the number.
	Sequence uint64
	// Target is the member to probe on behalf of the sender (ping-request) or that was probed for it (ack).
	Target netip.AddrPort
	// Joining asks the receiver to introduce more members in its ack.
	Joining  bool
	Versions Versions
	Updates  []Member
	// Reports are health reports; they stay within MaxReportBytes.
	Reports []Report
	// Caller and Service are set in a gate-forward only.
	Caller, Service netip.AddrPort
	// Payload is a caller datagram in a gate-forward, and a message between daemons in a notice.
	Payload []byte
}

const (
	flagLeaving = 1 << 2
	flagJoining = 1 << 3
	stateMask   = 3
)

type wireProbe struct {
	_                                struct{} `cbor:",toarray"`
	Kind                             uint8
	Flags                            uint8
	Sequence                         uint64
	Zone                             string
	Refutation                       uint32
	Target                           []byte
	SettingsRevision, SettingsPrefix uint64
	VMsRevision, VMsPrefix           uint64
	Updates                          []wireMember
	Places                           []wirePlace
	Reports                          []wireReport
}

type wirePlace struct {
	_                struct{} `cbor:",toarray"`
	Document         uint32
	Revision, Prefix uint64
}

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Address     []byte
	Zone        string // empty: the sender's availability zone
	Incarnation uint64
	Refutation  uint32
	Flags       uint8
}

type wireForward struct {
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

var decoding = func() cbor.DecMode {
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
		return cbor.Marshal(wireForward{
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
		Kind: uint8(d.Kind), Flags: flagsOf(d.Sender), Sequence: d.Sequence, Zone: d.Sender.AvailabilityZone,
		Refutation:       d.Sender.RefutationCount,
		SettingsRevision: d.Versions.Settings.Revision, SettingsPrefix: d.Versions.Settings.DigestPrefix,
		VMsRevision: d.Versions.VMs.Revision, VMsPrefix: d.Versions.VMs.DigestPrefix,
	}
	if d.Joining {
		w.Flags |= flagJoining
	}
	if d.Target.IsValid() {
		w.Target = appendAddress(nil, unmap(d.Target))
	}
	for _, m := range d.Updates {
		u := wireMember{
			Address: appendAddress(nil, unmap(m.Address)), Incarnation: m.Incarnation, Refutation: m.RefutationCount, Flags: flagsOf(m),
		}
		if m.AvailabilityZone != d.Sender.AvailabilityZone {
			u.Zone = m.AvailabilityZone
		}
		w.Updates = append(w.Updates, u)
	}
	for _, p := range d.Versions.Places {
		w.Places = append(w.Places, wirePlace{Document: p.DocumentID, Revision: p.Version.Revision, Prefix: p.Version.DigestPrefix})
	}
	var err error
	if w.Reports, err = encodeReports(d.Reports, d.Sender.Address); err != nil {
		return nil, err
	}
	return cbor.Marshal(w)
}

// Decode reads the CBOR body of a datagram, without its seal. The sender's address and incarnation are in the header
// and stay unset.
func Decode(body []byte) (Datagram, error) {
	// The first element of all arrays is the kind: a one-byte CBOR integer after the one-byte array head.
	if len(body) > 1 && Kind(body[1]) == KindGateForward {
		return decodeForward(body)
	}
	if len(body) > 1 && Kind(body[1]) == KindNotice {
		var w wireNotice
		if err := decoding.Unmarshal(body, &w); err != nil {
			return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
		}
		return Datagram{Kind: KindNotice, Payload: w.Payload}, nil
	}
	var w wireProbe
	if err := decoding.Unmarshal(body, &w); err != nil {
		return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	kind := Kind(w.Kind)
	if kind < KindPing || kind > KindPingRequest || len(w.Updates) > MaxUpdates || len(w.Places) > MaxPlaceVersions || len(w.Zone) > maxZoneSize {
		return Datagram{}, ErrMalformed
	}
	d := Datagram{
		Kind: kind, Sequence: w.Sequence, Joining: w.Flags&flagJoining != 0,
		Sender: Member{AvailabilityZone: w.Zone, RefutationCount: w.Refutation, Leaving: w.Flags&flagLeaving != 0},
		Versions: Versions{
			Settings: Version{w.SettingsRevision, w.SettingsPrefix}, VMs: Version{w.VMsRevision, w.VMsPrefix},
		},
	}
	for _, p := range w.Places {
		d.Versions.Places = append(d.Versions.Places, PlaceVersion{p.Document, Version{p.Revision, p.Prefix}})
	}
	if len(w.Target) > 0 {
		target, err := wholeAddress(w.Target)
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
	address, err := wholeAddress(u.Address)
	if err != nil || len(u.Zone) > maxZoneSize || u.Flags&stateMask > uint8(StateDead) {
		return Member{}, ErrMalformed
	}
	if u.Zone != "" {
		zone = u.Zone
	}
	return Member{
		Address: address, AvailabilityZone: zone, Incarnation: u.Incarnation, RefutationCount: u.Refutation,
		State: State(u.Flags & stateMask), Leaving: u.Flags&flagLeaving != 0,
	}, nil
}

func decodeForward(body []byte) (Datagram, error) {
	var w wireForward
	if err := decoding.Unmarshal(body, &w); err != nil {
		return Datagram{}, eris.Wrapf(ErrMalformed, "%v", err)
	}
	caller, err := wholeAddress(w.Caller)
	if err != nil {
		return Datagram{}, err
	}
	service, err := wholeAddress(w.Service)
	if err != nil {
		return Datagram{}, err
	}
	return Datagram{Kind: KindGateForward, Caller: caller, Service: service, Payload: w.Payload}, nil
}

func flagsOf(m Member) uint8 {
	flags := uint8(m.State)
	if m.Leaving {
		flags |= flagLeaving
	}
	return flags
}

// appendAddress appends the length of the IP (4 or 16), the IP and the port.
func appendAddress(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().AsSlice()
	dst = append(dst, byte(len(ip)))
	dst = append(dst, ip...)
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

func cutAddress(b []byte) (netip.AddrPort, []byte, error) {
	if len(b) < 1 || (b[0] != 4 && b[0] != 16) || len(b) < 1+int(b[0])+2 {
		return netip.AddrPort{}, nil, ErrMalformed
	}
	size := int(b[0])
	ip, _ := netip.AddrFromSlice(b[1 : 1+size])
	port := binary.BigEndian.Uint16(b[1+size:])
	return netip.AddrPortFrom(ip, port), b[1+size+2:], nil
}

func wholeAddress(b []byte) (netip.AddrPort, error) {
	address, rest, err := cutAddress(b)
	if err != nil || len(rest) != 0 {
		return netip.AddrPort{}, ErrMalformed
	}
	return address, nil
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }
