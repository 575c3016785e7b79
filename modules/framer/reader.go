package framer

import "encoding/binary"

// The initial bytes of CBOR data items (RFC 8949) in the header: an array of nine items, unsigned integers and a byte string.
const (
	arrayHead  = 0x80 | 9          // the number of items is in the initial byte
	callIDHead = 0x40 | CallIDSize // the length of the byte string is in the initial byte
	// The initial byte consists of the major type, which is 0 for unsigned integers, and the additional information.
	majorTypeMask      = 0xE0
	additionalInfoMask = 0x1F
	// Additional information up to maxInlineUint is the integer itself. The other values say which integer follows.
	maxInlineUint = 23
	uint8Follows  = 24
	uint16Follows = 25
	uint32Follows = 26
	uint64Follows = 27
)

// parseFast decodes the header form that Append writes, without the CBOR library: an array of unsigned integers and a byte
// string of CallIDSize bytes, each of definite length. It returns the rest of b, or false for every other form, which Parse
// then passes to the library.
func parseFast(b []byte, h *header) (rest []byte, ok bool) {
	if len(b) == 0 || b[0] != arrayHead {
		return nil, false
	}
	r := uintReader{rest: b[1:]}
	h.Version = uint8(r.readUint(1<<8 - 1))
	h.Kind = uint8(r.readUint(1<<8 - 1))
	h.ServiceID = r.readUint(1<<64 - 1)
	if len(r.rest) < 1+CallIDSize || r.rest[0] != callIDHead {
		return nil, false
	}
	copy(h.CallID[:], r.rest[1:])
	r.rest = r.rest[1+CallIDSize:]
	h.Seq = r.readUint(1<<64 - 1)
	h.PartCount = uint32(r.readUint(1<<32 - 1))
	h.Deadline = int64(r.readUint(1<<63 - 1))
	h.Cause = uint8(r.readUint(1<<8 - 1))
	h.TokenLength = uint8(r.readUint(1<<8 - 1))
	return r.rest, !r.failed
}

// uintReader reads consecutive unsigned integers. After a failure, failed stays set.
type uintReader struct {
	rest   []byte
	failed bool
}

// readUint returns the next unsigned integer. It fails for another type, a truncated integer and one above the limit.
func (r *uintReader) readUint(limit uint64) uint64 {
	if len(r.rest) == 0 || r.rest[0]&majorTypeMask != 0 {
		r.failed = true
		return 0
	}
	v, size := uint64(r.rest[0]&additionalInfoMask), 1
	if v > maxInlineUint {
		v, size = r.readMultiByte(r.rest[1:])
	}
	if r.failed || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

// readMultiByte returns the integer that follows the initial byte, and the length of both. b begins after the initial byte.
func (r *uintReader) readMultiByte(b []byte) (uint64, int) {
	info := r.rest[0] & additionalInfoMask
	switch {
	case info == uint8Follows && len(b) >= 1:
		return uint64(b[0]), 2
	case info == uint16Follows && len(b) >= 2:
		return uint64(binary.BigEndian.Uint16(b)), 3
	case info == uint32Follows && len(b) >= 4:
		return uint64(binary.BigEndian.Uint32(b)), 5
	case info == uint64Follows && len(b) >= 8:
		return binary.BigEndian.Uint64(b), 9
	}
	r.failed = true
	return 0, 0
}
