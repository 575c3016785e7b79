package lister_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/lister"
)

var start = time.Unix(1_800_000_000, 0)

func server(id uint64) directory.BackendServer {
	return directory.BackendServer{
		ID: directory.ServerID(id), Service: "recipecard", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
		AvailabilityZone: "souillac", Slots: 2,
	}
}

func ExampleLister_Apply() {
	reader, peer := lister.New(), lister.New()
	first := &directory.Listing{Revision: 5, Servers: []directory.BackendServer{server(1), server(2)}}
	reader.Replace(start, first)
	peer.Replace(start, first)

	delta, _ := reader.Replace(start.Add(time.Second), &directory.Listing{Revision: 9, Servers: []directory.BackendServer{server(2), server(3)}})
	fmt.Println(len(delta.Changed), delta.Removed)
	fmt.Println(peer.Apply(start.Add(time.Second), &delta) == lister.Changed, peer.Digest() == reader.Digest())
	// Output:
	// 1 [1]
	// true true
}

// TestDeltas guards against daemons that believe in different lists after the same news, and against lists that go back.
func TestDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reader, peer := lister.New(), lister.New()
		now := start
		var revision uint64
		for range rapid.IntRange(1, 20).Draw(t, "reads") {
			now = now.Add(time.Second)
			revision += rapid.Uint64Range(0, 3).Draw(t, "changes")
			listing := &directory.Listing{Revision: revision + 1}
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 8), 0, 8, rapid.ID[uint64]).Draw(t, "ids") {
				s := server(id)
				s.Leaving = rapid.Bool().Draw(t, "leaving")
				listing.Servers = append(listing.Servers, s)
			}
			delta, _ := reader.Replace(now, listing)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			before := peer.Revision()
			if peer.Apply(now, &delta) == lister.Foreign {
				peer.Replace(now, reader.Listing())
			}
			if peer.Digest() != reader.Digest() || peer.Revision() < before || peer.AsOf() != now {
				t.Fatalf("digests %x and %x, revision %d after %d, as of %s", peer.Digest(), reader.Digest(), peer.Revision(), before, peer.AsOf())
			}
		}
	})
}

// TestOutdated guards against an old list that replaces a newer one, as after a pause of its reader.
func TestOutdated(t *testing.T) {
	l := lister.New()
	l.Replace(start, &directory.Listing{Revision: 9, Servers: []directory.BackendServer{server(1)}})
	if _, o := l.Replace(start.Add(time.Second), &directory.Listing{Revision: 8}); o != lister.Outdated {
		t.Error(o)
	}
	if o := l.Apply(start.Add(time.Second), &lister.Delta{Revision: 8, Digest: l.Digest()}); o != lister.Outdated {
		t.Error(o)
	}
	if l.AsOf() != start || len(l.Listing().Servers) != 1 {
		t.Errorf("as of %s: %v", l.AsOf(), l.Listing())
	}
}

// TestWarmUp guards against news for every heartbeat: what grows by itself is no change.
func TestWarmUp(t *testing.T) {
	l := lister.New()
	s := server(1)
	s.WarmUp = 2 * time.Second
	l.Replace(start, &directory.Listing{Revision: 1, Servers: []directory.BackendServer{s}})
	s.WarmUp, s.Revision = time.Second, 2
	if d, o := l.Replace(start.Add(time.Second), &directory.Listing{Revision: 2, Servers: []directory.BackendServer{s}}); o != lister.Confirmed {
		t.Errorf("%v: %+v", o, d)
	}
}

// TestWrongDigest guards against a delta that leads to another list than its sender has.
func TestWrongDigest(t *testing.T) {
	l := lister.New()
	l.Replace(start, &directory.Listing{Revision: 1, Servers: []directory.BackendServer{server(1)}})
	digest := l.Digest()
	d := &lister.Delta{Revision: 2, Base: digest, Digest: 42, Changed: []directory.BackendServer{server(2)}}
	if o := l.Apply(start, d); o != lister.Foreign || l.Digest() != digest || len(l.Listing().Servers) != 1 {
		t.Errorf("%v: %v", o, l.Listing())
	}
}

func BenchmarkReplace(b *testing.B) {
	listing := &directory.Listing{Revision: 1}
	for id := range uint64(150) {
		listing.Servers = append(listing.Servers, server(id+1))
	}
	l := lister.New()
	for b.Loop() {
		l.Replace(start, listing)
	}
}
