package encapsulator

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

const (
	// versionAndCommand is the byte for version 2 and the command PROXY.
	versionAndCommand = 0x21
	// familyUDPv4 is the byte for the address family IPv4 and the protocol UDP.
	familyUDPv4 = 0x12
	// maxServiceNames is the largest number of service names that a Decoder interns. Like maxTemplates, it exceeds the number of
	// services of a large fleet.
	maxServiceNames = 16384
)

// signature is the beginning of every version 2 header.
var signature = []byte("\r\n\r\n\x00\r\nQUIT\n")

// Decoder decodes packets of UDP over IPv4, which backend servers send, without allocating. It passes every other form to the
// function Parse. It is not safe for concurrent use.
type Decoder struct {
	serviceNames map[string]string
}

// NewDecoder returns a Decoder without interned names.
func NewDecoder() *Decoder { return &Decoder{serviceNames: map[string]string{}} }

// Parse decodes b into p, as the function Parse does. Token is a slice of b.
func (d *Decoder) Parse(b []byte, p *Packet) error {
	if len(b) < tlvOffset || !bytes.Equal(b[:len(signature)], signature) || b[12] != versionAndCommand || b[13] != familyUDPv4 {
		return Parse(b, p)
	}
	end := fixedHeaderSize + int(binary.BigEndian.Uint16(b[fixedHeaderSize-2:]))
	if end > len(b) || end < tlvOffset {
		return ErrMalformed
	}
	*p = Packet{
		Caller: addressV4(b[callerIPOffset:], b[callerPortOffset:]), Service: addressV4(b[callerIPOffset+4:], b[callerPortOffset+2:]),
		Payload: b[end:],
	}
	for rest := b[tlvOffset:end]; len(rest) > 0; {
		if len(rest) < tlvHeaderSize {
			return ErrMalformed
		}
		next := tlvHeaderSize + int(binary.BigEndian.Uint16(rest[1:]))
		if next > len(rest) {
			return ErrMalformed
		}
		if !d.setTLV(p, proxyproto.PP2Type(rest[0]), rest[tlvHeaderSize:next:next]) {
			return ErrMalformed
		}
		rest = rest[next:]
	}
	return nil
}

func addressV4(ip, port []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), binary.BigEndian.Uint16(port))
}

func (d *Decoder) setTLV(p *Packet, kind proxyproto.PP2Type, value []byte) bool {
	if kind == proxyproto.PP2_TYPE_AUTHORITY {
		p.ServiceName = d.internName(value)
		return true
	}
	return p.setTLV(proxyproto.TLV{Type: kind, Value: value})
}

// internName returns b as a string, which is allocated only once per name.
func (d *Decoder) internName(b []byte) string {
	if s, ok := d.serviceNames[string(b)]; ok {
		return s
	}
	if len(d.serviceNames) >= maxServiceNames {
		clear(d.serviceNames)
	}
	s := string(b)
	d.serviceNames[s] = s
	return s
}
