package transceiver

import (
	"encoding/binary"
	"errors"
	"math/bits"
	"net/netip"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	// maxBatchMessages is the maximum number of messages that one call of sendmmsg writes. It usually exceeds the number of addresses
	// in the outputs of a full writer ring, so that there are datagrams to the same address in a batch even with many callers, which
	// can be coalesced.
	maxBatchMessages = 128
	// bucketCount is the number of buckets in the hash index of destinations. It must be a power of 2.
	bucketCount = 256
	// fibonacciMultiplier is 2^32 divided by the golden ratio: Fibonacci hashing spreads consecutive addresses over the buckets.
	fibonacciMultiplier = 0x9E3779B9
	// maxSegmentsPerMessage is the maximum number of datagrams in one message; the kernel allows 64.
	maxSegmentsPerMessage = 32
	// maxSegmentSize is the size of the largest datagram that is coalesced. A segment has to fit into an Ethernet frame, because the
	// kernel does not fragment segments.
	maxSegmentSize = 1400
	// sendTimeoutMs is how long in milliseconds a sender waits for space in a full send queue before it drops a message.
	sendTimeoutMs = 100
)

// Sender writes datagrams in batches, each on one socket. Datagrams of equal size to one address are coalesced into one message. The
// kernel splits it into the datagrams again (UDP GSO) late in the network stack, which saves most of the cost of each datagram. It
// is not safe for concurrent use.
type Sender struct {
	messages                []mmsghdr
	vectors                 [][]unix.Iovec
	addresses               []socketAddress
	destinations            []netip.AddrPort
	lastByBucket            [bucketCount]uint8 // index of the last message to an address of the bucket, valid if its destination matches
	segmentControls         [][]byte
	singleMessage           []mmsghdr // buffer of sendUnsegmented
	socket                  *Socket
	count                   int
	segmentationUnsupported bool // the kernel or the interface does not support UDP GSO
}

// NewSender returns an empty Sender.
func NewSender() *Sender {
	s := &Sender{
		messages: make([]mmsghdr, maxBatchMessages), vectors: make([][]unix.Iovec, maxBatchMessages), addresses: make([]socketAddress, maxBatchMessages),
		destinations: make([]netip.AddrPort, maxBatchMessages), segmentControls: make([][]byte, maxBatchMessages), singleMessage: make([]mmsghdr, 1),
	}
	for i := range s.messages {
		s.vectors[i] = make([]unix.Iovec, 0, maxSegmentsPerMessage)
		s.messages[i].header.Name = (*byte)(unsafe.Pointer(&s.addresses[i]))
		s.segmentControls[i] = newSegmentControl()
	}
	return s
}

// Add queues one datagram. It flushes the batch first if that is full or belongs to another socket. Data must not change before Flush.
func (s *Sender) Add(socket *Socket, to netip.AddrPort, data []byte) {
	if s.socket != socket {
		s.Flush()
		s.socket = socket
	}
	if s.coalesce(to, data) {
		return
	}
	if s.count == maxBatchMessages {
		s.Flush()
	}
	i := s.count
	s.vectors[i] = s.vectors[i][:0]
	s.appendDatagram(i, data)
	s.messages[i].header.Namelen = s.addresses[i].encode(socket.family, to)
	s.destinations[i] = to
	s.lastByBucket[bucketOf(to)] = uint8(i)
	s.count++
}

func (s *Sender) appendDatagram(i int, data []byte) {
	s.vectors[i] = s.vectors[i][:len(s.vectors[i])+1]
	setBuffer(&s.vectors[i][len(s.vectors[i])-1], data)
}

// coalesce appends a datagram to the last message to its address and reports whether it could. Only the last message is considered,
// which preserves the order of the datagrams to one address.
func (s *Sender) coalesce(to netip.AddrPort, data []byte) bool {
	if s.segmentationUnsupported || len(data) > maxSegmentSize {
		return false
	}
	i := int(s.lastByBucket[bucketOf(to)])
	if i >= s.count || s.destinations[i] != to {
		return false
	}
	if v := s.vectors[i]; len(v) == maxSegmentsPerMessage || int(v[0].Len) != len(data) {
		return false
	}
	s.appendDatagram(i, data)
	return true
}

// bucketOf returns the bucket of an address. A collision of addresses only means that fewer datagrams are coalesced.
func bucketOf(a netip.AddrPort) int {
	ip := a.Addr().As16()
	hash := binary.BigEndian.Uint32(ip[12:]) + uint32(a.Port())
	return int(hash * fibonacciMultiplier >> (32 - bits.TrailingZeros(bucketCount)))
}

// Flush writes the queued datagrams. It skips those that the kernel rejects, as UDP guarantees no delivery.
func (s *Sender) Flush() {
	for i := range s.count {
		h, v := &s.messages[i].header, s.vectors[i]
		h.Iov = &v[0]
		h.SetIovlen(len(v))
		h.Control = nil
		h.SetControllen(0)
		if len(v) > 1 {
			setSegmentSize(s.segmentControls[i], int(v[0].Len))
			h.Control = &s.segmentControls[i][0]
			h.SetControllen(len(s.segmentControls[i]))
		}
	}
	for sent := 0; sent < s.count; {
		n, err := s.socket.send(s.messages[sent:s.count])
		if err != nil {
			if len(s.vectors[sent]) > 1 {
				// The error may have another reason. Segmentation is unsupported only if the same datagrams can be sent one by one.
				s.segmentationUnsupported = s.sendUnsegmented(sent) && isSegmentationUnsupported(err) || s.segmentationUnsupported
			}
			n = 1
		}
		sent += n
	}
	s.reset()
}

// reset empties the batch and drops the references to the data, whose owner may reuse it.
func (s *Sender) reset() {
	for i := range s.count {
		clear(s.vectors[i])
	}
	s.count = 0
}

// sendUnsegmented sends the datagrams of a message that the kernel rejected one by one. It reports whether all were sent.
func (s *Sender) sendUnsegmented(i int) bool {
	allSent := true
	h := &s.singleMessage[0].header
	h.Name, h.Namelen = s.messages[i].header.Name, s.messages[i].header.Namelen
	for k := range s.vectors[i] {
		h.Iov = &s.vectors[i][k]
		h.SetIovlen(1)
		_, err := s.socket.send(s.singleMessage)
		allSent = allSent && err == nil
	}
	return allSent
}

// send writes messages and returns how many the kernel accepted: at least one, or none and the error of the first one.
func (s *Socket) send(messages []mmsghdr) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.fd < 0 {
		return 0, errClosed
	}
	for waited := false; ; {
		n, err := transferMessages(unix.SYS_SENDMMSG, s.fd, messages)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN) && !waited:
			waited = true
			_, _ = unix.Poll([]unix.PollFd{{Fd: int32(s.fd), Events: unix.POLLOUT}}, sendTimeoutMs)
			continue
		}
		return n, err
	}
}
