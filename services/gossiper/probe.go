package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
)

// Tick runs the timers. It is to be called every TickInterval.
func (g *Gossiper) Tick(now time.Time) []Action {
	if g.lastTick.IsZero() {
		g.started, g.next = now, now
	} else if late := now.Sub(g.lastTick) - TickInterval; late > PauseThreshold {
		g.resume(late)
	}
	g.lastTick = now
	actions := g.pursue(now)
	actions = append(actions, g.expire(now)...)
	if now.Before(g.next) {
		return actions
	}
	// The jitter keeps daemons that started together from probing in step.
	jitter := time.Duration(g.c.Random.Int64N(int64(g.c.ProbePeriod)/5+1)) - g.c.ProbePeriod/10
	g.next = now.Add(g.c.ProbePeriod + jitter)
	return append(actions, g.period(now)...)
}

// period starts the probes of one period.
func (g *Gossiper) period(now time.Time) []Action {
	var actions []Action
	if target, ok := g.nextTarget(); ok {
		actions = append(actions, g.ping(now, target))
	}
	if g.IsRepresentative() {
		actions = append(actions, g.probeZones(now)...)
	}
	for _, target := range g.strangers() {
		actions = append(actions, g.ping(now, target))
	}
	return actions
}

// nextTarget walks through the zone in shuffled rounds, which bounds the time until a given member is probed.
func (g *Gossiper) nextTarget() (netip.AddrPort, bool) {
	for range 2 {
		for len(g.round) > 0 {
			a := g.round[0]
			g.round = g.round[1:]
			if m, ok := g.members[a]; ok && m.live() {
				return a, true
			}
		}
		g.round = g.RandomPeers(len(g.order))
	}
	return netip.AddrPort{}, false
}

// probeZones probes a contact in some other availability zones, in turn.
func (g *Gossiper) probeZones(now time.Time) []Action {
	zones := g.otherZones()
	var actions []Action
	for range min(zoneProbes, len(zones)) {
		g.zoneTurn++
		if target, ok := g.contact(zones[g.zoneTurn%len(zones)]); ok {
			actions = append(actions, g.ping(now, target))
		}
	}
	return actions
}

func (g *Gossiper) otherZones() []string {
	var zones []string
	add := func(zone string) {
		if zone != "" && zone != g.self.AvailabilityZone && !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	for _, a := range g.order {
		add(g.members[a].AvailabilityZone)
	}
	for _, h := range g.hints {
		add(h.AvailabilityZone)
	}
	slices.Sort(zones)
	return zones
}

// contact returns a live member of another availability zone, else any address known there.
func (g *Gossiper) contact(zone string) (netip.AddrPort, bool) {
	var live, other []netip.AddrPort
	for _, a := range g.order {
		m := g.members[a]
		switch {
		case m.AvailabilityZone != zone:
		case m.live():
			live = append(live, a)
		default:
			other = append(other, a)
		}
	}
	if len(live) == 0 {
		for _, h := range g.hints {
			if h.AvailabilityZone == zone {
				other = append(other, h.Address)
			}
		}
		live = other
	}
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	return live[g.c.Random.IntN(len(live))], true
}

// strangers returns addresses to ping beside the members: several while the daemon joins or is alone, later few, which
// finds members lost in a partition.
func (g *Gossiper) strangers() []netip.AddrPort {
	peers := g.zonePeers()
	joining := g.joining() || len(peers) == 0
	count := joinPings
	if !joining {
		count = 1
		if g.c.Random.IntN(max(5, len(peers)/strangerRate)) > 0 {
			return nil
		}
	}
	var list []netip.AddrPort
	add := func(a netip.AddrPort) {
		if m, ok := g.members[a]; a != g.self.Address && (!ok || !m.live()) && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	if joining {
		for _, a := range g.c.Seeds {
			add(a)
		}
	}
	for _, h := range g.hints {
		if h.AvailabilityZone == g.self.AvailabilityZone {
			add(h.Address)
		}
	}
	for _, a := range g.order {
		if g.members[a].AvailabilityZone == g.self.AvailabilityZone {
			add(a)
		}
	}
	if joining && len(list) == 0 {
		list = peers
	}
	g.c.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(count, len(list))]
}

func (g *Gossiper) joining() bool { return g.lastTick.Sub(g.started) < joinPeriods*g.c.ProbePeriod }

func (g *Gossiper) ping(now time.Time, target netip.AddrPort) Action {
	g.sequence++
	m, known := g.members[target]
	g.probes[g.sequence] = &probe{
		target: target, known: known && m.live(), next: now.Add(g.c.ProbeTimeout), end: now.Add(g.c.ProbePeriod),
	}
	return g.send(target, g.zoneOf(target), packer.Datagram{Kind: packer.KindPing, Sequence: g.sequence, Joining: g.joining()}, false)
}

func (g *Gossiper) zoneOf(address netip.AddrPort) string {
	if m, ok := g.members[address]; ok {
		return m.AvailabilityZone
	}
	return ""
}

// send returns the action that sends d to a daemon of an availability zone ("" when the zone is not known).
func (g *Gossiper) send(to netip.AddrPort, zone string, d packer.Datagram, joining bool) Action {
	d.Sender, d.Versions = g.self, g.nextVersions()
	d.Updates = g.updates(to, zone, joining)
	// An introduction of 30 IPv6 members leaves no room for reports.
	if g.reporter != nil && !joining && zone == g.self.AvailabilityZone {
		d.Reports = g.reporter.Reports(g.lastTick)
	}
	return Send{To: to, Datagram: d}
}

// pursue asks other members about silent ones and suspects those that stay silent.
func (g *Gossiper) pursue(now time.Time) []Action {
	var actions []Action
	for _, sequence := range sortedKeys(g.probes) {
		p := g.probes[sequence]
		switch {
		case !now.Before(p.end):
			delete(g.probes, sequence)
			actions = append(actions, g.silent(now, p)...)
		case p.known && !p.indirect && !now.Before(p.next):
			p.indirect = true
			actions = append(actions, g.askOthers(sequence, p.target)...)
		}
	}
	for sequence, r := range g.relays {
		if !now.Before(r.end) {
			delete(g.relays, sequence)
		}
	}
	return actions
}

func (g *Gossiper) askOthers(sequence uint64, target netip.AddrPort) []Action {
	others := slices.DeleteFunc(g.RandomPeers(indirectProbes+1), func(a netip.AddrPort) bool { return a == target })
	var actions []Action
	for _, via := range others[:min(indirectProbes, len(others))] {
		d := packer.Datagram{Kind: packer.KindPingRequest, Sequence: sequence, Target: target}
		actions = append(actions, g.send(via, g.zoneOf(via), d, false))
	}
	return actions
}

// silent records that a member has answered neither directly nor through others. A member that announced its planned
// stop is dead at once; another one is suspected first.
func (g *Gossiper) silent(now time.Time, p *probe) []Action {
	m, ok := g.members[p.target]
	if !ok || !p.known || m.State != packer.StateAlive {
		return nil
	}
	if m.Leaving {
		return g.setState(now, m, packer.StateDead)
	}
	return g.setState(now, m, packer.StateSuspect)
}

// Receive takes a datagram of a peer, opened and checked by the packer.
func (g *Gossiper) Receive(now time.Time, d packer.Datagram) []Action {
	if d.Sender.Address == g.self.Address {
		return nil
	}
	actions := g.merge(now, d.Sender)
	for _, u := range d.Updates {
		actions = append(actions, g.merge(now, u)...)
	}
	actions = append(actions, Heard{From: d.Sender.Address, Versions: d.Versions})
	if len(d.Reports) > 0 && d.Sender.AvailabilityZone == g.self.AvailabilityZone {
		actions = append(actions, Reported{Reports: d.Reports})
	}
	switch d.Kind {
	case packer.KindPing:
		ack := packer.Datagram{Kind: packer.KindAck, Sequence: d.Sequence}
		actions = append(actions, g.send(d.Sender.Address, d.Sender.AvailabilityZone, ack, d.Joining))
	case packer.KindPingRequest:
		actions = append(actions, g.pingFor(now, d)...)
	case packer.KindAck:
		actions = append(actions, g.acknowledge(d)...)
	}
	return actions
}

// pingFor probes a member on behalf of another.
func (g *Gossiper) pingFor(now time.Time, d packer.Datagram) []Action {
	if !d.Target.IsValid() || d.Target == g.self.Address || len(g.relays) >= maxRelays {
		return nil
	}
	g.sequence++
	g.relays[g.sequence] = relay{
		origin: d.Sender.Address, target: d.Target, sequence: d.Sequence, end: now.Add(g.c.ProbePeriod),
	}
	return []Action{g.send(d.Target, g.zoneOf(d.Target), packer.Datagram{Kind: packer.KindPing, Sequence: g.sequence}, false)}
}

// acknowledge ends the probe that an ack answers, or passes the ack on.
func (g *Gossiper) acknowledge(d packer.Datagram) []Action {
	answered := d.Sender.Address
	if d.Target.IsValid() {
		answered = d.Target
	}
	if p, ok := g.probes[d.Sequence]; ok && p.target == answered {
		delete(g.probes, d.Sequence)
		return nil
	}
	if r, ok := g.relays[d.Sequence]; ok && r.target == d.Sender.Address {
		delete(g.relays, d.Sequence)
		ack := packer.Datagram{Kind: packer.KindAck, Sequence: r.sequence, Target: r.target}
		return []Action{g.send(r.origin, g.zoneOf(r.origin), ack, false)}
	}
	return nil
}

// Leave announces a planned stop to a few members; the news spreads like any other.
func (g *Gossiper) Leave(now time.Time) []Action {
	if g.self.Leaving {
		return nil
	}
	g.self.Leaving = true
	g.self.RefutationCount++
	g.chosen = nil
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
