package peers

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

// ZoneMembers returns the members of the own availability zone that duties can be assigned to, including this daemon.
func (p *Peers) ZoneMembers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.ZoneMembers()
}

// Checkers returns the members of the own availability zone that can check backend servers, including this daemon.
func (p *Peers) Checkers() []examiner.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := p.gossiper.ZoneMembers()
	list := make([]examiner.Member, 0, len(addresses))
	for _, address := range addresses {
		m, _ := p.gossiper.Member(address)
		list = append(list, examiner.Member{Address: address, Incarnation: m.Incarnation})
	}
	return list
}

// RandomPeers returns up to n different live members of the own availability zone, without this daemon.
func (p *Peers) RandomPeers(n int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.RandomPeers(n)
}

// IsLive reports whether the address is that of a member that is alive or suspect.
func (p *Peers) IsLive(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.gossiper.Member(address)
	return ok && m.State != packer.StateDead
}

// Members returns all known members, without this daemon.
func (p *Peers) Members() []packer.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.Members()
}

func (p *Peers) zoneSize() int { return len(p.ZoneMembers()) }

// SetSeeds replaces the addresses of daemons that are contacted first.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossiper.SetSeeds(seeds)
}

// SetCandidates sets the balancers of the VM list as addresses at which daemons may run.
func (p *Peers) SetCandidates(list *fleet.List) {
	var candidates []gossiper.Candidate
	for _, vm := range list.VMs {
		if vm.Role == fleet.Balancer && !vm.Leaving {
			candidates = append(candidates, gossiper.Candidate{Address: vm.Address, AvailabilityZone: vm.AvailabilityZone})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossiper.SetCandidates(candidates)
}
