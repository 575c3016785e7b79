package harness

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/tests/standins/admin"
)

// CutZones drops all traffic between the balancers of two availability zones, and between the balancers of either and the
// backend servers of the other. It also cuts the balancers of b off from the platform. Callers still reach both.
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

// ClearLinkFaults ends all faults of the fabric and of the backend servers.
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
