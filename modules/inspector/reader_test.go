package inspector

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"
)

// toLibraryValue converts a value of the reader to the types that go-toml's decoder returns.
func toLibraryValue(v any) any {
	switch v := v.(type) {
	case *tomlTable:
		m := make(map[string]any, len(v.keys))
		for i, k := range v.keys {
			m[k] = toLibraryValue(v.values[i])
		}
		return m
	case *tomlArray:
		items := make([]any, len(v.items))
		for i, item := range v.items {
			items[i] = toLibraryValue(item)
		}
		return items
	default:
		return v
	}
}

// expectSameAsLibrary fails t unless the reader and go-toml's decoder agree on the content.
func expectSameAsLibrary(t interface{ Fatalf(string, ...any) }, content []byte) {
	want := map[string]any{}
	wantErr := toml.Unmarshal(content, &want)
	got, err := readDocument(content)
	if (err == nil) != (wantErr == nil) {
		t.Fatalf("reader: %v; decoder: %v; document:\n%s", err, wantErr, content)
	}
	// NaN is not equal to itself, so the printed values are compared when the values differ.
	if err == nil && !reflect.DeepEqual(toLibraryValue(got), any(want)) && fmt.Sprint(toLibraryValue(got)) != fmt.Sprint(want) {
		t.Fatalf("reader: %v; decoder: %v; document:\n%s", toLibraryValue(got), want, content)
	}
}

// drawDocument draws a document with few distinct names, so that it often defines a key or table twice.
func drawDocument(t *rapid.T) []byte {
	part := rapid.SampledFrom([]string{"a", "b", `"c d"`, "'e'", `"\u0061"`, "0"})
	key := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOfN(part, 1, 3).Draw(t, "key"), ".")
	})
	var value *rapid.Generator[string]
	value = rapid.Custom(func(t *rapid.T) string {
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0:
			return "{" + strings.Join(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
				return key.Draw(t, "key") + " = " + value.Draw(t, "value")
			}), 0, 3).Draw(t, "table"), ", ") + "}"
		case 1:
			return "[" + strings.Join(rapid.SliceOfN(value, 0, 3).Draw(t, "array"), ", ") + "]"
		default:
			return rapid.SampledFrom([]string{
				"1", "0", "01", "-0", "+7", "1_000", "1__0", "0x1f", "9223372036854775807", "9223372036854775808", "1.5", "1e3", "1.", "inf",
				"-nan", "true", "false", "truth", `"text"`, `"\n\u00e9"`, `'raw\n'`, "\"\"\"\nlong\\\n  text\"\"\"", "1979-05-27T07:32:00Z",
				"1979-05-27 07:32:00.5", "1979-05-27", "1979-13-27", "07:32:00", "25:00:00", `"\xzz"`, "",
			}).Draw(t, "scalar")
		}
	})
	line := rapid.Custom(func(t *rapid.T) string {
		switch rapid.IntRange(0, 5).Draw(t, "line") {
		case 0, 1:
			return "[" + key.Draw(t, "header") + "]"
		case 2:
			return "[[" + key.Draw(t, "header") + "]]"
		default:
			return key.Draw(t, "key") + " = " + value.Draw(t, "value") + rapid.SampledFrom([]string{"", "", " # note", "\r"}).Draw(t, "end")
		}
	})
	return []byte(strings.Join(rapid.SliceOfN(line, 0, 12).Draw(t, "lines"), "\n"))
}

// TestReaderAgreesWithDecoder guards against documents that the reader accepts or rejects unlike go-toml's decoder, or
// whose values differ.
func TestReaderAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { expectSameAsLibrary(t, drawDocument(t)) })
}

// FuzzReader guards against the same differences as TestReaderAgreesWithDecoder. Most seed documents define a table or key
// more than once, in valid and invalid ways.
func FuzzReader(f *testing.F) {
	for _, content := range []string{
		"[a]\n[a]", "[a.b]\n[a]\n[a]", "[[a]]\nb.c = 1\n[a.b]\n[[a]]\n[a.b]", "a.b = 1\n[a.c]\n[a]", "[a.b]\n[a]\nb.c = 1",
		"a = {}\n[a.b]", "a = [{}]\n[[a]]", "[[a]]\n[a]", "[a]\n[[a]]", "a = {b.c = 1, b.d = 2, b = {}}", "a = [{b = 1, b = 2}]",
		"[a.b]\nc = 1\n[a]\nb = 2", "a = 0x_1", "a = 1 b = 2", "a.b = 1\na.b.c = 2", "[[a.b]]\n[a]\nb.c = 1", "\xff", "a = '''\r\nb'''",
		"a=1\nb=1\nc=1\nd=1\ne=1\nf=1\ng=1\nh=1\ni=1\na=1", "[[a]]\n[[a.b]]\n[[a]]\n[a.b]",
	} {
		f.Add([]byte(content))
	}
	f.Fuzz(func(t *testing.T, content []byte) { expectSameAsLibrary(t, content) })
}
