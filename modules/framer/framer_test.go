package framer_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

func ExampleParse() {
	b, err := framer.Append(nil, &framer.Datagram{
		Kind: framer.KindRequest, ServiceID: framer.ServiceID("recipecard"), Payload: []byte("baguette"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var d framer.Datagram
	fmt.Println(framer.Parse(b, &d), d.Kind, string(d.Payload))
	// Output: <nil> 4 baguette
}

// TestRoundTrip guards against fields that are lost or swapped between Append and Parse.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := framer.Datagram{
			Kind: framer.Kind(rapid.Uint8().Draw(t, "kind")), ServiceID: rapid.Uint64().Draw(t, "service"),
			Seq: rapid.Uint64().Draw(t, "seq"), PartCount: rapid.Uint32().Draw(t, "count"),
			Deadline: time.UnixMilli(rapid.Int64Range(1, 1<<45).Draw(t, "deadline")),
			Cause:    framer.Cause(rapid.Uint8().Draw(t, "cause")),
			Token:    rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "token"),
			Payload:  rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "payload"),
		}
		copy(in.CallID[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "call"))
		b, err := framer.Append(nil, &in)
		if err != nil {
			t.Fatal(err)
		}
		var out framer.Datagram
		if err := framer.Parse(b, &out); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(in.Token, out.Token) || !bytes.Equal(in.Payload, out.Payload) || !in.Deadline.Equal(out.Deadline) {
			t.Fatalf("got %+v, want %+v", out, in)
		}
		if in.Kind != out.Kind || in.ServiceID != out.ServiceID || in.CallID != out.CallID || in.Seq != out.Seq ||
			in.PartCount != out.PartCount || in.Cause != out.Cause {
			t.Fatalf("got %+v, want %+v", out, in)
		}
	})
}

// TestTruncated guards against a panic on a datagram that ends within its header or token, and against accepting it.
func TestTruncated(t *testing.T) {
	g := NewWithT(t)
	b, err := framer.Append(nil, &framer.Datagram{Kind: framer.KindFeed, Token: bytes.Repeat([]byte{7}, 91)})
	g.Expect(err).NotTo(HaveOccurred())
	var d framer.Datagram
	for n := range b {
		g.Expect(framer.Parse(b[:n], &d)).NotTo(Succeed(), "length %d", n)
	}
	g.Expect(framer.IsErrOversized(framer.Parse(make([]byte, framer.MaxSize+1), &d))).To(BeTrue())
}

// FuzzParse guards against a panic on any input, and against a token and a payload that exceed it.
func FuzzParse(f *testing.F) {
	b, _ := framer.Append(nil, &framer.Datagram{Kind: framer.KindFeed, Token: bytes.Repeat([]byte{7}, 91)})
	f.Add(b)
	f.Add([]byte{0x89, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var d framer.Datagram
		if framer.Parse(b, &d) == nil && len(d.Token)+len(d.Payload) > len(b) {
			t.Fatal("token and payload exceed the input")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	in, _ := framer.Append(nil, &framer.Datagram{Kind: framer.KindFeed, Token: make([]byte, 91), Payload: make([]byte, 64)})
	var d framer.Datagram
	b.ReportAllocs()
	for b.Loop() {
		if err := framer.Parse(in, &d); err != nil {
			b.Fatal(err)
		}
	}
}
