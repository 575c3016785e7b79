package caller

import (
	"bytes"

	"github.com/rotisserie/eris"
)

const (
	// maxParts bounds the parts of one answer, so that a bitmap of them fits a datagram.
	maxParts = 4096
	// maxSets bounds the partial answers of one call. Retries of an idempotent request may answer from several backend
	// servers; parts of different runs are never joined.
	maxSets = 4
)

// errAnswerTooLarge reports an answer beyond the configured size.
var errAnswerTooLarge = eris.New("answer is larger than MaxAnswerSize: raise MaxAnswerSize")

// partSet holds the parts of one answer: those with the same answer token and count.
type partSet struct {
	token   []byte
	parts   [][]byte // nil: missing
	missing int
	size    int
}

// assembly puts an answer together from its parts.
type assembly struct {
	sets    []*partSet // the most recently changed set is last
	maxSize int
}

// add takes one part and returns the whole answer once a set is complete; otherwise it returns nil. Invalid parts and
// duplicates are ignored.
func (a *assembly) add(m message) ([]byte, error) {
	if m.count == 0 || m.seq >= uint64(m.count) {
		return nil, nil
	}
	if m.count > maxParts {
		return nil, errAnswerTooLarge
	}
	s := a.set(m.token, m.count)
	if s.parts[m.seq] != nil {
		return nil, nil
	}
	s.size += len(m.payload)
	if s.size > a.maxSize {
		return nil, errAnswerTooLarge
	}
	s.parts[m.seq] = append([]byte{}, m.payload...)
	s.missing--
	if s.missing > 0 {
		return nil, nil
	}
	return bytes.Join(s.parts, []byte{}), nil
}

// set returns the set of the token and count and makes it the last one.
func (a *assembly) set(token []byte, count uint32) *partSet {
	for i, s := range a.sets {
		if len(s.parts) == int(count) && bytes.Equal(s.token, token) {
			a.sets = append(append(a.sets[:i], a.sets[i+1:]...), s)
			return s
		}
	}
	if len(a.sets) == maxSets {
		a.sets = a.sets[1:]
	}
	s := &partSet{token: append([]byte(nil), token...), parts: make([][]byte, count), missing: int(count)}
	a.sets = append(a.sets, s)
	return s
}

// begun reports whether any part is held.
func (a *assembly) begun() bool { return len(a.sets) > 0 }

// clear drops all parts.
func (a *assembly) clear() { a.sets = nil }

// wanted returns the answer token and the bitmap of missing parts of the most recently changed set.
func (a *assembly) wanted() (token, bitmap []byte) {
	s := a.sets[len(a.sets)-1]
	bitmap = make([]byte, bitmapSize(uint32(len(s.parts))))
	for i, p := range s.parts {
		if p == nil {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return s.token, bitmap
}
