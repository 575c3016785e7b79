package cmd_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/bluebelldyke/bluebelldyke/modules/framer"
)

// TestCall guards against an exit code or output that does not show the outcome of a request.
func TestCall(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return answerCalls(conn) })
	t.Cleanup(func() {
		_ = conn.Close()
		_ = group.Wait()
	})
	for _, test := range []struct {
		args            []string
		code            int
		out, wantErrOut string
	}{
		{[]string{"request", "--idempotent", "--payload", "baguette"}, 0, "baguette\n", ""},
		{[]string{"request", "--once", "--payload", "shed"}, 3, "", "not-run: cause shed: the request did not run"},
		{[]string{"request", "--payload", "lost"}, 4, "", "unknown: cause gate-lost: the request may have run"},
		{[]string{"request", "--idempotent", "--payload", "refused"}, 1, "", "failed: cause shed: no answer arrived"},
		{[]string{"request", "--payload", "lost", "--output", "json"}, 4, `{"outcome":"unknown","cause":"gate-lost","call":"`, "unknown"},
		{[]string{"feed", "--topic", "oven 3", "--count", "2"}, 0, "5 a\n6 b\n", ""},
		{[]string{"feed", "--topic", "oven 3", "--count", "1", "--output", "json"}, 0, `{"number":5,"payload":"a"}` + "\n", ""},
		{[]string{"feed", "--topic", "oven 3", "--timeout", "1s"}, 1, "5 a\n6 b\n", "no reading within 1s"},
		{[]string{"feed"}, 2, "", "no --topic"},
		{[]string{"request", "--once", "--idempotent"}, 2, "", "exclude each other"},
		{[]string{"fead"}, 2, "", "use feed or request"},
	} {
		g := NewWithT(t)
		args := append([]string{"call"}, test.args...)
		code, out, errOut := run(t.Context(), append(args, "--service", "recipecard", "--address", conn.LocalAddr().String())...)
		g.Expect(code).To(Equal(test.code), "%v: %s", args, errOut)
		g.Expect(out).To(HavePrefix(test.out), "%v", args)
		if test.wantErrOut == "" {
			g.Expect(errOut).To(BeEmpty(), "%v", args)
			g.Expect(out).To(Equal(test.out), "%v", args)
		}
		g.Expect(errOut).To(ContainSubstring(test.wantErrOut), "%v", args)
	}
}

// answerCalls acts as a service that echoes requests, except those whose payload is the name of a failure.
func answerCalls(conn *net.UDPConn) error {
	buf := make([]byte, framer.MaxSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil
		}
		var d framer.Datagram
		if err := framer.Parse(buf[:n], &d); err != nil {
			return err
		}
		token := []byte("token")
		var replies []framer.Datagram
		switch {
		case d.Kind == framer.KindReserve:
			replies = []framer.Datagram{{Kind: framer.KindReserved, Token: token}}
		case d.Kind == framer.KindOpenFeed:
			replies = []framer.Datagram{
				{Kind: framer.KindOpened, Token: token}, {Kind: framer.KindReading, Seq: 5, Payload: []byte("a")},
				{Kind: framer.KindReading, Seq: 6, Payload: []byte("b")},
			}
		case string(d.Payload) == "shed":
			replies = []framer.Datagram{{Kind: framer.KindNotRun, Cause: framer.CauseShed}}
		case string(d.Payload) == "refused":
			replies = []framer.Datagram{{Kind: framer.KindRefused, Cause: framer.CauseShed}}
		case string(d.Payload) == "lost":
			replies = []framer.Datagram{{Kind: framer.KindOutcomeUnknown, Cause: framer.CauseGateLost}}
		case d.Kind == framer.KindRequest:
			replies = []framer.Datagram{{Kind: framer.KindAnswer, PartCount: 1, Token: token, Payload: d.Payload}}
		}
		for _, r := range replies {
			r.ServiceID, r.CallID = d.ServiceID, d.CallID
			b, err := framer.Append(nil, &r)
			if err != nil {
				return err
			}
			_, _ = conn.WriteToUDPAddrPort(b, from) // the caller retransmits if the reply is lost
		}
	}
}
