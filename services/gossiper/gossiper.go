// Package gossiper keeps the membership of an availability zone, and contacts in the other ones, by probing. Each
// daemon probes one member a second, so the load per daemon does not grow with the zone. The package uses no sockets,
// goroutines or clock: it takes the time and an event and returns actions.
package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/bluebelldyke/bluebelldyke/modules/packer"
	"github.com/bluebelldyke/bluebelldyke/modules/ranker"
)

// Defaults of Config.
const (
	// DefaultProbePeriod is the time between two probes of members.
	DefaultProbePeriod = time.Second
	// DefaultProbeTimeout is the wait for a direct ack before other members are asked. Links between availability
	// zones take a few milliseconds.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspicionTimeout is multiplied by the decimal logarithm of the zone's size: news of a suspicion and its
	// refutation need time to spread that grows with it.
	DefaultSuspicionTimeout = 3 * time.Second
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 100 * time.Millisecond
	// PauseThreshold is the lateness of a tick that counts as a pause of the process.
	PauseThreshold = time.Second
	// RepresentativesPerZone is the number of members that probe other availability zones, and of contacts they introduce.
	RepresentativesPerZone = 2
	// maxContacts bounds the members remembered of each other availability zone.
	maxContacts = 6
	// maxMembers bounds the members remembered of the own availability zone, against a faulty or hostile peer.
	maxMembers = 4096
	// tombstoneAge is how long a dead member is remembered. It covers the minutes for which regions lose contact.
	tombstoneAge = 10 * time.Minute
	// joinPeriods is the number of periods in which a new daemon asks for introductions. With four acks of 30 members a
	// period, a daemon that starts in a zone of 420 members learns more than 99% of them.
	joinPeriods = 20
	// strangerRate is the number of pings to dead or unknown addresses that a zone sends in each period. It does not
	// grow with the zone: thousands of daemons would otherwise ping the same dead member or seed.
	strangerRate = 10
	// joinPings is the number of further addresses that a joining daemon pings in each period.
	joinPings = 3
	// zoneProbes is the number of other availability zones that a representative probes in each period. With 9
	// availability zones, two zones then compare their revisions about once a second.
	zoneProbes = 2
	// indirectProbes is the number of members asked to probe a silent one.
	indirectProbes = 2
	// maxRelays bounds the probes carried out for others at any moment.
	maxRelays = 256
)

// Config holds what a Gossiper is made of.
type Config struct {
	Self             netip.AddrPort // advertised address
	AvailabilityZone string
	Incarnation      uint64 // process start time in Unix ms
	Seeds            []netip.AddrPort
	Random           *rand.Rand
	ProbePeriod      time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
}

// Candidate is an address from the VM list that may be a daemon.
type Candidate struct {
	Address          netip.AddrPort
	AvailabilityZone string
}

// Reporter gives the health reports for a datagram to a member of the own availability zone.
type Reporter interface {
	Reports(now time.Time) []packer.Report
}

// Action is what the caller of Tick, Receive or Leave has to do: Send, VersionsReceived, ReportsReceived or MemberChanged.
type Action interface{ action() }

// Send asks to send a datagram to the advertised address To.
type Send struct {
	To       netip.AddrPort
	Datagram packer.Datagram
}

// VersionsReceived reports the versions of documents that a member holds.
type VersionsReceived struct {
	From     netip.AddrPort
	Versions packer.Versions
}

// ReportsReceived hands over the health reports of a member of the own availability zone.
type ReportsReceived struct{ Reports []packer.Report }

// MemberChanged reports that the state of a member has changed or that it is new.
type MemberChanged struct{ Member packer.Member }

func (Send) action()             {}
func (VersionsReceived) action() {}
func (ReportsReceived) action()  {}
func (MemberChanged) action()    {}

type member struct {
	packer.Member
	// deadline ends a suspicion or the memory of a dead member.
	deadline time.Time
}

func (m *member) live() bool { return m.State != packer.StateDead }

type probe struct {
	target   netip.AddrPort
	known    bool // a member, not only a hint
	indirect bool // others have been asked
	next     time.Time
	end      time.Time
}

type relay struct {
	origin   netip.AddrPort
	target   netip.AddrPort
	sequence uint64
	end      time.Time
}

// Gossiper is the membership view of one daemon. It is not safe for concurrent use.
type Gossiper struct {
	c        Config
	self     packer.Member
	versions packer.Versions
	// placeTurn is the position from which the next heartbeat takes place documents, and fresh holds in how many more
	// heartbeats a changed one goes first.
	placeTurn int
	fresh     map[uint32]int
	reporter  Reporter // nil: no health reports
	members   map[netip.AddrPort]*member
	// order lists the keys of members; a map alone would make runs of one seed differ.
	order    []netip.AddrPort
	hints    []Candidate
	round    []netip.AddrPort // members still to be probed in this round
	probes   map[uint64]*probe
	relays   map[uint64]relay
	sequence uint64
	queue    queue
	started  time.Time
	lastTick time.Time
	next     time.Time // next probe
	// nextExpiry is not later than the earliest deadline of a member, so that most ticks need not look at members.
	nextExpiry time.Time
	zoneTurn   int
	chosen     []netip.AddrPort // representatives, nil when to be computed again
}

// New returns a Gossiper that knows only itself and its seeds.
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
		c:       c,
		self:    packer.Member{Address: c.Self, AvailabilityZone: c.AvailabilityZone, Incarnation: c.Incarnation},
		members: make(map[netip.AddrPort]*member),
		probes:  make(map[uint64]*probe),
		fresh:   make(map[uint32]int),
		relays:  make(map[uint64]relay),
	}
}

// SetReporter sets the source of the health reports that datagrams inside the availability zone carry.
func (g *Gossiper) SetReporter(r Reporter) { g.reporter = r }

// SetCandidates replaces the addresses of the VM list.
func (g *Gossiper) SetCandidates(hints []Candidate) { g.hints = slices.Clone(hints) }

// SetSeeds replaces the addresses to contact first.
func (g *Gossiper) SetSeeds(seeds []netip.AddrPort) { g.c.Seeds = slices.Clone(seeds) }

// Members returns all members known, without this daemon.
func (g *Gossiper) Members() []packer.Member {
	list := make([]packer.Member, 0, len(g.order))
	for _, a := range g.order {
		list = append(list, g.members[a].Member)
	}
	return list
}

// Member returns what is known of the member at address.
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

// ZoneMembers returns the members of the own availability zone that can take duties: live ones that are not leaving, with
// this daemon.
func (g *Gossiper) ZoneMembers() []netip.AddrPort {
	var list []netip.AddrPort
	if !g.self.Leaving {
		list = append(list, g.self.Address)
	}
	for _, a := range g.order {
		if m := g.members[a]; m.live() && !m.Leaving && m.AvailabilityZone == g.self.AvailabilityZone {
			list = append(list, a)
		}
	}
	return list
}

// RandomPeers returns up to n different live members of the own availability zone other than this daemon.
func (g *Gossiper) RandomPeers(n int) []netip.AddrPort {
	list := g.zonePeers()
	g.c.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// IsRepresentative reports whether this daemon probes other availability zones.
func (g *Gossiper) IsRepresentative() bool {
	return slices.Contains(g.representatives(), g.self.Address)
}

func (g *Gossiper) representatives() []netip.AddrPort {
	if g.chosen == nil {
		g.chosen = ranker.Top("representative "+g.self.AvailabilityZone, RepresentativesPerZone, g.ZoneMembers())
	}
	return g.chosen
}

// zonePeers returns the live members of the own availability zone, also leaving ones, without this daemon.
func (g *Gossiper) zonePeers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, a := range g.order {
		if m := g.members[a]; m.live() && m.AvailabilityZone == g.self.AvailabilityZone {
			list = append(list, a)
		}
	}
	return list
}
