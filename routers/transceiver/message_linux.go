package transceiver

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

// mmsghdr is the struct mmsghdr of Linux, which golang.org/x/sys/unix does not declare.
type mmsghdr struct {
	header   unix.Msghdr
	received uint32
}

// socketAddress is a buffer for a socket address of either family, IPv4 or IPv6.
type socketAddress unix.RawSockaddrInet6

// encode stores a in the form of the socket's address family and returns its size. For an IPv6 socket, an IPv4 address becomes an
// IPv4-mapped IPv6 address.
func (s *socketAddress) encode(family int, a netip.AddrPort) uint32 {
	size := uint32(unix.SizeofSockaddrInet6)
	if ip := a.Addr().Unmap(); family == unix.AF_INET && ip.Is4() {
		ipv4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(s))
		ipv4.Family, ipv4.Addr = unix.AF_INET, ip.As4()
		size = unix.SizeofSockaddrInet4
	} else {
		s.Family, s.Addr, s.Flowinfo, s.Scope_id = unix.AF_INET6, a.Addr().As16(), 0, 0
	}
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&s.Port))[:], a.Port())
	return size
}

func (s *socketAddress) decode() netip.AddrPort {
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&s.Port))[:])
	switch s.Family {
	case unix.AF_INET:
		return netip.AddrPortFrom(netip.AddrFrom4((*unix.RawSockaddrInet4)(unsafe.Pointer(s)).Addr), port)
	case unix.AF_INET6:
		return netip.AddrPortFrom(netip.AddrFrom16(s.Addr).Unmap(), port)
	default:
		return netip.AddrPort{}
	}
}

// setBuffer makes v point to data.
func setBuffer(v *unix.Iovec, data []byte) {
	v.Base = unsafe.SliceData(data)
	v.SetLen(len(data))
}

// transferMessages calls recvmmsg or sendmmsg, whose number is call, and returns how many messages the kernel transferred.
func transferMessages(call uintptr, fd int, messages []mmsghdr) (int, error) {
	n, _, errno := unix.Syscall6(call, uintptr(fd), uintptr(unsafe.Pointer(unsafe.SliceData(messages))), uintptr(len(messages)), 0, 0, 0)
	if errno != 0 {
		return 0, errno
	}
	return int(n), nil
}

// readBuffers holds the buffers into which a receiver reads.
type readBuffers struct {
	messages []mmsghdr
	sources  []socketAddress
	data     [][]byte
}

func newReadBuffers() *readBuffers {
	b := &readBuffers{
		messages: make([]mmsghdr, batchSize), sources: make([]socketAddress, batchSize), data: make([][]byte, batchSize),
	}
	vectors := make([]unix.Iovec, batchSize)
	for i := range b.messages {
		b.data[i] = make([]byte, bufferSize)
		setBuffer(&vectors[i], b.data[i])
		h := &b.messages[i].header
		h.Name = (*byte)(unsafe.Pointer(&b.sources[i]))
		h.Iov = &vectors[i]
		h.SetIovlen(1)
	}
	return b
}

// read reads up to batchSize datagrams and returns their number.
func (b *readBuffers) read(fd int) (int, error) {
	for i := range b.messages {
		b.messages[i].header.Namelen = uint32(unsafe.Sizeof(socketAddress{}))
	}
	return transferMessages(unix.SYS_RECVMMSG, fd, b.messages)
}

// batch returns a copy of the first n datagrams, which makes the buffers free for the next read.
func (b *readBuffers) batch(serviceAddress netip.AddrPort, n int) *Batch {
	size := 0
	for i := range n {
		size += int(b.messages[i].received)
	}
	batch := newBatch(serviceAddress, size)
	for i := range n {
		batch.add(b.sources[i].decode(), b.data[i][:b.messages[i].received])
	}
	return batch
}

// segmentValueSize is the size in bytes of the value of the control message UDP_SEGMENT, a 16-bit segment size.
const segmentValueSize = 2

// newSegmentControl returns a control message UDP_SEGMENT, which has the kernel split a message into datagrams (UDP generic
// segmentation offload, GSO). setSegmentSize sets their size.
func newSegmentControl() []byte {
	b := make([]byte, unix.CmsgSpace(segmentValueSize))
	h := (*unix.Cmsghdr)(unsafe.Pointer(&b[0]))
	h.Level, h.Type = unix.SOL_UDP, unix.UDP_SEGMENT
	h.SetLen(unix.CmsgLen(segmentValueSize))
	return b
}

func setSegmentSize(control []byte, size int) {
	binary.NativeEndian.PutUint16(control[unix.CmsgLen(0):], uint16(size))
}

// isSegmentationUnsupported reports whether err may mean that the kernel or the interface does not support UDP GSO.
func isSegmentationUnsupported(err error) bool {
	return errors.Is(err, unix.EIO) || errors.Is(err, unix.EINVAL) || errors.Is(err, unix.EOPNOTSUPP) ||
		errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EMSGSIZE)
}
