// Package differ computes and applies deltas between two contents of one document. Contents are split after each line
// end and after each "},", so that a TOML tree and a VM list on a single line both split into small parts.
package differ

import (
	"bytes"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// ErrMismatch is returned by Apply when the delta does not lead from the content to the digest it promises.
var ErrMismatch = eris.New("delta does not fit the content held: fetch the whole document")

// IsErrMismatch reports whether err is an ErrMismatch.
func IsErrMismatch(err error) bool { return eris.Is(err, ErrMismatch) }

// Digest identifies a whole content.
type Digest [sha256.Size]byte

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Edit either copies Count parts of the old content, starting at part From, or inserts Text when Count is 0.
type Edit struct {
	From, Count int
	Text        []byte
}

// Delta leads from one content to another. Result is the digest of the whole new content.
type Delta struct {
	Edits        []Edit
	ResultDigest Digest
}

// Size returns the approximate length of the delta on the wire in bytes.
func (d Delta) Size() int {
	size := len(d.ResultDigest)
	for _, e := range d.Edits {
		size += len(e.Text) + 8
	}
	return size
}

// Compute returns a delta from before to after. It runs in linear time and favours the next parts of before, so that
// repeated lines do not break up a copied range.
func Compute(before, after []byte) Delta {
	old, index := split(before), map[string][]int{}
	for i, part := range old {
		index[string(part)] = append(index[string(part)], i)
	}
	d := Delta{ResultDigest: DigestOf(after)}
	var text []byte
	cursor := 0
	fresh := split(after)
	for i := 0; i < len(fresh); {
		from := position(old, index, fresh[i], cursor)
		if from < 0 {
			text = append(text, fresh[i]...)
			i++
			continue
		}
		count := 1
		for i+count < len(fresh) && from+count < len(old) && bytes.Equal(fresh[i+count], old[from+count]) {
			count++
		}
		if len(text) > 0 {
			d.Edits, text = append(d.Edits, Edit{Text: text}), nil
		}
		d.Edits = append(d.Edits, Edit{From: from, Count: count})
		i, cursor = i+count, from+count
	}
	if len(text) > 0 {
		d.Edits = append(d.Edits, Edit{Text: text})
	}
	return d
}

// position returns the first occurrence of part in old at or after cursor, else any occurrence, else -1.
func position(old [][]byte, index map[string][]int, part []byte, cursor int) int {
	if cursor < len(old) && bytes.Equal(old[cursor], part) {
		return cursor
	}
	places := index[string(part)]
	if len(places) == 0 {
		return -1
	}
	low, high := 0, len(places)
	for low < high {
		middle := (low + high) / 2
		if places[middle] < cursor {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(places) {
		return places[low]
	}
	return places[0]
}

// Apply returns the content to which d leads from before. The result has at most limit bytes.
func Apply(before []byte, d Delta, limit int) ([]byte, error) {
	old := split(before)
	out := make([]byte, 0, min(len(before)+d.Size(), limit))
	for _, e := range d.Edits {
		if e.Count == 0 {
			out = append(out, e.Text...)
		} else {
			if e.From < 0 || e.Count < 0 || e.From > len(old) || e.Count > len(old)-e.From {
				return nil, ErrMismatch
			}
			for _, part := range old[e.From : e.From+e.Count] {
				out = append(out, part...)
			}
		}
		if len(out) > limit {
			return nil, eris.Wrapf(ErrMismatch, "result has more than %d bytes", limit)
		}
	}
	if DigestOf(out) != d.ResultDigest {
		return nil, ErrMismatch
	}
	return out, nil
}

func split(content []byte) [][]byte {
	parts := make([][]byte, 0, bytes.Count(content, []byte{'\n'})+1)
	start := 0
	for i, c := range content {
		if c == '\n' || (c == ',' && i > 0 && content[i-1] == '}') {
			parts = append(parts, content[start:i+1])
			start = i + 1
		}
	}
	if start < len(content) {
		parts = append(parts, content[start:])
	}
	return parts
}
