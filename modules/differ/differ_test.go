package differ_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/differ"
)

func ExampleCompute() {
	before, after := []byte("a\nb\nc\n"), []byte("a\nB\nc\n")
	d := differ.Compute(before, after)
	result, err := differ.Apply(before, d, 1000)
	fmt.Println(len(d.Edits), bytes.Equal(result, after), err)
	// Output: 3 true <nil>
}

// TestApplyCompute guards against deltas that do not yield the new content, and against a wrong result without an error when
// a delta is applied to another base.
func TestApplyCompute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.Custom(func(t *rapid.T) []byte {
			chunks := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "{c},", "\n", "]", "x", "{d},{e}"}), 0, 30).Draw(t, "parts")
			return []byte(strings.Join(chunks, ""))
		})
		before, after, otherBase := content.Draw(t, "before"), content.Draw(t, "after"), content.Draw(t, "other")
		d := differ.Compute(before, after)
		result, err := differ.Apply(before, d, 1000)
		if err != nil || !bytes.Equal(result, after) {
			t.Fatalf("got %q, %v, want %q", result, err, after)
		}
		if result, err = differ.Apply(otherBase, d, 1000); err == nil && !bytes.Equal(result, after) {
			t.Fatalf("wrong base yielded %q", result)
		} else if err != nil && !differ.IsErrMismatch(err) {
			t.Fatal(err)
		}
	})
}

// TestDeltaSize guards against deltas that grow with the document although only one line changes.
func TestDeltaSize(t *testing.T) {
	var b strings.Builder
	for i := range 20000 {
		fmt.Fprintf(&b, "  { name = \"o%d\", state = \"live\" },\n]\n", i)
	}
	before := b.String()
	after := strings.Replace(before, `"o700", state = "live"`, `"o700", state = "leaving"`, 1)
	if size := differ.Compute([]byte(before), []byte(after)).Size(); size > 200 {
		t.Fatalf("delta has %d bytes", size)
	}
}

// FuzzApply guards against a panic on an invalid delta and against a result that exceeds the size limit.
func FuzzApply(f *testing.F) {
	f.Add([]byte("a\nb\n"), 0, 2, []byte("x"))
	f.Add([]byte("a\nb\n"), -1, 1<<62, []byte(""))
	f.Fuzz(func(t *testing.T, before []byte, from, count int, text []byte) {
		d := differ.Delta{Edits: []differ.Edit{{From: from, Count: count}, {Text: text}}}
		if result, err := differ.Apply(before, d, 100); err == nil && len(result) > 100 {
			t.Fatal("result exceeds the limit")
		}
	})
}
