// Package editor parses the header of a packet in place and sets the field that a forwarder may change. It does not allocate,
// so that most of the cost of a packet is the copy from and to the socket.
package editor

import (
	"encoding/binary"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Errors of Parse.
var (
	ErrTruncated      = eris.New("packet is shorter than its header: check that the sender uses the header layout of this deployment")
	ErrLengthMismatch = eris.New("packet length differs from the length in its header: check for datagrams truncated on the way")
)

// IsErrTruncated reports whether err is an ErrTruncated.
func IsErrTruncated(err error) bool { return eris.Is(err, ErrTruncated) }

// IsErrLengthMismatch reports whether err is an ErrLengthMismatch.
func IsErrLengthMismatch(err error) bool { return eris.Is(err, ErrLengthMismatch) }

// Layout is the layout of a packet header: the offset of each field in bytes and the bits of the flags. All fields are
// big-endian. Addresses are IPv4.
type Layout struct {
	HeaderSize                         int // length of the header in bytes, not an offset
	SourceIP, DestinationIP            int // 4 bytes each
	SourcePort, DestinationPort        int // 2 bytes each
	Tag                                int // 4 bytes; the only field that a forwarder may change
	DataLength                         int // 2 bytes
	Flags                              int // 1 byte
	SequenceNumber, AckNumber          int // 4 bytes each
	FlagSYN, FlagACK, FlagFIN, FlagRST byte
}

// Flags are the control flags of a packet.
type Flags struct{ SYN, ACK, FIN, RST bool }

// Packet is the parsed header of a packet.
type Packet struct {
	Source, Destination       netip.AddrPort
	Tag                       uint32
	Flags                     Flags
	SequenceNumber, AckNumber uint32
	DataLength                int
}

// Parse parses the header of the packet b into p.
func (l *Layout) Parse(b []byte, p *Packet) error {
	if len(b) < l.HeaderSize {
		return ErrTruncated
	}
	p.DataLength = int(binary.BigEndian.Uint16(b[l.DataLength:]))
	if len(b) != l.HeaderSize+p.DataLength {
		return ErrLengthMismatch
	}
	p.Source = addrPort(b, l.SourceIP, l.SourcePort)
	p.Destination = addrPort(b, l.DestinationIP, l.DestinationPort)
	p.Tag = binary.BigEndian.Uint32(b[l.Tag:])
	flags := b[l.Flags]
	p.Flags = Flags{SYN: flags&l.FlagSYN != 0, ACK: flags&l.FlagACK != 0, FIN: flags&l.FlagFIN != 0, RST: flags&l.FlagRST != 0}
	p.SequenceNumber = binary.BigEndian.Uint32(b[l.SequenceNumber:])
	p.AckNumber = binary.BigEndian.Uint32(b[l.AckNumber:])
	return nil
}

func addrPort(b []byte, ip, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
}

// SetTag sets the tag of the packet b, which must have been parsed without an error.
func (l *Layout) SetTag(b []byte, tag uint32) { binary.BigEndian.PutUint32(b[l.Tag:], tag) }

// BuildReset writes the header of a reset (RST) that answers p into b, which must have at least HeaderSize bytes, and returns
// it. Its sequence number is the one that the caller expects next.
func (l *Layout) BuildReset(b []byte, p *Packet) []byte {
	b = b[:l.HeaderSize]
	clear(b)
	putAddrPort(b, l.SourceIP, l.SourcePort, p.Destination)
	putAddrPort(b, l.DestinationIP, l.DestinationPort, p.Source)
	b[l.Flags] = l.FlagRST
	binary.BigEndian.PutUint32(b[l.SequenceNumber:], p.AckNumber)
	return b
}

func putAddrPort(b []byte, ip, port int, a netip.AddrPort) {
	address := a.Addr().As4()
	copy(b[ip:], address[:])
	binary.BigEndian.PutUint16(b[port:], a.Port())
}
