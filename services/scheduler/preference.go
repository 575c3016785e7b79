package scheduler

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

const (
	// preferredShare is the number of balancers that prefer the same VM, on average. With all VMs, one of 27 balancers gets a load report
	// of each every four seconds, which is too late to find the free slots. With fewer balancers, more VMs are without any.
	preferredShare = 4
	// minimumPreferred is the smallest number of preferred VMs, for balancers with a small part of the requests.
	minimumPreferred = 4
)

// localCandidateServers returns the backend servers of the own availability zone that a request may get. While priorities have an
// effect, these are the ones on the VMs that this balancer prefers: the fewer they are, the newer are their load reports. Each
// balancer prefers other VMs, the same ones for all services of the pool.
func (s *service) localCandidateServers() []*backend {
	a := s.admission
	if !a.isActive() {
		return s.localServers
	}
	n := max(minimumPreferred, int(math.Ceil(preferredShare*a.inFlight.part()*float64(len(s.localServers)))))
	if n >= len(s.localServers) {
		return s.localServers
	}
	if s.preferred == nil {
		s.preferred = s.rankByVM()
	}
	return s.preferred[:n]
}

// rankByVM returns the backend servers of the own availability zone in the order in which this balancer prefers their VMs.
func (s *service) rankByVM() []*backend {
	a := s.admission
	for a.salt == 0 {
		a.salt = s.config.Random.Uint64()
	}
	score := func(b *backend) uint64 {
		return ranker.Mix(hashAddress(netip.AddrPortFrom(b.Address.Addr(), 0)) ^ a.salt)
	}
	list := slices.Clone(s.localServers)
	slices.SortFunc(list, func(x, y *backend) int { return cmp.Compare(score(x), score(y)) })
	return list
}
