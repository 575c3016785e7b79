package framer

import "encoding/binary"

// The CBOR forms that the common header consists of: an array of nine items, unsigned integers and one byte string.
const (
	arrayOfNine   = 0x80 | 9
	byteString    = 0x40 | CallIDSize // the length of a call id stands in the same byte
	majorMask     = 0xE0
	valueMask     = 0x1F
	valueOneByte  = 24
	valueTwo      = 25
	valueFour     = 26
	valueEight    = 27
	maxDirectUint = 23
)

// parseCommon decodes the header form that Append writes, in place: a CBOR array of unsigned integers and a byte string
// of CallSize bytes, each of definite length. It returns the rest of b, or false for every other form, which the library
// then decodes or refuses.
func parseCommon(b []byte, h *header) (rest []byte, ok bool) {
	if len(b) == 0 || b[0] != arrayOfNine {
		return nil, false
	}
	r := reader{rest: b[1:]}
	h.Version = uint8(r.uint(1<<8 - 1))
	h.Kind = uint8(r.uint(1<<8 - 1))
	h.Service = r.uint(1<<64 - 1)
	if len(r.rest) < 1+CallIDSize || r.rest[0] != byteString {
		return nil, false
	}
	copy(h.Call[:], r.rest[1:])
	r.rest = r.rest[1+CallIDSize:]
	h.Seq = r.uint(1<<64 - 1)
	h.Count = uint32(r.uint(1<<32 - 1))
	h.Deadline = int64(r.uint(1<<63 - 1))
	h.Cause = uint8(r.uint(1<<8 - 1))
	h.TokenLength = uint8(r.uint(1<<8 - 1))
	return r.rest, !r.failed
}

// reader reads unsigned integers one after the other.
type reader struct {
	rest   []byte
	failed bool
}

// uint returns the next unsigned integer. It fails for another type, a truncated value and one above the limit.
func (r *reader) uint(limit uint64) uint64 {
	if len(r.rest) == 0 || r.rest[0]&majorMask != 0 {
		r.failed = true
		return 0
	}
	v, size := uint64(r.rest[0]&valueMask), 1
	if v > maxDirectUint {
		v, size = r.long(r.rest[1:])
	}
	if r.failed || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

// long returns an integer that follows its initial byte, and the length of both.
func (r *reader) long(b []byte) (uint64, int) {
	kind := r.rest[0] & valueMask
	switch {
	case kind == valueOneByte && len(b) >= 1:
		return uint64(b[0]), 2
	case kind == valueTwo && len(b) >= 2:
		return uint64(binary.BigEndian.Uint16(b)), 3
	case kind == valueFour && len(b) >= 4:
		return uint64(binary.BigEndian.Uint32(b)), 5
	case kind == valueEight && len(b) >= 8:
		return binary.BigEndian.Uint64(b), 9
	}
	r.failed = true
	return 0, 0
}
