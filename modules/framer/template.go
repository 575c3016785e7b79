package framer

import (
	"encoding/binary"
	"sync"
)

// maxTemplates is the largest number of cached templates. It exceeds the number of services of a large fleet times the number
// of encoded lengths of a sequence number.
const maxTemplates = 65536

// templateKey holds the values that two headers must share to differ only in bytes at fixed offsets.
type templateKey struct {
	kind      Kind
	serviceID uint64
	seqLength int
}

// template is a header encoded by the CBOR library, with the offsets of the values that are replaced in copies of it.
type template struct {
	bytes                   []byte
	callIDOffset, seqOffset int
}

// templateCache holds the templates of all services. Headers are encoded by few goroutines, so the lock is rarely contended.
var templateCache = struct {
	sync.RWMutex
	byKey map[templateKey]*template
}{byKey: map[templateKey]*template{}}

// fitsTemplate reports whether a template covers all header values of d, as it does for readings.
func (d *Datagram) fitsTemplate() bool {
	return d.Kind == KindReading && d.PartCount == 0 && d.Deadline.IsZero() && d.Cause == CauseNone && len(d.Token) == 0
}

// seqLength returns the number of bytes that follow the initial byte in the CBOR encoding of seq.
func seqLength(seq uint64) int {
	switch {
	case seq <= maxInlineUint:
		return 0
	case seq < 1<<8:
		return 1
	case seq < 1<<16:
		return 2
	case seq < 1<<32:
		return 4
	}
	return 8
}

// appendFromTemplate appends the header of d, for which fitsTemplate must hold.
func appendFromTemplate(dst []byte, d *Datagram) ([]byte, error) {
	key := templateKey{kind: d.Kind, serviceID: d.ServiceID, seqLength: seqLength(d.Seq)}
	templateCache.RLock()
	t := templateCache.byKey[key]
	templateCache.RUnlock()
	if t == nil {
		var err error
		if t, err = newTemplate(key, d); err != nil {
			return dst, err
		}
	}
	start := len(dst)
	dst = append(dst, t.bytes...)
	b := dst[start:]
	copy(b[t.callIDOffset:], d.CallID[:])
	var value [8]byte
	binary.BigEndian.PutUint64(value[:], d.Seq)
	if key.seqLength == 0 {
		b[t.seqOffset] = value[7]
	} else {
		copy(b[t.seqOffset+1:], value[8-key.seqLength:])
	}
	return dst, nil
}

// newTemplate encodes the header of d with the CBOR library and caches it as a template.
func newTemplate(key templateKey, d *Datagram) (*template, error) {
	b, err := appendHeader(nil, d)
	if err != nil {
		return nil, err
	}
	// The sequence number is followed by the part count, deadline, cause and token length: zeros of one byte each.
	t := &template{bytes: b, seqOffset: len(b) - 4 - 1 - key.seqLength}
	t.callIDOffset = t.seqOffset - CallIDSize
	templateCache.Lock()
	defer templateCache.Unlock()
	if len(templateCache.byKey) >= maxTemplates {
		clear(templateCache.byKey)
	}
	templateCache.byKey[key] = t
	return t, nil
}
