package examiner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
)

// TestLimit guards against more checks than the limit in any second, and against checks that starve: each backend server
// is checked within the time that its share of the limit allows.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := servers(rapid.IntRange(0, 60).Draw(t, "local"), rapid.IntRange(0, 60).Draw(t, "remote"))
		for i := range list {
			list[i].Interval = time.Duration(rapid.IntRange(50, 5000).Draw(t, "ms")) * time.Millisecond
		}
		failing := rapid.Bool().Draw(t, "failing")
		x := newExaminer(0, epoch)
		x.SetServers(epoch, list)
		var starts []time.Time
		seen := map[string]bool{}
		for now := epoch; now.Before(epoch.Add(3 * time.Minute)); now = now.Add(tick) {
			a, ok := x.NextCheck(now)
			if !ok {
				continue
			}
			seen[a.String()] = true
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
		if len(seen) != len(list) {
			t.Fatalf("%d of %d backend servers checked", len(seen), len(list))
		}
	})
}

// TestOneWrongChecker guards against a verdict that one checker of three brings about alone, and against datagrams that
// exceed their bound.
func TestOneWrongChecker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 12).Draw(t, "size"), servers(6, 0))
		z.lies[0] = packer.HealthFailed
		z.run(20 * time.Second)
		for a := range z.states {
			if list := z.disagree(a, packer.HealthLive); list != nil {
				t.Fatalf("%s ejected by daemons %v", a, list)
			}
		}
		if z.highest > packer.MaxReportBytes {
			t.Fatalf("%d B of reports", z.highest)
		}
	})
}

// TestFailureReachesAll guards against daemons that do not hear of a failure, a restart or a recovery that they do not
// check themselves, also when one checker is silent.
func TestFailureReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := servers(8, 8)
		z := newZone(rapid.Uint64().Draw(t, "seed"), 12, list)
		z.run(20 * time.Second)
		z.down[rapid.IntRange(0, 11).Draw(t, "silent")] = true
		failed := list[rapid.IntRange(0, 7).Draw(t, "failed")].Address
		z.states[failed] = examiner.Result{State: packer.HealthFailed}
		z.run(30 * time.Second)
		g.Expect(z.disagree(failed, packer.HealthFailed)).To(BeEmpty())
		z.states[failed] = examiner.Result{State: packer.HealthDraining, Incarnation: 6}
		z.run(30 * time.Second)
		g.Expect(z.disagree(failed, packer.HealthDraining)).To(BeEmpty())
		z.states[failed] = examiner.Result{State: packer.HealthLive, Incarnation: 7}
		z.run(30 * time.Second)
		g.Expect(z.disagree(failed, packer.HealthLive)).To(BeEmpty())
		for i, verdicts := range z.verdicts {
			if !z.down[i] {
				g.Expect(verdicts[failed].Incarnation).To(Equal(uint64(7)))
			}
		}
	})
}

// TestReportsEnd guards against reports that outlive the process of their checker: one that is dead, and one that has
// restarted and no longer says so.
func TestReportsEnd(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		g := NewWithT(t)
		list := servers(0, 8) // each has a single checker
		z := newZone(1, 4, list)
		wrong := list[0].Address
		culprit := int(z.daemons[0].Checkers(wrong)[0].Addr().As4()[3])
		z.lies[culprit] = packer.HealthFailed
		z.run(20 * time.Second)
		g.Expect(z.disagree(wrong, packer.HealthFailed)).To(BeEmpty())
		z.down[culprit] = true
		if restarted {
			z.incarnation[culprit] = z.now
			z.setViews(nil)
		} else {
			z.setViews(map[int]bool{culprit: true})
		}
		z.run(2 * tick) // before another checker reports
		g.Expect(z.disagree(wrong, packer.HealthLive)).To(BeEmpty())
	}
}

// TestPausedCheckerExpires guards against a report that counts for ever although its checker no longer renews it.
func TestPausedCheckerExpires(t *testing.T) {
	g := NewWithT(t)
	list := servers(0, 1)
	z := newZone(1, 3, list)
	culprit := int(z.daemons[0].Checkers(list[0].Address)[0].Addr().As4()[3])
	z.lies[culprit] = packer.HealthFailed
	z.run(20 * time.Second)
	g.Expect(z.disagree(list[0].Address, packer.HealthFailed)).To(BeEmpty())
	z.down[culprit] = true
	z.run(90 * time.Second)
	g.Expect(z.disagree(list[0].Address, packer.HealthLive)).To(BeEmpty())
}

// TestConvergence guards against verdicts that stay different after the views of the daemons have differed.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := servers(6, 6)
		z := newZone(rapid.Uint64().Draw(t, "seed"), 8, list)
		failed := list[rapid.IntRange(0, 11).Draw(t, "failed")].Address
		z.states[failed] = examiner.Result{State: packer.HealthFailed}
		for _, x := range z.daemons {
			var view []examiner.Member
			for i := range z.daemons {
				if rapid.Bool().Draw(t, "seen") {
					view = append(view, examiner.Member{Address: address(1, i), Incarnation: uint64(epoch.UnixMilli())})
				}
			}
			x.SetMembers(z.now, view)
		}
		z.run(20 * time.Second)
		if rapid.Bool().Draw(t, "recovers") {
			z.states[failed] = examiner.Result{State: packer.HealthLive, Incarnation: 8}
		}
		z.setViews(nil)
		z.run(40 * time.Second)
		g.Expect(z.disagree(failed, z.states[failed].State)).To(BeEmpty())
	})
}

// TestRenewal guards against a failure that is forgotten while its checkers still see it.
func TestRenewal(t *testing.T) {
	g := NewWithT(t)
	list := servers(4, 0)
	z := newZone(2, 20, list)
	z.states[list[0].Address] = examiner.Result{State: packer.HealthFailed}
	z.run(20 * time.Second)
	for range 40 {
		z.run(10 * time.Second)
		g.Expect(z.disagree(list[0].Address, packer.HealthFailed)).To(BeEmpty())
	}
}
