package encapsulator

import (
	"bytes"
	"encoding/binary"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

const (
	// versionCommand is version 2 with the command PROXY.
	versionCommand = 0x21
	// familyUDPv4 is a datagram over IPv4.
	familyUDPv4 = 0x12
	// maxNames bounds the service names that a Decoder keeps.
	maxNames = 16384
)

// signature opens every version 2 header.
var signature = []byte("\r\n\r\n\x00\r\nQUIT\n")

// Decoder decodes packets without allocating. It reads the header form that backend servers send, IPv4 datagrams, in
// place and leaves every other form to the library. It is not safe for concurrent use.
type Decoder struct {
	names map[string]string
}

// NewDecoder returns a Decoder.
func NewDecoder() *Decoder { return &Decoder{names: map[string]string{}} }

// Parse decodes b into p as the function Parse does. Token is a slice of b.
func (d *Decoder) Parse(b []byte, p *Packet) error {
	if len(b) < tlvOffset || !bytes.Equal(b[:len(signature)], signature) || b[12] != versionCommand || b[13] != familyUDPv4 {
		return Parse(b, p)
	}
	end := headerPrefix + int(binary.BigEndian.Uint16(b[headerPrefix-2:]))
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
		p.ServiceName = d.name(value)
		return true
	}
	return p.setTLV(proxyproto.TLV{Type: kind, Value: value})
}

// name returns b as a string that is allocated only the first time.
func (d *Decoder) name(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	if len(d.names) >= maxNames {
		clear(d.names)
	}
	s := string(b)
	d.names[s] = s
	return s
}
