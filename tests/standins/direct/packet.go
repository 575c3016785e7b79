// Package direct holds stand-ins of what surrounds daemons that forward with direct return: backend servers that answer
// callers themselves, callers, and the fabric that chooses a daemon for each packet. They check what daemons promise.
package direct

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// checksumSize is the length of the sum that ends each packet's data, over everything but the flow tag.
const checksumSize = 4

// encode returns the packet p with data. Its sum shows any change on the way but that of the tag.
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

// decode returns the header and the data of a packet, and whether it arrived as it was written.
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

// flow names a flow from the caller's side.
type flow struct{ caller, service netip.AddrPort }
