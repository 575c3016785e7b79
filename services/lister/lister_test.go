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
	first := &directory.BackendList{Revision: 5, Servers: []directory.BackendServer{server(1), server(2)}}
	reader.Replace(start, first)
	peer.Replace(start, first)

	steps, _ := reader.Replace(start.Add(time.Second), &directory.BackendList{Revision: 9, Servers: []directory.BackendServer{server(2), server(3)}})
	fmt.Println(len(steps), len(steps[0].Changed), steps[0].Removed)
	fmt.Println(peer.Apply(start.Add(time.Second), &steps[0]) == lister.Changed, peer.Digest() == reader.Digest())
	// Output:
	// 1 1 [1]
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
			revision += rapid.Uint64Range(1, 3).Draw(t, "changes") // the platform counts each change
			listing := &directory.BackendList{Revision: revision + 1}
			for _, id := range rapid.SliceOfNDistinct(rapid.Uint64Range(1, 90), 0, 80, rapid.ID[uint64]).Draw(t, "ids") {
				s := server(id)
				s.Leaving = rapid.Bool().Draw(t, "leaving")
				listing.Servers = append(listing.Servers, s)
			}
			steps, _ := reader.Replace(now, listing)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			before := peer.Revision()
			for i := range steps {
				if n := len(steps[i].Changed) + len(steps[i].Removed); n > lister.MaxStep {
					t.Fatalf("a step of %d entries", n)
				}
				if peer.Apply(now, &steps[i]) == lister.Foreign {
					peer.Replace(now, reader.Listing())
					break
				}
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
	l.Replace(start, &directory.BackendList{Revision: 9, Servers: []directory.BackendServer{server(1)}})
	if _, o := l.Replace(start.Add(time.Second), &directory.BackendList{Revision: 8}); o != lister.Outdated {
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
	s.RemainingWarmUp = 2 * time.Second
	l.Replace(start, &directory.BackendList{Revision: 1, Servers: []directory.BackendServer{s}})
	s.RemainingWarmUp, s.Revision = time.Second, 2
	if d, o := l.Replace(start.Add(time.Second), &directory.BackendList{Revision: 2, Servers: []directory.BackendServer{s}}); o != lister.Confirmed {
		t.Errorf("%v: %+v", o, d)
	}
}

// TestWrongDigest guards against a delta that leads to another list than its sender has.
func TestWrongDigest(t *testing.T) {
	l := lister.New()
	l.Replace(start, &directory.BackendList{Revision: 1, Servers: []directory.BackendServer{server(1)}})
	digest := l.Digest()
	d := &lister.Delta{Revision: 2, Base: digest, Digest: 42, Changed: []directory.BackendServer{server(2)}}
	if o := l.Apply(start, d); o != lister.Foreign || l.Digest() != digest || len(l.Listing().Servers) != 1 {
		t.Errorf("%v: %v", o, l.Listing())
	}
}

func BenchmarkReplace(b *testing.B) {
	listing := &directory.BackendList{Revision: 1}
	for id := range uint64(150) {
		listing.Servers = append(listing.Servers, server(id+1))
	}
	l := lister.New()
	for b.Loop() {
		l.Replace(start, listing)
	}
}

// TestRepeatedSteps guards against a request for the whole list by a daemon that hears the same steps from two peers, and
// against a list that counts as right before its last step.
func TestRepeatedSteps(t *testing.T) {
	reader, peer := lister.New(), lister.New()
	first := &directory.BackendList{Revision: 5, Servers: []directory.BackendServer{server(1)}}
	reader.Replace(start, first)
	peer.Replace(start, first)
	second := &directory.BackendList{Revision: 9}
	for id := range uint64(50) {
		second.Servers = append(second.Servers, server(id+2))
	}
	later := start.Add(time.Second)
	steps, _ := reader.Replace(later, second)
	if len(steps) != 3 {
		t.Fatalf("%d steps", len(steps))
	}
	for i := range steps {
		if o := peer.Apply(later, &steps[i]); o != lister.Changed {
			t.Errorf("step %d: %v", i, o)
		}
		if right := peer.AsOf() == later; right != (i == len(steps)-1) {
			t.Errorf("step %d: as of %s", i, peer.AsOf())
		}
	}
	for i := range steps {
		if o := peer.Apply(later, &steps[i]); o == lister.Foreign || o == lister.Changed {
			t.Errorf("step %d again: %v", i, o)
		}
	}
}

// TestOvertakingSteps guards against a step that arrives before the one it follows and is taken for an old one: the list stayed unfinished,
// and every daemon of a zone read the platform (isbc-grid-large, second -10: 400 reads).
func TestOvertakingSteps(t *testing.T) {
	reader, follower := lister.New(), lister.New()
	reader.Replace(start, &directory.BackendList{Revision: 1})
	follower.Replace(start, &directory.BackendList{Revision: 1})
	var all []directory.BackendServer
	for id := range uint64(5 * lister.MaxStep) {
		all = append(all, server(id+1))
	}
	steps, _ := reader.Replace(start.Add(time.Second), &directory.BackendList{Revision: 2, Servers: all})
	later := start.Add(time.Second)
	for _, arrival := range []struct {
		step int
		want lister.Outcome
	}{
		{0, lister.Changed}, {2, lister.Foreign}, {1, lister.Changed}, {0, lister.Outdated}, {2, lister.Changed}, {4, lister.Foreign},
		{1, lister.Outdated}, {3, lister.Changed}, {4, lister.Changed},
	} {
		if got := follower.Apply(later, &steps[arrival.step]); got != arrival.want {
			t.Errorf("step %d: outcome %d, want %d", arrival.step, got, arrival.want)
		}
	}
	if follower.Digest() != reader.Digest() || !follower.AsOf().Equal(later) {
		t.Errorf("digest %x as of %s, want %x", follower.Digest(), follower.AsOf(), reader.Digest())
	}
	if got := follower.Apply(later, &steps[1]); got != lister.Outdated {
		t.Errorf("a repeated step of a finished change: outcome %d", got)
	}
}
