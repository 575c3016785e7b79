// Package encapsulator encodes and decodes the datagrams between balancers and backend servers. A datagram is a PROXY protocol
// version 2 header, which carries the addresses of the caller and the service and further fields as TLVs, followed by the
// payload.
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
	typeAttemptID   proxyproto.PP2Type = 0xE4
	typeLoad        proxyproto.PP2Type = 0xE5
	typeIncarnation proxyproto.PP2Type = 0xE6
	typeCause       proxyproto.PP2Type = 0xE7
)

// Lengths in bytes.
const (
	callIDSize   = 16
	sequenceSize = 12 // sequence number and part count
	loadSize     = 10
	// fixedHeaderSize is the length of the fixed part of a version 2 header: signature, command, family and length.
	fixedHeaderSize = 16
)

// Verb is the operation that a packet asks of a backend server, or the result that a reply reports.
type Verb uint8

// Verbs that balancers send.
const (
	// VerbOpen opens a feed.
	VerbOpen Verb = 1
	// VerbFeed acknowledges readings of a feed and keeps it alive.
	VerbFeed  Verb = 2
	VerbClose Verb = 3
	// VerbRun runs a request.
	VerbRun Verb = 4
	// VerbFetch asks for the missing parts of an answer.
	VerbFetch Verb = 5
	// VerbCancel cancels a request.
	VerbCancel Verb = 6
)

// Verbs that backend servers reply with.
const (
	// VerbAccepted confirms a feed or a request that the backend server will run.
	VerbAccepted Verb = 16
	// VerbReading carries one reading of a feed.
	VerbReading Verb = 17
	// VerbAnswer carries one part of the answer to a request.
	VerbAnswer Verb = 18
	// VerbRefused refuses a feed or a request.
	VerbRefused Verb = 19
	// VerbEnded reports that a feed has ended.
	VerbEnded Verb = 20
	// VerbCanceled reports that a request was canceled.
	VerbCanceled Verb = 21
	// VerbRunning reports that a request is running.
	VerbRunning Verb = 22
)

// ErrMalformed is returned for a datagram without a valid PROXY protocol version 2 header of the backend protocol.
var ErrMalformed = eris.New("datagram carries no valid PROXY protocol v2 header of the backend protocol: " +
	"check the sender's codec")

// IsErrMalformed reports whether err is an ErrMalformed.
func IsErrMalformed(err error) bool { return eris.Is(err, ErrMalformed) }

// Load is the load that a backend server reports in a reply: the numbers of running and queued requests, of requests that it
// can run at once and of open feeds.
type Load struct {
	Running, Queued, Slots uint16
	Feeds                  uint32
}

// Packet is one datagram of the backend protocol. After Parse, Token and Payload are slices of the parsed input or of
// memory that belongs to the packet.
type Packet struct {
	Caller, Service netip.AddrPort
	ServiceName     string
	CallID          [callIDSize]byte
	Verb            Verb
	Deadline        time.Time // the zero time means none
	Token           []byte
	Seq             uint64 // of a reading, or the index of a part of an answer
	PartCount       uint32 // of an answer
	AttemptID       uint64 // of a non-idempotent request; 0 for none
	Load            Load
	HasLoad         bool
	Incarnation     uint64 // of the backend server; 0 if not known
	Cause           uint8  // see framer.Cause
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
	if err := h.SetTLVs(encodeTLVs(p)); err != nil {
		return dst, eris.Wrap(err, "encode the TLVs")
	}
	b, err := h.Format()
	if err != nil {
		return dst, eris.Wrap(err, "encode the PROXY header")
	}
	dst = append(dst, b...)
	return append(dst, p.Payload...), nil
}

func encodeTLVs(p *Packet) []proxyproto.TLV {
	sequence := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, p.Seq), p.PartCount)
	tlvs := make([]proxyproto.TLV, 0, 10)
	tlvs = append(tlvs,
		proxyproto.TLV{Type: proxyproto.PP2_TYPE_AUTHORITY, Value: []byte(p.ServiceName)},
		proxyproto.TLV{Type: proxyproto.PP2_TYPE_UNIQUE_ID, Value: p.CallID[:]},
		proxyproto.TLV{Type: typeVerb, Value: []byte{byte(p.Verb)}},
		proxyproto.TLV{Type: typeSequence, Value: sequence},
	)
	if !p.Deadline.IsZero() {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeDeadline, Value: uint64Bytes(uint64(p.Deadline.UnixMilli()))})
	}
	if len(p.Token) > 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeToken, Value: p.Token})
	}
	if p.AttemptID != 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeAttemptID, Value: uint64Bytes(p.AttemptID)})
	}
	if p.HasLoad {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeLoad, Value: encodeLoad(p.Load)})
	}
	if p.Incarnation != 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeIncarnation, Value: uint64Bytes(p.Incarnation)})
	}
	if p.Cause != 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: typeCause, Value: []byte{p.Cause}})
	}
	return tlvs
}

func uint64Bytes(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func encodeLoad(l Load) []byte {
	b := make([]byte, 0, loadSize)
	b = binary.BigEndian.AppendUint16(b, l.Running)
	b = binary.BigEndian.AppendUint16(b, l.Queued)
	b = binary.BigEndian.AppendUint16(b, l.Slots)
	return binary.BigEndian.AppendUint32(b, l.Feeds)
}

// Parse decodes b into p. It overwrites all fields of p.
func Parse(b []byte, p *Packet) error {
	if len(b) < fixedHeaderSize {
		return ErrMalformed
	}
	end := fixedHeaderSize + int(binary.BigEndian.Uint16(b[fixedHeaderSize-2:]))
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
	tlvs, err := h.TLVs()
	if err != nil {
		return ErrMalformed
	}
	*p = Packet{Caller: unmap(src.AddrPort()), Service: unmap(dst.AddrPort()), Payload: b[end:]}
	for _, t := range tlvs {
		if !p.setTLV(t) {
			return ErrMalformed
		}
	}
	return nil
}

// unmap returns a with an IPv4-mapped IPv6 address as IPv4.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// setTLV sets the field of one TLV. It returns false if the value has a wrong length and ignores unknown types.
func (p *Packet) setTLV(t proxyproto.TLV) bool {
	v := t.Value
	switch t.Type {
	case proxyproto.PP2_TYPE_AUTHORITY:
		p.ServiceName = string(v)
	case proxyproto.PP2_TYPE_UNIQUE_ID:
		return copy(p.CallID[:], v) == callIDSize && len(v) == callIDSize
	case typeVerb:
		return setByte((*uint8)(&p.Verb), v)
	case typeCause:
		return setByte(&p.Cause, v)
	case typeToken:
		p.Token = v
	case typeAttemptID:
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
