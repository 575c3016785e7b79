package editor_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/bluebelldyke/bluebelldyke/modules/editor"
)

// layout has its fields in an order that no deployment uses, so that the tests do not depend on a particular layout.
var layout = editor.Layout{
	HeaderSize: 30, Tag: 0, SourceIP: 4, SourcePort: 8, DestinationIP: 10, DestinationPort: 14, DataLength: 16, Flags: 18,
	SequenceNumber: 20, AckNumber: 24, FlagSYN: 1, FlagACK: 2, FlagFIN: 4, FlagRST: 8,
}

// openingPacket is a first packet (SYN) in hexadecimal, with two bytes of data.
const openingPacket = "00000000 64400007 9c41 c6120001 01bb 0002 01 00 11223344 00000001 0000 abcd"

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func ExampleLayout_Parse() {
	b, _ := hex.DecodeString(strings.ReplaceAll(openingPacket, " ", ""))
	var p editor.Packet
	if err := layout.Parse(b, &p); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(p.Source, p.Destination, p.Flags.SYN, p.DataLength)
	layout.SetTag(b, 0xcafe)
	fmt.Println(hex.EncodeToString(b[:4]))
	// Output:
	// 100.64.0.7:40001 198.18.0.1:443 true 2
	// 0000cafe
}

// TestSetTag guards against changing any bytes other than those of the tag.
func TestSetTag(t *testing.T) {
	b := decodeHex(t, openingPacket)
	before := bytes.Clone(b)
	layout.SetTag(b, 0xffffffff)
	if !bytes.Equal(b[4:], before[4:]) {
		t.Fatalf("changed to %x", b)
	}
}

// TestBuildReset guards against resets that the caller would not attribute to its flow.
func TestBuildReset(t *testing.T) {
	var p, got editor.Packet
	if err := layout.Parse(decodeHex(t, openingPacket), &p); err != nil {
		t.Fatal(err)
	}
	b := layout.BuildReset(bytes.Repeat([]byte{0xee}, 100), &p)
	if err := layout.Parse(b, &got); err != nil {
		t.Fatal(err)
	}
	want := editor.Packet{Source: p.Destination, Destination: p.Source, Flags: editor.Flags{RST: true}, SequenceNumber: p.AckNumber}
	if got != want {
		t.Fatalf("%+v", got)
	}
}

// TestParseErrors guards against reading packets beyond their end.
func TestParseErrors(t *testing.T) {
	b := decodeHex(t, openingPacket)
	var p editor.Packet
	if err := layout.Parse(b[:29], &p); !editor.IsErrTruncated(err) {
		t.Error(err)
	}
	if err := layout.Parse(b[:31], &p); !editor.IsErrLengthMismatch(err) {
		t.Error(err)
	}
	if err := layout.Parse(append(b, 0), &p); !editor.IsErrLengthMismatch(err) {
		t.Error(err)
	}
}

// FuzzParse guards against a panic on any input, and against accepted packets whose reset can't be parsed.
func FuzzParse(f *testing.F) {
	f.Add(decodeHex(f, openingPacket))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var p, reset editor.Packet
		if err := layout.Parse(b, &p); err != nil {
			return
		}
		if err := layout.Parse(layout.BuildReset(make([]byte, layout.HeaderSize), &p), &reset); err != nil || reset.Destination != p.Source {
			t.Fatalf("%+v: %v", reset, err)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	content := decodeHex(b, openingPacket)
	var p editor.Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := layout.Parse(content, &p); err != nil {
			b.Fatal(err)
		}
		layout.SetTag(content, 7)
	}
	if p.Source != netip.MustParseAddrPort("100.64.0.7:40001") {
		b.Fatal(p.Source)
	}
}
