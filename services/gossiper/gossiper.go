// Package gossiper implements a gossip-based failure detector and the membership of an availability zone, in the manner
// of SWIM. It also keeps contacts in the other availability zones. Each daemon probes one member of its zone a second, so
// the load per daemon does not grow with the zone. The package uses no sockets, goroutines or clock: its methods take the
// current time and an event, and return actions.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
	"github.com/bluebelldyke/bluebelldyke/modules/throttler"
)

// Defaults of the durations in Config.
const (
	// DefaultProbePeriod is the time between two probes of members of the own availability zone.
	DefaultProbePeriod = time.Second
	// DefaultProbeTimeout is how long to wait for a direct ack before other members are asked to probe. The network
	// delay between availability zones is a few milliseconds.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspicionTimeout is multiplied by the decimal logarithm of the zone's size, because the time that a suspicion
	// and its refutation need to spread grows with that logarithm.
	DefaultSuspicionTimeout = 3 * time.Second
)

const (
	// TickInterval is the interval at which Tick has to be called.
	TickInterval = 100 * time.Millisecond
	// PauseThreshold is how late a tick has to be for the process to be regarded as having been paused.
	PauseThreshold = time.Second
	// RepresentativesPerZone is the number of members of a zone that probe other availability zones, and that are introduced
	// there as contacts.
	RepresentativesPerZone = 2
	// maxContactsPerZone limits the members that are kept of each other availability zone.
	maxContactsPerZone = 6
	// maxZoneMembers limits the members that are kept of the own availability zone. It protects against a faulty or hostile
	// peer.
	maxZoneMembers = 4096
	// tombstoneLifetime is how long a dead member is kept as a tombstone. It exceeds the minutes for which regions can lose
	// contact.
	tombstoneLifetime = 10 * time.Minute
	// joinPeriods is the number of probe periods in which a new daemon requests introductions. It gets four acks with 30
	// members each per period. In a zone of 420 members it thereby learns of more than 99% of them.
	joinPeriods = 20
	// discoveryPingsPerZone is the number of pings to dead or unknown addresses that all daemons of a zone together send in
	// each probe period. It does not grow with the zone, because thousands of daemons would otherwise ping the same dead
	// member or seed.
	discoveryPingsPerZone = 10
	// joinPingsPerPeriod is the number of addresses that a joining daemon pings in each period in addition to its probe.
	joinPingsPerPeriod = 3
	// zoneProbesPerPeriod is the number of other availability zones that a representative probes in each period. With 9
	// availability zones, any two of them then compare their document revisions about once a second.
	zoneProbesPerPeriod = 2
	// joinBurst is the time after the first tick in which a daemon pings members of its zone as soon as it learns of them, at most
	// joinPingsPerPeriod of them. Seeds in other zones introduce a few members, which introduce the rest, and without the burst that takes
	// another period.
	joinBurst = 500 * time.Millisecond
	// maxThirdZoneContacts limits the contacts in third zones that a datagram between zones introduces to 110 bytes. They are drawn at random,
	// so that nine zones are introduced within seconds.
	maxThirdZoneContacts = 3
	// indirectProbes is the number of members that are asked to probe a member that did not answer.
	indirectProbes = 2
	// maxRelayedProbes limits the concurrent probes on behalf of other members.
	maxRelayedProbes = 256
)

// Config holds the settings of a Gossiper. Durations that are 0 mean the defaults.
type Config struct {
	Self             netip.AddrPort // advertised address of this daemon
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix milliseconds
	Seeds            []netip.AddrPort
	// Weak makes the others prefer other daemons for duties.
	Weak   bool
	Random *rand.Rand
	// FastDetection makes a daemon probe more often while members fail, and declares a suspect member dead as soon as a second daemon has
	// probed it without an answer.
	FastDetection    bool
	ProbePeriod      time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
}

// Candidate is an address from the VM list at which a daemon may run.
type Candidate struct {
	Address          netip.AddrPort
	AvailabilityZone string
}

// Reporter provides the health reports for a datagram to a member of the own availability zone.
type Reporter interface {
	Reports(now time.Time) []packer.Report
}

// Action is what the caller of Tick, Receive or Leave has to handle: Send, VersionsReceived, ReportsReceived or
// MemberChanged.
type Action interface{ action() }

// Send requests the caller to send a datagram to the advertised address To.
type Send struct {
	To       netip.AddrPort
	Datagram packer.Datagram
}

// VersionsReceived contains the versions of the documents that the member From holds.
type VersionsReceived struct {
	From     netip.AddrPort
	Versions packer.Versions
}

// ReportsReceived contains the health reports of a member of the own availability zone.
type ReportsReceived struct{ Reports []packer.Report }

// MemberChanged reports that a member is new or that its state has changed.
type MemberChanged struct{ Member packer.Member }

func (Send) action()             {}
func (VersionsReceived) action() {}
func (ReportsReceived) action()  {}
func (MemberChanged) action()    {}

// member is another daemon in the membership view.
type member struct {
	packer.Member
	// deadline is when a suspect member is declared dead, or a dead one is removed. It is unused for alive members.
	deadline time.Time
	// suspectedAt is when this daemon learned that the member is suspect.
	suspectedAt time.Time
}

// isLive reports whether the member is alive or suspect.
func (m *member) isLive() bool { return m.State != packer.StateDead }

// probe is an unanswered ping of this daemon.
type probe struct {
	target       netip.AddrPort
	isMember     bool // the target was a live member, not just an address to try
	indirectSent bool // other members have been asked to probe the target
	indirectAt   time.Time
	deadline     time.Time
}

// relayedProbe is an unanswered ping on behalf of another member.
type relayedProbe struct {
	origin         netip.AddrPort
	target         netip.AddrPort
	originSequence uint64 // sequence number of the origin's probe
	deadline       time.Time
}

// Gossiper is the membership view of one daemon. It is not safe for concurrent use.
type Gossiper struct {
	cfg      Config
	self     packer.Member
	versions packer.Versions
	// nextPlace is the index of the place document with which the next heartbeat starts. priorityHeartbeats holds, by
	// document id, in how many more heartbeats a changed place document takes precedence.
	nextPlace          int
	priorityHeartbeats map[uint32]int
	reporter           Reporter // nil if no health reports are sent
	members            map[netip.AddrPort]*member
	// memberOrder lists the keys of members, because the random order of map iteration would make runs with the same seed
	// differ.
	memberOrder   []netip.AddrPort
	candidates    []Candidate
	probeRound    []netip.AddrPort // members that have not been probed in this round yet
	probes        map[uint64]*probe
	relayedProbes map[uint64]relayedProbe
	sequence      uint64 // of the last ping
	queue         updateQueue
	started       time.Time // time of the first tick
	lastTick      time.Time
	burstPings    int // sent because of joinBurst
	alertBudget   *throttler.Throttler
	alertUntil    time.Time // until when this daemon probes in each tick
	nextProbe     time.Time
	// nextExpiry is a lower bound of the deadlines of all members, so that most ticks need not check the members.
	nextExpiry            time.Time
	zoneIndex             int              // rotates over the other availability zones to probe
	cachedRepresentatives []netip.AddrPort // nil if they have to be computed again
}

// New returns a Gossiper without members.
func New(c Config) *Gossiper {
	if c.ProbePeriod <= 0 {
		c.ProbePeriod = DefaultProbePeriod
	}
	if c.ProbeTimeout <= 0 {
		c.ProbeTimeout = DefaultProbeTimeout
	}
	if c.SuspicionTimeout <= 0 {
		c.SuspicionTimeout = DefaultSuspicionTimeout
	}
	return &Gossiper{
		cfg: c,
		self: packer.Member{
			Address: c.Self, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation,
			KnowsEras: true, KnowsEvacuations: true, AggregatesFindings: true, Weak: c.Weak,
		},
		members:            make(map[netip.AddrPort]*member),
		probes:             make(map[uint64]*probe),
		priorityHeartbeats: make(map[uint32]int),
		alertBudget:        throttler.New(alertProbesPerSecond, alertBurst),
		relayedProbes:      make(map[uint64]relayedProbe),
	}
}

// SetReporter sets the source of the health reports for datagrams to members of the own availability zone.
func (g *Gossiper) SetReporter(r Reporter) { g.reporter = r }

// SetCandidates replaces the addresses from the VM list.
func (g *Gossiper) SetCandidates(c []Candidate) { g.candidates = slices.Clone(c) }

// SetSeeds replaces the addresses that a joining daemon contacts.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) { g.cfg.Seeds = slices.Clone(seeds) }

// Members returns all known members, without this daemon.
func (g *Gossiper) Members() []packer.Member {
	list := make([]packer.Member, 0, len(g.memberOrder))
	for _, a := range g.memberOrder {
		list = append(list, g.members[a].Member)
	}
	return list
}

// Member returns the known state of the member at the address, which may be this daemon.
func (g *Gossiper) Member(address netip.AddrPort) (packer.Member, bool) {
	if address == g.self.Address {
		return g.self, true
	}
	m, ok := g.members[address]
	if !ok {
		return packer.Member{}, false
	}
	return m.Member, true
}

// ZoneMembers returns the members of the own availability zone to which duties, such as health checks, can be assigned,
// including this daemon: the live ones that are not leaving.
func (g *Gossiper) ZoneMembers() []netip.AddrPort {
	var list []netip.AddrPort
	if !g.self.Leaving {
		list = append(list, g.self.Address)
	}
	for _, a := range g.memberOrder {
		if m := g.members[a]; m.isLive() && !m.Leaving && m.AvailabilityZone == g.self.AvailabilityZone {
			list = append(list, a)
		}
	}
	return list
}

// RandomPeers returns up to n distinct live members of the own availability zone, without this daemon.
func (g *Gossiper) RandomPeers(n int) []netip.AddrPort {
	list := g.liveZonePeers()
	g.cfg.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// IsRepresentative reports whether this daemon probes other availability zones.
func (g *Gossiper) IsRepresentative() bool {
	return slices.Contains(g.representatives(), g.self.Address)
}

// representatives returns the members of the own availability zone that probe the other ones. All daemons with the same
// membership view choose the same ones. Weak members are chosen only if there are not enough others.
func (g *Gossiper) representatives() []netip.AddrPort {
	if g.cachedRepresentatives == nil {
		var strong, weak []netip.AddrPort
		for _, a := range g.ZoneMembers() {
			if m, _ := g.Member(a); m.Weak {
				weak = append(weak, a)
			} else {
				strong = append(strong, a)
			}
		}
		key := "representative " + g.self.AvailabilityZone
		top := ranker.Top(key, RepresentativesPerZone, strong)
		g.cachedRepresentatives = append(top, ranker.Top(key, RepresentativesPerZone-len(top), weak)...)
	}
	return g.cachedRepresentatives
}

// liveZonePeers returns the live members of the own availability zone, including leaving ones, without this daemon.
func (g *Gossiper) liveZonePeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range g.memberOrder {
		if m := g.members[a]; m.isLive() && m.AvailabilityZone == g.self.AvailabilityZone {
			list = append(list, a)
		}
	}
	return list
}
