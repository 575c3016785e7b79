package gatekeeper_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/encapsulator"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
	"github.com/bluebelldyke/bluebelldyke/modules/sealer"
	"github.com/bluebelldyke/bluebelldyke/services/gatekeeper"
)

var (
	gateAddress    = netip.MustParseAddrPort("127.1.0.1:7946")
	callerAddress  = netip.MustParseAddrPort("127.9.0.1:40000")
	serviceAddress = netip.MustParseAddrPort("127.0.53.2:7002")
	serverAddress  = netip.MustParseAddrPort("127.2.0.1:9000")
	start          = time.UnixMilli(1_800_000_000_000)
)

func newGate(capacity int) *gatekeeper.Gatekeeper {
	return gatekeeper.New(gatekeeper.Config{
		Self: gateAddress, Incarnation: 1, Random: rand.New(rand.NewPCG(1, 2)), Capacity: capacity,
	})
}

func executionOf(reservation gatekeeper.Action) gatekeeper.Execution {
	return gatekeeper.Execution{
		Token: sealer.Token{
			Kind: sealer.KindGate, Target: gateAddress, Incarnation: 1, IssuedAt: reservation.IssuedAt, FlowID: reservation.FlowID,
		},
		Request:  gatekeeper.Request{Caller: callerAddress, Service: serviceAddress},
		Deadline: reservation.IssuedAt.Add(2 * time.Second), Payload: []byte("two baguettes"),
	}
}

func ExampleGatekeeper() {
	g := newGate(0)
	x := executionOf(g.Reserve(start))
	a := g.Execute(start, x)
	ok, _ := g.AuthorizeSend(start, a.AttemptID, serverAddress, 7)
	fmt.Println(a.Kind, a.AttemptNumber, ok)
	fmt.Println(g.Execute(start, x).Kind) // a retransmission
	shed := gatekeeper.Reply{
		AttemptID: a.AttemptID, BackendServer: serverAddress, Incarnation: 7, Verb: encapsulator.VerbRefused,
		Cause: framer.CauseShed,
	}
	a = g.HandleReply(start, shed)
	fmt.Println(a.Kind, a.AttemptNumber, a.ExcludedServers)
	a = g.PlacementFailed(start, a.AttemptID, framer.CauseShed)
	fmt.Println(a.Kind, a.Cause)
	// Output:
	// send-attempt 1 true
	// send-fetch
	// send-attempt 2 [127.2.0.1:9000]
	// reply-not-run shed
}

// TestPausedBeforeSend guards against a run datagram that is sent after the deadline because the process was paused between
// Execute and AuthorizeSend.
func TestPausedBeforeSend(t *testing.T) {
	g := NewWithT(t)
	gate := newGate(0)
	a := gate.Execute(start, executionOf(gate.Reserve(start)))
	ok, reply := gate.AuthorizeSend(start.Add(2*time.Second), a.AttemptID, serverAddress, 0)
	g.Expect(ok).To(BeFalse())
	g.Expect(reply.Kind).To(Equal(gatekeeper.ReplyNotRun))
	g.Expect(reply.Cause).To(Equal(framer.CauseExpired))
}

// TestClockStepsBack guards against a token that becomes valid again after its entry has expired, because the clock was set
// back.
func TestClockStepsBack(t *testing.T) {
	g := NewWithT(t)
	gate := newGate(0)
	x := executionOf(gate.Reserve(start))
	a := gate.Execute(start, x)
	gate.PlacementFailed(start, a.AttemptID, framer.CauseShed)
	gate.Tick(start.Add(time.Minute), nil)
	g.Expect(gate.EntryCount()).To(BeZero())
	g.Expect(gate.Execute(start.Add(time.Second), x).Kind).To(Equal(gatekeeper.ReplyUnknown))
}

// TestRestartedBackendServer guards against trusting the refusal or the cancellation by a process that replaced the one
// that may have run the request.
func TestRestartedBackendServer(t *testing.T) {
	g := NewWithT(t)
	for _, verb := range []encapsulator.Verb{encapsulator.VerbRefused, encapsulator.VerbCanceled} {
		gate := newGate(0)
		a := gate.Execute(start, executionOf(gate.Reserve(start)))
		gate.AuthorizeSend(start, a.AttemptID, serverAddress, 7)
		r := gatekeeper.Reply{AttemptID: a.AttemptID, BackendServer: serverAddress, Verb: verb, Cause: framer.CauseShed}
		for _, incarnation := range []uint64{0, uint64(start.UnixMilli())} {
			r.Incarnation = incarnation
			g.Expect(gate.HandleReply(start, r).Kind).To(Equal(gatekeeper.None))
		}
		list := gate.Tick(start.Add(2*time.Second), nil)
		g.Expect(list).To(HaveLen(1))
		g.Expect(list[0].Kind).To(Equal(gatekeeper.ReplyUnknown))
	}
}

// TestLateReplies guards against replies to and placements of an earlier attempt that affect the current one, and against
// a refusal that is accepted after the attempt has started.
func TestLateReplies(t *testing.T) {
	g := NewWithT(t)
	gate := newGate(0)
	first := gate.Execute(start, executionOf(gate.Reserve(start)))
	gate.AuthorizeSend(start, first.AttemptID, serverAddress, 7)
	shed := gatekeeper.Reply{
		AttemptID: first.AttemptID, BackendServer: serverAddress, Incarnation: 7, Verb: encapsulator.VerbRefused,
		Cause: framer.CauseShed,
	}
	second := gate.HandleReply(start, shed)
	ok, _ := gate.AuthorizeSend(start, first.AttemptID, serverAddress, 7)
	g.Expect(ok).To(BeFalse())
	ok, _ = gate.AuthorizeSend(start, second.AttemptID, serverAddress, 7)
	g.Expect(ok).To(BeTrue())
	g.Expect(gate.HandleReply(start, shed).Kind).To(Equal(gatekeeper.None))
	shed.AttemptID = second.AttemptID
	running := shed
	running.Verb = encapsulator.VerbRunning
	gate.HandleReply(start, running)
	g.Expect(gate.HandleReply(start, shed).Kind).To(Equal(gatekeeper.None))
	g.Expect(gate.UnresolvedRequests()).To(Equal(1))
}

// TestResendAttempt guards against a lost run datagram that is never sent again. It also guards against a resend that a
// replaced process would run, that the caller or the backend server no longer needs, or that is sent at the deadline.
func TestResendAttempt(t *testing.T) {
	g := NewWithT(t)
	sendAttempt := func(incarnation uint64) (*gatekeeper.Gatekeeper, gatekeeper.Execution, gatekeeper.Action) {
		gate := newGate(0)
		x := executionOf(gate.Reserve(start))
		a := gate.Execute(start, x)
		gate.AuthorizeSend(start, a.AttemptID, serverAddress, incarnation)
		return gate, x, a
	}
	tick := func(gate *gatekeeper.Gatekeeper, d time.Duration) []gatekeeper.Action {
		return gate.Tick(start.Add(d), nil)
	}

	gate, _, a := sendAttempt(7)
	g.Expect(tick(gate, 399*time.Millisecond)).To(BeEmpty())
	list := tick(gate, 400*time.Millisecond)
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Kind).To(Equal(gatekeeper.ResendAttempt))
	g.Expect(list[0].AttemptID).To(Equal(a.AttemptID))
	g.Expect(list[0].BackendServer).To(Equal(serverAddress))
	g.Expect(list[0].Incarnation).To(Equal(uint64(7)))
	g.Expect(list[0].Payload).To(Equal([]byte("two baguettes")))
	g.Expect(tick(gate, 1900*time.Millisecond)).To(HaveLen(1), "one resend after a pause")
	list = tick(gate, 2*time.Second)
	g.Expect(list).To(HaveLen(1))
	g.Expect(list[0].Kind).To(Equal(gatekeeper.ReplyUnknown))

	gate, _, _ = sendAttempt(0)
	g.Expect(tick(gate, time.Second)).To(BeEmpty(), "a replaced process would run the resend")
	for _, verb := range []encapsulator.Verb{encapsulator.VerbAccepted, encapsulator.VerbRunning, encapsulator.VerbAnswer} {
		gate, _, a = sendAttempt(7)
		gate.HandleReply(start, gatekeeper.Reply{AttemptID: a.AttemptID, BackendServer: serverAddress, Incarnation: 7, Verb: verb})
		g.Expect(tick(gate, time.Second)).To(BeEmpty(), "verb %d", verb)
	}
	gate, x, _ := sendAttempt(7)
	gate.Cancel(start, x.Token, x.Request)
	g.Expect(tick(gate, time.Second)).To(BeEmpty(), "the caller no longer waits")
}

// TestReservations guards against tokens of another process, reservations beyond the capacity, and a graceful shutdown that
// ends while a token is valid.
func TestReservations(t *testing.T) {
	g := NewWithT(t)
	gate := newGate(2)
	x := executionOf(gate.Reserve(start))
	g.Expect(gate.IsDrained(start)).To(BeFalse())
	gate.Reserve(start)
	g.Expect(gate.Reserve(start).Cause).To(Equal(framer.CauseRateLimited))
	gate.Cancel(start, x.Token, x.Request)
	g.Expect(gate.Execute(start, x).Kind).To(Equal(gatekeeper.ReplyNotRun))
	g.Expect(gate.Reserve(start).Cause).To(Equal(framer.CauseRateLimited))
	x.Token.Incarnation = 2
	g.Expect(gate.Execute(start, x).Cause).To(Equal(framer.CauseGateLost))
	gate.Tick(start.Add(11*time.Second), nil)
	g.Expect(gate.Reserve(start.Add(11 * time.Second)).Kind).To(Equal(gatekeeper.GrantReservation))
	gate.Stop(start.Add(11 * time.Second))
	g.Expect(gate.Reserve(start.Add(11 * time.Second)).Cause).To(Equal(framer.CauseStopping))
	g.Expect(gate.IsDrained(start.Add(20 * time.Second))).To(BeFalse())
	g.Expect(gate.IsDrained(start.Add(21 * time.Second))).To(BeTrue())
}

// BenchmarkEntry measures the memory of the entry of an answered request, whose payload has been dropped.
func BenchmarkEntry(b *testing.B) {
	const flows = 1 << 17
	gate := newGate(flows)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for range flows {
		a := gate.Execute(start, executionOf(gate.Reserve(start)))
		gate.AuthorizeSend(start, a.AttemptID, serverAddress, 0)
		gate.HandleReply(start, gatekeeper.Reply{
			AttemptID: a.AttemptID, BackendServer: serverAddress, Verb: encapsulator.VerbAnswer,
		})
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/flows, "B/flow")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/flows, "ns/request")
	runtime.KeepAlive(gate)
}
