package gossiper_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

type staticReporter []packer.Report

func (r staticReporter) Reports(time.Time) []packer.Report { return r }

// TestReportsStayInZone guards against health reports that are sent to or accepted from another availability zone, where
// the checkers of the reporting zone are not known.
func TestReportsStayInZone(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_800_000_000_000)
	daemon := gossiper.New(gossiper.Config{
		Self: netip.MustParseAddrPort("10.0.0.1:7100"), AvailabilityZone: "souillac", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1)),
	})
	daemon.SetReporter(staticReporter{{State: packer.HealthFailed}})
	for zone, want := range map[string]int{"souillac": 1, "bel-ombre": 0} {
		sent, received := 0, 0
		for _, a := range daemon.Receive(now, packer.Datagram{
			Kind: packer.KindPing, Reports: []packer.Report{{State: packer.HealthLive}},
			Sender: packer.Member{Address: netip.MustParseAddrPort("10.0.0.2:7100"), AvailabilityZone: zone, Incarnation: 5},
		}) {
			switch a := a.(type) {
			case gossiper.Send:
				sent += len(a.Datagram.Reports)
			case gossiper.ReportsReceived:
				received += len(a.Reports)
			}
		}
		g.Expect([]int{sent, received}).To(Equal([]int{want, want}), zone)
	}
}
