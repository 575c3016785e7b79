package encapsulator_test

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
)

// samplePacket returns an IPv4 packet with all fields set.
func samplePacket() *encapsulator.Packet {
	return &encapsulator.Packet{
		Caller: netip.MustParseAddrPort("127.3.0.1:4000"), Service: netip.MustParseAddrPort("127.0.53.1:7001"),
		ServiceName: "ovenwatch", CallID: [16]byte{1, 2}, Verb: encapsulator.VerbFeed, Deadline: time.UnixMilli(1_800_000_000_000),
		Token: []byte("token"), Seq: 9, PartCount: 3, AttemptID: 77, Load: encapsulator.Load{Running: 1, Queued: 2, Slots: 2, Feeds: 40},
		HasLoad: true, Incarnation: 1_700_000_000_000, Cause: 1, Payload: []byte("payload"),
	}
}

func ExampleParse() {
	b, err := encapsulator.Append(nil, &encapsulator.Packet{
		Caller: netip.MustParseAddrPort("127.3.0.1:4000"), Service: netip.MustParseAddrPort("127.0.53.1:7001"),
		ServiceName: "ovenwatch", Verb: encapsulator.VerbOpen, Payload: []byte("oven-7"),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	var p encapsulator.Packet
	fmt.Println(encapsulator.Parse(b, &p), p.ServiceName, p.Caller, string(p.Payload))
	// Output: <nil> ovenwatch 127.3.0.1:4000 oven-7
}

// TestRoundTrip guards against fields that are lost between Append and Parse, over IPv4 and IPv6.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	ipv6Packet := samplePacket()
	ipv6Packet.Caller, ipv6Packet.Service = netip.MustParseAddrPort("[fd00::1]:1"), netip.MustParseAddrPort("[fd00::2]:2")
	for _, in := range []*encapsulator.Packet{samplePacket(), ipv6Packet, {Caller: samplePacket().Caller, Service: samplePacket().Service, Payload: []byte{}}} {
		b, err := encapsulator.Append(nil, in)
		g.Expect(err).NotTo(HaveOccurred())
		var out encapsulator.Packet
		g.Expect(encapsulator.Parse(b, &out)).To(Succeed())
		g.Expect(&out).To(Equal(in))
	}
}

// TestTruncated guards against a panic on a datagram that ends within its header, and against accepting it.
func TestTruncated(t *testing.T) {
	g := NewWithT(t)
	in := samplePacket()
	b, err := encapsulator.Append(nil, in)
	g.Expect(err).NotTo(HaveOccurred())
	var p encapsulator.Packet
	for n := range len(b) - len(in.Payload) {
		g.Expect(encapsulator.IsErrMalformed(encapsulator.Parse(b[:n], &p))).To(BeTrue(), "length %d", n)
	}
}

// FuzzParse guards against a panic on any input, and against a Decoder that decodes a datagram differently from Parse.
func FuzzParse(f *testing.F) {
	b, _ := encapsulator.Append(nil, samplePacket())
	f.Add(b)
	ipv6Packet := samplePacket()
	ipv6Packet.Caller = netip.MustParseAddrPort("[fd00::1]:1")
	b, _ = encapsulator.Append(nil, ipv6Packet)
	f.Add(b)
	d := encapsulator.NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		var want, got encapsulator.Packet
		wantErr, gotErr := encapsulator.Parse(b, &want), d.Parse(b, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("Parse: %v, Decoder: %v", wantErr, gotErr)
		}
		if wantErr == nil && !reflect.DeepEqual(normalize(want), normalize(got)) {
			t.Fatalf("Parse: %+v, Decoder: %+v", want, got)
		}
	})
}

// normalize replaces empty slices by nil, as they mean the same.
func normalize(p encapsulator.Packet) encapsulator.Packet {
	if len(p.Token) == 0 {
		p.Token = nil
	}
	if len(p.Payload) == 0 {
		p.Payload = nil
	}
	return p
}

func BenchmarkAppend(b *testing.B) {
	in, buf := samplePacket(), make([]byte, 0, 2000)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := encapsulator.Append(buf, in); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	in, _ := encapsulator.Append(nil, samplePacket())
	var p encapsulator.Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := encapsulator.Parse(in, &p); err != nil {
			b.Fatal(err)
		}
	}
}

// TestEncoderMatchesAppend guards against a template that leaves values of an earlier packet in a later packet.
func TestEncoderMatchesAppend(t *testing.T) {
	g := NewWithT(t)
	e := encapsulator.NewEncoder()
	for i := range byte(50) {
		p := &encapsulator.Packet{
			Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, i, 1}), 4000+uint16(i)),
			Service: samplePacket().Service, ServiceName: []string{"ovenwatch", "recipecard"}[i%2], CallID: [16]byte{i, 15: i},
			Verb: encapsulator.Verb(2 + i%2), Seq: uint64(i) << 40, PartCount: uint32(i), Token: []byte{i, i + 1, i + 2}[:1+i%3],
			Payload: []byte{i}[:i%2],
		}
		want, err := encapsulator.Append(nil, p)
		g.Expect(err).NotTo(HaveOccurred())
		got, err := e.Append([]byte("head"), p)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(append([]byte("head"), want...)))
	}
}

func BenchmarkEncoderAppend(b *testing.B) {
	in, buf, e := samplePacket(), make([]byte, 0, 2000), encapsulator.NewEncoder()
	in.Deadline, in.AttemptID, in.HasLoad, in.Incarnation, in.Cause = time.Time{}, 0, false, 0, 0
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Append(buf, in); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecoderParse(b *testing.B) {
	in, _ := encapsulator.Append(nil, samplePacket())
	var p encapsulator.Packet
	d := encapsulator.NewDecoder()
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Parse(in, &p); err != nil {
			b.Fatal(err)
		}
	}
}
