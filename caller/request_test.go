package caller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/caller"
	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

func ExampleCaller_Request() {
	t := new(testing.T)
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) { f.reply(d, answerPart(0, 1, "flour, water, salt")) })
	c, err := caller.New(caller.Config{Service: service, Address: f.address()})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	result, err := c.Request(context.Background(), []byte("baguette"), caller.RequestOptions{Idempotent: true})
	fmt.Println(result.Outcome, string(result.Answer), err)
	// Output: answered flour, water, salt <nil>
}

// TestPartsLostReorderedDuplicated guards against answers with missing, duplicated or misordered parts, or with parts of two
// runs.
func TestPartsLostReorderedDuplicated(t *testing.T) {
	g := NewWithT(t)
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		switch d.Kind {
		case framer.KindRequest:
			f.reply(d, answerPart(2, 4, "c"))
			f.reply(d, answerPart(0, 4, "a"))
			f.reply(d, answerPart(2, 4, "c"))
			otherRun := answerPart(1, 4, "x")
			otherRun.Token = []byte("another run")
			f.reply(d, otherRun)
			f.reply(d, answerPart(0, 4, "a"))
		case framer.KindFetch:
			for i, s := range []string{"a", "b", "c", "d"} {
				if d.Payload[0]&(1<<i) != 0 && string(d.Token) == "answer" {
					f.reply(d, answerPart(i, 4, s))
				}
			}
		}
	})
	c := newCaller(t, f, nil)
	r, err := c.Request(contextWithTimeout(t, 2*time.Second), []byte("q"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Answered))
	g.Expect(string(r.Answer)).To(Equal("abcd"))
	fetches := f.receivedKind(framer.KindFetch)
	g.Expect(fetches).NotTo(BeEmpty())
	g.Expect(fetches[0].Payload).To(Equal([]byte{0b1010}))
}

// TestAnswersOfOtherCalls guards against a call that takes the answer to another call with the same payload that was in flight
// at the same time, or an answer of another service, as its own.
func TestAnswersOfOtherCalls(t *testing.T) {
	g := NewWithT(t)
	var previous []receivedDatagram
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		if d.Kind != framer.KindRequest {
			return
		}
		for _, p := range previous { // late duplicate answers to all earlier calls, sent to the port of this caller
			late := answerPart(0, 1, fmt.Sprintf("%x", p.CallID))
			late.ServiceID, late.CallID = framer.ServiceID(service), p.CallID
			f.sendTo(d.from, late)
		}
		otherService := answerPart(0, 1, "wrong service")
		otherService.ServiceID, otherService.CallID = 1, d.CallID
		f.sendTo(d.from, otherService)
		f.reply(d, answerPart(0, 1, fmt.Sprintf("%x", d.CallID)))
		previous = append(previous, d)
	})
	c := newCaller(t, f, nil)
	var group errgroup.Group
	for range 20 {
		group.Go(func() error {
			r, err := c.Request(context.Background(), []byte("same"), caller.RequestOptions{Idempotent: true})
			if err != nil || r.Outcome != caller.Answered || string(r.Answer) != fmt.Sprintf("%x", r.CallID) {
				return fmt.Errorf("got %v %q for call %x (%v)", r.Outcome, r.Answer, r.CallID, err)
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
}

// TestPortReuse guards against a Caller that accepts answers to calls of a Caller that used the same port before.
func TestPortReuse(t *testing.T) {
	g := NewWithT(t)
	var first atomic.Pointer[receivedDatagram]
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		switch {
		case d.Kind != framer.KindRequest:
		case string(d.Payload) == "first":
			first.CompareAndSwap(nil, &d)
		default:
			f.reply(*first.Load(), answerPart(0, 1, "answer of the first"))
			f.reply(d, answerPart(0, 1, "answer of the second"))
		}
	})
	c := newCaller(t, f, nil)
	local := c.LocalAddr()
	r, err := c.Request(contextWithTimeout(t, 50*time.Millisecond), []byte("first"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Failed))
	g.Expect(c.Close()).To(Succeed())
	second := newCaller(t, f, func(c *caller.Config) { c.LocalAddr = local })
	r, err = second.Request(contextWithTimeout(t, time.Second), []byte("second"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(r.Answer)).To(Equal("answer of the second"))
}

// TestSingleGateToken guards against execute datagrams with a second gate token, which could run the request twice.
func TestSingleGateToken(t *testing.T) {
	g := NewWithT(t)
	var reserves, executes int
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		switch d.Kind {
		case framer.KindReserve:
			if reserves++; reserves < 3 {
				return
			}
			for i := range 3 {
				f.reply(d, framer.Datagram{Kind: framer.KindReserved, Token: []byte{byte(reserves), byte(i)}})
			}
		case framer.KindExecute:
			f.reply(d, framer.Datagram{Kind: framer.KindReserved, Token: []byte("late")})
			if executes++; executes == 4 {
				f.reply(d, answerPart(0, 1, "done"))
			}
		}
	})
	c := newCaller(t, f, nil)
	r, err := c.Request(contextWithTimeout(t, 2*time.Second), []byte("order"), caller.RequestOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Answered))
	for _, d := range f.receivedKind(framer.KindExecute) {
		g.Expect(d.Token).To(Equal([]byte{3, 0}))
		g.Expect(d.CallID).To(Equal(r.CallID))
	}
}

// TestOutcomes guards against the outcome NotRun without a guarantee that the request did not run, and against a decision of
// the gate that is not returned.
func TestOutcomes(t *testing.T) {
	reserved := framer.Datagram{Kind: framer.KindReserved, Token: []byte("gate")}
	notRun := framer.Datagram{Kind: framer.KindNotRun, Cause: framer.CauseShed}
	gateLost := framer.Datagram{Kind: framer.KindOutcomeUnknown, Cause: framer.CauseGateLost}
	refused := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseShed}
	rateLimited := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseRateLimited}
	badToken := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseBadToken}
	for _, tc := range []struct {
		name                 string
		onReserve, onExecute []framer.Datagram
		idempotent, cancel   bool
		onCancel             []framer.Datagram
		want                 caller.Outcome
		cause                framer.Cause
		minExecutes          int // 0: no execute may be sent
	}{
		{name: "no reservation", want: caller.NotRun, cause: framer.CauseExpired},
		{name: "reserve refused", onReserve: []framer.Datagram{refused}, want: caller.NotRun, cause: framer.CauseShed},
		{name: "reserve rate-limited", onReserve: []framer.Datagram{rateLimited}, want: caller.NotRun, cause: framer.CauseRateLimited},
		{name: "no gate decision", onReserve: []framer.Datagram{reserved}, want: caller.Unknown, cause: framer.CauseExpired, minExecutes: 2},
		{
			name: "refusal is not a decision of the gate", onReserve: []framer.Datagram{reserved}, minExecutes: 1,
			onExecute: []framer.Datagram{badToken, refused}, want: caller.Unknown, cause: framer.CauseShed,
		},
		{
			name: "gate says not-run", onReserve: []framer.Datagram{reserved}, onExecute: []framer.Datagram{notRun},
			want: caller.NotRun, cause: framer.CauseShed, minExecutes: 1,
		},
		{
			name: "gate lost", onReserve: []framer.Datagram{reserved}, onExecute: []framer.Datagram{gateLost},
			want: caller.Unknown, cause: framer.CauseGateLost, minExecutes: 1,
		},
		{
			name: "not-run after a part", onReserve: []framer.Datagram{reserved}, minExecutes: 1,
			onExecute: []framer.Datagram{answerPart(0, 2, "a"), notRun, answerPart(1, 2, "b")}, want: caller.Answered,
		},
		{
			name: "not-run without execute", onReserve: []framer.Datagram{notRun, gateLost}, want: caller.NotRun,
			cause: framer.CauseExpired,
		},
		{
			name: "canceled, gate confirms", onReserve: []framer.Datagram{reserved}, cancel: true, minExecutes: 1,
			onCancel: []framer.Datagram{{Kind: framer.KindNotRun, Cause: framer.CauseCanceled}},
			want:     caller.NotRun, cause: framer.CauseCanceled,
		},
		{
			name: "canceled, no reply from the gate", onReserve: []framer.Datagram{reserved}, cancel: true, minExecutes: 1,
			want: caller.Unknown, cause: framer.CauseCanceled,
		},
		{name: "canceled before execute", cancel: true, want: caller.NotRun, cause: framer.CauseCanceled},
		{name: "idempotent refused", idempotent: true, onReserve: []framer.Datagram{refused}, want: caller.Failed, cause: framer.CauseShed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
				var replies []framer.Datagram
				switch d.Kind {
				case framer.KindReserve, framer.KindRequest:
					replies = tc.onReserve
				case framer.KindExecute:
					replies = tc.onExecute
				case framer.KindCancel:
					replies = tc.onCancel
				}
				for _, r := range replies {
					f.reply(d, r)
				}
			})
			c := newCaller(t, f, nil)
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			if tc.cancel {
				time.AfterFunc(40*time.Millisecond, cancel)
			}
			r, err := c.Request(ctx, []byte("order"), caller.RequestOptions{Idempotent: tc.idempotent})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Outcome).To(Equal(tc.want))
			g.Expect(r.Cause).To(Equal(tc.cause))
			executes := len(f.receivedKind(framer.KindExecute))
			g.Expect(executes).To(BeNumerically(">=", tc.minExecutes))
			if tc.minExecutes == 0 {
				g.Expect(executes).To(BeZero())
			}
		})
	}
}

// TestRetransmissionToken guards against retransmissions that each balancer runs as a new request. They carry the token of the
// balancer that has the request, until that balancer leaves 3 of them unanswered.
func TestRetransmissionToken(t *testing.T) {
	g := NewWithT(t)
	f := newFakeService(t, func(f *fakeService, d receivedDatagram) {
		switch len(f.receivedKind(framer.KindRequest)) {
		case 1:
			f.reply(d, framer.Datagram{Kind: framer.KindReserved, Token: []byte("holder")})
		case 6:
			f.reply(d, answerPart(0, 1, "loaf"))
		}
	})
	result, err := newCaller(t, f, nil).Request(contextWithTimeout(t, 5*time.Second), nil, caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Outcome).To(Equal(caller.Answered))
	var tokens []string
	for _, d := range f.receivedKind(framer.KindRequest) {
		tokens = append(tokens, string(d.Token))
	}
	g.Expect(tokens).To(Equal([]string{"", "holder", "holder", "holder", "", ""}))
}
