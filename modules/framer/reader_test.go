package framer

import (
	"bytes"
	"testing"
	"time"
)

// FuzzParseFast guards against a header that parseFast accepts and the CBOR library rejects or decodes to other values.
func FuzzParseFast(f *testing.F) {
	for _, d := range []Datagram{
		{Kind: KindFeed, ServiceID: ServiceID("ovenwatch"), Seq: 8, Token: bytes.Repeat([]byte{7}, 91)},
		{Kind: KindRequest, Seq: 24, PartCount: 300, Deadline: time.UnixMilli(1_800_000_000_000), Payload: []byte("baguette")},
		{Kind: KindAnswer, Seq: 1<<64 - 1, PartCount: 1<<32 - 1, Deadline: time.UnixMilli(-1), Cause: 255},
	} {
		b, err := Append(nil, &d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	// Items that parseFast must leave to the library or decode as it does: overlong and too large integers, null, a float, a tag,
	// indefinite and other lengths, and a reserved initial byte.
	tail := append(append([]byte{0x50}, make([]byte, CallIDSize)...), 1, 0x19, 0, 1, 0, 0, 0)
	for _, head := range [][]byte{
		{0x89, 1, 0x18, 2, 3}, {0x89, 1, 0x19, 1, 2, 3}, {0x89, 1, 2, 0xF6}, {0x89, 1, 2, 0xF9, 0, 0}, {0x89, 0xC2, 0x41, 1},
		{0x9F, 1, 2, 3}, {0x98, 9, 1, 2, 3}, {0x89, 1, 2, 0x1C}, {0x8A, 1, 2, 3},
	} {
		f.Add(append(head, tail...))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var fast, library header
		rest, ok := parseFast(b, &fast)
		if !ok {
			return
		}
		want, err := parseWithLibrary(b, &library)
		if err != nil {
			t.Fatalf("the library rejects % x: %v", b, err)
		}
		if fast != library || !bytes.Equal(rest, want) {
			t.Fatalf("library: %+v, parseFast: %+v", library, fast)
		}
	})
}

// TestParseFastAcceptsAppend guards against a slow Parse: the headers that Append writes must not need the CBOR library.
func TestParseFastAcceptsAppend(t *testing.T) {
	for _, seq := range []uint64{0, 23, 24, 255, 256, 65535, 65536, 1<<32 - 1, 1 << 32} {
		b, err := Append(nil, &Datagram{Kind: KindReading, Seq: seq, PartCount: uint32(seq), Deadline: time.UnixMilli(int64(seq))})
		if err != nil {
			t.Fatal(err)
		}
		var h header
		if _, ok := parseFast(b, &h); !ok || h.Seq != seq {
			t.Fatalf("seq %d: accepted %v, %+v", seq, ok, h)
		}
	}
}

// FuzzAppendFromTemplate guards against a header that differs from the library's: by values left from another datagram, or by
// its length.
func FuzzAppendFromTemplate(f *testing.F) {
	for _, seq := range []uint64{0, 23, 24, 255, 256, 65535, 65536, 1<<32 - 1, 1 << 32, 1<<64 - 1} {
		f.Add(ServiceID("ovenwatch"), seq, []byte("0123456789abcdef"))
	}
	f.Fuzz(func(t *testing.T, service, seq uint64, call []byte) {
		d := Datagram{Kind: KindReading, ServiceID: service, Seq: seq}
		copy(d.CallID[:], call)
		want, err := appendHeader([]byte("head"), &d)
		if err != nil {
			t.Fatal(err)
		}
		got, err := appendFromTemplate([]byte("head"), &d)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("library: % x, template: % x, %v", want, got, err)
		}
	})
}

func BenchmarkAppendReading(b *testing.B) {
	d, dst := Datagram{Kind: KindReading, ServiceID: 1 << 60, Seq: 70000, Payload: make([]byte, 64)}, make([]byte, 0, MaxSize)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Append(dst, &d); err != nil {
			b.Fatal(err)
		}
	}
}
