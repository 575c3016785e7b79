// Package direct holds stand-ins for the surroundings of daemons that forward with direct server return: backend servers that
// answer callers themselves, callers, and the fabric that chooses a daemon for each packet. They check the guarantees of the
// daemons.
package direct

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// checksumSize is the length of the CRC-32 at the end of each packet's data. It covers the whole packet except the flow tag.
const checksumSize = 4

// encode returns the packet p with data and, after it, the checksum.
func encode(l *editor.Layout, p *editor.Packet, data []byte) []byte {
	length := 0
	if len(data) > 0 {
		length = len(data) + checksumSize
	}
	b := make([]byte, l.HeaderSize+length)
	put := func(ip, port int, a netip.AddrPort) {
		four := a.Addr().As4()
		copy(b[ip:], four[:])
		binary.BigEndian.PutUint16(b[port:], a.Port())
	}
	put(l.SourceIP, l.SourcePort, p.Source)
	put(l.DestinationIP, l.DestinationPort, p.Destination)
	binary.BigEndian.PutUint16(b[l.DataLength:], uint16(length))
	binary.BigEndian.PutUint32(b[l.SequenceNumber:], p.SequenceNumber)
	binary.BigEndian.PutUint32(b[l.AckNumber:], p.AckNumber)
	for _, f := range []struct {
		set bool
		bit byte
	}{{p.Flags.SYN, l.FlagSYN}, {p.Flags.ACK, l.FlagACK}, {p.Flags.FIN, l.FlagFIN}, {p.Flags.RST, l.FlagRST}} {
		if f.set {
			b[l.Flags] |= f.bit
		}
	}
	if length > 0 {
		copy(b[l.HeaderSize:], data)
		binary.BigEndian.PutUint32(b[len(b)-checksumSize:], crc32.ChecksumIEEE(b[:len(b)-checksumSize]))
	}
	l.SetTag(b, p.Tag)
	return b
}

// decode returns the header and the data of a packet, and whether its checksum matches. The tag may have changed on the way.
func decode(l *editor.Layout, b []byte) (p editor.Packet, data []byte, intact bool) {
	if l.Parse(b, &p) != nil {
		return p, nil, false
	}
	if p.DataLength == 0 {
		return p, nil, true
	}
	if p.DataLength < checksumSize {
		return p, nil, false
	}
	body := append([]byte(nil), b[:len(b)-checksumSize]...)
	l.SetTag(body, 0)
	return p, body[l.HeaderSize:], crc32.ChecksumIEEE(body) == binary.BigEndian.Uint32(b[len(b)-checksumSize:])
}

// flowKey identifies a flow.
type flowKey struct{ caller, service netip.AddrPort }
