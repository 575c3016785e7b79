package examiner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

// TestCheckRateLimit guards against more checks in any second than MaximumCheckRate, and against starvation: each backend
// server is checked within the time that this rate allows.
func TestCheckRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(0, 60).Draw(t, "local"), rapid.IntRange(0, 60).Draw(t, "remote"))
		for i := range list {
			list[i].Interval = time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond
		}
		failing := rapid.Bool().Draw(t, "failing")
		x := newExaminer(0, startTime)
		x.SetServers(startTime, list)
		var starts []time.Time
		checked := map[string]bool{}
		for now := startTime; now.Before(startTime.Add(3 * time.Minute)); now = now.Add(tick) {
			a, ok := x.NextCheck(now)
			if !ok {
				continue
			}
			checked[a.String()] = true
			starts = append(starts, now)
			if n := len(starts); n > examiner.MaximumCheckRate && now.Sub(starts[n-1-examiner.MaximumCheckRate]) < time.Second {
				t.Fatalf("%d checks within %s", examiner.MaximumCheckRate+1, now.Sub(starts[n-1-examiner.MaximumCheckRate]))
			}
			state := packer.HealthLive
			if failing {
				state = packer.HealthFailed
			}
			x.RecordResult(now, a, examiner.Result{State: state})
		}
		if len(checked) != len(list) {
			t.Fatalf("%d of %d backend servers checked", len(checked), len(list))
		}
	})
}

// TestOneWrongCheckerDoesNotEject guards against a combined state that follows from one checker of three alone, and against
// reports that exceed the size limit of a datagram.
func TestOneWrongCheckerDoesNotEject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 12).Draw(t, "size"), servers(6, 0))
		z.wrongStates[0] = packer.HealthFailed
		z.run(20 * time.Second)
		for a := range z.results {
			if list := z.daemonsWithOtherState(a, packer.HealthLive); list != nil {
				t.Fatalf("%s is not live for daemons %v", a, list)
			}
		}
		if z.maximumBytes > packer.MaxReportBytes {
			t.Fatalf("a datagram has %d B of reports", z.maximumBytes)
		}
	})
}

// TestStateReachesAllDaemons guards against daemons that do not learn of a failure, a restart or a recovery of a backend server
// that they do not check themselves, also when one daemon is down.
func TestStateReachesAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := servers(8, 8)
		z := newZone(rapid.Uint64().Draw(t, "seed"), 12, list)
		z.run(20 * time.Second)
		z.down[rapid.IntRange(0, 11).Draw(t, "silent")] = true
		failed := list[rapid.IntRange(0, 7).Draw(t, "failed")].Address
		z.results[failed] = examiner.Result{State: packer.HealthFailed}
		z.run(30 * time.Second)
		g.Expect(z.daemonsWithOtherState(failed, packer.HealthFailed)).To(BeEmpty())
		z.results[failed] = examiner.Result{State: packer.HealthDraining, Incarnation: 6}
		z.run(30 * time.Second)
		g.Expect(z.daemonsWithOtherState(failed, packer.HealthDraining)).To(BeEmpty())
		z.results[failed] = examiner.Result{State: packer.HealthLive, Incarnation: 7}
		z.run(30 * time.Second)
		g.Expect(z.daemonsWithOtherState(failed, packer.HealthLive)).To(BeEmpty())
		for i, updates := range z.updates {
			if !z.down[i] {
				g.Expect(updates[failed].Incarnation).To(Equal(uint64(7)))
			}
		}
	})
}

// TestReportsEndWithTheirChecker guards against reports that stay valid after their checker has been removed from the
// membership, or has restarted and no longer sends them.
func TestReportsEndWithTheirChecker(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		g := NewWithT(t)
		list := servers(0, 8) // each has a single checker
		z := newZone(1, 4, list)
		server := list[0].Address
		checker := int(z.daemons[0].Checkers(server)[0].Addr().As4()[3])
		z.wrongStates[checker] = packer.HealthFailed
		z.run(20 * time.Second)
		g.Expect(z.daemonsWithOtherState(server, packer.HealthFailed)).To(BeEmpty())
		z.down[checker] = true
		if restarted {
			z.incarnations[checker] = z.now
			z.setMembers(nil)
		} else {
			z.setMembers(map[int]bool{checker: true})
		}
		z.run(2 * tick) // before another checker reports
		g.Expect(z.daemonsWithOtherState(server, packer.HealthLive)).To(BeEmpty())
	}
}

// TestReportOfPausedCheckerExpires guards against a report that stays valid although its checker no longer renews it.
func TestReportOfPausedCheckerExpires(t *testing.T) {
	g := NewWithT(t)
	list := servers(0, 1)
	z := newZone(1, 3, list)
	checker := int(z.daemons[0].Checkers(list[0].Address)[0].Addr().As4()[3])
	z.wrongStates[checker] = packer.HealthFailed
	z.run(20 * time.Second)
	g.Expect(z.daemonsWithOtherState(list[0].Address, packer.HealthFailed)).To(BeEmpty())
	z.down[checker] = true
	z.run(90 * time.Second)
	g.Expect(z.daemonsWithOtherState(list[0].Address, packer.HealthLive)).To(BeEmpty())
}

// TestConvergenceAfterDifferentViews guards against combined states that still differ after the daemons' membership views
// have become the same again.
func TestConvergenceAfterDifferentViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := servers(6, 6)
		z := newZone(rapid.Uint64().Draw(t, "seed"), 8, list)
		failed := list[rapid.IntRange(0, 11).Draw(t, "failed")].Address
		z.results[failed] = examiner.Result{State: packer.HealthFailed}
		for _, x := range z.daemons {
			var view []examiner.Member
			for i := range z.daemons {
				if rapid.Bool().Draw(t, "seen") {
					view = append(view, examiner.Member{Address: address(1, i), Incarnation: uint64(startTime.UnixMilli())})
				}
			}
			x.SetMembers(z.now, view)
		}
		z.run(20 * time.Second)
		if rapid.Bool().Draw(t, "recovers") {
			z.results[failed] = examiner.Result{State: packer.HealthLive, Incarnation: 8}
		}
		z.setMembers(nil)
		z.run(40 * time.Second)
		g.Expect(z.daemonsWithOtherState(failed, z.results[failed].State)).To(BeEmpty())
	})
}

// TestFailureIsRenewed guards against a failed state that expires while checks still fail.
func TestFailureIsRenewed(t *testing.T) {
	g := NewWithT(t)
	list := servers(4, 0)
	z := newZone(2, 20, list)
	z.results[list[0].Address] = examiner.Result{State: packer.HealthFailed}
	z.run(20 * time.Second)
	for range 40 {
		z.run(10 * time.Second)
		g.Expect(z.daemonsWithOtherState(list[0].Address, packer.HealthFailed)).To(BeEmpty())
	}
}
