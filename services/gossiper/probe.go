package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// Tick runs the timers. It has to be called every TickInterval.
func (g *Gossiper) Tick(now time.Time) []Action {
	if g.lastTick.IsZero() {
		g.started, g.nextProbe = now, now
	} else if late := now.Sub(g.lastTick) - TickInterval; late > PauseThreshold {
		g.resumeAfterPause(late)
	}
	g.lastTick = now
	actions := g.advanceProbes(now)
	actions = append(actions, g.expireMembers(now)...)
	if now.Before(g.nextProbe) {
		return append(actions, g.alertProbe(now)...)
	}
	// The jitter spreads the probes of daemons that started at the same time.
	jitter := time.Duration(g.cfg.Random.Int64N(int64(g.cfg.ProbePeriod)/5+1)) - g.cfg.ProbePeriod/10
	g.nextProbe = now.Add(g.cfg.ProbePeriod + jitter)
	return append(actions, g.startPeriod(now)...)
}

// startPeriod starts the probes of one period.
func (g *Gossiper) startPeriod(now time.Time) []Action {
	var actions []Action
	if target, ok := g.nextTarget(); ok {
		actions = append(actions, g.ping(now, target))
	}
	if g.IsRepresentative() {
		actions = append(actions, g.probeZones(now)...)
	}
	for _, target := range g.discoveryTargets() {
		actions = append(actions, g.ping(now, target))
	}
	return actions
}

// nextTarget returns the next member of the own availability zone to probe. Members are probed in shuffled rounds, which
// limits the time until a given member is probed.
func (g *Gossiper) nextTarget() (netip.AddrPort, bool) {
	for range 2 {
		for len(g.probeRound) > 0 {
			a := g.probeRound[0]
			g.probeRound = g.probeRound[1:]
			if m, ok := g.members[a]; ok && m.isLive() {
				return a, true
			}
		}
		g.probeRound = g.RandomPeers(len(g.memberOrder))
	}
	return netip.AddrPort{}, false
}

// probeZones probes one contact each in the next zoneProbesPerPeriod other availability zones, in rotation.
func (g *Gossiper) probeZones(now time.Time) []Action {
	zones := g.otherZones()
	var actions []Action
	for range min(zoneProbesPerPeriod, len(zones)) {
		g.zoneIndex++
		if target, ok := g.pickContact(zones[g.zoneIndex%len(zones)]); ok {
			actions = append(actions, g.ping(now, target))
		}
	}
	return actions
}

// otherZones returns the names of the other availability zones in which members or candidates are known, sorted.
func (g *Gossiper) otherZones() []string {
	var zones []string
	add := func(zone string) {
		if zone != "" && zone != g.self.AvailabilityZone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, a := range g.memberOrder {
		add(g.members[a].AvailabilityZone)
	}
	for _, c := range g.candidates {
		add(c.AvailabilityZone)
	}
	slices.Sort(zones)
	return zones
}

// pickContact returns a random live member of another availability zone. If there is none, it returns a dead member or a
// candidate there.
func (g *Gossiper) pickContact(zone string) (netip.AddrPort, bool) {
	var choices, fallbacks []netip.AddrPort
	for _, a := range g.memberOrder {
		m := g.members[a]
		switch {
		case m.AvailabilityZone != zone:
		case m.isLive():
			choices = append(choices, a)
		default:
			fallbacks = append(fallbacks, a)
		}
	}
	if len(choices) == 0 {
		for _, c := range g.candidates {
			if c.AvailabilityZone == zone {
				fallbacks = append(fallbacks, c.Address)
			}
		}
		choices = fallbacks
	}
	if len(choices) == 0 {
		return netip.AddrPort{}, false
	}
	return choices[g.cfg.Random.IntN(len(choices))], true
}

// discoveryTargets returns dead or unknown addresses of the own availability zone to ping, and seeds while the daemon joins.
// There are several per period while the daemon joins or knows no live peer. Afterwards there is one in some periods, which
// finds members again that were lost in a network partition.
func (g *Gossiper) discoveryTargets() []netip.AddrPort {
	peers := g.liveZonePeers()
	joining := g.isJoining() || len(peers) == 0
	count := joinPingsPerPeriod
	if !joining {
		count = 1
		if g.cfg.Random.IntN(max(5, len(peers)/discoveryPingsPerZone)) > 0 {
			return nil
		}
	}
	var list []netip.AddrPort
	add := func(a netip.AddrPort) {
		if m, ok := g.members[a]; a != g.self.Address && (!ok || !m.isLive()) && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	if joining {
		for _, a := range g.cfg.Seeds {
			add(a)
		}
	}
	for _, c := range g.candidates {
		if c.AvailabilityZone == g.self.AvailabilityZone {
			add(c.Address)
		}
	}
	for _, a := range g.memberOrder {
		if g.members[a].AvailabilityZone == g.self.AvailabilityZone {
			add(a)
		}
	}
	if joining && len(list) == 0 {
		list = peers
	}
	g.cfg.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

// isJoining reports whether this daemon has started recently and still requests introductions.
func (g *Gossiper) isJoining() bool { return g.lastTick.Sub(g.started) < joinPeriods*g.cfg.ProbePeriod }

// ping starts a probe of the target.
func (g *Gossiper) ping(now time.Time, target netip.AddrPort) Action {
	g.sequence++
	m, known := g.members[target]
	g.probes[g.sequence] = &probe{
		target: target, isMember: known && m.isLive(), indirectAt: now.Add(g.cfg.ProbeTimeout), deadline: now.Add(g.cfg.ProbePeriod),
	}
	return g.sendAction(target, g.zoneOf(target), packer.Datagram{Kind: packer.KindPing, Sequence: g.sequence, Joining: g.isJoining()}, false)
}

// burstPing pings a member that this daemon has just learned of, if the daemon has just started.
func (g *Gossiper) burstPing(now time.Time, m packer.Member) []Action {
	if m.AvailabilityZone != g.self.AvailabilityZone || m.State != packer.StateAlive || now.Sub(g.started) > joinBurst || g.burstPings >= joinPingsPerPeriod {
		return nil
	}
	g.burstPings++
	return []Action{g.ping(now, m.Address)}
}

// zoneOf returns the availability zone of a member, or "" if the address is unknown.
func (g *Gossiper) zoneOf(address netip.AddrPort) string {
	if m, ok := g.members[address]; ok {
		return m.AvailabilityZone
	}
	return ""
}

// sendAction completes a datagram and returns the action that sends it to a daemon in an availability zone, "" if unknown.
// The parameter joining is true if the receiver requested introductions.
func (g *Gossiper) sendAction(to netip.AddrPort, zone string, d packer.Datagram, joining bool) Action {
	d.Sender, d.Versions = g.self, g.nextVersions()
	d.Updates = g.selectUpdates(to, zone, joining)
	// A datagram that introduces 30 members with IPv6 addresses has no room for health reports.
	if g.reporter != nil && !joining && zone == g.self.AvailabilityZone {
		d.Reports = g.reporter.Reports(g.lastTick)
	}
	return Send{To: to, Datagram: d}
}

// advanceProbes requests indirect probes of members that did not answer in time, and ends the probes whose deadline has
// passed.
func (g *Gossiper) advanceProbes(now time.Time) []Action {
	var actions []Action
	for _, sequence := range sortedKeys(g.probes) {
		p := g.probes[sequence]
		switch {
		case !now.Before(p.deadline):
			delete(g.probes, sequence)
			actions = append(actions, g.recordUnanswered(now, p)...)
		case p.isMember && !p.indirectSent && !now.Before(p.indirectAt):
			p.indirectSent = true
			g.raiseAlert(now)
			if g.cfg.FastDetection {
				p.deadline = now.Add(alertProbeTimeout - g.cfg.ProbeTimeout)
			}
			actions = append(actions, g.requestIndirectProbes(sequence, p.target)...)
		}
	}
	for sequence, r := range g.relayedProbes {
		if !now.Before(r.deadline) {
			delete(g.relayedProbes, sequence)
		}
	}
	return actions
}

// requestIndirectProbes asks other members to probe the target.
func (g *Gossiper) requestIndirectProbes(sequence uint64, target netip.AddrPort) []Action {
	others := slices.DeleteFunc(g.RandomPeers(indirectProbes+1), func(a netip.AddrPort) bool { return a == target })
	var actions []Action
	for _, peer := range others[:min(indirectProbes, len(others))] {
		d := packer.Datagram{Kind: packer.KindPingRequest, Sequence: sequence, Target: target}
		actions = append(actions, g.sendAction(peer, g.zoneOf(peer), d, false))
	}
	return actions
}

// recordUnanswered records that a member answered neither a direct nor an indirect probe. A member that announced its
// planned stop is declared dead immediately, any other one becomes suspect first.
func (g *Gossiper) recordUnanswered(now time.Time, p *probe) []Action {
	m, ok := g.members[p.target]
	if ok && p.isMember && m.State == packer.StateSuspect && p.indirectSent {
		g.recordConfirmed(now, m)
	}
	if !ok || !p.isMember || m.State != packer.StateAlive {
		return nil
	}
	if m.Leaving {
		return g.setState(now, m, packer.StateDead)
	}
	return g.setState(now, m, packer.StateSuspect)
}

// Receive handles a datagram of a peer that the packer has decrypted and verified.
func (g *Gossiper) Receive(now time.Time, d packer.Datagram) []Action {
	if d.Sender.Address == g.self.Address {
		return nil
	}
	actions := g.mergeMember(now, d.Sender)
	for _, u := range d.Updates {
		changes := g.mergeMember(now, u)
		actions = append(actions, changes...)
		if len(changes) > 0 {
			actions = append(actions, g.burstPing(now, u)...)
			actions = append(actions, g.confirmSuspicion(now, u)...)
		}
	}
	actions = append(actions, VersionsReceived{From: d.Sender.Address, Versions: d.Versions})
	if len(d.Reports) > 0 && d.Sender.AvailabilityZone == g.self.AvailabilityZone {
		actions = append(actions, ReportsReceived{Reports: d.Reports})
	}
	switch d.Kind {
	case packer.KindPing:
		ack := packer.Datagram{Kind: packer.KindAck, Sequence: d.Sequence}
		actions = append(actions, g.sendAction(d.Sender.Address, d.Sender.AvailabilityZone, ack, d.Joining))
	case packer.KindPingRequest:
		actions = append(actions, g.relayPing(now, d)...)
	case packer.KindAck:
		actions = append(actions, g.handleAck(d)...)
	}
	return actions
}

// relayPing probes a member on behalf of the sender of a ping request.
func (g *Gossiper) relayPing(now time.Time, d packer.Datagram) []Action {
	if !d.Target.IsValid() || d.Target == g.self.Address || len(g.relayedProbes) >= maxRelayedProbes {
		return nil
	}
	g.sequence++
	g.relayedProbes[g.sequence] = relayedProbe{
		origin: d.Sender.Address, target: d.Target, originSequence: d.Sequence, deadline: now.Add(g.cfg.ProbePeriod),
	}
	return []Action{g.sendAction(d.Target, g.zoneOf(d.Target), packer.Datagram{Kind: packer.KindPing, Sequence: g.sequence}, false)}
}

// handleAck ends the probe that the ack answers, or relays the ack to the member that requested the probe.
func (g *Gossiper) handleAck(d packer.Datagram) []Action {
	probed := d.Sender.Address
	if d.Target.IsValid() {
		probed = d.Target
	}
	if p, ok := g.probes[d.Sequence]; ok && p.target == probed {
		delete(g.probes, d.Sequence)
		return nil
	}
	if r, ok := g.relayedProbes[d.Sequence]; ok && r.target == d.Sender.Address {
		delete(g.relayedProbes, d.Sequence)
		ack := packer.Datagram{Kind: packer.KindAck, Sequence: r.originSequence, Target: r.target}
		return []Action{g.sendAction(r.origin, g.zoneOf(r.origin), ack, false)}
	}
	return nil
}

// Leave announces a planned stop to a few members, which disseminate it like any other update.
func (g *Gossiper) Leave(now time.Time) []Action {
	if g.self.Leaving {
		return nil
	}
	g.self.Leaving = true
	g.self.RefutationCount++
	g.cachedRepresentatives = nil
	var actions []Action
	for _, target := range g.RandomPeers(2 * indirectProbes) {
		actions = append(actions, g.ping(now, target))
	}
	return actions
}

func sortedKeys(m map[uint64]*probe) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
