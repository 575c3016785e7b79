package peers

import (
	"net/netip"

	"github.com/bluebelldyke/bluebelldyke/models/fleet"
	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/services/examiner"
	"github.com/bluebelldyke/bluebelldyke/services/gossiper"
)

// ZoneMembers returns the members of the own availability zone that can take duties, with this daemon.
func (p *Peers) ZoneMembers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.ZoneMembers()
}

// Checkers returns the members of the own availability zone that can check backend servers, with this daemon.
func (p *Peers) Checkers() []examiner.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.gossiper.ZoneMembers()
	list := make([]examiner.Member, 0, len(zone))
	for _, address := range zone {
		m, _ := p.gossiper.Member(address)
		list = append(list, examiner.Member{Address: address, Incarnation: m.Incarnation})
	}
	return list
}

// RandomPeers returns up to n different live members of the own availability zone other than this daemon.
func (p *Peers) RandomPeers(n int) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.RandomPeers(n)
}

// IsLive reports whether address is a member not known to be dead.
func (p *Peers) IsLive(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.gossiper.Member(address)
	return ok && m.State != packer.StateDead
}

// Members returns all members known, without this daemon.
func (p *Peers) Members() []packer.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossiper.Members()
}

func (p *Peers) zoneSize() int { return len(p.ZoneMembers()) }

// SetSeeds replaces the addresses to contact first.
func (p *Peers) SetSeeds(seeds []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossiper.SetSeeds(seeds)
}

// SetCandidates takes the balancers of the VM list as addresses to contact.
func (p *Peers) SetCandidates(list *fleet.List) {
	var hints []gossiper.Candidate
	for _, vm := range list.VMs {
		if vm.Role == fleet.Balancer && !vm.Leaving {
			hints = append(hints, gossiper.Candidate{Address: vm.Address, AvailabilityZone: vm.AvailabilityZone})
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gossiper.SetCandidates(hints)
}
