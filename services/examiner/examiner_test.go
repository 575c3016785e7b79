package examiner_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

const (
	tick  = 20 * time.Millisecond
	probe = 500 * time.Millisecond // time between two datagrams of a daemon
)

var epoch = time.UnixMilli(1_800_000_000_000)

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 7000)
}

func servers(local, remote int) []examiner.Server {
	var list []examiner.Server
	for i := range local + remote {
		s := examiner.Server{Service: "ovenwatch", Address: address(9, i), AvailabilityZone: "souillac", Interval: time.Second}
		if i >= local {
			s.AvailabilityZone = "mahebourg"
		}
		list = append(list, s)
	}
	return list
}

func newExaminer(i int, incarnation time.Time) *examiner.Examiner {
	return examiner.New(examiner.Config{
		Self: address(1, i), AvailabilityZone: "souillac", Incarnation: uint64(incarnation.UnixMilli()),
		Random: rand.New(rand.NewPCG(uint64(i), 7)),
	})
}

// zone is an availability zone in virtual time. Each daemon sends a datagram to another one every probe.
type zone struct {
	now         time.Time
	random      *rand.Rand
	daemons     []*examiner.Examiner
	incarnation []time.Time
	states      map[netip.AddrPort]examiner.Result
	lies        map[int]packer.Health // what a daemon takes every check to show
	down        map[int]bool          // checks nothing and sends nothing
	verdicts    []map[netip.AddrPort]examiner.HealthUpdate
	highest     int // reports' bytes of a datagram
}

func newZone(seed uint64, size int, list []examiner.Server) *zone {
	z := &zone{
		now: epoch, random: rand.New(rand.NewPCG(seed, 3)), states: map[netip.AddrPort]examiner.Result{}, lies: map[int]packer.Health{}, down: map[int]bool{},
	}
	for _, s := range list {
		z.states[s.Address] = examiner.Result{State: packer.HealthLive, Incarnation: 5}
	}
	for i := range size {
		x := newExaminer(i, epoch)
		x.SetServers(epoch, list)
		z.daemons = append(z.daemons, x)
		z.incarnation = append(z.incarnation, epoch)
		z.verdicts = append(z.verdicts, map[netip.AddrPort]examiner.HealthUpdate{})
	}
	z.setViews(nil)
	return z
}

// setViews gives all daemons the view without the ones of gone.
func (z *zone) setViews(gone map[int]bool) {
	var view []examiner.Member
	for i := range z.daemons {
		if !gone[i] {
			view = append(view, examiner.Member{Address: address(1, i), Incarnation: uint64(z.incarnation[i].UnixMilli())})
		}
	}
	for _, x := range z.daemons {
		x.SetMembers(z.now, view)
	}
}

func (z *zone) run(span time.Duration) {
	for end := z.now.Add(span); z.now.Before(end); z.now = z.now.Add(tick) {
		for i, x := range z.daemons {
			if z.down[i] {
				continue
			}
			if a, ok := x.NextCheck(z.now); ok {
				r := z.states[a]
				if lie, ok := z.lies[i]; ok {
					r.State = lie
				}
				x.RecordResult(z.now, a, r)
			}
			if to := z.random.IntN(len(z.daemons)); to != i && !z.down[to] && z.random.IntN(int(probe/tick)) == 0 {
				reports := x.Reports(z.now)
				size := 0
				for _, r := range reports {
					size += r.Size(address(1, i))
				}
				z.highest = max(z.highest, size)
				z.daemons[to].ReceiveReports(z.now, reports)
			}
			for _, v := range x.HealthUpdates(z.now) {
				z.verdicts[i][v.BackendServer] = v
			}
		}
	}
}

// disagree returns the daemons that do not hold a backend server for state.
func (z *zone) disagree(a netip.AddrPort, state packer.Health) []int {
	var list []int
	for i := range z.daemons {
		v, ok := z.verdicts[i][a]
		if !z.down[i] && (ok && v.State != state || !ok && state != packer.HealthLive) {
			list = append(list, i)
		}
	}
	return list
}

func ExampleExaminer() {
	x := newExaminer(0, epoch)
	x.SetServers(epoch, servers(1, 0))
	for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(tick) {
		if a, ok := x.NextCheck(now); ok {
			x.RecordResult(now, a, examiner.Result{State: packer.HealthFailed})
		}
	}
	fmt.Println(x.HealthUpdates(epoch.Add(5 * time.Second))[0].State == packer.HealthFailed)
	// Output: true
}

// TestAlwaysAssigned guards against a backend server that no daemon checks, and against checkers that depend on the
// order in which a daemon heard of the members.
func TestAlwaysAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(0, 12).Draw(t, "local"), rapid.IntRange(0, 12).Draw(t, "remote"))
		views := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]), 1, 5).Draw(t, "views")
		changing := newExaminer(0, epoch)
		changing.SetServers(epoch, list)
		var view []examiner.Member
		for _, ids := range views {
			view = view[:0]
			for _, id := range ids {
				view = append(view, examiner.Member{Address: address(1, id), Incarnation: 1})
			}
			changing.SetMembers(epoch, view)
		}
		if len(view) == 0 {
			view = append(view, examiner.Member{Address: address(1, 0)}) // a daemon that sees nobody counts on itself
		}
		checked := map[netip.AddrPort]int{}
		for _, m := range view {
			x := newExaminer(int(m.Address.Addr().As4()[3]), epoch)
			x.SetMembers(epoch, view)
			x.SetServers(epoch, list)
			for _, s := range list {
				if !slices.Equal(x.Checkers(s.Address), changing.Checkers(s.Address)) {
					t.Fatalf("checkers %v and %v", x.Checkers(s.Address), changing.Checkers(s.Address))
				}
				if slices.Contains(x.Checkers(s.Address), m.Address) {
					checked[s.Address]++
				}
			}
		}
		for _, s := range list {
			want := 1
			if s.AvailabilityZone == "souillac" {
				want = min(examiner.LocalCheckers, len(view))
			}
			if checked[s.Address] != want {
				t.Fatalf("%s: %d checkers, want %d", s.Address, checked[s.Address], want)
			}
		}
	})
}
