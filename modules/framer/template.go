package framer

import (
	"encoding/binary"
	"sync"
)

// maxTemplates bounds the templates that are kept; it exceeds the services of a large fleet times the kinds of readings.
const maxTemplates = 65536

// templateKey holds what must be equal for two headers to differ only in bytes at fixed places.
type templateKey struct {
	kind      Kind
	service   uint64
	seqLength int
}

// template is a header that the library encoded, with the places of the values that are replaced in copies of it.
type template struct {
	bytes     []byte
	call, seq int
}

// templates holds the templates of all services. Headers are encoded by few goroutines, so the lock is rarely contended.
var templates = struct {
	sync.RWMutex
	byKey map[templateKey]*template
}{byKey: map[templateKey]*template{}}

// templated reports whether d has only values that a template covers, as readings have.
func (d *Datagram) templated() bool {
	return d.Kind == KindReading && d.PartCount == 0 && d.Deadline.IsZero() && d.Cause == CauseNone && len(d.Token) == 0
}

// seqLength returns the number of bytes after the initial byte of the CBOR form of seq.
func seqLength(seq uint64) int {
	switch {
	case seq <= maxDirectUint:
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

// appendTemplated appends the header of d, which must be templated.
func appendTemplated(dst []byte, d *Datagram) ([]byte, error) {
	key := templateKey{kind: d.Kind, service: d.ServiceID, seqLength: seqLength(d.Seq)}
	templates.RLock()
	t := templates.byKey[key]
	templates.RUnlock()
	if t == nil {
		var err error
		if t, err = newTemplate(key, d); err != nil {
			return dst, err
		}
	}
	start := len(dst)
	dst = append(dst, t.bytes...)
	b := dst[start:]
	copy(b[t.call:], d.CallID[:])
	var value [8]byte
	binary.BigEndian.PutUint64(value[:], d.Seq)
	if key.seqLength == 0 {
		b[t.seq] = value[7]
	} else {
		copy(b[t.seq+1:], value[8-key.seqLength:])
	}
	return dst, nil
}

// newTemplate encodes the header of d with the library and keeps it.
func newTemplate(key templateKey, d *Datagram) (*template, error) {
	b, err := appendHeader(nil, d)
	if err != nil {
		return nil, err
	}
	// After the sequence number stand count, deadline, cause and token length, each zero in one byte.
	t := &template{bytes: b, seq: len(b) - 4 - 1 - key.seqLength}
	t.call = t.seq - CallIDSize
	templates.Lock()
	defer templates.Unlock()
	if len(templates.byKey) >= maxTemplates {
		clear(templates.byKey)
	}
	templates.byKey[key] = t
	return t, nil
}
