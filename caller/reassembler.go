package caller

import (
	"bytes"

	"github.com/rotisserie/eris"
)

const (
	// maxParts bounds the parts of one answer, so that the bitmap of missing parts in a fetch fits one datagram.
	maxParts = 4096
	// maxPartialAnswers bounds the partial answers of one call. An idempotent request that is retransmitted may run on several
	// backend servers; parts of different runs are never joined.
	maxPartialAnswers = 4
)

// errAnswerTooLarge reports an answer with more than maxParts parts or a larger size than Config.MaxAnswerSize.
var errAnswerTooLarge = eris.New("answer has more than 4096 parts or is larger than MaxAnswerSize: raise MaxAnswerSize or request less at once")

// partialAnswer holds the received parts of one answer, which share an answer token and a part count.
type partialAnswer struct {
	token   []byte
	parts   [][]byte // nil: not received
	missing int
	size    int
}

// reassembler joins the parts of an answer.
type reassembler struct {
	partialAnswers []*partialAnswer // the one that received the latest part is last
	maxSize        int
}

// add stores one part and returns the whole answer once all its parts have arrived; otherwise it returns nil. Invalid parts
// and duplicates are ignored.
func (r *reassembler) add(m message) ([]byte, error) {
	if m.count == 0 || m.seq >= uint64(m.count) {
		return nil, nil
	}
	if m.count > maxParts {
		return nil, errAnswerTooLarge
	}
	p := r.findOrCreate(m.token, m.count)
	if p.parts[m.seq] != nil {
		return nil, nil
	}
	p.size += len(m.payload)
	if p.size > r.maxSize {
		return nil, errAnswerTooLarge
	}
	p.parts[m.seq] = append([]byte{}, m.payload...)
	p.missing--
	if p.missing > 0 {
		return nil, nil
	}
	return bytes.Join(p.parts, []byte{}), nil
}

// findOrCreate returns the partial answer with the token and part count and moves it to the end of the list. If there is none,
// it creates one and, if there are too many, drops the one at the start of the list.
func (r *reassembler) findOrCreate(token []byte, count uint32) *partialAnswer {
	for i, p := range r.partialAnswers {
		if len(p.parts) == int(count) && bytes.Equal(p.token, token) {
			r.partialAnswers = append(append(r.partialAnswers[:i], r.partialAnswers[i+1:]...), p)
			return p
		}
	}
	if len(r.partialAnswers) == maxPartialAnswers {
		r.partialAnswers = r.partialAnswers[1:]
	}
	p := &partialAnswer{token: append([]byte(nil), token...), parts: make([][]byte, count), missing: int(count)}
	r.partialAnswers = append(r.partialAnswers, p)
	return p
}

// started reports whether any part has been received since the last reset.
func (r *reassembler) started() bool { return len(r.partialAnswers) > 0 }

// reset drops all parts.
func (r *reassembler) reset() { r.partialAnswers = nil }

// missingParts returns the answer token and the bitmap of missing parts of the partial answer that received the latest part.
func (r *reassembler) missingParts() (token, bitmap []byte) {
	p := r.partialAnswers[len(r.partialAnswers)-1]
	bitmap = make([]byte, bitmapSize(uint32(len(p.parts))))
	for i, part := range p.parts {
		if part == nil {
			bitmap[i/8] |= 1 << (i % 8)
		}
	}
	return p.token, bitmap
}
