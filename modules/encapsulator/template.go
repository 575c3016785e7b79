package encapsulator

import (
	"encoding/binary"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// Offsets in a version 2 header for IPv4: the addresses of source and destination, the two ports, then the TLVs.
const (
	callerIPOffset   = fixedHeaderSize
	callerPortOffset = fixedHeaderSize + 8
	tlvOffset        = fixedHeaderSize + 12
	// tlvHeaderSize is the length of the type and the length field of a TLV.
	tlvHeaderSize = 3
)

// maxTemplates is the largest number of templates that an Encoder caches. It exceeds the number of service addresses of a
// large fleet.
const maxTemplates = 16384

// templateKey holds the values that two packets must have in common to share a template.
type templateKey struct {
	service     netip.AddrPort
	serviceName string
	tokenLength int
}

// template is an encoded header with the offsets of the TLV values that are replaced in copies of it.
type template struct {
	bytes                                                 []byte
	verbOffset, callIDOffset, sequenceOffset, tokenOffset int
}

// Encoder encodes packets of established flows without allocating. It encodes the first packet of each service with the
// function Append and keeps it as a template, in copies of which it replaces the values that differ. It is not safe for
// concurrent use.
type Encoder struct {
	templates map[templateKey]*template
}

// NewEncoder returns an Encoder without templates.
func NewEncoder() *Encoder { return &Encoder{templates: map[templateKey]*template{}} }

// Append appends the wire form of p to dst, as the function Append does.
func (e *Encoder) Append(dst []byte, p *Packet) ([]byte, error) {
	if !p.fitsTemplate() {
		return Append(dst, p)
	}
	key := templateKey{service: p.Service, serviceName: p.ServiceName, tokenLength: len(p.Token)}
	t := e.templates[key]
	if t == nil {
		var err error
		if t, err = newTemplate(p); err != nil {
			return dst, err
		}
		if len(e.templates) >= maxTemplates {
			clear(e.templates)
		}
		e.templates[key] = t
	}
	return t.append(dst, p), nil
}

// fitsTemplate reports whether a template covers all header fields of p.
func (p *Packet) fitsTemplate() bool {
	return p.Caller.Addr().Unmap().Is4() && p.Service.Addr().Unmap().Is4() && p.Deadline.IsZero() && len(p.Token) > 0 &&
		p.AttemptID == 0 && !p.HasLoad && p.Incarnation == 0 && p.Cause == 0
}

// newTemplate encodes the header of p, without the payload, and finds the offsets of the values to replace.
func newTemplate(p *Packet) (*template, error) {
	headerOnly := *p
	headerOnly.Payload = nil
	b, err := Append(nil, &headerOnly)
	if err != nil {
		return nil, err
	}
	t := &template{bytes: b}
	for offset := tlvOffset; offset+tlvHeaderSize <= len(b); {
		valueOffset := offset + tlvHeaderSize
		switch proxyproto.PP2Type(b[offset]) {
		case proxyproto.PP2_TYPE_UNIQUE_ID:
			t.callIDOffset = valueOffset
		case typeVerb:
			t.verbOffset = valueOffset
		case typeSequence:
			t.sequenceOffset = valueOffset
		case typeToken:
			t.tokenOffset = valueOffset
		}
		offset = valueOffset + int(binary.BigEndian.Uint16(b[offset+1:]))
	}
	return t, nil
}

// append appends a copy of the template with the values of p, and the payload.
func (t *template) append(dst []byte, p *Packet) []byte {
	start := len(dst)
	dst = append(dst, t.bytes...)
	b := dst[start:]
	ip := p.Caller.Addr().Unmap().As4()
	copy(b[callerIPOffset:], ip[:])
	binary.BigEndian.PutUint16(b[callerPortOffset:], p.Caller.Port())
	b[t.verbOffset] = byte(p.Verb)
	copy(b[t.callIDOffset:], p.CallID[:])
	binary.BigEndian.PutUint64(b[t.sequenceOffset:], p.Seq)
	binary.BigEndian.PutUint32(b[t.sequenceOffset+8:], p.PartCount)
	copy(b[t.tokenOffset:], p.Token)
	return append(dst, p.Payload...)
}
