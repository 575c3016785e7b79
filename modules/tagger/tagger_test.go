package tagger

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

var service = netip.MustParseAddrPort("198.18.0.1:443")

func ExampleTable_Lookup() {
	service := netip.MustParseAddrPort("198.18.0.1:443")
	before := New([]uint64{0x7f3a91c2, 0x11})
	tag, _ := before.Tag(0x7f3a91c2, service)

	// Another daemon that started later knows more backend servers.
	after := New([]uint64{0x22, 0x11, 0x7f3a91c2})
	id, ok := after.Lookup(tag, service)
	fmt.Printf("%x %v\n", id, ok)
	// At another service address the tag identifies no backend server.
	_, ok = after.Lookup(tag, netip.MustParseAddrPort("198.18.0.2:443"))
	fmt.Println(ok)
	// Output:
	// 7f3a91c2 true
	// false
}

// TestRoundTrip guards against tags that identify another backend server or none, for any set of ids in any order.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfN(rapid.Uint64Min(1), 1, 200).Draw(t, "ids")
		reversed := make([]uint64, 0, len(ids))
		for i := range ids {
			reversed = append(reversed, ids[len(ids)-1-i])
		}
		a, b := New(ids), New(reversed)
		for _, id := range ids {
			tag, ok := a.Tag(id, service)
			if !ok {
				t.Fatalf("no tag for %x", id)
			}
			if got, ok := b.Lookup(tag, service); !ok || got != id {
				t.Fatalf("tag of %x identifies %x, %v", id, got, ok)
			}
		}
	})
}

// TestUnknownTag guards against returning a backend server for a tag that identifies none: the packet would reach a wrong one.
func TestUnknownTag(t *testing.T) {
	table := New([]uint64{1, 2, 3})
	tag, _ := New([]uint64{4}).Tag(4, service)
	if id, ok := table.Lookup(tag, service); ok {
		t.Fatalf("tag of an unknown id identifies %d", id)
	}
	if _, ok := table.Tag(4, service); ok {
		t.Fatal("an unknown id has a tag")
	}
	if _, ok := table.Lookup(0, service); ok {
		t.Fatal("a packet without a tag identifies a backend server")
	}
}

// TestCollision guards against daemons that resolve a collision differently, and against ids whose tag changes because two
// others collide.
func TestCollision(t *testing.T) {
	collidingHash := func(id uint64, attempt int) uint32 { // has only 3 different first hashes
		if attempt == 0 {
			return uint32(id % 3)
		}
		return uint32(id)*10 + uint32(attempt)
	}
	a, b := build([]uint64{7, 4, 1, 2, 9}, collidingHash), build([]uint64{9, 2, 1, 4, 7, 7}, collidingHash)
	for _, id := range []uint64{1, 2, 4, 7, 9} {
		x, _ := a.Tag(id, service)
		y, _ := b.Tag(id, service)
		if got, ok := a.Lookup(x, service); x != y || !ok || got != id {
			t.Fatalf("id %d: tags %d and %d, identifies %d", id, x, y, got)
		}
	}
	// 1 is the lowest of the ids 1, 4 and 7 with one first hash, so it keeps this hash. 2 and 9 do not collide.
	for _, id := range []uint64{1, 2, 9} {
		if a.hashes[id] != uint32(id%3) {
			t.Fatalf("id %d does not have its first hash", id)
		}
	}
}

func BenchmarkLookup(b *testing.B) {
	ids := make([]uint64, 150)
	for i := range ids {
		ids[i] = uint64(i+1) * 7919
	}
	table := New(ids)
	tag, _ := table.Tag(ids[70], service)
	b.ReportAllocs()
	for b.Loop() {
		table.Lookup(tag, service)
	}
}
