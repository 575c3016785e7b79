package caller

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// FuzzReassembler guards against answers that are incomplete, joined from two runs, or misordered. Each pair of input bytes is
// one part of one of three runs.
func FuzzReassembler(f *testing.F) {
	f.Add([]byte{0, 2, 1, 0, 0, 1, 0, 0})
	f.Add([]byte{2, 1, 1, 1, 2, 0})
	f.Fuzz(func(t *testing.T, input []byte) {
		r := reassembler{maxSize: 1 << 10}
		added := map[string]bool{}
		for i := 0; i+1 < len(input); i += 2 {
			run, index := input[i]%3, input[i+1]%8
			count := uint32(run) + 2
			var want []byte
			for p := range count {
				want = fmt.Appendf(want, "%d:%d,", run, p)
			}
			answer, err := r.add(message{
				seq: uint64(index), count: count, token: []byte{run}, payload: fmt.Appendf(nil, "%d:%d,", run, index),
			})
			if err != nil {
				t.Fatal(err)
			}
			if uint32(index) < count {
				added[fmt.Sprint(run, index)] = true
			}
			if answer == nil {
				continue
			}
			if !bytes.Equal(answer, want) {
				t.Fatalf("got %q, want %q", answer, want)
			}
			for p := range count {
				if !added[fmt.Sprint(run, p)] {
					t.Fatalf("part %d of run %d never arrived", p, run)
				}
			}
		}
		if r.started() {
			_, bitmap := r.missingParts()
			if len(bitmap) != 1 {
				t.Fatalf("got a bitmap of %d bytes, want 1", len(bitmap))
			}
		}
	})
}

// TestReassemblerBounds guards against unbounded memory because of a wrong part count or a very large answer.
func TestReassemblerBounds(t *testing.T) {
	r := reassembler{maxSize: 10}
	if _, err := r.add(message{count: maxParts + 1}); err == nil {
		t.Fatal("accepted too many parts")
	}
	for i := range byte(100) {
		if _, err := r.add(message{count: 2, token: []byte{i}}); err != nil {
			t.Fatal(err)
		}
	}
	if len(r.partialAnswers) != maxPartialAnswers {
		t.Fatalf("holds %d partial answers, want %d", len(r.partialAnswers), maxPartialAnswers)
	}
	if _, err := r.add(message{count: 2, payload: make([]byte, 11)}); err == nil {
		t.Fatal("accepted a part larger than the maximum size of an answer")
	}
}

// TestReceiveWindow guards against gaps, duplicates and readings beyond the window when readings arrive in any order, and some
// of them several times.
func TestReceiveWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w receiveWindow
		first := rapid.Uint64Range(1, 1<<40).Draw(t, "first")
		w.add(first, nil)
		next, lastInOrder := first, first
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "take") == 0 {
				r, ok := w.take()
				if ok != (next <= lastInOrder) || ok && r.Number != next {
					t.Fatalf("took %d (%t), want %d up to %d", r.Number, ok, next, lastInOrder)
				}
				if ok {
					next++
				}
				continue
			}
			ready, duplicate := w.add(max(lastInOrder, 2)-2+rapid.Uint64Range(0, windowSize+8).Draw(t, "ahead"), nil)
			lastInOrder += uint64(ready)
			if duplicate && ready > 0 || w.lastInOrder != lastInOrder || lastInOrder-(next-1) > windowSize {
				t.Fatalf("last reading in order is %d, want %d, next to take %d", w.lastInOrder, lastInOrder, next)
			}
		}
	})
}
