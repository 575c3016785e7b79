package deployment

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/direct"
)

// TestResetOutsideWindow guards against resets with an old acknowledgement that no run reports, and against reports of those of backend servers.
func TestResetOutsideWindow(t *testing.T) {
	g := NewWithT(t)
	daemon, backend := netip.MustParseAddrPort("127.11.0.1:9"), netip.MustParseAddr("127.12.0.1")
	d := &Deployment{Violations: &direct.Violations{}, Daemons: []*Daemon{{Name: "daemon-0-0", EntryAddress: daemon}}}
	d.judgeReset(direct.Reset{Sender: backend, Distance: 76_801})
	d.judgeReset(direct.Reset{Sender: daemon.Addr(), Distance: 76_800})
	g.Expect(d.Violations.List()).To(BeEmpty())
	d.judgeReset(direct.Reset{Sender: daemon.Addr(), Distance: 76_801})
	g.Expect(d.Violations.List()).To(ConsistOf(ContainSubstring("daemon-0-0 reset the flow")))
}
