package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
	"github.com/bluebelldyke/bluebelldyke/platform"
)

// sumOffset is the offset of the header field sum, which the layout of the daemon does not name.
const sumOffset = 19

// sumKey is the key of the sum. Daemons do not know it.
const sumKey = "review"

var layout = platform.PacketLayout()

// encode returns a packet with its data and its sum.
func encode(p *editor.Packet, data []byte) []byte {
	b := make([]byte, layout.HeaderSize+len(data))
	put := func(ip, port int, a netip.AddrPort) {
		four := a.Addr().As4()
		copy(b[ip:], four[:])
		binary.BigEndian.PutUint16(b[port:], a.Port())
	}
	put(layout.SourceIP, layout.SourcePort, p.Source)
	put(layout.DestinationIP, layout.DestinationPort, p.Destination)
	binary.BigEndian.PutUint16(b[layout.DataLength:], uint16(len(data)))
	binary.BigEndian.PutUint32(b[layout.SequenceNumber:], p.SequenceNumber)
	binary.BigEndian.PutUint32(b[layout.AckNumber:], p.AckNumber)
	for _, f := range []struct {
		set bool
		bit byte
	}{{p.Flags.SYN, layout.FlagSYN}, {p.Flags.ACK, layout.FlagACK}, {p.Flags.FIN, layout.FlagFIN}, {p.Flags.RST, layout.FlagRST}} {
		if f.set {
			b[layout.Flags] |= f.bit
		}
	}
	copy(b[layout.HeaderSize:], data)
	layout.SetTag(b, p.Tag)
	binary.BigEndian.PutUint32(b[sumOffset:], sum(b))
	return b
}

// sum returns the keyed sum over all fields except echo.
func sum(b []byte) uint32 {
	c := append([]byte(sumKey), b...)
	layout.SetTag(c[len(sumKey):], 0)
	binary.BigEndian.PutUint32(c[len(sumKey)+sumOffset:], 0)
	return crc32.ChecksumIEEE(c)
}

// decode parses a packet and reports whether its sum is that of a sender, and whether it is 0 as in a reset of the system.
func decode(b []byte) (p editor.Packet, data []byte, intact, unsigned bool) {
	if layout.Parse(b, &p) != nil {
		return p, nil, false, false
	}
	stated := binary.BigEndian.Uint32(b[sumOffset:])
	return p, append([]byte(nil), b[layout.HeaderSize:]...), stated == sum(b), stated == 0
}

// flowKey identifies a flow by the addresses of its requester and of the route.
type flowKey struct{ requester, route netip.AddrPort }
