package main

import (
	"net/netip"
	"time"

	"github.com/bluebelldyke/bluebelldyke/models/directory"
	"github.com/bluebelldyke/bluebelldyke/services/prober"
	"github.com/bluebelldyke/bluebelldyke/services/steerer"
)

// referenceFinder is a policy that makes probes.
type referenceFinder interface {
	Reference(now time.Time, id directory.ServerID) (steerer.Reference, bool)
}

// probeZone makes the probe that the evidence of a finding asks for, by the first daemon of the zone. Only probes that backend servers accept
// are modelled: the passive evidence decides about those that do not answer, as in a daemon whose probes have no reference.
func (m *model) probeZone(z int, f *steerer.Finding) {
	finder, ok := m.daemons[z][0].(referenceFinder)
	if !ok || f.Condition >= steerer.Unreachable {
		return
	}
	if m.probers == nil {
		m.probers = map[netip.AddrPort]*prober.Prober{}
	}
	p := m.probers[daemonAddress(z, 0)]
	if p == nil {
		p = prober.New(daemonAddress(z, 0))
		m.probers[daemonAddress(z, 0)] = p
	}
	if due := p.AddFinding(m.now, 0, f); due.IsZero() || !p.StartProbe(m.now, f.Server) {
		return
	}
	s, id, incarnation := m.serversByID[f.Server], f.Server, f.Incarnation
	if _, ok := finder.Reference(m.now, id); !ok || s.crashed || s.unresponsive {
		return
	}
	m.schedule(2*networkDelay, func() {
		found, reachable := p.AddOutcome(m.now, daemonAddress(z, 0), id, incarnation, prober.Accepted)
		if !reachable {
			return
		}
		for _, daemon := range m.daemons[z] {
			m.schedule(networkDelay, func() { daemon.AddFinding(m.now, found) })
		}
	})
}
