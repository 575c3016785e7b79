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
	f := newFake(t, func(f *fakeService, d received) { f.reply(d, part(0, 1, "flour, water, salt")) })
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

// TestPartsLostReorderedDuplicated guards against answers that are joined in the wrong order, incomplete or twice.
func TestPartsLostReorderedDuplicated(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(f *fakeService, d received) {
		switch d.Kind {
		case framer.KindRequest:
			f.reply(d, part(2, 4, "c"))
			f.reply(d, part(0, 4, "a"))
			f.reply(d, part(2, 4, "c"))
			other := part(1, 4, "x")
			other.Token = []byte("another run")
			f.reply(d, other)
			f.reply(d, part(0, 4, "a"))
		case framer.KindFetch:
			for i, s := range []string{"a", "b", "c", "d"} {
				if d.Payload[0]&(1<<i) != 0 && string(d.Token) == "answer" {
					f.reply(d, part(i, 4, s))
				}
			}
		}
	})
	c := newCaller(t, f, nil)
	r, err := c.Request(within(t, 2*time.Second), []byte("q"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Answered))
	g.Expect(string(r.Answer)).To(Equal("abcd"))
	fetches := f.got(framer.KindFetch)
	g.Expect(fetches).NotTo(BeEmpty())
	g.Expect(fetches[0].Payload).To(Equal([]byte{0b1010}))
}

// TestCrossedAnswers guards against answers of other calls, with equal payloads in flight at once, reaching a caller.
func TestCrossedAnswers(t *testing.T) {
	g := NewWithT(t)
	var previous []received
	f := newFake(t, func(f *fakeService, d received) {
		if d.Kind != framer.KindRequest {
			return
		}
		for _, p := range previous { // late duplicates of all earlier calls, to this caller's port
			late := part(0, 1, fmt.Sprintf("%x", p.CallID))
			late.ServiceID, late.CallID = framer.ServiceID(service), p.CallID
			f.raw(d.from, late)
		}
		wrong := part(0, 1, "wrong service")
		wrong.ServiceID, wrong.CallID = 1, d.CallID
		f.raw(d.from, wrong)
		f.reply(d, part(0, 1, fmt.Sprintf("%x", d.CallID)))
		previous = append(previous, d)
	})
	c := newCaller(t, f, nil)
	var group errgroup.Group
	for range 20 {
		group.Go(func() error {
			r, err := c.Request(context.Background(), []byte("same"), caller.RequestOptions{Idempotent: true})
			if err != nil || r.Outcome != caller.Answered || string(r.Answer) != fmt.Sprintf("%x", r.Call) {
				return fmt.Errorf("got %v %q for call %x (%v)", r.Outcome, r.Answer, r.Call, err)
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
}

// TestPortUsedAgain guards against datagrams for the former user of a port being taken for the new user's.
func TestPortUsedAgain(t *testing.T) {
	g := NewWithT(t)
	var first atomic.Pointer[received]
	f := newFake(t, func(f *fakeService, d received) {
		switch {
		case d.Kind != framer.KindRequest:
		case string(d.Payload) == "first":
			first.CompareAndSwap(nil, &d)
		default:
			f.reply(*first.Load(), part(0, 1, "answer of the first"))
			f.reply(d, part(0, 1, "answer of the second"))
		}
	})
	c := newCaller(t, f, nil)
	local := c.LocalAddr()
	r, err := c.Request(within(t, 50*time.Millisecond), []byte("first"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Failed))
	g.Expect(c.Close()).To(Succeed())
	again := newCaller(t, f, func(c *caller.Config) { c.Local = local })
	r, err = again.Request(within(t, time.Second), []byte("second"), caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(r.Answer)).To(Equal("answer of the second"))
}

// TestOneGateToken guards against execute being sent with a second gate token, which could run the request twice.
func TestOneGateToken(t *testing.T) {
	g := NewWithT(t)
	var reserves, executes int
	f := newFake(t, func(f *fakeService, d received) {
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
				f.reply(d, part(0, 1, "done"))
			}
		}
	})
	c := newCaller(t, f, nil)
	r, err := c.Request(within(t, 2*time.Second), []byte("order"), caller.RequestOptions{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Outcome).To(Equal(caller.Answered))
	for _, d := range f.got(framer.KindExecute) {
		g.Expect(d.Token).To(Equal([]byte{3, 0}))
		g.Expect(d.CallID).To(Equal(r.Call))
	}
}

// TestOutcomes guards against a not-run that nobody promised, and against a promise that is not passed on.
func TestOutcomes(t *testing.T) {
	reserved := framer.Datagram{Kind: framer.KindReserved, Token: []byte("gate")}
	notRun := framer.Datagram{Kind: framer.KindNotRun, Cause: framer.CauseShed}
	lost := framer.Datagram{Kind: framer.KindOutcomeUnknown, Cause: framer.CauseGateLost}
	refused := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseShed}
	limited := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseRateLimited}
	badToken := framer.Datagram{Kind: framer.KindRefused, Cause: framer.CauseBadToken}
	for _, tc := range []struct {
		name                 string
		onReserve, onExecute []framer.Datagram
		idempotent, cancel   bool
		onCancel             []framer.Datagram
		want                 caller.Outcome
		cause                framer.Cause
		executesLeast        int
	}{
		{name: "no reservation", want: caller.NotRun, cause: framer.CauseExpired},
		{name: "reserve refused", onReserve: []framer.Datagram{refused}, want: caller.NotRun, cause: framer.CauseShed},
		{name: "reserve limited", onReserve: []framer.Datagram{limited}, want: caller.NotRun, cause: framer.CauseRateLimited},
		{name: "no word", onReserve: []framer.Datagram{reserved}, want: caller.Unknown, cause: framer.CauseExpired, executesLeast: 2},
		{
			name: "refusal is not the gate's word", onReserve: []framer.Datagram{reserved}, executesLeast: 1,
			onExecute: []framer.Datagram{badToken, refused}, want: caller.Unknown, cause: framer.CauseShed,
		},
		{
			name: "gate says not-run", onReserve: []framer.Datagram{reserved}, onExecute: []framer.Datagram{notRun},
			want: caller.NotRun, cause: framer.CauseShed, executesLeast: 1,
		},
		{
			name: "gate lost", onReserve: []framer.Datagram{reserved}, onExecute: []framer.Datagram{lost},
			want: caller.Unknown, cause: framer.CauseGateLost, executesLeast: 1,
		},
		{
			name: "not-run after a part", onReserve: []framer.Datagram{reserved}, executesLeast: 1,
			onExecute: []framer.Datagram{part(0, 2, "a"), notRun, part(1, 2, "b")}, want: caller.Answered,
		},
		{
			name: "not-run without execute", onReserve: []framer.Datagram{notRun, lost}, want: caller.NotRun,
			cause: framer.CauseExpired,
		},
		{
			name: "canceled, gate confirms", onReserve: []framer.Datagram{reserved}, cancel: true, executesLeast: 1,
			onCancel: []framer.Datagram{{Kind: framer.KindNotRun, Cause: framer.CauseCanceled}},
			want:     caller.NotRun, cause: framer.CauseCanceled,
		},
		{
			name: "canceled, gate silent", onReserve: []framer.Datagram{reserved}, cancel: true, executesLeast: 1,
			want: caller.Unknown, cause: framer.CauseCanceled,
		},
		{name: "canceled before execute", cancel: true, want: caller.NotRun, cause: framer.CauseCanceled},
		{name: "idempotent refused", idempotent: true, onReserve: []framer.Datagram{refused}, want: caller.Failed, cause: framer.CauseShed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFake(t, func(f *fakeService, d received) {
				var list []framer.Datagram
				switch d.Kind {
				case framer.KindReserve, framer.KindRequest:
					list = tc.onReserve
				case framer.KindExecute:
					list = tc.onExecute
				case framer.KindCancel:
					list = tc.onCancel
				}
				for _, r := range list {
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
			executes := len(f.got(framer.KindExecute))
			g.Expect(executes).To(BeNumerically(">=", tc.executesLeast))
			if tc.executesLeast == 0 {
				g.Expect(executes).To(BeZero())
			}
		})
	}
}

// TestRetransmissionToken guards against retransmissions that every balancer takes as new work: they carry the token of
// the balancer that holds the request, and go without it once that balancer stays silent.
func TestRetransmissionToken(t *testing.T) {
	g := NewWithT(t)
	f := newFake(t, func(f *fakeService, d received) {
		switch len(f.got(framer.KindRequest)) {
		case 1:
			f.reply(d, framer.Datagram{Kind: framer.KindReserved, Token: []byte("holder")})
		case 6:
			f.reply(d, part(0, 1, "loaf"))
		}
	})
	result, err := newCaller(t, f, nil).Request(within(t, 5*time.Second), nil, caller.RequestOptions{Idempotent: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Outcome).To(Equal(caller.Answered))
	var seen []string
	for _, d := range f.got(framer.KindRequest) {
		seen = append(seen, string(d.Token))
	}
	g.Expect(seen).To(Equal([]string{"", "holder", "holder", "holder", "", ""}))
}
