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
	tick             = 20 * time.Millisecond
	datagramInterval = 500 * time.Millisecond // mean time between two datagrams of a daemon
)

var startTime = time.UnixMilli(1_800_000_000_000)

// address returns the address of daemon i (kind 1) or backend server i (kind 9).
func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 7000)
}

// servers returns local backend servers of the daemons' availability zone and remote ones of another zone.
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

// newExaminer returns the Examiner of daemon i.
func newExaminer(i int, incarnation time.Time) *examiner.Examiner {
	return examiner.New(examiner.Config{
		Self: address(1, i), AvailabilityZone: "souillac", Incarnation: uint64(incarnation.UnixMilli()),
		Random: rand.New(rand.NewPCG(uint64(i), 7)),
	})
}

// zone simulates the daemons of an availability zone in virtual time. Each daemon sends a datagram to a random other one about
// every datagramInterval.
type zone struct {
	now          time.Time
	random       *rand.Rand
	daemons      []*examiner.Examiner
	incarnations []time.Time
	results      map[netip.AddrPort]examiner.Result         // of a check of each backend server
	wrongStates  map[int]packer.Health                      // wrong state that all checks by a daemon return
	down         map[int]bool                               // daemons that neither check nor send
	updates      []map[netip.AddrPort]examiner.HealthUpdate // latest ones of each daemon
	maximumBytes int                                        // largest size of the reports of a datagram
}

// newZone returns a zone of size daemons that all check the same backend servers, which are live.
func newZone(seed uint64, size int, list []examiner.Server) *zone {
	z := &zone{
		now: startTime, random: rand.New(rand.NewPCG(seed, 3)), results: map[netip.AddrPort]examiner.Result{},
		wrongStates: map[int]packer.Health{}, down: map[int]bool{},
	}
	for _, s := range list {
		z.results[s.Address] = examiner.Result{State: packer.HealthLive, Incarnation: 5}
	}
	for i := range size {
		x := newExaminer(i, startTime)
		x.SetServers(startTime, list)
		z.daemons = append(z.daemons, x)
		z.incarnations = append(z.incarnations, startTime)
		z.updates = append(z.updates, map[netip.AddrPort]examiner.HealthUpdate{})
	}
	z.setMembers(nil)
	return z
}

// setMembers gives all daemons the membership view of all daemons but the removed ones.
func (z *zone) setMembers(removed map[int]bool) {
	var view []examiner.Member
	for i := range z.daemons {
		if !removed[i] {
			view = append(view, examiner.Member{Address: address(1, i), Incarnation: uint64(z.incarnations[i].UnixMilli())})
		}
	}
	for _, x := range z.daemons {
		x.SetMembers(z.now, view)
	}
}

// run advances the virtual time.
func (z *zone) run(duration time.Duration) {
	for end := z.now.Add(duration); z.now.Before(end); z.now = z.now.Add(tick) {
		for i, x := range z.daemons {
			if z.down[i] {
				continue
			}
			if a, ok := x.NextCheck(z.now); ok {
				r := z.results[a]
				if wrong, ok := z.wrongStates[i]; ok {
					r.State = wrong
				}
				x.RecordResult(z.now, a, r)
			}
			if to := z.random.IntN(len(z.daemons)); to != i && !z.down[to] && z.random.IntN(int(datagramInterval/tick)) == 0 {
				reports := x.Reports(z.now)
				size := 0
				for _, r := range reports {
					size += r.Size(address(1, i))
				}
				z.maximumBytes = max(z.maximumBytes, size)
				z.daemons[to].ReceiveReports(z.now, reports)
			}
			for _, update := range x.HealthUpdates(z.now) {
				z.updates[i][update.BackendServer] = update
			}
		}
	}
}

// daemonsWithOtherState returns the running daemons whose combined state of a backend server is not the given one.
func (z *zone) daemonsWithOtherState(a netip.AddrPort, state packer.Health) []int {
	var list []int
	for i := range z.daemons {
		update, ok := z.updates[i][a]
		if !z.down[i] && (ok && update.State != state || !ok && state != packer.HealthLive) {
			list = append(list, i)
		}
	}
	return list
}

func ExampleExaminer() {
	x := newExaminer(0, startTime)
	x.SetServers(startTime, servers(1, 0))
	for now := startTime; now.Before(startTime.Add(5 * time.Second)); now = now.Add(tick) {
		if a, ok := x.NextCheck(now); ok {
			x.RecordResult(now, a, examiner.Result{State: packer.HealthFailed})
		}
	}
	fmt.Println(x.HealthUpdates(startTime.Add(5 * time.Second))[0].State == packer.HealthFailed)
	// Output: true
}

// TestEveryServerHasCheckers guards against a backend server that no daemon checks, and against checkers that depend on the
// order in which a daemon learned of the members.
func TestEveryServerHasCheckers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(0, 12).Draw(t, "local"), rapid.IntRange(0, 12).Draw(t, "remote"))
		views := rapid.SliceOfN(rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]), 1, 5).Draw(t, "views")
		updated := newExaminer(0, startTime)
		updated.SetServers(startTime, list)
		var view []examiner.Member
		for _, ids := range views {
			view = view[:0]
			for _, id := range ids {
				view = append(view, examiner.Member{Address: address(1, id), Incarnation: 1})
			}
			updated.SetMembers(startTime, view)
		}
		if len(view) == 0 {
			view = append(view, examiner.Member{Address: address(1, 0)}) // a daemon with an empty view counts as the only member
		}
		checkers := map[netip.AddrPort]int{}
		for _, m := range view {
			x := newExaminer(int(m.Address.Addr().As4()[3]), startTime)
			x.SetMembers(startTime, view)
			x.SetServers(startTime, list)
			for _, s := range list {
				if !slices.Equal(x.Checkers(s.Address), updated.Checkers(s.Address)) {
					t.Fatalf("checkers %v of a new daemon differ from %v of one that had other views", x.Checkers(s.Address), updated.Checkers(s.Address))
				}
				if slices.Contains(x.Checkers(s.Address), m.Address) {
					checkers[s.Address]++
				}
			}
		}
		for _, s := range list {
			want := 1
			if s.AvailabilityZone == "souillac" {
				want = min(examiner.LocalCheckers, len(view))
			}
			if checkers[s.Address] != want {
				t.Fatalf("%s: %d checkers, want %d", s.Address, checkers[s.Address], want)
			}
		}
	})
}
