package encapsulator

import (
	"encoding/binary"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

// Offsets in a version 2 header over IPv4: source and destination addresses, then the two ports.
const (
	callerIPOffset   = headerPrefix
	callerPortOffset = headerPrefix + 8
	tlvOffset        = headerPrefix + 12
	tlvHeaderSize    = 3
)

// maxTemplates bounds the templates that an Encoder keeps; it exceeds the number of service addresses of a large fleet.
const maxTemplates = 16384

// templateKey holds what must be equal for two packets to share a template.
type templateKey struct {
	service     netip.AddrPort
	authority   string
	tokenLength int
}

// template is an encoded header and the places of the values that differ from packet to packet.
type template struct {
	bytes                       []byte
	verb, call, sequence, token int
}

// Encoder encodes packets of established flows without allocating: it encodes the first packet of each service with
// the library and replaces the values that differ in a copy. It is not safe for concurrent use.
type Encoder struct {
	templates map[templateKey]*template
}

// NewEncoder returns an Encoder without templates.
func NewEncoder() *Encoder { return &Encoder{templates: map[templateKey]*template{}} }

// Append appends the wire form of p to dst, as the function Append does.
func (e *Encoder) Append(dst []byte, p *Packet) ([]byte, error) {
	if !p.templated() {
		return Append(dst, p)
	}
	key := templateKey{service: p.Service, authority: p.ServiceName, tokenLength: len(p.Token)}
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

// templated reports whether p has only fields that a template covers.
func (p *Packet) templated() bool {
	return p.Caller.Addr().Unmap().Is4() && p.Service.Addr().Unmap().Is4() && p.Deadline.IsZero() && len(p.Token) > 0 &&
		p.AttemptID == 0 && !p.HasLoad && p.Incarnation == 0 && p.Cause == 0
}

func newTemplate(p *Packet) (*template, error) {
	head := *p
	head.Payload = nil
	b, err := Append(nil, &head)
	if err != nil {
		return nil, err
	}
	t := &template{bytes: b}
	for at := tlvOffset; at+tlvHeaderSize <= len(b); {
		value := at + tlvHeaderSize
		switch proxyproto.PP2Type(b[at]) {
		case proxyproto.PP2_TYPE_UNIQUE_ID:
			t.call = value
		case typeVerb:
			t.verb = value
		case typeSequence:
			t.sequence = value
		case typeToken:
			t.token = value
		}
		at = value + int(binary.BigEndian.Uint16(b[at+1:]))
	}
	return t, nil
}

func (t *template) append(dst []byte, p *Packet) []byte {
	start := len(dst)
	dst = append(dst, t.bytes...)
	b := dst[start:]
	ip := p.Caller.Addr().Unmap().As4()
	copy(b[callerIPOffset:], ip[:])
	binary.BigEndian.PutUint16(b[callerPortOffset:], p.Caller.Port())
	b[t.verb] = byte(p.Verb)
	copy(b[t.call:], p.CallID[:])
	binary.BigEndian.PutUint64(b[t.sequence:], p.Seq)
	binary.BigEndian.PutUint32(b[t.sequence+8:], p.PartCount)
	copy(b[t.token:], p.Token)
	return append(dst, p.Payload...)
}
