// Package differ computes and applies deltas between two versions of a document. Documents are split into chunks after each
// newline and after each "},", so that both a TOML settings tree and a VM list on a single line are split into small chunks.
package differ

import (
	"bytes"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// ErrMismatch is returned by Apply when a delta cannot be applied to the content: it copies chunks that do not exist, or the
// result is too large or does not have the digest that the delta states.
var ErrMismatch = eris.New("delta does not match the base content: fetch the full document")

// IsErrMismatch reports whether err is an ErrMismatch.
func IsErrMismatch(err error) bool { return eris.Is(err, ErrMismatch) }

// Digest is the SHA-256 digest of the full content of a document.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of content.
func DigestOf(content []byte) Digest { return sha256.Sum256(content) }

// Edit copies Count chunks of the old content, starting at the chunk with index From, or inserts Text if Count is 0.
type Edit struct {
	From, Count int
	Text        []byte
}

// Delta is a list of edits that turns the old content into the new content, whose digest is ResultDigest.
type Delta struct {
	Edits        []Edit
	ResultDigest Digest
}

// Size returns the approximate length of the delta on the wire in bytes.
func (d Delta) Size() int {
	size := len(d.ResultDigest)
	for _, e := range d.Edits {
		size += len(e.Text) + 8 // 8 is the approximate overhead of an edit
	}
	return size
}

// Compute returns a delta from before to after. It runs in linear time. Of several equal chunks of before it prefers the one
// that continues the previous copy, so that repeated lines do not split a copied range.
func Compute(before, after []byte) Delta {
	oldChunks, positions := splitChunks(before), map[string][]int{}
	for i, chunk := range oldChunks {
		positions[string(chunk)] = append(positions[string(chunk)], i)
	}
	d := Delta{ResultDigest: DigestOf(after)}
	var text []byte
	next := 0 // index in oldChunks after the previous copy
	newChunks := splitChunks(after)
	for i := 0; i < len(newChunks); {
		from := findChunk(oldChunks, positions, newChunks[i], next)
		if from < 0 {
			text = append(text, newChunks[i]...)
			i++
			continue
		}
		count := 1
		for i+count < len(newChunks) && from+count < len(oldChunks) && bytes.Equal(newChunks[i+count], oldChunks[from+count]) {
			count++
		}
		if len(text) > 0 {
			d.Edits, text = append(d.Edits, Edit{Text: text}), nil
		}
		d.Edits = append(d.Edits, Edit{From: from, Count: count})
		i, next = i+count, from+count
	}
	if len(text) > 0 {
		d.Edits = append(d.Edits, Edit{Text: text})
	}
	return d
}

// findChunk returns the index of the first occurrence of chunk at or after the index next, or else of its first occurrence, or
// else -1.
func findChunk(oldChunks [][]byte, positions map[string][]int, chunk []byte, next int) int {
	if next < len(oldChunks) && bytes.Equal(oldChunks[next], chunk) {
		return next
	}
	occurrences := positions[string(chunk)]
	if len(occurrences) == 0 {
		return -1
	}
	low, high := 0, len(occurrences)
	for low < high {
		middle := (low + high) / 2
		if occurrences[middle] < next {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(occurrences) {
		return occurrences[low]
	}
	return occurrences[0]
}

// Apply applies d to before and returns the new content. A result of more than maxBytes bytes is an ErrMismatch.
func Apply(before []byte, d Delta, maxBytes int) ([]byte, error) {
	oldChunks := splitChunks(before)
	result := make([]byte, 0, min(len(before)+d.Size(), maxBytes))
	for _, e := range d.Edits {
		if e.Count == 0 {
			result = append(result, e.Text...)
		} else {
			if e.From < 0 || e.Count < 0 || e.From > len(oldChunks) || e.Count > len(oldChunks)-e.From {
				return nil, ErrMismatch
			}
			for _, chunk := range oldChunks[e.From : e.From+e.Count] {
				result = append(result, chunk...)
			}
		}
		if len(result) > maxBytes {
			return nil, eris.Wrapf(ErrMismatch, "result has more than %d bytes", maxBytes)
		}
	}
	if DigestOf(result) != d.ResultDigest {
		return nil, ErrMismatch
	}
	return result, nil
}

func splitChunks(content []byte) [][]byte {
	chunks := make([][]byte, 0, bytes.Count(content, []byte{'\n'})+1)
	start := 0
	for i, c := range content {
		if c == '\n' || (c == ',' && i > 0 && content[i-1] == '}') {
			chunks = append(chunks, content[start:i+1])
			start = i + 1
		}
	}
	if start < len(content) {
		chunks = append(chunks, content[start:])
	}
	return chunks
}
