package sealer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
)

var (
	ovenwatch  = netip.MustParseAddrPort("127.0.53.1:7001")
	recipecard = netip.MustParseAddrPort("127.0.53.2:7002")
)

// sampleToken returns an IPv4 token with all fields set.
func sampleToken() sealer.Token {
	return sealer.Token{
		Kind: sealer.KindFeed, ServiceID: 1 << 63, DocumentID: 5, Target: netip.MustParseAddrPort("127.2.1.1:9000"),
		Incarnation: 1_700_000_000_000, Revision: 42, IssuedAt: time.UnixMilli(1_800_000_000_123), FlowID: 1<<56 - 2,
	}
}

// newSealer returns a Sealer with the keys of the ids. It seals with the key sealKeyID.
func newSealer(sealKeyID uint8, ids ...uint8) *sealer.Sealer {
	c := sealer.Config{SealKeyID: sealKeyID}
	for _, id := range ids {
		c.Keys = append(c.Keys, sealer.Key{ID: id, Secret: [32]byte{id}})
	}
	s, err := sealer.New(c)
	if err != nil {
		panic(err)
	}
	return s
}

func ExampleSealer() {
	s, err := sealer.New(sealer.Config{Keys: []sealer.Key{{ID: 1, Secret: [32]byte{7}}}, SealKeyID: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	service := netip.MustParseAddrPort("127.0.53.1:7001")
	token, _ := s.Seal(nil, sealer.Token{Kind: sealer.KindFeed, Target: netip.MustParseAddrPort("127.2.1.1:9000")}, service)
	opened, err := s.Open(token, service)
	fmt.Println(len(token), opened.Target, err)
	// Output: 91 127.2.1.1:9000 <nil>
}

// TestRoundTrip guards against fields that overlap in the fixed layout.
func TestRoundTrip(t *testing.T) {
	g := NewWithT(t)
	s := newSealer(1, 1)
	ipv6Token := sampleToken()
	ipv6Token.Target = netip.MustParseAddrPort("[fd00::9]:65535")
	for _, in := range []sealer.Token{sampleToken(), ipv6Token} {
		token, err := s.Seal(nil, in, ovenwatch)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(token).To(HaveLen(sealer.TokenSize))
		out, err := s.Open(token, ovenwatch)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out).To(Equal(in))
	}
}

// TestOpenRejects guards against accepting a token at another service address, with a changed byte, or truncated.
func TestOpenRejects(t *testing.T) {
	g := NewWithT(t)
	s := newSealer(1, 1)
	token, err := s.Seal(nil, sampleToken(), ovenwatch)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Open(token, recipecard)
	g.Expect(sealer.IsErrForged(err)).To(BeTrue())
	for i := range token {
		changed := append([]byte(nil), token...)
		changed[i] ^= 1
		_, err := s.Open(changed, ovenwatch)
		g.Expect(err).To(HaveOccurred(), "byte %d", i)
		_, err = s.Open(token[:i], ovenwatch)
		g.Expect(sealer.IsErrMalformed(err)).To(BeTrue())
	}
}

// TestKeyRotation guards against flows that break when new tokens use another key while the old key is still listed.
func TestKeyRotation(t *testing.T) {
	g := NewWithT(t)
	token, err := newSealer(1, 1).Seal(nil, sampleToken(), ovenwatch)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = newSealer(2, 1, 2).Open(token, ovenwatch)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = newSealer(2, 2).Open(token, ovenwatch)
	g.Expect(sealer.IsErrUnknownKey(err)).To(BeTrue())
}

// FuzzOpen guards against a panic on any input.
func FuzzOpen(f *testing.F) {
	s := newSealer(1, 1)
	token, _ := s.Seal(nil, sampleToken(), ovenwatch)
	f.Add(token)
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = s.Open(b, ovenwatch)
	})
}

func BenchmarkOpen(b *testing.B) {
	s := newSealer(1, 1)
	token, _ := s.Seal(nil, sampleToken(), ovenwatch)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Open(token, ovenwatch); err != nil {
			b.Fatal(err)
		}
	}
}
