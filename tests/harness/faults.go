package harness

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// CutZones cuts two availability zones off from each other, for the balancers and between balancers and backend
// servers, and cuts the second one off from the platform. Callers still reach both.
func (c *Cluster) CutZones(a, b int) error {
	if err := c.SetFabricFaults(admin.FabricFaults{CutZones: [][2]int{{a, b}}, CutPlatform: []int{b}}); err != nil {
		return err
	}
	for _, s := range c.Backends("") {
		other := map[int]int{a: b, b: a}[s.Zone]
		if other == 0 || !s.Running() {
			continue
		}
		if err := s.Inject(admin.BackendFaults{CutPrefixes: []netip.Prefix{netip.PrefixFrom(balancerIP(other, 0), 24)}}); err != nil {
			return err
		}
	}
	return nil
}

// ClearLinkFaults ends all faults of links.
func (c *Cluster) ClearLinkFaults() error {
	if err := c.SetFabricFaults(admin.FabricFaults{}); err != nil {
		return err
	}
	for _, s := range c.Backends("") {
		if !s.Running() {
			continue
		}
		if err := s.Inject(admin.BackendFaults{}); err != nil {
			return err
		}
	}
	return nil
}
