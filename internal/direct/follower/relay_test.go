package follower

import (
	"slices"
	"testing"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// TestChangeReachesAll guards against a change that waits for the next check: watchers tell their zone at once.
func TestChangeReachesAll(t *testing.T) {
	run(t, 10, threeZones, func(f *fleet) {
		f.change(func() { f.version = 9 })
		time.Sleep(300 * time.Millisecond)
		f.expect(t, 9, 2)
	})
}

// TestLargeChange guards against a whole fleet that asks for the whole list because a change does not fit a datagram.
func TestLargeChange(t *testing.T) {
	run(t, 10, threeZones, func(f *fleet) {
		before := f.requests.Load()
		f.change(func() {
			for id := 10; id < 210; id++ {
				f.servers = append(f.servers, backend(id))
			}
		})
		time.Sleep(bound)
		f.expect(t, 1, 202)
		if n := f.requests.Load() - before; n > 0 {
			t.Errorf("%d requests for whole documents", n)
		}
	})
}

// TestFanOut guards against a reader that sends every change to its whole zone itself: 290 new backend servers were 1 MB, more than the
// link of a small VM carries in time, and whole zones read the platform instead (isbc-grid-large, the start).
func TestFanOut(t *testing.T) {
	run(t, 60, threeZones, func(f *fleet) {
		sent := func() []int {
			var list []int
			for _, d := range f.daemons {
				d.mu.Lock()
				list = append(list, d.sent)
				d.sent = 0
				d.mu.Unlock()
			}
			slices.Sort(list)
			return list
		}
		sent()
		f.store.mu.Lock()
		f.reads = 0
		f.store.mu.Unlock()
		f.change(func() {
			for id := 10; id < 310; id++ {
				f.servers = append(f.servers, backend(id))
			}
		})
		time.Sleep(bound)
		f.expect(t, 1, 302)
		f.store.mu.Lock()
		// One read each 0.45 of the bound, and a second daemon's now and then.
		if f.reads > 6 {
			t.Errorf("%d reads", f.reads)
		}
		f.store.mu.Unlock()
		// Each of the 15 steps goes to as many daemons as the fan-out says and to two contacts in each other zone; a share that is passed
		// on is as much again.
		if list := sent(); list[len(list)-1] > 15*2*(fanOut+2*contactsPerZone)*relayBytes {
			t.Errorf("the busiest daemon sent %d bytes, the middle one %d", list[len(list)-1], list[len(list)/2])
		}
		f.change(func() { f.version = 2 })
		time.Sleep(time.Second)
		f.expect(t, 2, 302)
	})
}

// TestLostRelay guards against daemons that stay behind when one that passes news on has died.
func TestLostRelay(t *testing.T) {
	run(t, 60, threeZones, func(f *fleet) {
		for i := range 20 {
			f.killed.Store(f.daemons[60+3*i].address, true)
		}
		f.change(func() { f.servers = f.servers[:1] })
		time.Sleep(bound)
		f.expect(t, 1, 1)
	})
}

// TestFindings guards against findings that leave their availability zone or do not reach it.
func TestFindings(t *testing.T) {
	run(t, 3, threeZones, func(f *fleet) {
		f.daemons[0].Report([]steerer.Finding{{Server: 1, Condition: steerer.Silent}})
		time.Sleep(time.Second)
		for i, d := range f.daemons {
			d.mu.Lock()
			if want := min(i, 1) * min(1, max(0, 3-i)); d.findings != want {
				t.Errorf("daemon %d has %d findings, want %d", i, d.findings, want)
			}
			d.mu.Unlock()
		}
	})
}

// FuzzDecode guards against a panic on what a stray process sends to the peer socket.
func FuzzDecode(f *testing.F) {
	n := &news{zone: "souillac", configVersion: 3}
	n.delta.ChangedServers = []directory.BackendServer{backend(1)}
	for _, encode := range []func() ([]byte, error){
		n.encode, (&request{document: 1}).encode, (&part{count: 1, content: []byte("x")}).encode, findings{{Server: 1, Condition: steerer.Silent}}.encode,
		doubts{{Server: 1, Condition: steerer.Inconclusive, Evidence: steerer.Evidence{RetransmittingFlows: 1}}}.encode,
	} {
		b, err := encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := decode(b); err == nil && m == nil {
			t.Fatal("nothing decoded without an error")
		}
		_, _ = decodeListing(b)
		_, _ = decodeConfiguration(b)
	})
}
