// Package encapsulator encodes and decodes the datagrams between balancers and backend servers: a PROXY protocol
// version 2 header that carries the caller, the service address and the fields of the flow as TLVs, then the payload.
package encapsulator

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/pires/go-proxyproto"
	"github.com/rotisserie/eris"
)

// The custom TLV types of the backend protocol.
const (
	typeVerb        proxyproto.PP2Type = 0xE0
	typeDeadline    proxyproto.PP2Type = 0xE1
	typeToken       proxyproto.PP2Type = 0xE2
	typeSequence    proxyproto.PP2Type = 0xE3
	typeAttempt     proxyproto.PP2Type = 0xE4
	typeLoad        proxyproto.PP2Type = 0xE5
	typeIncarnation proxyproto.PP2Type = 0xE6
	typeCause       proxyproto.PP2Type = 0xE7
)

// Lengths of TLV values in bytes.
const (
	callSize     = 16
	sequenceSize = 12
	loadSize     = 10
	// headerPrefix is the fixed part of a version 2 header: signature, command, family and length.
	headerPrefix = 16
)

// Verb says what a packet asks of a backend server or what a reply says.
type Verb uint8

// Verbs that balancers send.
const (
	VerbOpen   Verb = 1
	VerbFeed   Verb = 2
	VerbClose  Verb = 3
	VerbRun    Verb = 4
	VerbFetch  Verb = 5
	VerbCancel Verb = 6
)

// Verbs that backend servers reply with.
const (
	VerbAccepted Verb = 16
	VerbReading  Verb = 17
	VerbAnswer   Verb = 18
	VerbRefused  Verb = 19
	VerbEnded    Verb = 20
	VerbCanceled Verb = 21
	VerbRunning  Verb = 22
)

// ErrMalformed reports a datagram that is not a PROXY protocol version 2 datagram of this protocol.
var ErrMalformed = eris.New("datagram carries no valid PROXY protocol v2 header of the backend protocol: " +
	"check the sender's codec")

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// Load is the load that a backend server reports in a reply.
type Load struct {
	Running, Queued, Slots uint16
	Feeds                  uint32
}

// Packet is one datagram of the backend protocol. After Parse, Token and Payload are slices of the parsed input or of
// memory that belongs to the packet.
type Packet struct {
	Caller, Service netip.AddrPort
	ServiceName     string // service name
	CallID          [callSize]byte
	Verb            Verb
	Deadline        time.Time // the zero time means none
	Token           []byte
	Seq             uint64
	PartCount       uint32
	AttemptID       uint64
	Load            Load
	HasLoad         bool
	Incarnation     uint64
	Cause           uint8
	Payload         []byte
}

// Append appends the wire form of p to dst.
func Append(dst []byte, p *Packet) ([]byte, error) {
	h := proxyproto.Header{
		Version: 2, Command: proxyproto.PROXY, TransportProtocol: proxyproto.UDPv4,
		SourceAddr: net.UDPAddrFromAddrPort(p.Caller), DestinationAddr: net.UDPAddrFromAddrPort(p.Service),
	}
	if !p.Caller.Addr().Unmap().Is4() || !p.Service.Addr().Unmap().Is4() {
		h.TransportProtocol = proxyproto.UDPv6
	}
	if err := h.SetTLVs(tlvs(p)); err != nil {
		return dst, eris.Wrap(err, "encode the TLVs")
	}
	b, err := h.Format()
	if err != nil {
		return dst, eris.Wrap(err, "encode the PROXY header")
	}
	dst = append(dst, b...)
	return append(dst, p.Payload...), nil
}

func tlvs(p *Packet) []proxyproto.TLV {
	sequence := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, p.Seq), p.PartCount)
	list := make([]proxyproto.TLV, 0, 10)
	list = append(list,
		proxyproto.TLV{Type: proxyproto.PP2_TYPE_AUTHORITY, Value: []byte(p.ServiceName)},
		proxyproto.TLV{Type: proxyproto.PP2_TYPE_UNIQUE_ID, Value: p.CallID[:]},
		proxyproto.TLV{Type: typeVerb, Value: []byte{byte(p.Verb)}},
		proxyproto.TLV{Type: typeSequence, Value: sequence},
	)
	if !p.Deadline.IsZero() {
		list = append(list, proxyproto.TLV{Type: typeDeadline, Value: uint64Bytes(uint64(p.Deadline.UnixMilli()))})
	}
	if len(p.Token) > 0 {
		list = append(list, proxyproto.TLV{Type: typeToken, Value: p.Token})
	}
	if p.AttemptID != 0 {
		list = append(list, proxyproto.TLV{Type: typeAttempt, Value: uint64Bytes(p.AttemptID)})
	}
	if p.HasLoad {
		list = append(list, proxyproto.TLV{Type: typeLoad, Value: loadBytes(p.Load)})
	}
	if p.Incarnation != 0 {
		list = append(list, proxyproto.TLV{Type: typeIncarnation, Value: uint64Bytes(p.Incarnation)})
	}
	if p.Cause != 0 {
		list = append(list, proxyproto.TLV{Type: typeCause, Value: []byte{p.Cause}})
	}
	return list
}

func uint64Bytes(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func loadBytes(l Load) []byte {
	b := make([]byte, 0, loadSize)
	b = binary.BigEndian.AppendUint16(b, l.Running)
	b = binary.BigEndian.AppendUint16(b, l.Queued)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	return binary.BigEndian.AppendUint32(b, l.Feeds)
}

// Parse decodes b into p. It overwrites all fields of p.
func Parse(b []byte, p *Packet) error {
	if len(b) < headerPrefix {
		return ErrMalformed
	}
	end := headerPrefix + int(binary.BigEndian.Uint16(b[headerPrefix-2:]))
	if end > len(b) {
		return ErrMalformed
	}
	h, err := proxyproto.Read(bufio.NewReaderSize(bytes.NewReader(b[:end]), end))
	if err != nil || h.Version != 2 || h.Command != proxyproto.PROXY || !h.TransportProtocol.IsDatagram() {
		return ErrMalformed
	}
	src, dst, ok := h.UDPAddrs()
	if !ok {
		return ErrMalformed
	}
	list, err := h.TLVs()
	if err != nil {
		return ErrMalformed
	}
	*p = Packet{Caller: unmap(src.AddrPort()), Service: unmap(dst.AddrPort()), Payload: b[end:]}
	for _, t := range list {
		if !p.setTLV(t) {
			return ErrMalformed
		}
	}
	return nil
}

func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// setTLV stores one TLV. It returns false when the value has a wrong length; unknown types are passed over.
func (p *Packet) setTLV(t proxyproto.TLV) bool {
	v := t.Value
	switch t.Type {
	case proxyproto.PP2_TYPE_AUTHORITY:
		p.ServiceName = string(v)
	case proxyproto.PP2_TYPE_UNIQUE_ID:
		return copy(p.CallID[:], v) == callSize && len(v) == callSize
	case typeVerb:
		return setByte((*uint8)(&p.Verb), v)
	case typeCause:
		return setByte(&p.Cause, v)
	case typeToken:
		p.Token = v
	case typeAttempt:
		return setUint64(&p.AttemptID, v)
	case typeIncarnation:
		return setUint64(&p.Incarnation, v)
	case typeDeadline:
		var ms uint64
		ok := setUint64(&ms, v)
		p.Deadline = time.UnixMilli(int64(ms))
		return ok
	case typeSequence:
		return p.setSequence(v)
	case typeLoad:
		return p.setLoad(v)
	}
	return true
}

func (p *Packet) setSequence(v []byte) bool {
	if len(v) != sequenceSize {
		return false
	}
	p.Seq = binary.BigEndian.Uint64(v)
	p.PartCount = binary.BigEndian.Uint32(v[8:])
	return true
}

func (p *Packet) setLoad(v []byte) bool {
	if len(v) != loadSize {
		return false
	}
	p.HasLoad = true
	p.Load = Load{
		Running: binary.BigEndian.Uint16(v), Queued: binary.BigEndian.Uint16(v[2:]),
		Slots: binary.BigEndian.Uint16(v[4:]), Feeds: binary.BigEndian.Uint32(v[6:]),
	}
	return true
}

func setByte(dst *uint8, v []byte) bool {
	if len(v) != 1 {
		return false
	}
	*dst = v[0]
	return true
}

func setUint64(dst *uint64, v []byte) bool {
	if len(v) != 8 {
		return false
	}
	*dst = binary.BigEndian.Uint64(v)
	return true
}
